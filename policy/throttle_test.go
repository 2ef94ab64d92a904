package policy

import (
	"math"
	"testing"
)

func TestDropChance(t *testing.T) {
	for _, c := range []struct{ req, acc, want float64 }{
		{0, 0, 0},        // no history
		{10, 10, 0},      // all accepted
		{10, 5, 0},       // just K times the accepts
		{20, 5, 6. / 21}, // past it, two accepts to its credit
		{1000, 0, 0.9},   // dead: the cap
		{3, 0, 0},        // hardly asked: that tells nothing
	} {
		if got := dropProbability(c.req, c.acc); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("dropChance(%v, %v) = %v, want %v", c.req, c.acc, got, c.want)
		}
	}
}

// TestLocalDropsCount: a draw is a request whether or not it passes.
func TestLocalDropsCount(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 10))
	l := r.p.endpoints[1].route
	drops := 0
	for range 200 {
		if r.p.drawDrop(l) {
			drops++
		}
	}
	if req, _ := l.history.totals(r.now); req != 200 || drops < 140 || drops > 195 {
		t.Fatalf("%v requests counted, %d drops of 200", req, drops)
	}
}

// TestDropIsAnswered: a first try that is dropped is refused in the same turn, with a time to come again.
func TestDropIsAnswered(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 1000))
	for range 200 {
		r.p.endpoints[1].route.history.recordRequest(r.now)
	}
	refused := 0
	for range 50 {
		r.now += second / 100
		r.step(r.message(0, 0))
		for _, a := range r.acts {
			if a.Kind == ActionReject {
				refused++
				if a.Delay <= 0 {
					t.Fatalf("refused with no time to come again: %+v", a)
				}
			}
		}
		if len(r.sends) > 0 {
			r.step(answer(r.sends[0], Delivered))
		}
		if len(r.p.pending) > 0 {
			t.Fatal("a message was neither sent nor answered")
		}
	}
	if refused < 25 {
		t.Errorf("%d of 50 refused, want about 9 in 10", refused)
	}
}
