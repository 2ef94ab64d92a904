package policy

import (
	"math"
	"testing"
)

func TestDropProbabilityGrowsOnceRequestsExceedTwiceAccepts(t *testing.T) {
	for _, c := range []struct{ requests, accepts, want float64 }{
		{0, 0, 0},        // no history
		{10, 10, 0},      // all accepted
		{10, 5, 0},       // exactly K requests for each accept
		{20, 5, 6. / 21}, // more than K requests for each accept, with two accepts credited
		{1000, 0, 0.9},   // no accepts: the maximum
		{3, 0, 0},        // too few requests to prove anything
	} {
		if got := dropProbability(c.requests, c.accepts); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("dropProbability(%v, %v) = %v, want %v", c.requests, c.accepts, got, c.want)
		}
	}
}

// A request counts in the history whether or not it is dropped.
func TestDroppedRequestsAreCounted(t *testing.T) {
	r := newRig(t, baseSettings(), readyEntry(1, 10))
	route := r.p.endpoints[1].route
	drops := 0
	for range 200 {
		if r.p.drawDrop(route) {
			drops++
		}
	}
	if requests, _ := route.history.totals(r.now); requests != 200 || drops < 140 || drops > 195 {
		t.Fatalf("%v requests counted and %d dropped, want 200 and 140 to 195", requests, drops)
	}
}

// A message that throttling drops at its first attempt is rejected in the same step, with a time
// after which to retry.
func TestDroppedMessageIsRejectedWithRetryTime(t *testing.T) {
	r := newRig(t, baseSettings(), readyEntry(1, 1000))
	for range 200 {
		r.p.endpoints[1].route.history.recordRequest(r.now)
	}
	rejected := 0
	for range 50 {
		r.now += second / 100
		r.step(r.newMessage(0, 0))
		for _, a := range r.actions {
			if a.Kind == ActionReject {
				rejected++
				if a.Delay <= 0 {
					t.Fatalf("rejected without a retry time: %+v", a)
				}
			}
		}
		if len(r.sends) > 0 {
			r.step(attemptDone(r.sends[0], Delivered))
		}
		if len(r.p.pending) > 0 {
			t.Fatal("a message was neither sent nor rejected")
		}
	}
	if rejected < 25 {
		t.Errorf("%d of 50 messages rejected, want about 9 in 10", rejected)
	}
}
