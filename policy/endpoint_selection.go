package policy

import "math"

// Factors of the expected cost of a call.
const (
	otherZoneCost = 1.5 // a longer way
	trialCost     = 2.0 // an endpoint that has not answered since its outage is the last choice
)

// selectEndpoint picks the endpoint for a message: healthy before slow-starting before ejected,
// then the soonest answer. It gives nil where none may be called.
func (p *Policy) selectEndpoint(message *messageState) (selected *endpointState) {
	lowest := math.Inf(1)
	for _, route := range message.dest.routes {
		if !p.hasCapacity(route) || !p.hasPaceToken(route) {
			continue
		}
		for _, endpoint := range route.endpoints {
			if !p.maySend(message, endpoint) {
				continue
			}
			if cost := p.callCost(message, endpoint); cost < lowest {
				selected, lowest = endpoint, cost
			}
		}
	}
	return selected
}

// callCost is the expected time to an answer in microseconds, with a surcharge where another is
// preferred.
func (p *Policy) callCost(message *messageState, endpoint *endpointState) float64 {
	latency := endpoint.latency.mean
	if endpoint.latency.samples == 0 {
		latency = float64(p.typicalLatency(message.dest))
	}
	cost := latency * float64(1+endpoint.callsInFlight)
	needsConnection := endpoint.callsInFlight >= endpoint.connections*p.settings.StreamsPerConnection
	if needsConnection {
		cost += latency
	}
	if endpoint.zone != p.settings.Zone {
		cost *= otherZoneCost
	}
	if message.lastFailedEndpoint == endpoint { // another may do better, whatever the cause
		cost += float64(message.class.LatencyObjective)
	}
	if endpoint.isEjected {
		cost += float64(message.class.Deadline)
	}
	if endpoint.awaitsRecovery() {
		cost *= trialCost
	}
	return cost
}

// maySend checks every rule on a message and an endpoint together.
func (p *Policy) maySend(message *messageState, endpoint *endpointState) bool {
	if message.isCompleted || message.call != nil || p.hasNoAttemptLeft(message) {
		return false
	}
	if p.now >= p.latestTimeout(message) || !p.mayCallEndpoint(endpoint) {
		return false
	}
	if message.isOrdered() && !p.isNextInOrder(message) {
		return false
	}
	isPerZone := message.class.Idempotency == IdempotentByKey && message.class.DedupPerZone
	if message.unknownOutcomeAt > 0 && isPerZone && endpoint.zone != message.unknownOutcomeZone {
		return false
	}
	if message.class.Idempotency == NonIdempotent && endpoint.awaitsRecovery() {
		return p.now > message.objectiveAt // its one attempt that may run is not risked before it is late
	}
	return true
}
