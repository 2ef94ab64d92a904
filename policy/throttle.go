package policy

// Adaptive throttling: a call is dropped with the probability max(0, (requests - K*accepts) /
// (requests + 1)), at most maxDropProbability, where requests and accepts are those of its route in
// the last historySpan.
const (
	acceptMultiplier   = 2.0         // K: the number of requests allowed for each accept
	priorAccepts       = 2.0         // credited to every route, since a few calls prove nothing
	maxDropProbability = 0.9         // some calls always pass, so that a recovery is noticed
	historySpan        = 10 * second // microseconds; long enough for rare calls, short enough to recover
	historyBinCount    = 20          // number of bins of the span, which set its resolution
)

// drawDrop counts a request and draws at random whether it is dropped. A dropped request has spent
// a token of the route. The caller completes its message at once, unless an earlier process
// admitted it.
func (p *Policy) drawDrop(route *routeState) bool {
	requests, accepts := route.history.totals(p.now)
	route.history.recordRequest(p.now)
	// Calls in flight are left out, since their outcome is open. If they counted as requests without
	// an accept, the next messages for a destination that had no calls within the span would be
	// dropped.
	answered := max(0, requests-float64(route.callsInFlight))
	return p.rng.Float64() < dropProbability(answered, accepts)
}

// dropProbability returns the probability that adaptive throttling drops a call.
func dropProbability(requests, accepts float64) float64 {
	probability := (requests - acceptMultiplier*(accepts+priorAccepts)) / (requests + 1)
	return min(max(0, probability), maxDropProbability)
}
