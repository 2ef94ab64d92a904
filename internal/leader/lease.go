package leader

import "time"

// driftMargin is the fraction of the lease duration by which the candidate counts
// its lease shorter than the list service does. It covers a clock that runs slow
// and a watchdog that fires late.
const driftMargin = 0.2

// Lease counts how long a session may be taken for valid. It reads no clock: times
// are offsets on any clock that only goes forward. The zero value has expired. It
// is not safe for concurrent use.
type Lease struct {
	TTL       time.Duration // as granted by the list service
	expiresAt time.Duration
	lost      bool
}

// Renew extends the lease after the list service has confirmed a renewal. sentAt
// is when the renewal was requested: the list service counts from a later moment.
func (l *Lease) Renew(sentAt time.Duration) {
	l.expiresAt = max(l.expiresAt, sentAt+time.Duration(float64(l.TTL)*(1-driftMargin)))
}

// Invalidate ends the lease: the list service does not know the session any more.
func (l *Lease) Invalidate() { l.lost = true }

// Remaining returns how long the lease is still valid, and zero after its end.
func (l *Lease) Remaining(now time.Duration) time.Duration {
	if l.lost {
		return 0
	}
	return max(0, l.expiresAt-now)
}
