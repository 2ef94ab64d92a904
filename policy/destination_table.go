package policy

import "slices"

// compareDestinationID orders Policy.destinations.
func compareDestinationID(dest *destination, id int) int { return dest.id - id }

// destination returns the state of a destination and creates it if it doesn't exist yet.
func (p *Policy) destination(id int) *destination {
	index, ok := slices.BinarySearchFunc(p.destinations, id, compareDestinationID)
	if !ok {
		dest := &destination{id: id, kind: DestinationKind{MaxBatch: 1}}
		p.destinations = slices.Insert(p.destinations, index, dest)
	}
	return p.destinations[index]
}

// markMaybeUnused has a destination without endpoints forgotten at the end of the step, if it has no
// message then. Clients name destinations, so the number of such ones is theirs to choose.
func (p *Policy) markMaybeUnused(dest *destination) {
	if !dest.wasListed && !dest.maybeUnused {
		dest.maybeUnused = true
		p.maybeUnused = append(p.maybeUnused, dest)
	}
}

// forgetUnusedDestinations deletes the state of destinations that never had an endpoint and have no
// message left.
func (p *Policy) forgetUnusedDestinations() {
	for _, dest := range p.maybeUnused {
		dest.maybeUnused = false
		if dest.wasListed || dest.pendingCount > 0 || dest.spilledCount > 0 {
			continue
		}
		index, ok := slices.BinarySearchFunc(p.destinations, dest.id, compareDestinationID)
		if ok && p.destinations[index] == dest {
			p.destinations = slices.Delete(p.destinations, index, index+1)
		}
	}
	p.maybeUnused = p.maybeUnused[:0]
}
