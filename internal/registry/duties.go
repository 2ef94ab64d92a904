package registry

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Session is what a warden holds its duties by. It ends when the leader has not
// heard of it for its time to live.
type Session struct {
	ID         string        `json:"id"`     // drawn by the warden's process
	Controller string        `json:"warden"` // for people; two may have one
	TTL        time.Duration `json:"ttl"`
}

// Role is work that one warden does at a time.
type Role struct {
	Name       string `json:"name"`
	Holder     string `json:"holder"` // its session; empty for nobody
	Controller string `json:"warden"` // of the present or the last holder
	Token      int64  `json:"token"`  // of the last grant; every effect carries it
	Term       int64  `json:"term"`   // grants so far
	Note       string `json:"note"`   // where its work stands
	Successor  string `json:"next,omitempty"`
	Failures   int    `json:"fails,omitempty"` // in a row, deaths of holders among them
	Disabled   bool   `json:"off,omitempty"`   // operators: nobody may hold it
	GrantedAt  int64  `json:"since"`           // of the last grant, Unix ms
	ReleasedAt int64  `json:"left"`            // when it was last given up or its holder ended, Unix ms
}

const (
	// Grants come far slower than this, so an epoch that begins later has the
	// greater tokens, whatever its backup knew.
	tokensPerSecond = 1 << 10
	maxNoteBytes    = 4 << 10 // kept in answers, too: what is longer belongs into an order
	maxRoles        = 10000
)

// applyDuty takes a command of sessions and duties, and refuses any other whose
// fence is not the present holder's.
func (s *State) applyDuty(c *Command) (a Result, done bool) {
	ok := Result{Status: http.StatusOK}
	switch c.Op {
	case OpSession:
		if old, known := s.Sessions[c.Session.ID]; !known || old != c.Session {
			s.Sessions[c.Session.ID] = c.Session
			s.RoleRevision++
		}
		return ok, true
	case OpSessionEnd:
		for _, id := range c.EndedSessions {
			s.endSession(id, c)
		}
		return ok, true
	case OpGrant:
		return s.grant(c), true
	case OpDisable:
		d, known := s.Roles[c.Role]
		if !known && len(s.Roles) >= maxRoles {
			return Result{Status: http.StatusConflict, Error: fmt.Sprintf("duties: %d at most", maxRoles)}, true
		}
		d.Name, d.Disabled = c.Role, c.Disabled
		if c.Disabled && d.Holder != "" {
			d.Holder, d.ReleasedAt = "", c.At
		}
		s.putRole(d)
		return ok, true
	}
	if c.Role == "" {
		return Result{}, false
	}
	d := s.Roles[c.Role]
	if d.Holder == "" || d.Token != c.Token {
		return Result{Status: http.StatusPreconditionFailed, Error: fmt.Sprintf("duty %s: token %d is not the present one", c.Role, c.Token), Token: d.Token}, true
	}
	switch c.Op {
	case OpNote:
		if c.Healthy { // the work's own goroutine alone says where it stands
			d.Failures = 0
		} else {
			d.Note = c.Note
		}
	case OpRelease:
		d.Holder, d.Successor, d.ReleasedAt = "", c.Successor, c.At
		if c.Note != "" {
			d.Note = c.Note
		}
		switch {
		case c.Failed:
			d.Failures++
		case !c.LeaseLost: // a lease that ended says nothing of the work
			d.Failures = 0
		}
	default:
		return Result{}, false // its fence holds
	}
	s.putRole(d)
	ok.Token = d.Token
	return ok, true
}

// endSession leaves what it held to others. One that was not heard of may have
// been killed by what it held.
func (s *State) endSession(id string, c *Command) {
	x, ok := s.Sessions[id]
	if !ok {
		return
	}
	delete(s.Sessions, id)
	s.RoleRevision++
	for name, d := range s.Roles {
		if d.Holder != id {
			continue
		}
		d.Holder, d.ReleasedAt = "", c.At
		if c.Failed && c.leaseDuration(&d) > 2*x.TTL {
			d.Failures = 1 // it had gone well until a time to live ago
		} else if c.Failed {
			d.Failures++
		}
		s.Roles[name] = d
	}
}

// leaseDuration is how long a duty was held by a session that ends. The dates of an older
// leader's commands are all that tells it there, and may have been set meanwhile.
func (c *Command) leaseDuration(d *Role) time.Duration {
	ms := c.At - d.GrantedAt
	if c.LeaseDurations != nil {
		ms = c.LeaseDurations[d.Name]
	}
	return time.Duration(ms) * time.Millisecond
}

func (s *State) putRole(d Role) {
	s.RoleRevision++
	s.Roles[d.Name] = d
}

// grant gives a duty to a session, with a token that no grant had before.
func (s *State) grant(c *Command) Result {
	holder, ok := s.Sessions[c.Session.ID]
	d, known := s.Roles[c.Role]
	refuse := func(status int, format string, args ...any) Result {
		return Result{Status: status, Error: fmt.Sprintf(format, args...), Token: d.Token}
	}
	switch {
	case !ok:
		return refuse(http.StatusNotFound, "session %s is unknown", c.Session.ID)
	case !known && len(s.Roles) >= maxRoles:
		return refuse(http.StatusConflict, "duties: %d at most", maxRoles)
	case d.Disabled:
		return refuse(http.StatusConflict, "duty %s is held by the operators", c.Role)
	case d.Holder != "":
		return refuse(http.StatusConflict, "duty %s is held by %s", c.Role, d.Controller)
	case d.Successor != "" && d.Successor != holder.Controller && s.hasController(d.Successor):
		return refuse(http.StatusConflict, "duty %s is left to %s", c.Role, d.Successor)
	}
	s.LastToken++
	d.Name, d.Holder, d.Controller, d.Token, d.Term, d.Successor, d.GrantedAt = c.Role, holder.ID, holder.Controller, s.LastToken, d.Term+1, "", c.At
	s.putRole(d)
	return Result{Status: http.StatusOK, Token: d.Token, Note: d.Note, Term: d.Term}
}

func (s *State) hasController(name string) bool {
	for _, x := range s.Sessions {
		if x.Controller == name {
			return true
		}
	}
	return false
}

// RoleList is what wardens and operators see of all duties.
type RoleList struct {
	Revision int64     `json:"revision"`
	Roles    []Role    `json:"duties"`
	Sessions []Session `json:"sessions"`
}

func (s *State) roleList() RoleList {
	l := RoleList{Revision: s.RoleRevision, Roles: []Role{}, Sessions: []Session{}}
	for _, d := range s.Roles {
		l.Roles = append(l.Roles, d)
	}
	for _, x := range s.Sessions {
		l.Sessions = append(l.Sessions, x)
	}
	slices.SortFunc(l.Roles, func(a, b Role) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(l.Sessions, func(a, b Session) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// SessionHeartbeats is what a leader has heard of sessions. It reads no clock: now is
// any that only goes forward.
type SessionHeartbeats map[string]time.Duration

// Record books that a session was heard of.
func (b SessionHeartbeats) Record(id string, now time.Duration) { b[id] = now }

// Overdue gives the sessions that were not heard of for a whole time to live. One
// that this leader never heard of counts as heard of now.
func (b SessionHeartbeats) Overdue(sessions map[string]Session, now time.Duration) (ids []string) {
	for id, x := range sessions {
		at, ok := b[id]
		if !ok {
			b[id] = now
		} else if now-at > x.TTL {
			ids = append(ids, id)
		}
	}
	for id := range b {
		if _, ok := sessions[id]; !ok {
			delete(b, id)
		}
	}
	slices.Sort(ids)
	return ids
}
