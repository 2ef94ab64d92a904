package registry

import "time"

// LeaseDurations are how long a leader has seen each duty with its present holder. It reads no
// clock: now is any that only goes forward. A leader that is new counts from when it
// first looked.
type LeaseDurations map[string]leaseStart

type leaseStart struct {
	token int64
	since time.Duration
}

// Observe books who holds what.
func (t LeaseDurations) Observe(duties map[string]Role, now time.Duration) {
	for name, d := range duties {
		if seen, ok := t[name]; d.Holder != "" && (!ok || seen.token != d.Token) {
			t[name] = leaseStart{d.Token, now}
		}
	}
	for name := range t {
		if d, ok := duties[name]; !ok || d.Holder == "" {
			delete(t, name)
		}
	}
}

// OfSessions gives the milliseconds for which each duty of some sessions has been held.
func (t LeaseDurations) OfSessions(duties map[string]Role, sessions []string, now time.Duration) map[string]int64 {
	lasted := map[string]int64{}
	for _, id := range sessions {
		for name, d := range duties {
			if seen, ok := t[name]; ok && d.Holder == id && seen.token == d.Token {
				lasted[name] = (now - seen.since).Milliseconds()
			}
		}
	}
	return lasted
}
