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
		r := newRig(t, s, readyEntry(1, 18))
		r.p.endpoints[1].route.window = 5
		r.step(r.newMessage(0, 0), r.newMessage(0, 0), r.newMessage(0, 0))
		if len(r.sends) != c.want {
			t.Errorf("%d relays: %d of 3 calls sent at once", c.relays, len(r.sends))
		}
	}
}

// Relays whose calls are all rejected slow down to less than the limit together, however many they
// are.
func TestRejectionsBringFleetPaceBelowLimit(t *testing.T) {
	for _, relays := range []int{2, 80, 400} {
		s := baseSettings()
		s.Relays = relays
		r := newRig(t, s, readyEntry(1, 20))
		endpoint := r.p.endpoints[1]
		for range 100 {
			r.p.observeCall(&callState{endpoint: endpoint, sentAt: r.now, messages: []*messageState{{class: &r.p.settings.Classes[0]}}},
				&Event{Kind: EventAttemptDone, Outcome: Rejected, Load: LoadReport{Limit: 20, Present: true}})
		}
		if fleetPace := r.p.paceRate(endpoint.route) * float64(relays); fleetPace > 20 || fleetPace < 5 {
			t.Errorf("%d relays together send %v calls a second, want 5 to the limit of 20", relays, fleetPace)
		}
	}
}

// One rejection brings relays that rarely call down to the limit together, and the step up after a
// success is the fraction of the limit that its report said was left. A relay that calls often
// changes its pace in small steps.
func TestPaceStepGrowsWithTimeSinceLastStep(t *testing.T) {
	for _, relays := range []int{2, 80, 300} {
		s := baseSettings()
		s.Relays = relays
		r := newRig(t, s, readyEntry(1, 20))
		route := r.p.endpoints[1].route
		observe := func(outcome Outcome, remaining float64, elapsed Time) (before, after float64) {
			r.now += elapsed
			r.step()
			route.isPaceLimited, before = true, r.p.paceRate(route)
			r.p.observeCall(&callState{endpoint: r.p.endpoints[1], sentAt: r.now, messages: []*messageState{{class: &r.p.settings.Classes[0]}}},
				&Event{Kind: EventAttemptDone, Outcome: outcome, Load: LoadReport{Remaining: remaining, Limit: 20, Present: true}})
			return before, r.p.paceRate(route)
		}
		if _, pace := observe(Rejected, 0, s.OverloadWindow); pace*float64(relays) > 20.001 {
			t.Errorf("%d relays: after one rejection each they together send %v calls a second, limit 20", relays, pace*float64(relays))
		}
		for _, remaining := range []float64{0, 0.2, 0.4} {
			if before, after := observe(Delivered, remaining, s.OverloadWindow); math.Abs(after/before-1-remaining) > 0.001 {
				t.Errorf("%d relays: a success with %v of the limit left changes the pace from %v to %v", relays, remaining, before, after)
			}
		}
		if before, after := observe(Delivered, 0, s.Tick); after < before*1.07 {
			t.Errorf("%d relays: a success changes the pace of a relay that calls often from %v to %v", relays, before, after)
		}
		if before, after := observe(Rejected, 0, s.Tick); after < before*0.72 {
			t.Errorf("%d relays: a rejection changes the pace of a relay that calls often from %v to %v", relays, before, after)
		}
	}
}

// A call that found no connection did not count against the rate limit, so it must not cost a pace
// token.
func TestCallWithoutConnectionSpendsNoPaceToken(t *testing.T) {
	s := baseSettings()
	s.Relays = 80
	r := newRig(t, s, readyEntry(1, 20))
	r.stepUntilSend()
	failedAt := r.now
	r.step(attemptDone(r.sends[0], ConnectFailed))
	if len(r.sends) == 0 {
		r.stepUntilSend()
	}
	if r.now > failedAt+second {
		t.Errorf("the next call was sent only after %d ms", (r.now-failedAt)/1000)
	}
}
