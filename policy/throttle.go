package policy

// Adaptive throttling: a call is dropped with the probability max(0, (requests - K*accepts) /
// (requests + 1)), at most maxDropProbability, by the requests and accepts of its route in the last
// historySpan.
const (
	acceptMultiplier   = 2.0         // K: how many requests an accept stands for
	priorAccepts       = 2.0         // credited to every route: a few calls say nothing
	maxDropProbability = 0.9         // some calls always pass, or a recovery would not be seen
	historySpan        = 10 * second // microseconds; long enough for seldom callers, short enough to recover
	historyBinCount    = 20          // steps of the span, which make up its resolution
)

// drawDrop counts a request and draws whether it is dropped. A drop spends the route's token; its
// message is completed at once.
func (p *Policy) drawDrop(route *routeState) bool {
	requests, accepts := route.history.totals(p.now)
	route.history.recordRequest(p.now)
	// Calls in flight speak neither for nor against: counted at once they would drop the next
	// arrivals of a destination that has been quiet for longer than the history.
	answered := max(0, requests-float64(route.callsInFlight))
	return p.rng.Float64() < dropProbability(answered, accepts)
}

// dropProbability is the formula of adaptive throttling.
func dropProbability(requests, accepts float64) float64 {
	probability := (requests - acceptMultiplier*(accepts+priorAccepts)) / (requests + 1)
	return min(max(0, probability), maxDropProbability)
}
