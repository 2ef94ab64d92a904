package relay

import (
	"math/rand/v2"
	"testing"

	"plovershore/policy"
)

// The overdue count must equal a count over all pending messages, except for messages whose
// grace time ended less than one span ago.
func TestOverdueCountMatchesFullCount(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		var o overdueCounter
		type held struct{ end, span policy.Time }
		var all []held
		for now := policy.Time(1e9); now < 1030e6; now += 1 + rng.Int64N(60e3) {
			if n := len(all); n > 0 && rng.IntN(2) == 0 {
				i := rng.IntN(n)
				o.remove(all[i].span)
				all[i] = all[n-1]
				all = all[:n-1]
			} else {
				end := now + rng.Int64N(4e6)
				all = append(all, held{end, o.add(end)})
			}
			least, most := 0, 0
			for _, x := range all {
				if x.end+overdueGrace+overdueSpan <= now {
					least++
				}
				if x.end+overdueGrace <= now {
					most++
				}
			}
			if n := o.count(now); n < least || n > most {
				t.Fatalf("seed %d at %d: %d overdue, want %d to %d by a full count", seed, now, n, least, most)
			}
		}
		for _, x := range all {
			o.remove(x.span)
		}
		if len(o.pending) > 0 {
			t.Errorf("seed %d: %d spans left after all messages were removed", seed, len(o.pending))
		}
	}
}
