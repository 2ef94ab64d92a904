package policy

import "slices"

// Outlier detection, by a moving average of an endpoint's failures.
const (
	failureScoreDecay = 0.7 // weight of the past in the moving average
	ejectionScore     = 0.6 // exceeded when most calls fail; three failures in a row, from 0, are enough
	failingScore      = 1 - failureScoreDecay
	// maxBackoffFactor is the length of the backoff after a failure where relays are many, as a
	// multiple of the time since the first failure of the run.
	maxBackoffFactor = 3.0
)

// observeSuccess counts a success. For an ejected endpoint it begins the slow start if the call was
// sent after the last failure.
func (p *Policy) observeSuccess(endpoint *endpointState, sentAt Time) {
	endpoint.failureScore *= failureScoreDecay
	endpoint.lastSuccessAt = p.now
	endpoint.lastSuccessSentAt = max(endpoint.lastSuccessSentAt, sentAt)
	if endpoint.awaitsRecovery() && sentAt >= endpoint.lastFailureAt {
		endpoint.recoveredAt, endpoint.recoverySentAt = p.now, sentAt
		p.logf("dest %d: answers again, ramp", endpoint.route.dest.id)
	}
}

// observeFailure counts a failure, which backs the endpoint off or ejects it.
func (p *Policy) observeFailure(endpoint *endpointState, sentAt Time, isUnresponsive bool) {
	if endpoint.recoveredAt > 0 && sentAt < endpoint.recoverySentAt {
		return // a call sent before the recovery says nothing about it
	}
	if endpoint.lastFailureAt <= endpoint.lastSuccessAt {
		endpoint.firstFailureAt = p.now
	}
	endpoint.failureScore = endpoint.failureScore*failureScoreDecay + 1 - failureScoreDecay
	if endpoint.recoveredAt == 0 || endpoint.failureScore >= ejectionScore {
		// While most calls succeed, one failure doesn't undo the slow start.
		endpoint.lastFailureAt, endpoint.recoveredAt, endpoint.isUnresponsive = p.now, 0, isUnresponsive
	}
	// Where calls are rare, two failures in a row are enough to eject.
	isLongRun := p.now-endpoint.firstFailureAt >= p.settings.OverloadWindow/2
	if endpoint.isEjected || endpoint.failureScore < ejectionScore && !isLongRun {
		backoff := p.backoffFactor(endpoint.route) * float64(p.now-endpoint.firstFailureAt)
		endpoint.backoffUntil = p.now + Time(backoff)
		return
	}
	p.eject(endpoint, isUnresponsive)
}

// eject limits an endpoint to trial calls, together with the endpoints of its route that have had
// no success since its first failure.
func (p *Policy) eject(failed *endpointState, isUnresponsive bool) {
	for _, endpoint := range failed.route.endpoints {
		isSuspect := !endpoint.isEjected && endpoint.lastSuccessAt < failed.firstFailureAt
		if endpoint != failed && !isSuspect {
			continue
		}
		endpoint.isEjected, endpoint.isUnresponsive = true, isUnresponsive
		endpoint.recoveredAt, endpoint.lastFailureAt = 0, p.now
		endpoint.firstFailureAt = failed.firstFailureAt
		endpoint.recoveryBudget = tokenBucket{refilledAt: p.now}
		endpoint.nextCallCost = p.rng.Float64()
	}
	p.logf("dest %d: seen failing, trial calls", failed.route.dest.id)
}

// backoffFactor is the length of a backoff as a multiple of the time since the first failure of the
// run. It is smaller where there are few relays that send many messages each.
func (p *Policy) backoffFactor(route *routeState) float64 {
	window := float64(p.settings.OverloadWindow)
	messages := sharersPerMessage * p.estimateCapacity(route) * window / float64(second)
	return maxBackoffFactor * min(1, float64(p.settings.Relays)/max(messages, 1))
}

func (route *routeState) isFailing() bool {
	return slices.ContainsFunc(route.endpoints, func(endpoint *endpointState) bool {
		return endpoint.isEjected || endpoint.failureScore >= failingScore
	})
}

// Unavailable reports whether an endpoint gets at most trial calls now: it is not on the list, is
// draining, awaits recovery, is in backoff after a failure, or has asked this relay to wait.
func (p *Policy) Unavailable(id Endpoint, now Time) bool {
	endpoint := p.endpoints[id]
	if endpoint == nil || endpoint.route.retryAfterUntil > now || endpoint.state != Ready {
		return true
	}
	return endpoint.awaitsRecovery() || !endpoint.isEjected && endpoint.backoffUntil > now
}
