package policy

import (
	"math"
	"testing"
)

// In a small fleet each relay lets several messages that arrive together pass at once, in a large
// fleet only one: what all relays have saved up by the end of an outage must stay near the random
// variation of a second's calls.
func TestBurstSizeShrinksWithFleetSize(t *testing.T) {
	for _, c := range []struct{ relays, want int }{{2, 3}, {12, 1}, {80, 1}} {
		s := baseSettings()
		s.Relays = c.relays
		r := newRig(t, s, ready(1, 18))
		r.p.endpoints[1].route.window = 5
		r.step(r.message(0, 0), r.message(0, 0), r.message(0, 0))
		if len(r.sends) != c.want {
			t.Errorf("%d relays: %d of 3 calls sent at once", c.relays, len(r.sends))
		}
	}
}

// Relays whose calls are all rejected slow down to less than the limit together, however many they
// are.
func TestRejectionsBringFleetPaceBelowLimit(t *testing.T) {
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
			t.Errorf("%d relays together send %v calls a second, want 5 to the limit of 20", n, all)
		}
	}
}

// One rejection brings relays that rarely call down to the limit together, and the step up after a
// success is the fraction of the limit that its report said was left. A relay that calls often
// changes its pace in small steps.
func TestPaceStepGrowsWithTimeSinceLastStep(t *testing.T) {
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
			t.Errorf("%d relays: after one rejection each they together send %v calls a second, limit 20", n, each*float64(n))
		}
		for _, left := range []float64{0, 0.2, 0.4} {
			if was, now := book(Delivered, left, s.OverloadWindow); math.Abs(now/was-1-left) > 0.001 {
				t.Errorf("%d relays: a success with %v of the limit left changes the pace from %v to %v", n, left, was, now)
			}
		}
		if was, now := book(Delivered, 0, s.Tick); now < was*1.07 {
			t.Errorf("%d relays: a success changes the pace of a relay that calls often from %v to %v", n, was, now)
		}
		if was, now := book(Rejected, 0, s.Tick); now < was*0.72 {
			t.Errorf("%d relays: a rejection changes the pace of a relay that calls often from %v to %v", n, was, now)
		}
	}
}

// A call that found no connection did not count against the rate limit, so it must not cost a pace
// token.
func TestCallWithoutConnectionSpendsNoPaceToken(t *testing.T) {
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
		t.Errorf("the next call was sent only after %d ms", (r.now-began)/1000)
	}
}
