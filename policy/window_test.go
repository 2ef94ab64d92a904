package policy

import "testing"

// The window starts at one, grows by one with each delivery, and halves on a rejection or a
// time-out.
func TestWindowGrowsWithDeliveriesAndHalvesOnOverload(t *testing.T) {
	r := newRig(t, baseSettings(), readyEntry(1, 1000))
	route := r.p.endpoints[1].route
	var burst []Event
	for range 20 {
		burst = append(burst, r.newMessage(0, 0))
	}
	r.step(burst...)
	if len(r.sends) != 1 {
		t.Fatalf("%d calls in the first step, want 1", len(r.sends))
	}
	r.now += second / 10
	r.step(attemptDone(r.sends[0], Delivered))
	if len(r.sends) != 2 || route.window != 2 {
		t.Fatalf("%d calls after a delivery, window %v, want 2 and 2", len(r.sends), route.window)
	}
	for _, outcome := range []Outcome{Rejected, TimedOut} {
		route.window = 6
		r.now += second / 10
		r.p.observeCall(&callState{endpoint: r.p.endpoints[1], sentAt: r.now, messages: []*messageState{{class: &r.p.settings.Classes[0]}}}, &Event{Kind: EventAttemptDone, Outcome: outcome})
		if route.window != 3 {
			t.Errorf("window after outcome %d: %v, want 3", outcome, route.window)
		}
	}
}

// One destination takes at most three quarters of the call slots, and half of them while it fails.
func TestOneDestinationCannotTakeAllSlots(t *testing.T) {
	for _, failing := range []bool{false, true} {
		r := newRig(t, baseSettings(), readyEntry(1, 1000))
		route := r.p.endpoints[1].route
		route.window = 100
		want := 6
		if failing {
			r.p.endpoints[1].failureScore, want = 0.35, 4
		}
		for range 10 {
			r.step(r.newMessage(0, 0), r.newMessage(0, 0))
		}
		if route.dest.callsInFlight != want {
			t.Errorf("failing %v: %d of 8 call slots taken, want %d", failing, route.dest.callsInFlight, want)
		}
	}
}
