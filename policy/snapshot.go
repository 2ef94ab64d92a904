package policy

// Snapshot is what a policy has learned of the destinations on its list: a plain copy for the host
// to carry to the next process of the same relay. Processes of different versions read each other's
// JSON, so the keys stay.
type Snapshot struct {
	Routes             []RouteSnapshot `json:"Lanes"`
	Latency            LatencySnapshot `json:"Latency"`
	ConnectionShortage []float64       `json:"Tight"`
}

// RouteSnapshot is what is known of one route. Times are those of the host that made it.
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

// EndpointSnapshot is what was seen of one endpoint's health.
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

// BinSnapshot is one step of a call history.
type BinSnapshot struct {
	At       Time    `json:"At"`
	Requests float64 `json:"Requests"`
	Accepts  float64 `json:"Accepts"`
}

// TokenBucketSnapshot is a token bucket.
type TokenBucketSnapshot struct {
	RefilledAt Time    `json:"At"`
	Tokens     float64 `json:"Tokens"`
	IsStarted  bool    `json:"Used"`
}

// LatencySnapshot is a smoothed mean and mean deviation in microseconds.
type LatencySnapshot struct {
	Mean      float64 `json:"Mean"`
	Deviation float64 `json:"Dev"`
	Samples   int     `json:"N"`
}

// Snapshot copies what the policy has learned by now.
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

// snapshot gives the steps that hold something, the oldest first, and the first one in any case: it
// says when the history started.
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

// Restore takes over what an earlier policy had learned of the endpoints that are on this one's
// list; it passes over others. clockShift is what this host's clock shows more than that one's, in
// microseconds.
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

// restoreRoute restores the route that the snapshot's endpoints are on now.
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
	endpoint.backoffUntil = clock.at(snapshot.BackoffUntil)
	endpoint.firstFailureAt = clock.at(snapshot.FirstFailureAt)
	endpoint.lastFailureAt = clock.at(snapshot.LastFailureAt)
	endpoint.recoveredAt = clock.at(snapshot.RecoveredAt)
	endpoint.recoverySentAt = clock.at(snapshot.RecoverySentAt)
	endpoint.lastSuccessAt = clock.at(snapshot.LastSuccessAt)
	endpoint.lastSuccessSentAt = clock.at(snapshot.LastSuccessSentAt)
	endpoint.recoveryBudget = snapshot.RecoveryBudget.restored(clock)
	endpoint.latency = snapshot.Latency.restored()
}

func (route *routeState) restore(snapshot *RouteSnapshot, clock shiftedClock) {
	route.window = snapshot.Window
	route.reportedLimit = snapshot.ReportedLimit
	route.paceFactor = snapshot.PaceFactor
	if route.nominalRate == 0 { // else the list has given it
		route.nominalRate = snapshot.NominalRate
	}
	route.retryAfterUntil = clock.at(snapshot.RetryAfterUntil)
	route.backoffUntil = clock.at(snapshot.BackoffUntil)
	route.rejectionRunStart = clock.at(snapshot.RejectionRunStart)
	route.rejectionRun = snapshot.RejectionRun
	route.tokens = snapshot.Tokens.restored(clock)
	route.latency = snapshot.Latency.restored()
	for _, bin := range snapshot.History {
		route.history.add(clock.at(bin.At), historyBin{bin.Requests, bin.Accepts})
	}
}

func (s TokenBucketSnapshot) restored(clock shiftedClock) tokenBucket {
	return tokenBucket{refilledAt: clock.at(s.RefilledAt), tokens: s.Tokens, isStarted: s.IsStarted}
}

func (s LatencySnapshot) restored() latencyEstimate {
	return latencyEstimate{mean: s.Mean, deviation: s.Deviation, samples: s.Samples}
}

// shiftedClock is what this host's clock shows more than another's.
type shiftedClock Time

// at is a moment of the other host on this one's clock; 0 stays 0, which is none.
func (shift shiftedClock) at(moment Time) Time {
	if moment == 0 {
		return 0
	}
	return max(moment+Time(shift), 1)
}
