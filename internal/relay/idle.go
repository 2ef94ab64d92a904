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
	minTrackedIdle    = 64 * time.Millisecond // a connection idle for less is as good as one in use
	idleBucketCount   = 12                    // each twice as long as the one before
	resetWeight       = 0.25                  // of the newest call in the share of resets
	maxResetRate      = 0.2                   // share of resets above which a connection so old is not used
	resetRateHalfLife = 10 * time.Second      // of what was seen, so that it is tried again
)

// idleResetTracker keeps the share of calls that were reset, by how long their
// connection had stood idle before. The loop owns it.
type idleResetTracker struct {
	resetRates [idleBucketCount]float64
	updatedAt  [idleBucketCount]policy.Time
}

// bucket is the place of an idle time, or -1 for one too short to matter.
func (w *idleResetTracker) bucket(idle time.Duration) int {
	return min(bits.Len64(uint64(idle/minTrackedIdle)), idleBucketCount) - 1
}

// resetRate is the share of a step, less what time has taken from it.
func (w *idleResetTracker) resetRate(i int, now policy.Time) float64 {
	age := time.Duration(now-w.updatedAt[i]) * time.Microsecond
	return w.resetRates[i] * math.Exp2(-age.Seconds()/resetRateHalfLife.Seconds())
}

// record takes in how a call went on a connection that had been idle so long.
func (w *idleResetTracker) record(idle time.Duration, reset bool, now policy.Time) {
	i := w.bucket(idle)
	if i < 0 {
		return
	}
	s := w.resetRate(i, now) * (1 - resetWeight)
	if reset {
		s += resetWeight
	}
	w.resetRates[i], w.updatedAt[i] = s, now
}

// maxIdle is how long a connection may stand idle and still be used, at most so
// long as the settings have it.
func (w *idleResetTracker) maxIdle(configured time.Duration, now policy.Time) time.Duration {
	for i := range idleBucketCount {
		if w.resetRate(i, now) > maxResetRate {
			return min(configured, minTrackedIdle<<i)
		}
	}
	return configured
}
