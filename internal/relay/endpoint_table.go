package relay

import (
	"slices"

	"plovershore/policy"
)

// Endpoints that left discovery's list are remembered for a while.
const (
	removedEndpointRetention     = policy.Time(600e6) // at least
	removedEndpointSweepInterval = policy.Time(60e6)  // so that an update of the list doesn't cost a walk over all
)

// endpointTable holds the endpoints that the loop knows, with indexes so that neither
// the gauges nor a Retry-After walks the whole list.
type endpointTable struct {
	byID       map[string]*endpoint
	byNumber   map[policy.Endpoint]*endpoint
	byCell     map[int][]*endpoint // by destination
	lastNumber policy.Endpoint
	listed     int // how many discovery's list names
	// maybeUnavailable holds each endpoint that the policy may avoid now; it avoids no
	// other. The policy begins to avoid one with an update of the list or of a call
	// there, or to a sibling; by time alone it only ceases to.
	maybeUnavailable map[*endpoint]bool
	sweptAt          policy.Time // when removed endpoints were last looked for
}

func newEndpointTable() endpointTable {
	return endpointTable{byID: map[string]*endpoint{}, byNumber: map[policy.Endpoint]*endpoint{},
		byCell: map[int][]*endpoint{}, maybeUnavailable: map[*endpoint]bool{}}
}

// nextNumber gives a number that no endpoint had before.
func (t *endpointTable) nextNumber() policy.Endpoint {
	t.lastNumber++
	return t.lastNumber
}

// numberOf gives the policy's number of an endpoint, listed or not.
func (t *endpointTable) numberOf(id string) policy.Endpoint {
	if ep := t.byID[id]; ep != nil {
		return ep.number
	}
	return t.nextNumber()
}

// setListed records whether discovery's list names an endpoint.
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
	rest := slices.DeleteFunc(t.byCell[ep.cell], func(x *endpoint) bool { return x == ep })
	if len(rest) == 0 {
		delete(t.byCell, ep.cell)
	} else {
		t.byCell[ep.cell] = rest
	}
}

// checkAvailability has an endpoint checked when the gauges are published next.
func (t *endpointTable) checkAvailability(ep *endpoint) { t.maybeUnavailable[ep] = true }

// checkAvailabilityOfCell does so for all that serve a destination.
func (t *endpointTable) checkAvailabilityOfCell(cell int) {
	for _, ep := range t.byCell[cell] {
		t.checkAvailability(ep)
	}
}

// checkAvailabilityOfAll does so for all, where the policy's state was replaced.
func (t *endpointTable) checkAvailabilityOfAll() {
	for _, ep := range t.byID {
		t.checkAvailability(ep)
	}
}

// forgetRemoved drops the endpoints that were removed long ago: a list whose members
// change must not fill the memory.
func (r *Relay) forgetRemoved() {
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

// forgetEndpoint drops an endpoint that was removed long ago.
func (r *Relay) forgetEndpoint(ep *endpoint) {
	r.endpoints.setListed(ep, false)
	r.endpoints.removeFromCell(ep)
	delete(r.endpoints.maybeUnavailable, ep)
	r.pool.endpoints = slices.DeleteFunc(r.pool.endpoints, func(x *endpoint) bool { return x == ep })
	delete(r.endpoints.byID, ep.id)
	delete(r.endpoints.byNumber, ep.number)
}

// countUnavailable counts the listed endpoints that get nothing now but trial calls at
// most. Those that do get calls need no further check.
func (r *Relay) countUnavailable(now policy.Time) int {
	n := 0
	for ep := range r.endpoints.maybeUnavailable {
		switch {
		case !ep.isListed:
			delete(r.endpoints.maybeUnavailable, ep)
		case ep.isStopped || r.policy.Unavailable(ep.number, now):
			n++
		default:
			delete(r.endpoints.maybeUnavailable, ep)
		}
	}
	return n
}
