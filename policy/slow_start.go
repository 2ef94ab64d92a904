package policy

// Slow start: an ejected endpoint is limited to a recovery budget, which grows with the time since
// its first success. All relays together must not send a cold destination more than it can stand
// within an overload window.
const (
	// sharersPerMessage is the number of relays that are assumed to want to call a failing destination
	// for each message that came for it since the outage began.
	sharersPerMessage = 2.0
	// burstDivisor divides the budget to give the part that may be spent at once: a burst and the
	// refill of one overload window together stay within the budget.
	burstDivisor = 4
)

// recoveredFraction is the fraction of its capacity that an ejected endpoint is assumed to have.
// Once it reaches 1, the ejection ends.
func (p *Policy) recoveredFraction(endpoint *endpointState) float64 {
	fraction := p.settings.SlowStartCapacity
	if endpoint.recoveredAt > 0 {
		age := float64(p.now - endpoint.recoveredAt)
		fraction += (1 - fraction) * age / float64(max(p.settings.SlowStartTime, 1))
	}
	if fraction >= 1 && endpoint.recoveredAt > 0 {
		endpoint.isEjected, endpoint.failureScore = false, 0
	}
	return fraction
}

// recoveryRate is this relay's share of an endpoint's recovery budget, as calls a second and calls
// at once. The budget is divided among the relays that may have had a message for the destination
// since the outage began: all relays where they are few, otherwise about sharersPerMessage for each
// message that has come since.
func (p *Policy) recoveryRate(endpoint *endpointState) (rate, burst float64) {
	route := endpoint.route
	window := seconds(max(p.settings.OverloadWindow, second))
	capacity := p.recoveryCapacity(route)
	outageAge := seconds(p.now-endpoint.firstFailureAt) + window
	sharers := min(float64(p.settings.Relays), max(1, sharersPerMessage*capacity*outageAge))
	endpoints := float64(max(route.listedEndpoints(), 1))
	capacity *= p.settings.OverloadFactor * p.recoveredFraction(endpoint)
	budget := capacity / endpoints * window / sharers
	burst = budget / burstDivisor
	if burst >= 1 {
		return (budget - burst) / window, burst
	}
	return budget / window, burst
}

// recoveryCapacity is the capacity from which recovery budgets are computed. Where it is neither
// reported nor listed, the estimate is raised to the lowest limit that destinations of the same kind have
// reported, since a low estimate divided among all relays would leave next to nothing. It is not raised
// above one call a second for each relay.
func (p *Policy) recoveryCapacity(route *routeState) float64 {
	capacity := p.estimateCapacity(route)
	if route.reportedLimit == 0 && route.nominalRate == 0 {
		upperBound := max(capacity, float64(p.settings.Relays))
		return min(max(capacity, p.lowestReportedLimit(route.dest)), upperBound)
	}
	return capacity
}

func (route *routeState) listedEndpoints() (count int) {
	for _, endpoint := range route.endpoints {
		if endpoint.state != Removed {
			count++
		}
	}
	return count
}

// spendRecoveryBudget takes the cost of a call out of the budget. Where this relay's burst is less
// than one call, the next call costs a random amount with a mean of one, so that relays don't call
// in step.
func (p *Policy) spendRecoveryBudget(endpoint *endpointState) {
	rate, burst := p.recoveryRate(endpoint)
	endpoint.recoveryBudget.take(p.now, endpoint.nextCallCost, rate, max(burst, endpoint.nextCallCost))
	endpoint.nextCallCost = 1
	if burst < 1 {
		endpoint.nextCallCost = 0.5 + p.rng.Float64()
	}
}

// mayCallEndpoint checks every rule that concerns the endpoint but not the message.
func (p *Policy) mayCallEndpoint(endpoint *endpointState) bool {
	if endpoint.state != Ready || endpoint.route.retryAfterUntil > p.now {
		return false
	}
	if !endpoint.isEjected && endpoint.backoffUntil > p.now {
		return false
	}
	rate, burst := p.recoveryRate(endpoint) // this may end the ejection
	if !endpoint.isEjected {
		return true
	}
	if endpoint.awaitsRecovery() && endpoint.isUnresponsive && endpoint.callsInFlight > 0 {
		return false // unanswered trial calls must not take one slot after another
	}
	cost := endpoint.nextCallCost
	return endpoint.recoveryBudget.level(p.now, rate, max(burst, cost)) >= cost
}
