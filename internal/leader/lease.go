// Package leader has processes hold duties that the list service grants. It
// promises that work runs only while its holder may believe itself the holder,
// that every effect carries the grant's token, and that a duty is given up in
// order where there is time for it. That an older token is refused is promised by
// whatever takes the effect: the list service (package registry), a folder
// (Fence). What the work is, is its user's.
//
// Sources: Burrows, "The Chubby lock service" (2006), for sequencers and sessions;
// Gray and Cheriton, "Leases" (1989), for counting a lease from before it is asked.
package leader

import "time"

// drift is the part of a time to live by which the holder's count is shorter than
// the store's: its clock may run so much slower, and its watchdog may be late.
const drift = 0.2

// Lease counts how long a session may be believed in. It reads no clock: moments
// are counts of any clock that only goes forward. The zero value is believed in
// not at all.
type Lease struct {
	TTL   time.Duration
	until time.Duration
	lost  bool
}

// Renew books that the store has answered a renewal that was asked at a moment.
func (l *Lease) Renew(asked time.Duration) {
	l.until = max(l.until, asked+time.Duration(float64(l.TTL)*(1-drift)))
}

// Invalidate ends it: the store does not know the session any more.
func (l *Lease) Invalidate() { l.lost = true }

// Remaining is how long it is still believed in; nothing where it is not.
func (l *Lease) Remaining(now time.Duration) time.Duration {
	if l.lost {
		return 0
	}
	return max(0, l.until-now)
}
