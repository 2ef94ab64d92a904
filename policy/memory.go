package policy

// What one policy leaves to the next when another process of the same relay
// takes over: a plain copy, for the host to carry. Nothing is decided here.

// Snapshot is what a policy has learned of the destinations on its list.
type Snapshot struct {
	Routes             []RouteSnapshot `json:"Lanes"`
	Latency            LatencySnapshot `json:"Latency"`
	ConnectionShortage []float64       `json:"Tight"`
}

// RouteSnapshot is what one limit, one wait and one history bind.
type RouteSnapshot struct {
	Endpoints  []EndpointSnapshot  `json:"Endpoints"`
	History    []BinSnapshot       `json:"History"`
	Window     float64             `json:"Window"`
	Nominal    float64             `json:"Nominal"`
	Limit      float64             `json:"Limit"`
	Boost      float64             `json:"Boost"`
	WaitUntil  Time                `json:"WaitUntil"`
	PauseUntil Time                `json:"PauseUntil"`
	FullAt     Time                `json:"FullAt"`
	FullRun    int                 `json:"FullRun"`
	Tokens     TokenBucketSnapshot `json:"Tokens"`
	Latency    LatencySnapshot     `json:"Latency"`
}

// EndpointSnapshot is what was seen of one endpoint's health.
type EndpointSnapshot struct {
	Endpoint  Endpoint            `json:"Endpoint"`
	Score     float64             `json:"Score"`
	Need      float64             `json:"Need"`
	Sick      bool                `json:"Sick"`
	Mute      bool                `json:"Mute"`
	RestUntil Time                `json:"RestUntil"`
	FirstBad  Time                `json:"FirstBad"`
	BadAt     Time                `json:"BadAt"`
	GoodAt    Time                `json:"GoodAt"`
	GoodSent  Time                `json:"GoodSent"`
	OkAt      Time                `json:"OkAt"`
	OkSent    Time                `json:"OkSent"`
	Budget    TokenBucketSnapshot `json:"Budget"`
	Latency   LatencySnapshot     `json:"Latency"`
}

// BinSnapshot is one step of a history.
type BinSnapshot struct {
	At       Time    `json:"At"`
	Requests float64 `json:"Requests"`
	Accepts  float64 `json:"Accepts"`
}

// TokenBucketSnapshot is a token bucket.
type TokenBucketSnapshot struct {
	At     Time    `json:"At"`
	Tokens float64 `json:"Tokens"`
	Used   bool    `json:"Used"`
}

// LatencySnapshot is a smoothed mean and deviation.
type LatencySnapshot struct {
	Mean float64 `json:"Mean"`
	Dev  float64 `json:"Dev"`
	N    int     `json:"N"`
}

func (b bucket) memory() TokenBucketSnapshot { return TokenBucketSnapshot{b.at, b.tokens, b.used} }
func (l latency) memory() LatencySnapshot    { return LatencySnapshot{l.mean, l.dev, l.n} }
func (m LatencySnapshot) recalled() latency  { return latency{m.Mean, m.Dev, m.N} }

// Snapshot gives what the policy has learned by now.
func (p *Policy) Snapshot() Snapshot {
	m := Snapshot{Latency: p.lat.memory(), ConnectionShortage: p.tight}
	for _, d := range p.dests {
		for _, l := range d.lanes {
			x := RouteSnapshot{History: l.hist.memory(), Window: l.window, Nominal: l.nominal, Limit: l.limit, Boost: l.boost,
				WaitUntil: l.waitUntil, PauseUntil: l.pauseUntil, FullAt: l.fullAt, FullRun: l.fullRun,
				Tokens: l.tokens.memory(), Latency: l.lat.memory()}
			for _, ep := range l.eps {
				x.Endpoints = append(x.Endpoints, EndpointSnapshot{Endpoint: ep.id, Score: ep.score, Need: ep.need, Sick: ep.sick,
					Mute: ep.mute, RestUntil: ep.restUntil, FirstBad: ep.firstBad, BadAt: ep.badAt, GoodAt: ep.goodAt,
					GoodSent: ep.goodSent, OkAt: ep.okAt, OkSent: ep.okSent, Budget: ep.budget.memory(), Latency: ep.lat.memory()})
			}
			m.Routes = append(m.Routes, x)
		}
	}
	return m
}

// Restore takes in what an earlier policy had learned of the endpoints that are
// on this one's list. shift is what this host's clock shows more than that one's.
func (p *Policy) Restore(m Snapshot, shift Time) {
	at := func(t Time) Time { // a moment; 0 is none
		if t == 0 {
			return 0
		}
		return max(t+shift, 1)
	}
	tokens := func(b TokenBucketSnapshot) bucket { return bucket{at(b.At), b.Tokens, b.Used} }
	p.lat = m.Latency.recalled()
	if len(m.ConnectionShortage) == len(p.tight) {
		copy(p.tight, m.ConnectionShortage)
	}
	for i := range m.Routes {
		x := &m.Routes[i]
		var l *lane
		for _, y := range x.Endpoints {
			ep := p.eps[y.Endpoint]
			if ep == nil {
				continue
			}
			l = ep.lane
			ep.score, ep.need, ep.sick, ep.mute = y.Score, y.Need, y.Sick, y.Mute
			ep.restUntil, ep.firstBad, ep.badAt = at(y.RestUntil), at(y.FirstBad), at(y.BadAt)
			ep.goodAt, ep.goodSent, ep.okAt, ep.okSent = at(y.GoodAt), at(y.GoodSent), at(y.OkAt), at(y.OkSent)
			ep.budget, ep.lat = tokens(y.Budget), y.Latency.recalled()
		}
		if l == nil {
			continue
		}
		l.window, l.limit, l.boost = x.Window, x.Limit, x.Boost
		p.leastLimits[l.dest.kindAt].stale = true
		if l.nominal == 0 { // else the list tells
			l.nominal = x.Nominal
		}
		l.waitUntil, l.pauseUntil = at(x.WaitUntil), at(x.PauseUntil)
		l.fullAt, l.fullRun = at(x.FullAt), x.FullRun
		l.tokens, l.lat = tokens(x.Tokens), x.Latency.recalled()
		for _, b := range x.History {
			bin := l.hist.roll(at(b.At))
			bin[0], bin[1] = bin[0]+b.Requests, bin[1]+b.Accepts
			l.hist.sum[0], l.hist.sum[1] = l.hist.sum[0]+b.Requests, l.hist.sum[1]+b.Accepts
		}
	}
}

// memory gives the steps that hold something, the oldest first.
func (c *counter) memory() []BinSnapshot {
	var all []BinSnapshot
	size := Time(len(c.bins))
	for n := max(c.at-size+1, 0); c.hasStart && n <= c.at; n++ {
		if b := c.bins[n%size]; n >= c.started/c.width && (b != [2]float64{} || len(all) == 0) { // the first tells the start
			all = append(all, BinSnapshot{max(n*c.width, c.started), b[0], b[1]})
		}
	}
	return all
}
