package relay

import (
	"slices"
	"time"

	"plovershore/policy"
)

// timerQueue holds the expiry times of the timers that the policy requested, earliest
// first. Timers with the same time expire as one.
type timerQueue []policy.Time

func (q *timerQueue) add(expiry policy.Time) {
	if i, found := slices.BinarySearch(*q, expiry); !found {
		*q = slices.Insert(*q, i, expiry)
	}
}

// untilNext returns the time until the first timer, or an hour if there is none.
func (q timerQueue) untilNext(now policy.Time) time.Duration {
	if len(q) == 0 {
		return time.Hour
	}
	return time.Duration(q[0]-now+1) * time.Microsecond
}

// removeDue removes expired timers and reports whether there were any.
func (q *timerQueue) removeDue(now policy.Time) bool {
	n := 0
	for n < len(*q) && (*q)[n] <= now {
		n++
	}
	if n > 0 {
		*q = slices.Delete(*q, 0, n)
	}
	return n > 0
}
