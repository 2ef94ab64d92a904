package registry

import "time"

// Tenures are how long a leader has seen each duty with its present holder. It reads no
// clock: now is any that only goes forward. A leader that is new counts from when it
// first looked.
type Tenures map[string]tenure

type tenure struct {
	token int64
	since time.Duration
}

// Look books who holds what.
func (t Tenures) Look(duties map[string]Duty, now time.Duration) {
	for name, d := range duties {
		if seen, ok := t[name]; d.Holder != "" && (!ok || seen.token != d.Token) {
			t[name] = tenure{d.Token, now}
		}
	}
	for name := range t {
		if d, ok := duties[name]; !ok || d.Holder == "" {
			delete(t, name)
		}
	}
}

// Lasted gives the milliseconds for which each duty of some sessions has been held.
func (t Tenures) Lasted(duties map[string]Duty, sessions []string, now time.Duration) map[string]int64 {
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
