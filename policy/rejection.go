package policy

// ejectionRejections is the number of rejections in a row, over at least half an overload window,
// after which a destination that reports no limit is considered to be in an outage rather than
// busy.
const ejectionRejections = 2

// observeRejection lowers the pace of a route after a rejection and has the route back off.
func (p *Policy) observeRejection(call *callState, event *Event) {
	if p.isConnectionRejected(event) {
		p.observeConnectionRejection(call)
		return
	}
	route := call.endpoint.route
	route.halveWindow()
	p.lowerPace(route)
	route.rejectionRun++
	if route.rejectionRun == 1 {
		route.rejectionRunStart = p.now
	}
	if route.reportedLimit == 0 && route.nominalRate == 0 {
		// Without an estimate the pace has no bound, and one call a second for all relays would be far
		// too low.
		route.nominalRate = max(p.estimateCapacity(route), p.lowestReportedLimit(route.dest))
	}
	p.backOffRoute(call, event.RetryAfter)
	isLongRun := route.rejectionRun >= ejectionRejections &&
		p.now-route.rejectionRunStart >= p.settings.OverloadWindow/2
	if event.RetryAfter >= p.settings.OverloadWindow || isLongRun && !event.Load.Present {
		call.endpoint.failureScore = 1 // eject it, however rarely it was called
		p.observeFailure(call.endpoint, call.sentAt, false)
	}
}

// backOffRoute stops calls to a route for a random time. At first that is around this relay's turn at
// least: the time in which every relay can make one call within the limit, or the latency objective
// if that is shorter. It grows with the age of the run of rejections.
func (p *Policy) backOffRoute(call *callState, retryAfter Time) {
	route := call.endpoint.route
	recoveryRate, _ := p.recoveryRate(call.endpoint)
	runAge := seconds(p.now - route.rejectionRunStart)
	objective := seconds(call.messages[0].class.LatencyObjective)
	turn := min(float64(p.settings.Relays)/p.estimateCapacity(route), objective)
	growing := min(1/recoveryRate, p.backoffFactor(route)*runAge)
	backoff := float64(second) * max(turn, 1/p.burstSize(route), growing)
	route.backoffUntil = p.now + Time(backoff*(0.5+p.rng.Float64()))
	if retryAfter > 0 { // all relays were told the same time, so they come back one after another
		spread := Time(turn * float64(second) * p.rng.Float64())
		route.backoffUntil = max(route.backoffUntil, p.now+retryAfter+spread)
	}
}
