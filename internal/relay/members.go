package relay

import (
	"slices"

	"plovershore/policy"
)

// members is what the loop keeps of its endpoints beside the map of all, so that
// neither the gauges nor a told wait walks the whole list.
type members struct {
	listed int                 // that discovery names
	byCell map[int][]*endpoint // all that are known, by destination
	// maybeUnavailable holds each endpoint that may be avoided now: all others are not. The
	// policy begins to avoid one with news of the list or of a call there, or to a
	// sibling; by time alone it only ceases to.
	maybeUnavailable map[*endpoint]bool
	sweptAt          policy.Time // when endpoints that left long ago were last looked for
}

// setListed books whether discovery names an endpoint.
func (r *Relay) setListed(ep *endpoint, listed bool) {
	if ep.isListed == listed {
		return
	}
	if ep.isListed = listed; listed {
		r.members.listed++
	} else {
		r.members.listed--
	}
}

// setCell books the destination that an endpoint serves.
func (r *Relay) setCell(ep *endpoint, cell int) {
	r.removeFromCell(ep)
	if r.members.byCell == nil {
		r.members.byCell = map[int][]*endpoint{}
	}
	ep.cell = cell
	r.members.byCell[cell] = append(r.members.byCell[cell], ep)
}

func (r *Relay) removeFromCell(ep *endpoint) {
	rest := slices.DeleteFunc(r.members.byCell[ep.cell], func(x *endpoint) bool { return x == ep })
	if len(rest) == 0 {
		delete(r.members.byCell, ep.cell)
	} else {
		r.members.byCell[ep.cell] = rest
	}
}

// checkAvailability has an endpoint looked at when the gauges are published next.
func (r *Relay) checkAvailability(ep *endpoint) {
	if r.members.maybeUnavailable == nil {
		r.members.maybeUnavailable = map[*endpoint]bool{}
	}
	r.members.maybeUnavailable[ep] = true
}

// checkAvailabilityOfCell does so for all that serve a destination.
func (r *Relay) checkAvailabilityOfCell(cell int) {
	for _, ep := range r.members.byCell[cell] {
		r.checkAvailability(ep)
	}
}

// checkAvailabilityOfAll does so for all, where what the policy knows comes from another.
func (r *Relay) checkAvailabilityOfAll() {
	for _, ep := range r.endpoints {
		r.checkAvailability(ep)
	}
}

// forgetRemoved drops the endpoints that left long ago: the list's comings and
// goings must not fill the memory.
func (r *Relay) forgetRemoved() {
	now := r.now()
	if now-r.members.sweptAt < removedEndpointSweepInterval {
		return
	}
	r.members.sweptAt = now
	for _, ep := range r.endpoints {
		if ep.isStopped && len(ep.calls) == 0 && now-ep.stoppedAt > removedEndpointRetention {
			r.forgetEndpoint(ep)
		}
	}
}

// forgetEndpoint drops an endpoint that left long ago.
func (r *Relay) forgetEndpoint(ep *endpoint) {
	r.setListed(ep, false)
	r.removeFromCell(ep)
	delete(r.members.maybeUnavailable, ep)
	r.pool.endpoints = slices.DeleteFunc(r.pool.endpoints, func(x *endpoint) bool { return x == ep })
	delete(r.endpoints, ep.id)
	delete(r.endpointsByNumber, ep.number)
}

// countUnavailable counts the endpoints on the list that get nothing now but trial calls
// at most, and drops from the doubtful ones those that do.
func (r *Relay) countUnavailable(now policy.Time) int {
	n := 0
	for ep := range r.members.maybeUnavailable {
		switch {
		case !ep.isListed:
			delete(r.members.maybeUnavailable, ep)
		case ep.isStopped || r.policy.Unavailable(ep.number, now):
			n++
		default:
			delete(r.members.maybeUnavailable, ep)
		}
	}
	return n
}
