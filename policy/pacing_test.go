package policy

import (
	"math"
	"testing"
)

// TestChanceOfAShare: few relays let a few arrivals close together pass, each of many only one: what a fleet has saved
// up by the end of an outage must stay near what chance moves a second of its calls.
func TestChanceOfAShare(t *testing.T) {
	for _, c := range []struct{ relays, want int }{{2, 3}, {12, 1}, {80, 1}} {
		s := baseSettings()
		s.Relays = c.relays
		r := newRig(t, s, ready(1, 18))
		r.p.endpoints[1].route.window = 5
		r.step(r.message(0, 0), r.message(0, 0), r.message(0, 0))
		if len(r.sends) != c.want {
			t.Errorf("%d relays: %d of 3 calls passed at once", c.relays, len(r.sends))
		}
	}
}

// TestFleetKeepsToALimit: relays that are all refused come down to less than the limit together, however many.
func TestFleetKeepsToALimit(t *testing.T) {
	for _, n := range []int{2, 80, 400} {
		s := baseSettings()
		s.Relays = n
		r := newRig(t, s, ready(1, 20))
		ep := r.p.endpoints[1]
		for range 100 {
			r.p.observeCall(&callState{endpoint: ep, sentAt: r.now, messages: []*messageState{{class: &r.p.settings.Classes[0]}}},
				&Event{Kind: EventAttemptDone, Outcome: Rejected, Load: LoadReport{Limit: 20, Present: true}})
		}
		if all := r.p.paceRate(ep.route) * float64(n); all > 20 || all < 5 {
			t.Errorf("%d relays send %v a second together, limit 20", n, all)
		}
	}
}

// TestPaceOfSeldomCallers: one refusal brings relays that call seldom down to the limit together, and what they
// grow by on one report stays inside the allowance that it told of. One that calls often goes on in small steps.
func TestPaceOfSeldomCallers(t *testing.T) {
	for _, n := range []int{2, 80, 300} {
		s := baseSettings()
		s.Relays = n
		r := newRig(t, s, ready(1, 20))
		l := r.p.endpoints[1].route
		book := func(o Outcome, left float64, gap Time) (before, after float64) {
			r.now += gap
			r.step()
			l.isPaceLimited, before = true, r.p.paceRate(l)
			r.p.observeCall(&callState{endpoint: r.p.endpoints[1], sentAt: r.now, messages: []*messageState{{class: &r.p.settings.Classes[0]}}},
				&Event{Kind: EventAttemptDone, Outcome: o, Load: LoadReport{Remaining: left, Limit: 20, Present: true}})
			return before, r.p.paceRate(l)
		}
		if _, each := book(Rejected, 0, s.OverloadWindow); each*float64(n) > 20.001 {
			t.Errorf("%d relays: after one refusal each they send %v a second together, limit 20", n, each*float64(n))
		}
		for _, left := range []float64{0, 0.2, 0.4} {
			if was, now := book(Delivered, left, s.OverloadWindow); math.Abs(now/was-1-left) > 0.001 {
				t.Errorf("%d relays: with %v of the allowance left the pace goes from %v to %v", n, left, was, now)
			}
		}
		if was, now := book(Delivered, 0, s.Tick); now < was*1.07 {
			t.Errorf("%d relays: a frequent caller goes from %v to %v with a success", n, was, now)
		}
		if was, now := book(Rejected, 0, s.Tick); now < was*0.72 {
			t.Errorf("%d relays: a frequent caller goes from %v to %v with a refusal", n, was, now)
		}
	}
}

// TestNoConnectionSpendsNoToken: a call that found no connection took nothing of the limit.
func TestNoConnectionSpendsNoToken(t *testing.T) {
	s := baseSettings()
	s.Relays = 80
	r := newRig(t, s, ready(1, 20))
	r.untilSend()
	began := r.now
	r.step(answer(r.sends[0], ConnectFailed))
	if len(r.sends) == 0 {
		r.untilSend()
	}
	if r.now > began+second {
		t.Errorf("the next call waits %d ms for a token", (r.now-began)/1000)
	}
}
