package relay

import (
	"math"
	"math/bits"
	"time"

	"plovershore/policy"
)

// A middlebox between a relay and an endpoint may drop an idle connection long
// before the keep-alive of the settings, without notice: the next call on it is
// reset after it was written, and may then have run. How long a connection may
// stand idle is therefore learned from the calls.

const (
	minTrackedIdle  = 64 * time.Millisecond // a connection idle for less is as good as one in use
	idleBucketCount = 12                    // each covers twice the idle time of the one before, the last about two minutes and more
	resetWeight     = 0.25                  // of the newest call in the moving average of its bucket
	// maxResetRate is the rate of resets above which connections idle for so long
	// are not used: one reset in a bucket exceeds it.
	maxResetRate = 0.2
	// resetRateHalfLife is how fast an observation loses weight, so that longer
	// idle times are tried again.
	resetRateHalfLife = 10 * time.Second
)

// idleResetTracker keeps the rate of calls that were reset, by how long their
// connection had been idle. The zero value is ready to use. It is not safe for
// concurrent use.
type idleResetTracker struct {
	resetRates [idleBucketCount]float64     // moving averages as of updatedAt
	updatedAt  [idleBucketCount]policy.Time // of the last call
}

// bucketOf returns the bucket of an idle time, or -1 for one too short to matter.
func bucketOf(idle time.Duration) int {
	return min(bits.Len64(uint64(idle/minTrackedIdle)), idleBucketCount) - 1
}

// resetRate is the rate of a bucket, decayed by the time since its last call.
func (t *idleResetTracker) resetRate(bucket int, now policy.Time) float64 {
	age := time.Duration(now-t.updatedAt[bucket]) * time.Microsecond
	return t.resetRates[bucket] * math.Exp2(-age.Seconds()/resetRateHalfLife.Seconds())
}

// record takes the result of a call on a connection that had been idle so long.
func (t *idleResetTracker) record(idle time.Duration, isReset bool, now policy.Time) {
	bucket := bucketOf(idle)
	if bucket < 0 {
		return
	}
	rate := t.resetRate(bucket, now) * (1 - resetWeight)
	if isReset {
		rate += resetWeight
	}
	t.resetRates[bucket], t.updatedAt[bucket] = rate, now
}

// maxIdle is how long a connection may be idle and still be used, at most the
// configured time.
func (t *idleResetTracker) maxIdle(configured time.Duration, now policy.Time) time.Duration {
	for bucket := range idleBucketCount {
		if t.resetRate(bucket, now) > maxResetRate {
			return min(configured, minTrackedIdle<<bucket)
		}
	}
	return configured
}
