package policy

import "testing"

// A retry of a message that is idempotent by key and may have run has a SendBy, after which the
// destination would no longer recognize it as a repeat. A message that has certainly not run, or
// may always run again, has none.
func TestRetryIsSentWithinDedupWindow(t *testing.T) {
	s := baseSettings()
	byKey := s.Classes[0]
	byKey.Idempotency, byKey.DedupWindow = IdempotentByKey, 5*second
	s.Classes = append(s.Classes, byKey)
	for _, c := range []struct {
		class        int
		firstOutcome Outcome
		wantSendBy   bool
	}{{1, ConnectionReset, true}, {1, TimedOut, true}, {1, Rejected, false}, {0, ConnectionReset, false}} {
		r := newRig(t, s, readyEntry(1, 1000))
		r.step(r.newMessage(c.class, 0))
		sentAt := r.now
		if sendBy := r.sends[0].SendBy; sendBy != 0 {
			t.Errorf("class %d: the first attempt has SendBy %d, want 0", c.class, sendBy)
		}
		r.now += second / 10
		events := []Event{attemptDone(r.sends[0], c.firstOutcome)}
		for r.step(events...); len(r.sends) == 0; r.step() {
			if r.now += 5000; r.now > sentAt+5*second {
				t.Fatalf("class %d after outcome %d: never sent again", c.class, c.firstOutcome)
			}
		}
		if sendBy := r.sends[0].SendBy; (sendBy != 0) != c.wantSendBy || sendBy > sentAt+byKey.DedupWindow || c.wantSendBy && sendBy < r.now {
			t.Errorf("class %d after outcome %d: the retry has SendBy %d, the window ends at %d", c.class, c.firstOutcome, sendBy, sentAt+byKey.DedupWindow)
		}
	}
}
