package registry

import "time"

// LeaseDurations holds since when the leader has observed each role with its current
// holder, keyed by role name. It reads no clock: the caller passes readings of any clock
// that never goes back. A new leader counts from its first observation. It is not safe
// for concurrent use.
type LeaseDurations map[string]leaseStart

type leaseStart struct {
	token int64
	since time.Duration
}

// Observe records the current holders, and drops roles without one.
func (l LeaseDurations) Observe(roles map[string]Role, now time.Duration) {
	for name, role := range roles {
		start, seen := l[name]
		if role.Holder != "" && (!seen || start.token != role.Token) {
			l[name] = leaseStart{role.Token, now}
		}
	}
	for name := range l {
		if roles[name].Holder == "" {
			delete(l, name)
		}
	}
}

// OfSessions returns for how many milliseconds the roles of the sessions have been held,
// keyed by role name.
func (l LeaseDurations) OfSessions(roles map[string]Role, sessions []string, now time.Duration) map[string]int64 {
	durations := map[string]int64{}
	for _, id := range sessions {
		for name, role := range roles {
			start, seen := l[name]
			if seen && role.Holder == id && start.token == role.Token {
				durations[name] = (now - start.since).Milliseconds()
			}
		}
	}
	return durations
}
