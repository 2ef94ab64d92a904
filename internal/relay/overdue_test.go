package relay

import (
	"math/rand/v2"
	"testing"

	"plovershore/policy"
)

// The overdue count must equal a count over all pending messages, except that messages whose
// grace time ended less than one span ago may or may not be counted.
func TestOverdueCountMatchesFullCount(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		var o overdueCounter
		type held struct{ end, span policy.Time }
		var pending []held
		for now := policy.Time(1e9); now < 1030e6; now += 1 + rng.Int64N(60e3) {
			if n := len(pending); n > 0 && rng.IntN(2) == 0 {
				i := rng.IntN(n)
				o.remove(pending[i].span)
				pending[i] = pending[n-1]
				pending = pending[:n-1]
			} else {
				end := now + rng.Int64N(4e6)
				pending = append(pending, held{end, o.add(end)})
			}
			wantMin, wantMax := 0, 0
			for _, x := range pending {
				if x.end+overdueGrace+overdueSpan <= now {
					wantMin++
				}
				if x.end+overdueGrace <= now {
					wantMax++
				}
			}
			if n := o.count(now); n < wantMin || n > wantMax {
				t.Fatalf("seed %d at %d: %d overdue, want %d to %d by a full count", seed, now, n, wantMin, wantMax)
			}
		}
		for _, x := range pending {
			o.remove(x.span)
		}
		if len(o.pending) > 0 {
			t.Errorf("seed %d: %d spans left after all messages were removed", seed, len(o.pending))
		}
	}
}
