package leader

import "time"

// driftMargin is the fraction of the lease duration by which a candidate's lease ends
// before that of the list service. It allows for a clock of the candidate that runs
// slow and for a watchdog timer that fires late.
const driftMargin = 0.2

// Lease calculates how long a process may assume that its session is valid. It reads
// no clock: callers pass times as offsets on a monotonic clock. The zero value is an
// expired lease. A Lease is not safe for concurrent use.
type Lease struct {
	TTL       time.Duration // lifetime of the session without renewal at the list service
	expiresAt time.Duration
	lost      bool
}

// Renew extends the lease after the list service has confirmed a renewal. The lease is
// counted from sentAt, when the request was sent: the list service counts from when it
// received the request, which is later.
func (l *Lease) Renew(sentAt time.Duration) {
	l.expiresAt = max(l.expiresAt, sentAt+time.Duration(float64(l.TTL)*(1-driftMargin)))
}

// Invalidate ends the lease for good, for a session that the list service has ended.
func (l *Lease) Invalidate() { l.lost = true }

// Remaining returns how long the lease is still valid at the time now, or zero if it
// has ended.
func (l *Lease) Remaining(now time.Duration) time.Duration {
	if l.lost {
		return 0
	}
	return max(0, l.expiresAt-now)
}
