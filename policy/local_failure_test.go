package policy

import "testing"

// A call that this machine could not make counts neither as an attempt nor as a request of adaptive
// throttling, and is not blamed on the endpoint. However many there are, the message is sent soon
// after calls can be made again. Until then the calls are at least a backoff apart.
func TestLocalFailuresCountAsNoAttempts(t *testing.T) {
	for _, idempotency := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
		s := baseSettings()
		s.MaxAttempts = 4
		s.Classes[0].Idempotency = idempotency
		r := newRig(t, s, readyEntry(1, 10))
		r.step(r.newMessage(0, 0))
		calls := 0
		for until := r.now + 3*second; r.now < until; {
			if len(r.sends) == 0 {
				r.now += second / 100
				r.step(Event{Kind: EventTimer})
				continue
			}
			e := attemptDone(r.sends[0], NotSent)
			e.LocalFailure = true
			calls++
			r.step(e)
			if len(r.sends) > 0 {
				t.Fatalf("idempotency %v: the message was sent again at once", idempotency)
			}
		}
		if calls < 5 || calls > 30 {
			t.Errorf("idempotency %v: %d calls tried in 3 s, want 5 to 30", idempotency, calls)
		}
		if requests, _ := r.p.endpoints[1].route.history.totals(r.now); requests > 1 {
			t.Errorf("idempotency %v: %v requests are counted, want 1 at most", idempotency, requests)
		}
		if endpoint := r.p.endpoints[1]; endpoint.isEjected || endpoint.failureScore > 0 {
			t.Errorf("idempotency %v: the endpoint was charged with the failures", idempotency)
		}
		resolvedAt := r.now
		for len(r.sends) == 0 && r.now < resolvedAt+second {
			r.now += second / 100
			r.step(Event{Kind: EventTimer})
		}
		if len(r.sends) != 1 {
			t.Fatalf("idempotency %v: %d sends within a second after calls can be made again, want 1", idempotency, len(r.sends))
		}
		r.step(attemptDone(r.sends[0], Delivered))
		if len(r.p.messages) != 0 {
			t.Errorf("idempotency %v: the message is still held after its delivery", idempotency)
		}
	}
}
