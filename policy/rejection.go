package policy

// ejectionRejections is the number of rejections in a row, over half an overload window at least,
// after which a destination that reports no limit is in an outage rather than busy.
const ejectionRejections = 2

// observeRejection slows a route down after a rejection and has it back off.
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
		// Without a guess the pace has no bound; one call a second for all relays would be far too low.
		route.nominalRate = max(p.estimateCapacity(route), p.lowestReportedLimit(route.dest))
	}
	p.backOffRoute(call, event.RetryAfter)
	isLongRun := route.rejectionRun >= ejectionRejections &&
		p.now-route.rejectionRunStart >= p.settings.OverloadWindow/2
	if event.RetryAfter >= p.settings.OverloadWindow || isLongRun && !event.Load.Present {
		call.endpoint.failureScore = 1 // ejected, however seldom it was called
		p.observeFailure(call.endpoint, call.sentAt, false)
	}
}

// backOffRoute stops a route until this relay's turn at the limit comes, each relay for a random time.
func (p *Policy) backOffRoute(call *callState, retryAfter Time) {
	route := call.endpoint.route
	recoveryRate, _ := p.recoveryRate(call.endpoint)
	runAge := seconds(p.now - route.rejectionRunStart)
	objective := seconds(call.messages[0].class.LatencyObjective)
	turn := min(float64(p.settings.Relays)/p.estimateCapacity(route), objective)
	growing := min(1/recoveryRate, p.backoffFactor(route)*runAge)
	backoff := float64(second) * max(turn, 1/p.burstSize(route), growing)
	route.backoffUntil = p.now + Time(backoff*(0.5+p.rng.Float64()))
	if retryAfter > 0 { // all relays were given the same time: they come back one after another
		spread := Time(turn * float64(second) * p.rng.Float64())
		route.backoffUntil = max(route.backoffUntil, p.now+retryAfter+spread)
	}
}
