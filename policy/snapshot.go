package policy

// Snapshot is a copy of what a policy has learned about the destinations on its list. The host
// carries it to the next process of the same relay. Processes of different versions read each
// other's JSON, so the keys must not change.
type Snapshot struct {
	Routes             []RouteSnapshot `json:"Lanes"`
	Latency            LatencySnapshot `json:"Latency"`
	ConnectionShortage []float64       `json:"Tight"`
}

// RouteSnapshot is what a policy knows about one route. Times are by the clock of the host that
// made it.
type RouteSnapshot struct {
	Endpoints         []EndpointSnapshot  `json:"Endpoints"`
	History           []BinSnapshot       `json:"History"`
	Window            float64             `json:"Window"`
	NominalRate       float64             `json:"Nominal"`
	ReportedLimit     float64             `json:"Limit"`
	PaceFactor        float64             `json:"Boost"`
	RetryAfterUntil   Time                `json:"WaitUntil"`
	BackoffUntil      Time                `json:"PauseUntil"`
	RejectionRunStart Time                `json:"FullAt"`
	RejectionRun      int                 `json:"FullRun"`
	Tokens            TokenBucketSnapshot `json:"Tokens"`
	Latency           LatencySnapshot     `json:"Latency"`
}

// EndpointSnapshot is what a policy has seen of one endpoint's health.
type EndpointSnapshot struct {
	Endpoint          Endpoint            `json:"Endpoint"`
	FailureScore      float64             `json:"Score"`
	NextCallCost      float64             `json:"Need"`
	IsEjected         bool                `json:"Sick"`
	IsUnresponsive    bool                `json:"Mute"`
	BackoffUntil      Time                `json:"RestUntil"`
	FirstFailureAt    Time                `json:"FirstBad"`
	LastFailureAt     Time                `json:"BadAt"`
	RecoveredAt       Time                `json:"GoodAt"`
	RecoverySentAt    Time                `json:"GoodSent"`
	LastSuccessAt     Time                `json:"OkAt"`
	LastSuccessSentAt Time                `json:"OkSent"`
	RecoveryBudget    TokenBucketSnapshot `json:"Budget"`
	Latency           LatencySnapshot     `json:"Latency"`
}

// BinSnapshot is one bin of a call history and the time at which the bin begins.
type BinSnapshot struct {
	At       Time    `json:"At"`
	Requests float64 `json:"Requests"`
	Accepts  float64 `json:"Accepts"`
}

// TokenBucketSnapshot is the state of a token bucket.
type TokenBucketSnapshot struct {
	RefilledAt Time    `json:"At"`
	Tokens     float64 `json:"Tokens"`
	IsStarted  bool    `json:"Used"`
}

// LatencySnapshot is a smoothed mean latency and its mean deviation, in microseconds.
type LatencySnapshot struct {
	Mean      float64 `json:"Mean"`
	Deviation float64 `json:"Dev"`
	Samples   int     `json:"N"`
}

// Snapshot returns a copy of what the policy has learned so far.
func (p *Policy) Snapshot() Snapshot {
	snapshot := Snapshot{Latency: p.latency.snapshot(), ConnectionShortage: p.connectionShortage}
	for _, dest := range p.destinations {
		for _, route := range dest.routes {
			snapshot.Routes = append(snapshot.Routes, route.snapshot())
		}
	}
	return snapshot
}

func (route *routeState) snapshot() RouteSnapshot {
	snapshot := RouteSnapshot{
		History:           route.history.snapshot(),
		Window:            route.window,
		NominalRate:       route.nominalRate,
		ReportedLimit:     route.reportedLimit,
		PaceFactor:        route.paceFactor,
		RetryAfterUntil:   route.retryAfterUntil,
		BackoffUntil:      route.backoffUntil,
		RejectionRunStart: route.rejectionRunStart,
		RejectionRun:      route.rejectionRun,
		Tokens:            route.tokens.snapshot(),
		Latency:           route.latency.snapshot(),
	}
	for _, endpoint := range route.endpoints {
		snapshot.Endpoints = append(snapshot.Endpoints, endpoint.snapshot())
	}
	return snapshot
}

func (endpoint *endpointState) snapshot() EndpointSnapshot {
	return EndpointSnapshot{
		Endpoint:          endpoint.id,
		FailureScore:      endpoint.failureScore,
		NextCallCost:      endpoint.nextCallCost,
		IsEjected:         endpoint.isEjected,
		IsUnresponsive:    endpoint.isUnresponsive,
		BackoffUntil:      endpoint.backoffUntil,
		FirstFailureAt:    endpoint.firstFailureAt,
		LastFailureAt:     endpoint.lastFailureAt,
		RecoveredAt:       endpoint.recoveredAt,
		RecoverySentAt:    endpoint.recoverySentAt,
		LastSuccessAt:     endpoint.lastSuccessAt,
		LastSuccessSentAt: endpoint.lastSuccessSentAt,
		RecoveryBudget:    endpoint.recoveryBudget.snapshot(),
		Latency:           endpoint.latency.snapshot(),
	}
}

// snapshot returns the bins that hold something, the oldest first. The first bin of the history is
// included even if it is empty, since its time says when the history started.
func (h *callHistory) snapshot() []BinSnapshot {
	if !h.isStarted {
		return nil
	}
	var bins []BinSnapshot
	size := Time(len(h.bins))
	for n := max(h.newestBin-size+1, 0); n <= h.newestBin; n++ {
		bin := h.bins[n%size]
		isEmpty := bin == historyBin{}
		if n >= h.startedAt/h.binWidth && (!isEmpty || len(bins) == 0) {
			bins = append(bins, BinSnapshot{max(n*h.binWidth, h.startedAt), bin.requests, bin.accepts})
		}
	}
	return bins
}

func (b tokenBucket) snapshot() TokenBucketSnapshot {
	return TokenBucketSnapshot{RefilledAt: b.refilledAt, Tokens: b.tokens, IsStarted: b.isStarted}
}

func (l latencyEstimate) snapshot() LatencySnapshot {
	return LatencySnapshot{Mean: l.mean, Deviation: l.deviation, Samples: l.samples}
}

// Restore takes over what an earlier policy had learned about the endpoints on this policy's list,
// and ignores other endpoints. clockShift is how far this host's clock is ahead of the earlier
// host's, in microseconds.
func (p *Policy) Restore(snapshot Snapshot, clockShift Time) {
	p.latency = snapshot.Latency.restored()
	if len(snapshot.ConnectionShortage) == len(p.connectionShortage) {
		copy(p.connectionShortage, snapshot.ConnectionShortage)
	}
	clock := shiftedClock(clockShift)
	for i := range snapshot.Routes {
		p.restoreRoute(&snapshot.Routes[i], clock)
	}
}

// restoreRoute restores the route to which the snapshot's endpoints belong now.
func (p *Policy) restoreRoute(snapshot *RouteSnapshot, clock shiftedClock) {
	var route *routeState
	for i := range snapshot.Endpoints {
		if endpoint := p.endpoints[snapshot.Endpoints[i].Endpoint]; endpoint != nil {
			endpoint.restore(&snapshot.Endpoints[i], clock)
			route = endpoint.route
		}
	}
	if route == nil {
		return
	}
	route.restore(snapshot, clock)
	p.lowestLimits[route.dest.kindIndex].isStale = true
}

func (endpoint *endpointState) restore(snapshot *EndpointSnapshot, clock shiftedClock) {
	endpoint.failureScore = snapshot.FailureScore
	endpoint.nextCallCost = snapshot.NextCallCost
	endpoint.isEjected = snapshot.IsEjected
	endpoint.isUnresponsive = snapshot.IsUnresponsive
	endpoint.backoffUntil = clock.convert(snapshot.BackoffUntil)
	endpoint.firstFailureAt = clock.convert(snapshot.FirstFailureAt)
	endpoint.lastFailureAt = clock.convert(snapshot.LastFailureAt)
	endpoint.recoveredAt = clock.convert(snapshot.RecoveredAt)
	endpoint.recoverySentAt = clock.convert(snapshot.RecoverySentAt)
	endpoint.lastSuccessAt = clock.convert(snapshot.LastSuccessAt)
	endpoint.lastSuccessSentAt = clock.convert(snapshot.LastSuccessSentAt)
	endpoint.recoveryBudget = snapshot.RecoveryBudget.restored(clock)
	endpoint.latency = snapshot.Latency.restored()
}

func (route *routeState) restore(snapshot *RouteSnapshot, clock shiftedClock) {
	route.window = snapshot.Window
	route.reportedLimit = snapshot.ReportedLimit
	route.paceFactor = snapshot.PaceFactor
	if route.nominalRate == 0 { // otherwise the endpoint list has set it
		route.nominalRate = snapshot.NominalRate
	}
	route.retryAfterUntil = clock.convert(snapshot.RetryAfterUntil)
	route.backoffUntil = clock.convert(snapshot.BackoffUntil)
	route.rejectionRunStart = clock.convert(snapshot.RejectionRunStart)
	route.rejectionRun = snapshot.RejectionRun
	route.tokens = snapshot.Tokens.restored(clock)
	route.latency = snapshot.Latency.restored()
	for _, bin := range snapshot.History {
		route.history.add(clock.convert(bin.At), historyBin{bin.Requests, bin.Accepts})
	}
}

func (s TokenBucketSnapshot) restored(clock shiftedClock) tokenBucket {
	return tokenBucket{refilledAt: clock.convert(s.RefilledAt), tokens: s.Tokens, isStarted: s.IsStarted}
}

func (s LatencySnapshot) restored() latencyEstimate {
	return latencyEstimate{mean: s.Mean, deviation: s.Deviation, samples: s.Samples}
}

// shiftedClock is how far this host's clock is ahead of another host's.
type shiftedClock Time

// convert translates a time of the other host's clock to this host's. A time of 0, which means
// none, stays 0.
func (shift shiftedClock) convert(otherTime Time) Time {
	if otherTime == 0 {
		return 0
	}
	return max(otherTime+Time(shift), 1)
}
