package policy

// The fraction of all call slots that one destination may take, so that others always have some.
const (
	maxSlotFraction        = 0.75
	maxSlotFractionFailing = 0.5 // while it fails, since its calls then take the longest
)

// hasCapacity reports whether a route's window and the destination's part of the call slots allow
// one more call.
func (p *Policy) hasCapacity(route *routeState) bool {
	fraction := maxSlotFraction
	if route.isFailing() {
		fraction = maxSlotFractionFailing
	}
	slots := max(1, int(fraction*float64(p.settings.MaxCalls)))
	return route.dest.callsInFlight < slots && route.callsInFlight < max(1, int(route.window))
}

// halveWindow halves the window after a sign of overload. Each delivery makes it larger by one.
func (route *routeState) halveWindow() { route.window = max(route.window/2, 1) }

// reserveCall counts a call in flight to an endpoint.
func (p *Policy) reserveCall(endpoint *endpointState) {
	p.callsInFlight++
	endpoint.callsInFlight++
	endpoint.route.callsInFlight++
	endpoint.route.dest.callsInFlight++
}

// releaseCall counts a call as ended. If no call to the endpoint is left, its connections are
// closed after the idle time-out.
func (p *Policy) releaseCall(endpoint *endpointState) {
	p.callsInFlight--
	endpoint.callsInFlight--
	endpoint.route.callsInFlight--
	endpoint.route.dest.callsInFlight--
	endpoint.idleSince = p.now
	if endpoint.callsInFlight == 0 && p.settings.KeepAlive > 0 && !endpoint.hasIdleTimer {
		p.closeIdleConnections(endpoint)
	}
}
