package policy

// What one policy leaves to the next when another process of the same relay
// takes over: a plain copy, for the host to carry. Nothing is decided here.

// Memory is what a policy has learned of the destinations on its list.
type Memory struct {
	Lanes   []LaneMemory
	Latency LatencyMemory
	Tight   []float64
}

// LaneMemory is what one limit, one wait and one history bind.
type LaneMemory struct {
	Endpoints                     []EndpointMemory
	History                       []BinMemory
	Window, Nominal, Limit, Boost float64
	WaitUntil, PauseUntil, FullAt Time
	FullRun                       int
	Tokens                        BucketMemory
	Latency                       LatencyMemory
}

// EndpointMemory is what was seen of one endpoint's health.
type EndpointMemory struct {
	Endpoint                       Endpoint
	Score, Need                    float64
	Sick, Mute                     bool
	RestUntil, FirstBad, BadAt     Time
	GoodAt, GoodSent, OkAt, OkSent Time
	Budget                         BucketMemory
	Latency                        LatencyMemory
}

// BinMemory is one step of a history.
type BinMemory struct {
	At                Time
	Requests, Accepts float64
}

// BucketMemory is a token bucket.
type BucketMemory struct {
	At     Time
	Tokens float64
	Used   bool
}

// LatencyMemory is a smoothed mean and deviation.
type LatencyMemory struct {
	Mean, Dev float64
	N         int
}

func (b bucket) memory() BucketMemory     { return BucketMemory{b.at, b.tokens, b.used} }
func (l latency) memory() LatencyMemory   { return LatencyMemory{l.mean, l.dev, l.n} }
func (m LatencyMemory) recalled() latency { return latency{m.Mean, m.Dev, m.N} }

// Memory gives what the policy has learned by now.
func (p *Policy) Memory() Memory {
	m := Memory{Latency: p.lat.memory(), Tight: p.tight}
	for _, d := range p.dests {
		for _, l := range d.lanes {
			x := LaneMemory{History: l.hist.memory(), Window: l.window, Nominal: l.nominal, Limit: l.limit, Boost: l.boost,
				WaitUntil: l.waitUntil, PauseUntil: l.pauseUntil, FullAt: l.fullAt, FullRun: l.fullRun,
				Tokens: l.tokens.memory(), Latency: l.lat.memory()}
			for _, ep := range l.eps {
				x.Endpoints = append(x.Endpoints, EndpointMemory{Endpoint: ep.id, Score: ep.score, Need: ep.need, Sick: ep.sick,
					Mute: ep.mute, RestUntil: ep.restUntil, FirstBad: ep.firstBad, BadAt: ep.badAt, GoodAt: ep.goodAt,
					GoodSent: ep.goodSent, OkAt: ep.okAt, OkSent: ep.okSent, Budget: ep.budget.memory(), Latency: ep.lat.memory()})
			}
			m.Lanes = append(m.Lanes, x)
		}
	}
	return m
}

// Recall takes in what an earlier policy had learned of the endpoints that are
// on this one's list. shift is what this host's clock shows more than that one's.
func (p *Policy) Recall(m Memory, shift Time) {
	at := func(t Time) Time { // a moment; 0 is none
		if t == 0 {
			return 0
		}
		return max(t+shift, 1)
	}
	tokens := func(b BucketMemory) bucket { return bucket{at(b.At), b.Tokens, b.Used} }
	p.lat = m.Latency.recalled()
	if len(m.Tight) == len(p.tight) {
		copy(p.tight, m.Tight)
	}
	for i := range m.Lanes {
		x := &m.Lanes[i]
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
func (c *counter) memory() []BinMemory {
	var all []BinMemory
	size := Time(len(c.bins))
	for n := max(c.at-size+1, 0); c.hasStart && n <= c.at; n++ {
		if b := c.bins[n%size]; n >= c.started/c.width && (b != [2]float64{} || len(all) == 0) { // the first tells the start
			all = append(all, BinMemory{max(n*c.width, c.started), b[0], b[1]})
		}
	}
	return all
}
