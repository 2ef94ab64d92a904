package policy

// Estimates of how long an answer takes at most, from the mean and the mean deviation of the latency.
const (
	latencyBoundMeans      = 4
	latencyBoundDeviations = 4
	// minimumWaitDivisor gives the part of the bound that is enough for an answer nearly always:
	// with all of it, messages near their deadline would each go alone and use up a limit on calls.
	minimumWaitDivisor = 2
)

// Ticks of the host between a decision and its effect.
const (
	deadlineMarginTicks = 3 // from the final response's decision to the deadline
	dedupMarginTicks    = 2 // from the latest retry to the end of the deduplication window
)

// deadlineMargin is how long before its deadline a message is completed at the latest, in microseconds.
func (p *Policy) deadlineMargin() Time { return deadlineMarginTicks * p.settings.Tick }

// checkMessage completes a message that would run out of time before the next check, or can't be
// sent again.
func (p *Policy) checkMessage(message *messageState) {
	if message.isCompleted {
		return
	}
	if p.now < message.deadline-p.deadlineMargin() && (message.call != nil || !p.hasNoAttemptLeft(message)) {
		return
	}
	if message.call != nil && p.settings.Cancellation {
		p.emit(Action{Kind: ActionCancel, Message: message.id, Attempt: message.attempts - 1})
	}
	p.completeUndelivered(message)
}

// latestTimeout is the latest moment at which an attempt of a message may time out.
func (p *Policy) latestTimeout(message *messageState) Time {
	return message.deadline - 2*p.deadlineMargin()
}

// attemptTimeout is when an attempt times out. Where the messages of a call have different
// time-outs, an answer after one of them says nothing of the others, so all end with the call at
// the latest.
func (p *Policy) attemptTimeout(message *messageState, call *callState) Time {
	if message.class.Idempotency == NonIdempotent {
		return call.timeoutBy // it has no retry to save time for
	}
	span := float64(message.class.LatencyObjective)
	if latency := &call.endpoint.route.latency; latency.samples > 0 {
		span = max(latency.bound(), span)
	}
	return min(call.timeoutBy, p.now+Time(span))
}

// expectedLatencyBound is how long a call to an endpoint usually takes at most.
func (p *Policy) expectedLatencyBound(endpoint *endpointState) Time {
	if endpoint.latency.samples == 0 {
		return latencyBoundMeans * p.typicalLatency(endpoint.route.dest)
	}
	return Time(endpoint.latency.bound())
}

// minimumWait is the moment by which an answer to a call made now has nearly always come.
func (p *Policy) minimumWait(message *messageState, endpoint *endpointState) Time {
	return min(p.latestTimeout(message), p.now+p.expectedLatencyBound(endpoint)/minimumWaitDivisor)
}
