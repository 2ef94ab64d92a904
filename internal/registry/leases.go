package registry

import "time"

// LeaseDurations is how long the leader has seen each role with its present holder, by
// the role's name. It reads no clock: a time is the reading of any clock that only
// goes forward. A new leader counts from its first observation. It is not safe for
// concurrent use.
type LeaseDurations map[string]leaseStart

type leaseStart struct {
	token int64
	since time.Duration
}

// Observe records the present holders.
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

// OfSessions returns the milliseconds for which the sessions' roles have been held, by
// the role's name.
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
