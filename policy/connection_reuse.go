package policy

// Connection shortage: the fraction of calls that find no connection, by kind of destination.
const (
	// connectionShortageThreshold is the fraction above which connections are taken to run out.
	connectionShortageThreshold = 0.05
	// connectionShortageGain is the weight of one call without a connection: a relay sees few of
	// all such calls.
	connectionShortageGain = 0.5
	// connectionShortageSpan is the number of calls with a connection over which the fraction falls
	// again.
	connectionShortageSpan = 100
	// relaysKeepingIdle is how many relays' idle connections an endpoint keeps, taken together, in
	// a shortage.
	relaysKeepingIdle = 2
	// idleChecksPerKeepAlive is how often an idle connection is examined, since its time-out may
	// change.
	idleChecksPerKeepAlive = 8
	// ejectionConnectionRejections is the number of rejected connections in a row that count as an
	// outage, where they span half an overload window at least: fewer are chance.
	ejectionConnectionRejections = 5
)

// closeIdleConnections closes the idle connections of an endpoint once their time is up, and until
// then schedules itself anew.
func (p *Policy) closeIdleConnections(endpoint *endpointState) {
	isIdle := endpoint.callsInFlight == 0
	left := endpoint.idleSince + p.idleTimeout(endpoint) - p.now
	endpoint.hasIdleTimer = isIdle && left > 0
	if endpoint.hasIdleTimer {
		nextCheck := p.now + min(left, p.settings.KeepAlive/idleChecksPerKeepAlive+1)
		p.schedule(nextCheck, func() { p.closeIdleConnections(endpoint) })
	} else if isIdle {
		endpoint.connections = 0
		p.emit(Action{Kind: ActionCloseIdle, Endpoint: endpoint.id})
	}
}

// idleTimeout is how long an idle connection stays open. In a shortage all relays together keep no
// more idle connections at an endpoint than two would, and this relay none where it is not likely
// to call again within its part of the time: it would only take another's place. The price is that
// more connections are opened.
func (p *Policy) idleTimeout(endpoint *endpointState) Time {
	if p.connectionShortage[endpoint.route.dest.kindIndex] <= connectionShortageThreshold {
		return p.settings.KeepAlive
	}
	timeout := p.settings.KeepAlive * relaysKeepingIdle / Time(max(p.settings.Relays, relaysKeepingIdle))
	if calls, _ := endpoint.route.history.totals(p.now); calls*float64(timeout) < float64(historySpan) {
		return min(p.settings.Tick, timeout)
	}
	return timeout
}

// isConnectionRejected reports whether an endpoint had as many connections as it can hold and
// rejected a new one with its call. That answer comes before the rate limit is checked, so it has
// no load report where others do.
func (p *Policy) isConnectionRejected(event *Event) bool {
	return event.Outcome == Rejected && event.NewConnection && event.RetryAfter == 0 &&
		p.settings.LoadReports && !event.Load.Present
}

// observeConnectionShortage updates the fraction of calls that found no connection.
func (p *Policy) observeConnectionShortage(kind int, event *Event) {
	shortage := &p.connectionShortage[kind]
	if event.Outcome == ConnectFailed || p.isConnectionRejected(event) {
		*shortage += (1 - *shortage) * connectionShortageGain
	} else {
		*shortage -= *shortage / connectionShortageSpan
	}
}

// observeConnectionRejection backs an endpoint off for about as long as others use a connection,
// then ever longer, each relay for a random time. Only a long run counts as an outage.
func (p *Policy) observeConnectionRejection(call *callState) {
	endpoint := call.endpoint
	endpoint.route.tokens.tokens++ // it took nothing of the rate limit
	endpoint.connectionRejections++
	if endpoint.connectionRejections == 1 {
		endpoint.connectionRejectedSince = p.now
	}
	doublings := min(endpoint.connectionRejections-1, maxBackoffDoublings)
	backoff := min(p.typicalLatency(endpoint.route.dest)<<doublings, call.messages[0].class.LatencyObjective)
	endpoint.backoffUntil = p.now + Time(float64(backoff)*(0.5+p.rng.Float64()))
	isLongRun := p.now-endpoint.connectionRejectedSince >= p.settings.OverloadWindow/2
	if endpoint.connectionRejections >= ejectionConnectionRejections && isLongRun {
		endpoint.failureScore = 1
		p.observeFailure(endpoint, call.sentAt, false)
	}
}
