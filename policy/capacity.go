package policy

import "cmp"

// estimateCapacity is the number of calls a second that a route accepts from all relays: the
// reported limit, else the nominal rate, else an estimate from the accepts of this relay.
func (p *Policy) estimateCapacity(route *routeState) float64 {
	observed := max(route.history.acceptRate(p.now)*float64(p.settings.Relays), 1)
	return cmp.Or(route.reportedLimit, route.nominalRate, observed)
}

// lowestReportedLimit is the lowest limit that destinations of the same kind have reported; 0 for
// none. It is a cautious estimate for a destination that has not yet answered this relay: a relay
// of a large fleet rarely calls most destinations.
func (p *Policy) lowestReportedLimit(dest *destination) float64 {
	lowest := &p.lowestLimits[dest.kindIndex]
	if lowest.isStale {
		*lowest = lowestLimit{}
		for _, other := range p.destinations {
			if other.kindIndex != dest.kindIndex {
				continue
			}
			for _, route := range other.routes {
				lowest.lowerTo(route.reportedLimit)
			}
		}
	}
	return lowest.value
}

// lowestLimit is the lowest limit that any route of a kind has reported, in calls a second; 0 for
// none. Each report updates it, so that its cost doesn't grow with the list. It is stale once the
// route that reported it has reported a higher limit or is gone. The zero value is ready for use.
type lowestLimit struct {
	value   float64
	isStale bool
}

// update records that a route which reported the limit before now reports another.
func (lowest *lowestLimit) update(before, limit float64) {
	lowest.isStale = lowest.isStale || before == lowest.value && limit > before
	lowest.lowerTo(limit)
}

func (lowest *lowestLimit) lowerTo(limit float64) {
	if limit > 0 && (lowest.value == 0 || limit < lowest.value) {
		lowest.value = limit
	}
}
