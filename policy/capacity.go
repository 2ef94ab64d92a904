package policy

import "cmp"

// estimateCapacity is the calls a second that a route takes from all relays: as reported, else as
// listed, else as its accepts from this relay suggest.
func (p *Policy) estimateCapacity(route *routeState) float64 {
	observed := max(route.history.acceptRate(p.now)*float64(p.settings.Relays), 1)
	return cmp.Or(route.reportedLimit, route.nominalRate, observed)
}

// lowestReportedLimit is the lowest limit that destinations of one kind have reported; 0 for none.
// It is the guess, on the safe side, for one that this relay has not heard from: a relay of a large
// fleet calls most destinations seldom.
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
// none. Reports keep it up to date, so that its cost doesn't grow with the list. It is stale once
// the route that had it has reported a higher one or is gone. The zero value is ready for use.
type lowestLimit struct {
	value   float64
	isStale bool
}

// update notes that a route which reported one limit before now reports another.
func (lowest *lowestLimit) update(before, limit float64) {
	lowest.isStale = lowest.isStale || before == lowest.value && limit > before
	lowest.lowerTo(limit)
}

func (lowest *lowestLimit) lowerTo(limit float64) {
	if limit > 0 && (lowest.value == 0 || limit < lowest.value) {
		lowest.value = limit
	}
}
