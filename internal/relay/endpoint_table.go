package relay

import (
	"slices"

	"plovershore/policy"
)

// Endpoints that discovery's list no longer has, or has as draining, are kept for a while.
const (
	removedEndpointRetention     = policy.Time(600e6) // minimum time that an endpoint is kept after calls to it were stopped
	removedEndpointSweepInterval = policy.Time(60e6)  // not at each update of the list, since a sweep visits all endpoints
)

// endpointTable holds the endpoints that the loop knows. Its indexes let the gauges and a
// Retry-After be processed without visiting all endpoints.
type endpointTable struct {
	byID       map[string]*endpoint
	byNumber   map[policy.Endpoint]*endpoint
	byCell     map[int][]*endpoint // endpoints by destination
	lastNumber policy.Endpoint
	listed     int // number of endpoints in discovery's list
	// maybeUnavailable holds all endpoints that the policy might avoid now. The policy
	// starts to avoid an endpoint only after a list update or after the result of a call
	// to it or to another endpoint of its destination. It may stop avoiding one without
	// an event, as time passes.
	maybeUnavailable map[*endpoint]bool
	sweptAt          policy.Time // time of the last sweep of forgetRemovedEndpoints
}

func newEndpointTable() endpointTable {
	return endpointTable{byID: map[string]*endpoint{}, byNumber: map[policy.Endpoint]*endpoint{},
		byCell: map[int][]*endpoint{}, maybeUnavailable: map[*endpoint]bool{}}
}

// nextNumber returns a number that no endpoint had before.
func (t *endpointTable) nextNumber() policy.Endpoint {
	t.lastNumber++
	return t.lastNumber
}

// numberOf returns the policy's number of an endpoint, or a new number for an unknown id.
func (t *endpointTable) numberOf(id string) policy.Endpoint {
	if ep := t.byID[id]; ep != nil {
		return ep.number
	}
	return t.nextNumber()
}

// setListed records whether an endpoint is in discovery's list.
func (t *endpointTable) setListed(ep *endpoint, listed bool) {
	if ep.isListed == listed {
		return
	}
	if ep.isListed = listed; listed {
		t.listed++
	} else {
		t.listed--
	}
}

// setCell records the destination that an endpoint serves.
func (t *endpointTable) setCell(ep *endpoint, cell int) {
	t.removeFromCell(ep)
	ep.cell = cell
	t.byCell[cell] = append(t.byCell[cell], ep)
}

func (t *endpointTable) removeFromCell(ep *endpoint) {
	remaining := slices.DeleteFunc(t.byCell[ep.cell], func(x *endpoint) bool { return x == ep })
	if len(remaining) == 0 {
		delete(t.byCell, ep.cell)
	} else {
		t.byCell[ep.cell] = remaining
	}
}

// checkAvailability has an endpoint checked when the gauges are next published.
func (t *endpointTable) checkAvailability(ep *endpoint) { t.maybeUnavailable[ep] = true }

// checkAvailabilityOfCell calls checkAvailability for all endpoints of a destination.
func (t *endpointTable) checkAvailabilityOfCell(cell int) {
	for _, ep := range t.byCell[cell] {
		t.checkAvailability(ep)
	}
}

// checkAvailabilityOfAll calls checkAvailability for all endpoints, after the policy's
// state was replaced.
func (t *endpointTable) checkAvailabilityOfAll() {
	for _, ep := range t.byID {
		t.checkAvailability(ep)
	}
}

// forgetRemovedEndpoints drops endpoints without calls in flight that have been removed or
// draining for longer than removedEndpointRetention, so that a list with changing members
// does not fill the memory.
func (r *Relay) forgetRemovedEndpoints() {
	now := r.clock.now()
	if now-r.endpoints.sweptAt < removedEndpointSweepInterval {
		return
	}
	r.endpoints.sweptAt = now
	for _, ep := range r.endpoints.byID {
		if ep.isStopped && len(ep.calls) == 0 && now-ep.stoppedAt > removedEndpointRetention {
			r.forgetEndpoint(ep)
		}
	}
}

// forgetEndpoint removes an endpoint from the table and from the connection pool.
func (r *Relay) forgetEndpoint(ep *endpoint) {
	r.endpoints.setListed(ep, false)
	r.endpoints.removeFromCell(ep)
	delete(r.endpoints.maybeUnavailable, ep)
	r.connPool.endpoints = slices.DeleteFunc(r.connPool.endpoints, func(x *endpoint) bool { return x == ep })
	delete(r.endpoints.byID, ep.id)
	delete(r.endpoints.byNumber, ep.number)
}

// countUnavailable counts the listed endpoints that get no calls now, except perhaps trial
// calls. An endpoint that gets calls is not checked again until checkAvailability.
func (r *Relay) countUnavailable(now policy.Time) int {
	count := 0
	for ep := range r.endpoints.maybeUnavailable {
		switch {
		case !ep.isListed:
			delete(r.endpoints.maybeUnavailable, ep)
		case ep.isStopped || r.policy.Unavailable(ep.number, now):
			count++
		default:
			delete(r.endpoints.maybeUnavailable, ep)
		}
	}
	return count
}
