package policy

import "math"

// Factors of the expected cost of a call.
const (
	otherZoneCost = 1.5 // for an endpoint in another zone, which is farther away
	trialCost     = 2.0 // for an endpoint without an answer since its outage, which is the last choice
)

// selectEndpoint picks the endpoint for a message. It prefers healthy endpoints to those in slow
// start, and these to ones that await recovery; among equals it picks the one that is expected to
// answer first. It returns nil if no endpoint may be called.
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

// callCost is the expected time to an answer in microseconds, with surcharges for an endpoint that
// is less preferred.
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
	if message.lastFailedEndpoint == endpoint { // another may succeed, whatever the cause
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

// maySend checks every rule on a message and an endpoint, separately and together.
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
		// The one attempt that may run is not spent on a trial call before the message is late.
		return p.now > message.objectiveAt
	}
	return true
}
