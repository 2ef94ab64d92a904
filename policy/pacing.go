package policy

import "math"

// Pacing: each relay sends a route its part of the capacity, times a factor that adapts. The factor
// grows with a success that the pace had delayed and falls with a rejection. A relay that calls
// often adapts in small steps. For one that calls seldom these would take longer than an overload
// may last, and where rejected calls use up the limit nothing is delivered meanwhile. So the size
// of a step goes by the time since the last: a rejection brings a seldom caller down to where all
// relays together keep to the limit, and a success raises it by the fraction of the limit that is
// left, which is none where others have used it up.
const (
	paceDecrease  = 0.75 // factor of a rejection
	paceIncrease  = 1.08 // factor of a success that the pace had delayed
	minPaceFactor = 0.5  // of an even part of the limit
	// relayExponent makes a relay's part of the capacity larger than an even one: the capacity over
	// the number of relays to this power. A small stream is uneven and needs more.
	relayExponent = 0.75
	// unknownCapacityPace is the pace where the capacity is unknown, in calls a second for each
	// call slot.
	unknownCapacityPace = 2
)

// raisePace is the step after a success.
func (p *Policy) raisePace(route *routeState, load LoadReport) {
	weight := p.paceStepWeight(route)
	increase := paceIncrease
	if load.Present {
		increase = math.Pow(paceIncrease, 1-weight) * math.Pow(1+min(load.Remaining, 1), weight)
	}
	route.paceFactor = min(route.paceFactor*increase, float64(p.settings.Relays))
}

// lowerPace is the step after a rejection.
func (p *Policy) lowerPace(route *routeState) {
	even := math.Pow(float64(p.settings.Relays), relayExponent-1) // all relays share the limit evenly
	step := route.paceFactor * paceDecrease
	weight := p.paceStepWeight(route)
	route.paceFactor = max(step*math.Pow(min(1, even/step), weight), minPaceFactor*even)
}

// paceStepWeight is the time since the last step of a route's pace in overload windows, at most 1,
// and begins a new step.
func (p *Policy) paceStepWeight(route *routeState) float64 {
	weight := min(1, float64(p.now-route.paceChangedAt)/float64(p.settings.OverloadWindow))
	route.paceChangedAt = p.now
	return weight
}

// paceRate is the calls a second that this relay sends a route at most.
func (p *Policy) paceRate(route *routeState) float64 {
	if route.reportedLimit == 0 && route.nominalRate == 0 {
		return float64(p.settings.MaxCalls) * unknownCapacityPace
	}
	return p.estimateCapacity(route) / math.Pow(float64(p.settings.Relays), relayExponent) * route.paceFactor
}

// burstSize is how many calls a route may save up: as many as chance moves a second of what all
// relays send there together, which the destination must stand anyway.
func (p *Policy) burstSize(route *routeState) float64 {
	return max(1, math.Sqrt(p.estimateCapacity(route)/float64(p.settings.Relays)))
}

// hasPaceToken reports whether a route may be called now by its pace and its backoff.
func (p *Policy) hasPaceToken(route *routeState) bool {
	if route.backoffUntil > p.now {
		return false
	}
	if route.tokens.level(p.now, p.paceRate(route), p.burstSize(route)) < 1 {
		route.isPaceLimited = true
		return false
	}
	return true
}
