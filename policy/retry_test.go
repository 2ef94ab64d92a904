package policy

import "testing"

// TestRepeatInItsWindow: a keyed message that may have run goes out again with word of the moment after which it is
// not known as the same any more; what has surely not run, and what may always run again, has none.
func TestRepeatInItsWindow(t *testing.T) {
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
			t.Errorf("class %d: the first try goes out by %d", c.class, by)
		}
		r.now += second / 10
		events := []Event{answer(r.sends[0], c.first)}
		for r.step(events...); len(r.sends) == 0; r.step() {
			if r.now += 5000; r.now > sent+5*second {
				t.Fatalf("class %d after %d: never sent again", c.class, c.first)
			}
		}
		if by := r.sends[0].SendBy; (by != 0) != c.bound || by > sent+keyed.DedupWindow || c.bound && by < r.now {
			t.Errorf("class %d after %d: sent again by %d, the window ends at %d", c.class, c.first, by, sent+keyed.DedupWindow)
		}
	}
}
