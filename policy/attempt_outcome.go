package policy

import "slices"

// unansweredSpan is the number of calls over which the fraction of unanswered ones is averaged, so
// that a few chance time-outs matter little.
const unansweredSpan = 50

// completeAttempt records the outcome of an attempt for its message, call, endpoint and route. The
// outcome of an attempt other than the message's current one was recorded before and is ignored.
func (p *Policy) completeAttempt(event *Event) {
	message := p.messages[event.Message]
	if message == nil || message.call == nil || event.Attempt != message.attempts-1 {
		return
	}
	if event.Outcome >= outcomeCount {
		return
	}
	call := message.call
	p.leaveCall(message)
	p.markChanged(call.endpoint.route.dest)
	switch {
	case event.LocalFailure:
		p.observeLocalFailure(message, call)
	case !call.isObserved: // the messages of a call share its outcome, which counts once
		call.isObserved = true
		p.observeCall(call, event)
	}
	if event.RetryAfter > 0 { // with any outcome, since the answer to a batch may have one too
		p.applyRetryAfter(call.endpoint.route, event.RetryAfter)
	}
	p.recordOutcome(message, call, event)
	switch {
	case message.isCompleted:
		p.forgetMessage(message)
	case event.Outcome == Delivered || event.Final:
		p.completeMessage(message)
	default:
		p.requeue(message)
	}
}

// leaveCall takes a message out of its call. The last message to leave frees the call slot.
func (p *Policy) leaveCall(message *messageState) {
	call := message.call
	message.call = nil
	if !message.isCompleted {
		p.pendingInFlight--
	}
	call.messagesLeft--
	if call.messagesLeft == 0 {
		p.releaseCall(call.endpoint)
	}
}

// applyRetryAfter stops calls to a route for as long as its destination asked. Recovery budgets
// that fill meanwhile would be spent at once afterwards, so they start empty.
func (p *Policy) applyRetryAfter(route *routeState, retryAfter Time) {
	route.retryAfterUntil = max(route.retryAfterUntil, p.now+retryAfter)
	for _, endpoint := range route.endpoints {
		endpoint.recoveryBudget.tokens, endpoint.recoveryBudget.refilledAt = 0, route.retryAfterUntil
	}
}

// recordOutcome records what the outcome of an attempt means for further attempts of its message.
func (p *Policy) recordOutcome(message *messageState, call *callState, event *Event) {
	p.coolDownKey(message, event.Outcome)
	if !event.Outcome.NeverRan() && event.Outcome != Delivered && message.unknownOutcomeAt == 0 {
		p.recordUnknownOutcome(message, call.sentAt, call.endpoint.zone)
	}
	if !event.LocalFailure {
		message.lastFailedEndpoint = call.endpoint
	}
	reachedNobody := event.Outcome == NotSent || event.Outcome == ConnectFailed
	message.isRecovered = message.isRecovered && reachedNobody
}

func (p *Policy) requeue(message *messageState) {
	message.dest.queue = append(message.dest.queue, message)
	p.scheduleCheck(p.now, message)
	p.spillExcess(message.dest)
}

// observeCall updates the state of an endpoint and its route after the outcome of a call.
func (p *Policy) observeCall(call *callState, event *Event) {
	endpoint, route := call.endpoint, call.endpoint.route
	route.localFailureRun = 0
	if event.Load.Limit > 0 {
		p.observeLimit(route, event.Load.Limit)
	}
	p.observeConnectionShortage(route.dest.kindIndex, event)
	p.observeUnanswered(event.Outcome)
	switch event.Outcome {
	case Delivered:
		p.observeDelivery(call, event)
	case Rejected:
		p.observeRejection(call, event)
	case Cancelled:
		if endpoint.lastSuccessAt <= call.sentAt { // otherwise later answers show that it works
			p.observeFailure(endpoint, call.sentAt, true)
		}
	case TimedOut:
		route.halveWindow()
		p.observeFailure(endpoint, call.sentAt, true)
	case ConnectFailed:
		endpoint.connections = endpoint.callsInFlight
		route.tokens.tokens++ // the call didn't count against the rate limit
		p.observeFailure(endpoint, call.sentAt, true)
	case Errored, ConnectionReset:
		p.observeFailure(endpoint, call.sentAt, false)
	}
}

// observeLimit records the limit that a route reported. It counts towards the lowest limit of its
// kind while the route is in use.
func (p *Policy) observeLimit(route *routeState, limit float64) {
	if slices.Contains(route.dest.routes, route) {
		p.lowestLimits[route.dest.kindIndex].update(route.reportedLimit, limit)
	}
	route.reportedLimit = limit
}

func (p *Policy) observeUnanswered(outcome Outcome) {
	if outcome == TimedOut || outcome == Cancelled {
		p.unansweredFraction += (1 - p.unansweredFraction) / unansweredSpan
	} else {
		p.unansweredFraction -= p.unansweredFraction / unansweredSpan
	}
}

func (p *Policy) observeDelivery(call *callState, event *Event) {
	endpoint, route := call.endpoint, call.endpoint.route
	route.history.recordAccept(p.now)
	route.window = min(route.window+1, float64(p.settings.MaxCalls))
	route.rejectionRun = 0
	for _, estimate := range []*latencyEstimate{&route.latency, &endpoint.latency, &p.latency} {
		estimate.add(float64(event.Latency))
	}
	if route.isPaceLimited {
		p.raisePace(route, event.Load)
	}
	endpoint.connectionRejections = 0
	p.observeSuccess(endpoint, call.sentAt)
}
