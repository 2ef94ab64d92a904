package policy

// The bound on the time to an answer is the sum of the mean latency and its mean deviation, each
// times its factor.
const (
	latencyBoundMeans      = 4
	latencyBoundDeviations = 4
	// minimumWaitDivisor divides the bound to give a time within which an answer nearly always comes.
	// With the whole bound, messages near their deadline would each need a call of their own and use
	// up a limit on calls.
	minimumWaitDivisor = 2
)

// Margins for the delay between a decision and its effect at the host, in ticks.
const (
	deadlineMarginTicks = 3 // how long before the deadline a final response is decided
	dedupMarginTicks    = 2 // how long before the end of the deduplication window the latest retry is decided
)

// deadlineMargin is how long before its deadline a message is completed at the latest, in
// microseconds.
func (p *Policy) deadlineMargin() Time { return deadlineMarginTicks * p.settings.Tick }

// checkMessage completes a message whose deadline is less than the margin away, or that has neither
// a call in flight nor an attempt left.
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

// latestTimeout is the latest time at which an attempt of a message may time out.
func (p *Policy) latestTimeout(message *messageState) Time {
	return message.deadline - 2*p.deadlineMargin()
}

// attemptTimeout is when an attempt times out. The attempts of one call may have different
// time-outs, and an answer after one of these says nothing about the other messages, so all time
// out at the end of the call at the latest.
func (p *Policy) attemptTimeout(message *messageState, call *callState) Time {
	if message.class.Idempotency == NonIdempotent {
		return call.timeoutBy // a non-idempotent message has no retry to leave time for
	}
	span := float64(message.class.LatencyObjective)
	if latency := &call.endpoint.route.latency; latency.samples > 0 {
		span = max(latency.bound(), span)
	}
	return min(call.timeoutBy, p.now+Time(span))
}

// expectedLatencyBound is the time within which a call to an endpoint usually ends.
func (p *Policy) expectedLatencyBound(endpoint *endpointState) Time {
	if endpoint.latency.samples == 0 {
		return latencyBoundMeans * p.typicalLatency(endpoint.route.dest)
	}
	return Time(endpoint.latency.bound())
}

// minimumWait is the time by which an answer to a call made now has nearly always come.
func (p *Policy) minimumWait(message *messageState, endpoint *endpointState) Time {
	return min(p.latestTimeout(message), p.now+p.expectedLatencyBound(endpoint)/minimumWaitDivisor)
}
