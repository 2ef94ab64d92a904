package registry

import (
	"maps"
	"slices"
	"time"
)

// Session is the lease of a controller: roles are granted to its session, and become
// free when the session ends. It expires when the leader has received no heartbeat for
// its time to live.
type Session struct {
	ID         string        `json:"id"`     // chosen by the controller's process
	Controller string        `json:"warden"` // the controller's name, for operators; two processes may share one
	TTL        time.Duration `json:"ttl"`
}

func (s *State) openSession(c *Command) Result {
	if old, known := s.Sessions[c.Session.ID]; !known || old != c.Session {
		s.Sessions[c.Session.ID] = c.Session
		s.RoleRevision++
	}
	return succeeded()
}

func (s *State) endSessions(c *Command) Result {
	for _, id := range c.EndedSessions {
		s.endSession(id, c)
	}
	return succeeded()
}

// endSession ends a session and frees its roles. The work of one of the roles may have
// killed the process of an expired session, so the expiry counts as a failure of each.
func (s *State) endSession(id string, c *Command) {
	session, ok := s.Sessions[id]
	if !ok {
		return
	}
	delete(s.Sessions, id)
	s.RoleRevision++
	for name, role := range s.Roles {
		if role.Holder != id {
			continue
		}
		role.Holder, role.ReleasedAt = "", c.At
		switch {
		case c.Failed && c.leaseDuration(&role) > 2*session.TTL:
			role.Failures = 1 // the work ran for over two times to live, so earlier failures no longer count
		case c.Failed:
			role.Failures++
		}
		s.Roles[name] = role
	}
}

// hasController reports whether a controller with this name has a session.
func (s *State) hasController(name string) bool {
	for _, session := range s.Sessions {
		if session.Controller == name {
			return true
		}
	}
	return false
}

// SessionHeartbeats holds when the leader last received a heartbeat of each session,
// keyed by session id. It reads no clock: the caller passes readings of any clock that
// never goes back. It is not safe for concurrent use.
type SessionHeartbeats map[string]time.Duration

// Record records a heartbeat.
func (b SessionHeartbeats) Record(id string, now time.Duration) { b[id] = now }

// Overdue returns, in ascending order, the ids of the sessions without a heartbeat for
// longer than their time to live. The time to live of a session that was never recorded,
// such as on a new leader, begins now.
func (b SessionHeartbeats) Overdue(sessions map[string]Session, now time.Duration) (ids []string) {
	for id, session := range sessions {
		last, ok := b[id]
		if !ok {
			b[id] = now
		} else if now-last > session.TTL {
			ids = append(ids, id)
		}
	}
	maps.DeleteFunc(b, func(id string, _ time.Duration) bool {
		_, ok := sessions[id]
		return !ok
	})
	slices.Sort(ids)
	return ids
}
