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
	Holder     string `json:"holder"`          // id of the holder's session; empty for none
	Controller string `json:"warden"`          // name of the current holder, or of the last one if the role is free
	Token      int64  `json:"token"`           // fencing token of the last grant
	Term       int64  `json:"term"`            // number of grants so far
	Note       string `json:"note"`            // the work's progress, which the next holder goes on from
	Successor  string `json:"next,omitempty"`  // if set, a controller; while it has a session, only it is granted the role
	Failures   int    `json:"fails,omitempty"` // consecutive failures; the expiry of a holder's session is one
	Disabled   bool   `json:"off,omitempty"`   // set by operators: the role is granted to nobody
	GrantedAt  int64  `json:"since"`           // leader's time of the last grant, in Unix ms
	ReleasedAt int64  `json:"left"`            // leader's time when the role last became free, in Unix ms
}

const (
	// tokensPerSecond is far above the rate of grants. A new epoch starts its tokens at
	// the Unix time in seconds times this number, so they are greater than all tokens of
	// earlier epochs, even those granted after the restored backup was taken.
	tokensPerSecond = 1 << 10

	maxNoteBytes = 4 << 10 // bounds the size of the state, which also keeps notes in results of grants
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

// saveNote saves the holder's note. With Healthy it only resets the failures and keeps
// the note: such a command isn't sent by the work itself, and only the work knows its
// progress.
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

// disableRole takes a role from its holder and lets nobody hold it, or enables it again.
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

// leaseDuration returns how long an expired session held a role. A command of a leader of
// an older version has no LeaseDurations. For it the duration is the difference of two
// wall-clock times, which is wrong if the clock was stepped.
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
	Roles    []Role    `json:"duties"`   // sorted by name
	Sessions []Session `json:"sessions"` // sorted by id
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
