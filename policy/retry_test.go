package policy

import "testing"

// A retry of a message that is idempotent by key and may have run has a SendBy, after which the
// destination would no longer recognize it as a repeat. A message that has certainly not run, or
// may always run again, has none.
func TestRetryIsSentWithinDedupWindow(t *testing.T) {
	s := baseSettings()
	keyed := s.Classes[0]
	keyed.Idempotency, keyed.DedupWindow = IdempotentByKey, 5*second
	s.Classes = append(s.Classes, keyed)
	for _, c := range []struct {
		class int
		first Outcome
		bound bool
	}{{1, ConnectionReset, true}, {1, TimedOut, true}, {1, Rejected, false}, {0, ConnectionReset, false}} {
		r := newRig(t, s, ready(1, 1000))
		r.step(r.message(c.class, 0))
		sent := r.now
		if by := r.sends[0].SendBy; by != 0 {
			t.Errorf("class %d: the first attempt has SendBy %d, want 0", c.class, by)
		}
		r.now += second / 10
		events := []Event{answer(r.sends[0], c.first)}
		for r.step(events...); len(r.sends) == 0; r.step() {
			if r.now += 5000; r.now > sent+5*second {
				t.Fatalf("class %d after outcome %d: never sent again", c.class, c.first)
			}
		}
		if by := r.sends[0].SendBy; (by != 0) != c.bound || by > sent+keyed.DedupWindow || c.bound && by < r.now {
			t.Errorf("class %d after outcome %d: the retry has SendBy %d, the window ends at %d", c.class, c.first, by, sent+keyed.DedupWindow)
		}
	}
}
