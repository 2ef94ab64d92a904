package policy

import "testing"

// A call that the machine could not make uses up no try and no request of the formula,
// and blames nobody: however many there are, the message is sent once calls can be made,
// soon, and meanwhile they come no closer than a moment apart.
func TestUnmadeCalls(t *testing.T) {
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
				t.Fatalf("repeat %v: sent again at once", repeat)
			}
		}
		if tries < 5 || tries > 30 {
			t.Errorf("repeat %v: %d calls in 3 s that could not be made", repeat, tries)
		}
		if req, _ := r.p.endpoints[1].route.history.totals(r.now); req > 1 {
			t.Errorf("repeat %v: %v requests are counted", repeat, req)
		}
		if ep := r.p.endpoints[1]; ep.isEjected || ep.failureScore > 0 {
			t.Errorf("repeat %v: the endpoint is blamed", repeat)
		}
		cleared := r.now
		for len(r.sends) == 0 && r.now < cleared+second {
			r.now += second / 100
			r.step(Event{Kind: EventTimer})
		}
		if len(r.sends) != 1 {
			t.Fatalf("repeat %v: %d sends within a second", repeat, len(r.sends))
		}
		r.step(answer(r.sends[0], Delivered))
		if len(r.p.messages) != 0 {
			t.Errorf("repeat %v: it is held on", repeat)
		}
	}
}
