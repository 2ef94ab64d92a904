package policy

// Constants of the connection shortage, which is the smoothed fraction of calls that find no
// connection, by kind of destination.
const (
	// connectionShortageThreshold is the fraction above which connections are considered scarce.
	connectionShortageThreshold = 0.05
	// connectionShortageGain is the weight of one call without a connection. It is large since a relay
	// makes only few of all calls that find none.
	connectionShortageGain = 0.5
	// connectionShortageSpan is the number of calls with a connection over which the fraction falls
	// again.
	connectionShortageSpan = 100
	// relaysKeepingIdle limits idle connections in a shortage: all relays together keep as many open
	// at an endpoint as this number of relays would otherwise.
	relaysKeepingIdle = 2
	// idleChecksPerKeepAlive is how many times an idle connection is checked within the keep-alive
	// time, since its time-out may change.
	idleChecksPerKeepAlive = 8
	// ejectionConnectionRejections is the number of rejected connections in a row that count as an
	// outage if they span at least half an overload window; fewer may be chance.
	ejectionConnectionRejections = 5
)

// closeIdleConnections closes the idle connections of an endpoint once their time-out has passed.
// Until then it reschedules itself.
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
// more idle connections at an endpoint than two relays would otherwise, so each has a share of the
// keep-alive time. A relay that is not likely to call again within its share keeps none, since the
// connection would only take the place of another relay's. The price is that more connections are
// opened.
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

// isConnectionRejected reports whether an endpoint rejected a call on a new connection because it
// can hold no more. It answers so before it checks the rate limit, so the answer has no load report
// where others have one.
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

// observeConnectionRejection backs an endpoint off, at first for about as long as other relays use
// a connection, then for longer with each rejection in a row. The time is random, so that relays
// don't retry together. Only a long run of rejections counts as an outage.
func (p *Policy) observeConnectionRejection(call *callState) {
	endpoint := call.endpoint
	endpoint.route.tokens.tokens++ // the call didn't count against the rate limit
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
