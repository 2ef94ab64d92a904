package relay

import (
	"math"
	"math/bits"
	"time"

	"plovershore/policy"
)

// Something between a relay and an endpoint may let an idle connection die
// long before the keep-alive of the settings, and say nothing: the next call
// on it is reset once it is written, and may then have run. How long a
// connection may stand idle is therefore learned from the calls themselves.

const (
	idleLeast   = 64 * time.Millisecond // a connection idle for less is as good as one in use
	idleSteps   = 12                    // each twice as long as the one before
	idleWeight  = 0.25                  // of the newest call in the share of resets
	idleBad     = 0.2                   // share of resets above which a connection so old is not used
	idleHalving = 10 * time.Second      // of what was seen, so that it is tried again
)

// idleWatch keeps the share of calls that were reset, by how long their
// connection had stood idle before. The loop owns it.
type idleWatch struct {
	shares [idleSteps]float64
	at     [idleSteps]policy.Time
}

// step is the place of an idle time, or -1 for one too short to matter.
func (w *idleWatch) step(idle time.Duration) int {
	return min(bits.Len64(uint64(idle/idleLeast)), idleSteps) - 1
}

// share is the share of a step, less what time has taken from it.
func (w *idleWatch) share(i int, now policy.Time) float64 {
	age := time.Duration(now-w.at[i]) * time.Microsecond
	return w.shares[i] * math.Exp2(-age.Seconds()/idleHalving.Seconds())
}

// book takes in how a call went on a connection that had been idle so long.
func (w *idleWatch) book(idle time.Duration, reset bool, now policy.Time) {
	i := w.step(idle)
	if i < 0 {
		return
	}
	s := w.share(i, now) * (1 - idleWeight)
	if reset {
		s += idleWeight
	}
	w.shares[i], w.at[i] = s, now
}

// limit is how long a connection may stand idle and still be used, at most so
// long as the settings have it.
func (w *idleWatch) limit(most time.Duration, now policy.Time) time.Duration {
	for i := range idleSteps {
		if w.share(i, now) > idleBad {
			return min(most, idleLeast<<i)
		}
	}
	return most
}
