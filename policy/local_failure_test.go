package policy

import "testing"

// A call that this machine could not make counts neither as an attempt nor as a request of adaptive
// throttling, and is not blamed on the endpoint. However many there are, the message is sent soon
// after calls can be made again. Until then the calls are at least a backoff apart.
func TestLocalFailuresCountAsNoAttempts(t *testing.T) {
	for _, repeat := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
		s := baseSettings()
		s.MaxAttempts = 4
		s.Classes[0].Idempotency = repeat
		r := newRig(t, s, ready(1, 10))
		r.step(r.message(0, 0))
		tries := 0
		for until := r.now + 3*second; r.now < until; {
			if len(r.sends) == 0 {
				r.now += second / 100
				r.step(Event{Kind: EventTimer})
				continue
			}
			e := answer(r.sends[0], NotSent)
			e.LocalFailure = true
			tries++
			r.step(e)
			if len(r.sends) > 0 {
				t.Fatalf("idempotency %v: the message was sent again at once", repeat)
			}
		}
		if tries < 5 || tries > 30 {
			t.Errorf("idempotency %v: %d calls tried in 3 s, want 5 to 30", repeat, tries)
		}
		if req, _ := r.p.endpoints[1].route.history.totals(r.now); req > 1 {
			t.Errorf("idempotency %v: %v requests are counted, want 1 at most", repeat, req)
		}
		if ep := r.p.endpoints[1]; ep.isEjected || ep.failureScore > 0 {
			t.Errorf("idempotency %v: the endpoint was charged with the failures", repeat)
		}
		cleared := r.now
		for len(r.sends) == 0 && r.now < cleared+second {
			r.now += second / 100
			r.step(Event{Kind: EventTimer})
		}
		if len(r.sends) != 1 {
			t.Fatalf("idempotency %v: %d sends within a second after calls can be made again, want 1", repeat, len(r.sends))
		}
		r.step(answer(r.sends[0], Delivered))
		if len(r.p.messages) != 0 {
			t.Errorf("idempotency %v: the message is still held after its delivery", repeat)
		}
	}
}
