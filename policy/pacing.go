package policy

import "math"

// Pacing: each relay sends a route its share of the capacity, times a factor that adapts. The
// factor grows with a success that the pace had delayed and falls with a rejection. A relay that
// calls often changes it in small steps. For a relay that calls rarely, small steps would take
// longer than an overload may last, and where rejected calls use up the limit nothing is delivered
// meanwhile. So the size of a step depends on the time since the last step: a rejection brings a
// relay that calls rarely down to the pace at which all relays together keep to the limit, and a
// success raises its pace by the fraction of the limit that is left, which is zero where others
// have used the limit up.
const (
	paceDecrease  = 0.75 // applied after a rejection
	paceIncrease  = 1.08 // applied after a success that the pace had delayed
	minPaceFactor = 0.5  // lower bound, relative to an equal share of the limit
	// relayExponent makes a relay's share of the capacity larger than an equal one: the share is the
	// capacity divided by the number of relays to this power. Sparse traffic is uneven and needs more.
	relayExponent = 0.75
	// unknownCapacityPace is the pace where the capacity is unknown, in calls a second for each call
	// slot.
	unknownCapacityPace = 2
)

// raisePace raises the pace of a route after a success.
func (p *Policy) raisePace(route *routeState, load LoadReport) {
	weight := p.paceStepWeight(route)
	increase := paceIncrease
	if load.Present {
		increase = math.Pow(paceIncrease, 1-weight) * math.Pow(1+min(load.Remaining, 1), weight)
	}
	route.paceFactor = min(route.paceFactor*increase, float64(p.settings.Relays))
}

// lowerPace lowers the pace of a route after a rejection.
func (p *Policy) lowerPace(route *routeState) {
	evenFactor := math.Pow(float64(p.settings.Relays), relayExponent-1) // factor of an equal share
	step := route.paceFactor * paceDecrease
	weight := p.paceStepWeight(route)
	route.paceFactor = max(step*math.Pow(min(1, evenFactor/step), weight), minPaceFactor*evenFactor)
}

// paceStepWeight is the time since the last step of a route's pace in overload windows, at most 1.
// It starts a new step.
func (p *Policy) paceStepWeight(route *routeState) float64 {
	weight := min(1, float64(p.now-route.paceChangedAt)/float64(p.settings.OverloadWindow))
	route.paceChangedAt = p.now
	return weight
}

// paceRate is the maximum number of calls a second that this relay sends a route.
func (p *Policy) paceRate(route *routeState) float64 {
	if route.reportedLimit == 0 && route.nominalRate == 0 {
		return float64(p.settings.MaxCalls) * unknownCapacityPace
	}
	return p.estimateCapacity(route) / math.Pow(float64(p.settings.Relays), relayExponent) * route.paceFactor
}

// burstSize is how many calls may be saved up for a route: this relay's part of the random
// variation in what all relays together send it in a second. The destination has to stand that
// variation anyway.
func (p *Policy) burstSize(route *routeState) float64 {
	return max(1, math.Sqrt(p.estimateCapacity(route)/float64(p.settings.Relays)))
}

// hasPaceToken reports whether the pace and the backoff of a route allow a call now. If it is the pace
// that does not, it also sets isPaceLimited.
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
