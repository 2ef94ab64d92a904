package relay

import (
	"math"
	"math/bits"
	"time"

	"plovershore/policy"
)

// A middlebox between a relay and an endpoint may silently drop an idle connection
// long before the keep-alive time in the settings. The next call on the connection
// is then reset after it was written, and may have run. The relay therefore learns
// from the results of its calls how long a connection may be idle.

const (
	minTrackedIdle  = 64 * time.Millisecond // shorter idle times are not tracked, like those of a connection in use
	idleBucketCount = 12                    // each bucket covers twice the range of the previous one; the last one starts at about two minutes
	resetWeight     = 0.25                  // weight of the newest call in the moving average of its bucket
	// maxResetRate is the rate of resets above which connections with the idle time
	// of a bucket are not used. A single recent reset in a bucket exceeds it.
	maxResetRate = 0.2
	// resetRateHalfLife is the time in which a rate halves if there are no calls, so
	// that longer idle times are tried again.
	resetRateHalfLife = 10 * time.Second
)

// idleResetTracker tracks the rate of calls that were reset, by how long their
// connections had been idle. The zero value is ready to use. It is not safe for
// concurrent use.
type idleResetTracker struct {
	resetRates [idleBucketCount]float64     // moving averages as of updatedAt
	updatedAt  [idleBucketCount]policy.Time // time of the last call in the bucket
}

// bucketOf returns the bucket of an idle time, or -1 if it is less than minTrackedIdle.
func bucketOf(idle time.Duration) int {
	return min(bits.Len64(uint64(idle/minTrackedIdle)), idleBucketCount) - 1
}

// resetRate returns the rate of a bucket, decayed by the time since its last call.
func (t *idleResetTracker) resetRate(bucket int, now policy.Time) float64 {
	age := time.Duration(now-t.updatedAt[bucket]) * time.Microsecond
	return t.resetRates[bucket] * math.Exp2(-age.Seconds()/resetRateHalfLife.Seconds())
}

// record updates the rates with a call on a connection that had been idle for the given
// time.
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

// maxIdle returns how long a connection may be idle and still be used. It is at most the
// configured time.
func (t *idleResetTracker) maxIdle(configured time.Duration, now policy.Time) time.Duration {
	for bucket := range idleBucketCount {
		if t.resetRate(bucket, now) > maxResetRate {
			return min(configured, minTrackedIdle<<bucket)
		}
	}
	return configured
}
