package policy

// clientReleaseDelay is the time from when the relay begins to report that it is draining until it
// closes its clients' connections: it takes a while until all clients know of the drain.
const clientReleaseDelay = 6 * second / 10

// ClientDrain decides when a process of a relay sends its clients away. Messages that the relay
// holds or still receives are delivered as usual. A drain is no part of Policy: during an upgrade
// both processes of a relay have clients, and only one of them has a policy that decides. The zero
// value accepts clients. A ClientDrain is not safe for concurrent use.
type ClientDrain struct {
	isActive       bool
	releasePending bool
	releaseAt      Time // when the clients' connections are to be closed, while releasePending
}

// Begin starts a drain. It reports false if the process is draining already.
func (d *ClientDrain) Begin(now Time) bool {
	if d.isActive {
		return false
	}
	d.isActive, d.releasePending, d.releaseAt = true, true, now+clientReleaseDelay
	return true
}

// Inherit continues a drain that another process of the relay has begun. This process has no
// clients yet, so they are released at once.
func (d *ClientDrain) Inherit(now Time) {
	d.isActive, d.releasePending, d.releaseAt = true, true, now
}

// End has the process accept clients again. It reports false if the process was not draining.
func (d *ClientDrain) End() bool {
	wasActive := d.isActive
	*d = ClientDrain{}
	return wasActive
}

// IsActive reports whether the process is draining.
func (d *ClientDrain) IsActive() bool { return d.isActive }

// ReleaseClients reports, once for each drain, that the clients' connections are to be closed now,
// each between two requests.
func (d *ClientDrain) ReleaseClients(now Time) bool {
	if !d.releasePending || now < d.releaseAt {
		return false
	}
	d.releasePending = false
	return true
}

// NextRelease returns when ReleaseClients is due; ok is false if it is not awaited.
func (d *ClientDrain) NextRelease() (at Time, ok bool) { return d.releaseAt, d.releasePending }
