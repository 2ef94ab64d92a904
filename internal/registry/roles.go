package registry

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// Role is leader-elected work that one controller holds at a time. It is unrelated to
// a node's Raft role (Status.RaftRole).
type Role struct {
	Name       string `json:"name"`
	Holder     string `json:"holder"` // id of the holder's session; empty for none
	Controller string `json:"warden"` // name of the present or the last holder
	Token      int64  `json:"token"`  // fencing token of the last grant
	Term       int64  `json:"term"`   // number of grants so far
	Note       string `json:"note"`   // the work's progress, for the next holder
	Successor  string `json:"next,omitempty"`
	Failures   int    `json:"fails,omitempty"` // in a row; the expiry of a holder's session counts, too
	Disabled   bool   `json:"off,omitempty"`   // operators: nobody may hold it
	GrantedAt  int64  `json:"since"`           // time of the last grant, Unix ms
	ReleasedAt int64  `json:"left"`            // time at which it last became free, Unix ms
}

const (
	// tokensPerSecond is far above the rate of grants, so that an epoch which begins
	// later has greater tokens whatever the backup that it began from knew.
	tokensPerSecond = 1 << 10

	maxNoteBytes = 4 << 10 // notes are kept in results, too
	maxRoles     = 10000
)

// grantRole grants a free role to a session, with a token greater than any before.
func (s *State) grantRole(c *Command) Result {
	session, hasSession := s.Sessions[c.Session.ID]
	role, known := s.Roles[c.Role]
	reject := func(status int, format string, args ...any) Result {
		result := rejected(status, format, args...)
		result.Token = role.Token
		return result
	}
	switch {
	case !hasSession:
		return reject(http.StatusNotFound, "session %s is unknown", c.Session.ID)
	case !known && len(s.Roles) >= maxRoles:
		return reject(http.StatusConflict, "duties: %d at most", maxRoles)
	case role.Disabled:
		return reject(http.StatusConflict, "duty %s is held by the operators", c.Role)
	case role.Holder != "":
		return reject(http.StatusConflict, "duty %s is held by %s", c.Role, role.Controller)
	case role.Successor != "" && role.Successor != session.Controller && s.hasController(role.Successor):
		return reject(http.StatusConflict, "duty %s is left to %s", c.Role, role.Successor)
	}
	s.LastToken++
	role.Name = c.Role
	role.Holder, role.Controller = session.ID, session.Controller
	role.Token = s.LastToken
	role.Term++
	role.Successor = ""
	role.GrantedAt = c.At
	s.putRole(role)
	return Result{Status: http.StatusOK, Token: role.Token, Note: role.Note, Term: role.Term}
}

// saveNote saves the holder's note. With Healthy it only resets the failures: that
// is sent beside the work, which alone knows its progress.
func (s *State) saveNote(c *Command) Result {
	role := s.Roles[c.Role]
	if c.Healthy {
		role.Failures = 0
	} else {
		role.Note = c.Note
	}
	s.putRole(role)
	return Result{Status: http.StatusOK, Token: role.Token}
}

func (s *State) releaseRole(c *Command) Result {
	role := s.Roles[c.Role]
	role.Holder, role.Successor, role.ReleasedAt = "", c.Successor, c.At
	if c.Note != "" {
		role.Note = c.Note
	}
	switch {
	case c.Failed:
		role.Failures++
	case !c.LeaseLost: // a lost lease says nothing about the work
		role.Failures = 0
	}
	s.putRole(role)
	return Result{Status: http.StatusOK, Token: role.Token}
}

// disableRole takes a role from its holder for as long as it is disabled, or enables
// it again.
func (s *State) disableRole(c *Command) Result {
	role, known := s.Roles[c.Role]
	if !known && len(s.Roles) >= maxRoles {
		return rejected(http.StatusConflict, "duties: %d at most", maxRoles)
	}
	role.Name, role.Disabled = c.Role, c.Disabled
	if c.Disabled && role.Holder != "" {
		role.Holder, role.ReleasedAt = "", c.At
	}
	s.putRole(role)
	return succeeded()
}

func (s *State) putRole(role Role) {
	s.RoleRevision++
	s.Roles[role.Name] = role
}

// leaseDuration returns how long an expired session held a role. Commands of older
// leaders have only wall-clock times to tell it, which may have been stepped.
func (c *Command) leaseDuration(role *Role) time.Duration {
	ms := c.At - role.GrantedAt
	if c.LeaseDurations != nil {
		ms = c.LeaseDurations[role.Name]
	}
	return time.Duration(ms) * time.Millisecond
}

// RoleList is all roles and sessions, as controllers and operators see them.
type RoleList struct {
	Revision int64     `json:"revision"`
	Roles    []Role    `json:"duties"`   // by name
	Sessions []Session `json:"sessions"` // by id
}

func (s *State) roleList() RoleList {
	list := RoleList{Revision: s.RoleRevision, Roles: []Role{}, Sessions: []Session{}}
	for _, role := range s.Roles {
		list.Roles = append(list.Roles, role)
	}
	for _, session := range s.Sessions {
		list.Sessions = append(list.Sessions, session)
	}
	slices.SortFunc(list.Roles, func(a, b Role) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(list.Sessions, func(a, b Session) int { return strings.Compare(a.ID, b.ID) })
	return list
}
