// Package policy makes every decision of a relay; its interface (settings, events, actions) is api.go.
// The ordinary path is adaptive throttling for each destination (requests against accepts, a capped drop
// chance) with a window on calls in flight; what departs from it names its condition at its place. What is
// remembered is in state.go.
package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	second      = Time(1e6)
	historySpan = 10 * second // requests and accepts are counted over this
	historyBins = 20
	accepts     = 2.0 // K of the formula
	prior       = 2.0 // accepts that a destination has to its credit: a few calls tell nothing
	dropCap     = 0.9 // P1: some attempts always pass
	slotShare   = 0.75
	failShare   = 0.5  // the same while the destination fails
	boostFall   = 0.75 // pace after a refusal
	boostRise   = 1.08 // pace after a success that the pace had kept waiting
	boostLeast  = 0.5
	shareRoot   = 0.75 // a share is the rate over relays to this power: small streams need room
	scoreKeep   = 0.7  // weight of the past in an endpoint's failure score
	scoreSick   = 0.6  // most calls fail: three in a row from a clean start pass it
	restGrowth  = 3.0  // a rest after a failure, to the time since the first of the run, with many relays
	fullRunSick = 2    // refusals in a row, half a fall time apart, with no success between: shut, not busy
	crowdSick   = 5    // the same where it holds no more connections
	budgetPart  = 1.0  // part of the fail-back budget that is used
	sharerPart  = 2.0  // relays thought to want a trial, to the messages that an outage has kept waiting
	unsafeWait  = 4    // times as long a call of unsafe messages is waited for under slot pressure
	heldReserve = 16   // one part in so many of the room is kept free
	noConnTight = 0.05 // share of calls without a connection above which connections are taken to run out
	tightRise   = 0.5  // weight of a call without one in that share: a relay sees few of what all do
	tightSpan   = 100  // calls over which it falls again
	overduePart = 0.33 // of the slots, held by calls that take longer than is usual: too many
	silentMany  = 0.04 // share of calls with no answer above which hanging is held to be usual
	silentSpan  = 50   // calls over which that share is told

	headMost  = 512        // messages of one destination in memory: what a queue costs grows with them
	leastMost = 8          // of each destination in memory where many have a backlog
	loadLead  = 2 * second // before its time is up a spilled message is loaded: a load may wait for others

	drainHeed = 6 * second / 10 // from the first no until connections are closed: word of it takes a while
)

// New makes a policy from its settings; the seed feeds all its draws.
func New(s Settings, seed uint64) (*Policy, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	p := &Policy{set: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), eps: map[Endpoint]*endpoint{},
		msgs: map[uint32]*message{}, lines: map[uint64]*line{}, tenants: make([]bucket, len(s.Tenants))}
	p.tight = make([]float64, max(len(s.Kinds), 1))
	p.leastLimits = make([]leastLimit, max(len(s.Kinds), 1))
	p.set.Classes = slices.Clone(s.Classes)
	p.set.StreamsPerConnection = max(s.StreamsPerConnection, 1)
	p.set.Tick = max(s.Tick, second/1000)
	return p, nil
}

// Step takes what has happened by now and appends what to do about it.
func (p *Policy) Step(now Time, events []Event, actions []Action) []Action {
	p.now, p.out = max(now, p.now), actions
	if p.set.PollList && (p.asked == 0 || p.now-p.asked >= p.set.PollInterval/2) {
		p.asked = p.now
		p.act(Action{Kind: ActionWatchList})
	}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case EventListUpdate:
			p.members(e)
		case EventMessage:
			p.admit(e)
		case EventAttemptDone:
			p.outcome(e)
		case EventDrain:
			p.drainOff()
		case EventActivate:
			p.activate()
		case EventResponseStarted, EventWithdraw:
			m := p.msgs[e.Message]
			if e.Spilled {
				p.back(e)
			} else if m != nil && (e.Kind == EventWithdraw || m.call != nil && e.Attempt == m.tries-1) {
				p.finish(m)
			}
		}
	}
	p.expire()
	p.shed()
	p.dispatch()
	p.refill()
	p.arm()
	out := p.out
	p.out = nil
	return out
}

// ---- membership

// members takes news of the list. What is draining or gone gets nothing new from this moment on.
func (p *Policy) members(e *Event) {
	if e.ListUpdate == ListFailed {
		return // asked again by the clock
	}
	seen := map[Endpoint]bool{}
	for i := range e.Entries {
		x := &e.Entries[i]
		seen[x.Endpoint] = true
		ep := p.eps[x.Endpoint]
		if ep != nil && ep.lane.dest.id != x.Dest { // it moved: nothing of the old place may be sent to
			p.leave(ep)
			ep = nil
		}
		switch {
		case x.State == Removed:
			if ep != nil {
				p.leave(ep)
			}
			continue
		case ep == nil:
			ep = p.join(x)
		}
		ep.state, ep.zone = x.State, x.Zone
		if p.set.ListedRates && x.Rate > 0 {
			ep.lane.nominal = x.Rate
		}
		p.touch(ep.lane.dest)
	}
	if e.ListUpdate == ListFull || e.ListUpdate == ListCached {
		for id, ep := range p.eps { // each leaves by itself: the order does not matter
			if !seen[id] {
				p.leave(ep)
			}
		}
	}
}

// leave lets go of an endpoint, sick or not; calls still out there keep their place in the books. A route
// with a wait in force stays, so that the wait binds it if it comes back.
func (p *Policy) leave(ep *endpoint) {
	ep.state = Removed
	l := ep.lane
	if p.eps[ep.id] == ep && (!l.dest.kind.SeparateRoutes || l.waitUntil <= p.now) {
		delete(p.eps, ep.id)
	}
	l.eps = slices.DeleteFunc(l.eps, func(x *endpoint) bool { return x == ep })
	if l.dest.kind.SeparateRoutes {
		p.leastLimits[l.dest.kindAt].stale = true
		l.dest.lanes = slices.DeleteFunc(l.dest.lanes, func(x *lane) bool { return x == l })
	}
}

func (p *Policy) join(x *Entry) *endpoint {
	d := p.dest(x.Dest)
	if x.Kind >= 0 && x.Kind < len(p.set.Kinds) {
		if d.kindAt != x.Kind && len(d.lanes) > 0 {
			p.leastLimits[d.kindAt].stale, p.leastLimits[x.Kind].stale = true, true
		}
		d.kind, d.kindAt = p.set.Kinds[x.Kind], x.Kind
	}
	d.kind.MaxBatch = max(d.kind.MaxBatch, 1)
	if len(d.lanes) == 0 || d.kind.SeparateRoutes {
		d.lanes = append(d.lanes, &lane{dest: d, window: 1, boost: 1,
			hist: newCounter(historySpan, historyBins)})
	}
	l := d.lanes[len(d.lanes)-1]
	if old := p.eps[x.Endpoint]; old != nil && d.kind.SeparateRoutes {
		l.waitUntil = old.lane.waitUntil
	}
	ep := &endpoint{id: x.Endpoint, lane: l}
	l.eps = append(l.eps, ep)
	p.eps[x.Endpoint] = ep
	return ep
}

// ---- admit and hold

// admit takes a message into the queue of its destination.
func (p *Policy) admit(e *Event) {
	if p.msgs[e.Message] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(p.set.Classes) {
		p.act(Action{Kind: ActionReject, Message: e.Message}) // nothing is known of it, and nothing has run
		return
	}
	c := &p.set.Classes[e.Class]
	m := &message{id: e.Message, key: e.Key, class: c, dest: p.dest(e.Dest), worth: c.Weight,
		kept: e.Recovered && e.UnknownOutcomeAt == 0, stays: e.NeverSpill}
	m.deadline = p.now + max(e.TimeLeft, 0)
	m.aimAt = m.deadline - c.Deadline + c.LatencyObjective
	if p.set.WeightByCost && e.EstimatedCost > 0 {
		m.worth *= float64(e.EstimatedCost)
	}
	if e.Spilled {
		p.back(e)
		m.overShare = e.OverQuota // as found when it was taken on
	} else if e.Tenant >= 0 && e.Tenant < len(p.tenants) && p.set.Tenants[e.Tenant].Quota > 0 {
		// Tenants over their share come last. The share is judged by this relay's part alone.
		part := p.set.Tenants[e.Tenant].Quota / float64(p.set.Relays)
		b := &p.tenants[e.Tenant]
		m.overShare = !b.take(p.now, 1, part, max(part, 1))
	}
	if m.overShare {
		m.worth *= p.set.OverQuotaWeight
	}
	p.msgs[m.id] = m
	m.place = len(p.live)
	p.live = append(p.live, m)
	p.lookAt(m.deadline-p.margin(), m)
	if p.resume(m, e); m.call == nil {
		m.dest.queue = append(m.dest.queue, m)
	}
	p.touch(m.dest)
	if c.Ordered && m.key != 0 {
		l := p.lines[m.key]
		if l == nil {
			l = &line{}
			p.lines[m.key] = l
		}
		if l.join(m, e.Spilled); l.follows(m) && !m.stays && p.now < m.deadline-p.margin() {
			p.spill(m)
		}
	}
	if !e.Spilled || p.loadBy(m) > p.now { // what is due makes no other have to leave: many may be at once
		p.trim(m.dest)
	}
}

// value is what a message is worth if it is delivered then.
func (p *Policy) value(m *message, then Time) float64 {
	switch {
	case then <= m.aimAt:
		return m.worth
	case then > m.deadline:
		return 0
	case p.set.HalvingWeight:
		half := math.Exp2(-float64(then-m.aimAt) / float64(max(m.class.LatencyObjective, 1)))
		return m.worth * max(m.class.LateWeight, half)
	}
	gone := float64(then-m.aimAt) / float64(max(m.deadline-m.aimAt, 1))
	return m.worth * (1 - (1-m.class.LateWeight)*gone)
}

// drain is how long the destination takes for what waits there, as far as this relay can tell.
func (p *Policy) drain(d *dest) Time {
	rate := 0.0
	for _, l := range d.lanes {
		rate += p.pace(l)
	}
	wait := float64(len(d.queue)+d.spilled) / max(rate*float64(d.kind.MaxBatch), 0.1)
	return Time(min(wait, 60)*1e6) + p.usual(d)
}

func (p *Policy) usual(d *dest) Time {
	if len(d.lanes) > 0 && d.lanes[0].lat.n > 0 {
		return Time(d.lanes[0].lat.mean)
	}
	if p.lat.n > 0 {
		return Time(p.lat.mean)
	}
	return p.set.Classes[0].LatencyObjective / 4
}

// shed keeps a little room: a message turned away unseen may be worth more than the least one held, and those
// whose destination is out or resting for long must not take the room of the others.
func (p *Policy) shed() {
	reserve := max(1, p.set.MaxMessages/heldReserve)
	for p.set.MaxMessages > 0 && len(p.live)+p.spilled > p.set.MaxMessages-reserve {
		var least *message
		low := math.Inf(1)
		p.shedLooks++
		for _, m := range p.live {
			if p.refusable(m) && !m.kept {
				if v := p.value(m, min(p.clear(m.dest), m.deadline)); v < low {
					least, low = m, v
				}
			}
		}
		if least == nil {
			return
		}
		p.end(least)
	}
}

// clear is when what waits at a destination will have gone, worked out once in a look.
func (p *Policy) clear(d *dest) Time {
	if d.clearIn != p.shedLooks {
		d.clearIn = p.shedLooks
		if d.clearAt = p.opens(d); d.clearAt == math.MaxInt64 { // an answer, not the time, lets it go
			d.clearAt = p.now
		}
		d.clearAt += p.drain(d)
	}
	return d.clearAt
}

// ---- settle

// refusable: only what cannot have run, or may run again, may be handed back.
func (p *Policy) refusable(m *message) bool {
	if m.call != nil || m.doubtAt == 0 || m.class.Idempotency == Idempotent {
		return m.call == nil
	}
	return m.class.Idempotency == IdempotentByKey && !m.class.DedupPerZone &&
		p.now-m.doubtAt < m.class.DedupWindow
}

// end gives the one final answer of a message that was not delivered. Nothing else does.
func (p *Policy) end(m *message) {
	if m.over {
		return
	}
	if p.refusable(m) {
		a := Action{Kind: ActionReject, Message: m.id}
		if p.set.RetryAfter {
			a.Delay = min(p.drain(m.dest), p.set.MaxRetryAfter)
		}
		p.act(a)
	} else {
		p.act(Action{Kind: ActionFail, Message: m.id})
	}
	p.finish(m)
}

// finish forgets a message that is owed nothing more; an attempt still out keeps its place in the books.
func (p *Policy) finish(m *message) {
	if m.over {
		return
	}
	m.over = true
	if m.call != nil {
		p.aloft--
	}
	last := p.live[len(p.live)-1]
	p.live[m.place], last.place = last, m.place
	p.live = p.live[:len(p.live)-1]
	m.dest.queue = slices.DeleteFunc(m.dest.queue, func(x *message) bool { return x == m })
	p.lacks(m.dest)
	p.sweep()
	if m.call == nil {
		p.forget(m)
	}
}

// forget drops the last trace of an ended message and gives its turn away.
func (p *Policy) forget(m *message) {
	delete(p.msgs, m.id)
	if l := p.lines[m.key]; l != nil && m.class.Ordered {
		l.part(m)
		p.next(m.key, l)
	}
}

// next gives the first of a line its turn; a line with none is dropped once its rest is over.
func (p *Policy) next(key uint64, l *line) {
	for _, x := range l.turns[:min(1, len(l.turns))] {
		p.touch(x.dest)
	}
	if len(l.turns) == 0 {
		p.put(l.rest, func() {
			if len(l.turns) == 0 && l.spilled == 0 && l.rest <= p.now {
				delete(p.lines, key)
			}
		})
	}
}

// expire does what was put off to this moment.
func (p *Policy) expire() {
	for t, ok := p.later.due(p.now); ok; t, ok = p.later.due(p.now) {
		if t.look != nil {
			p.look(t.look)
		} else {
			t.run()
		}
	}
}

// look ends a message that would run out of time before the next look, or that can never be sent again.
func (p *Policy) look(m *message) {
	if m.over || p.now < m.deadline-p.margin() && (m.call != nil || !p.spent(m)) {
		return
	}
	if m.call != nil && p.set.Cancellation {
		p.act(Action{Kind: ActionCancel, Message: m.id, Attempt: m.tries - 1})
	}
	p.end(m)
}

// giveBack closes the idle connections of an endpoint that has not been used since.
func (p *Policy) giveBack(ep *endpoint) {
	left := ep.idleAt + p.keep(ep) - p.now
	if ep.watched = ep.flying == 0 && left > 0; ep.watched {
		p.put(p.now+min(left, p.set.KeepAlive/8+1), func() { p.giveBack(ep) }) // keep may have changed
	} else if ep.flying == 0 {
		ep.conns = 0
		p.act(Action{Kind: ActionCloseIdle, Endpoint: ep.id})
	}
}

func (p *Policy) margin() Time { return 3 * p.set.Tick }

// spent: no further attempt of this message is allowed, ever.
func (p *Policy) spent(m *message) bool {
	if m.tries >= 255 || p.set.MaxAttempts > 0 && m.tries >= p.set.MaxAttempts {
		return true
	}
	if m.doubtAt == 0 || m.class.Idempotency == Idempotent {
		return false
	}
	return m.class.Idempotency == NonIdempotent || p.now > p.repeatBy(m)
}

// repeatBy is the last moment at which a message that may have run can be sent again and still be known as
// the same; 0 where there is none. Waiting for a connection may take a call beyond it.
func (p *Policy) repeatBy(m *message) Time {
	if m.doubtAt == 0 || m.class.Idempotency != IdempotentByKey {
		return 0
	}
	return m.doubtAt + m.class.DedupWindow - 2*p.set.Tick
}

// outcome books the end of an attempt, for the message, its call, its endpoint and its lane.
func (p *Policy) outcome(e *Event) {
	m := p.msgs[e.Message]
	if m == nil || m.call == nil || e.Attempt != m.tries-1 || e.Outcome >= outcomeCount {
		return
	}
	c := m.call
	m.call = nil
	if !m.over {
		p.aloft--
	}
	c.left--
	if c.left == 0 {
		p.calls--
		c.ep.flying--
		c.ep.lane.flying--
		c.ep.lane.dest.flying--
		if c.ep.idleAt = p.now; c.ep.flying == 0 && p.set.KeepAlive > 0 && !c.ep.watched {
			p.giveBack(c.ep)
		}
	}
	p.touch(c.ep.lane.dest)
	if e.LocalFailure {
		p.unmade(m, c)
	} else if !c.noted { // the messages of a call share one fate, and count once
		c.noted = true
		p.observe(c, e)
	}
	if e.RetryAfter > 0 { // with whatever outcome: the answer to a batch may tell one too
		c.ep.lane.waitUntil = max(c.ep.lane.waitUntil, p.now+e.RetryAfter)
		for _, x := range c.ep.lane.eps { // what is saved up while it is closed would go at once
			x.budget.tokens, x.budget.at = 0, c.ep.lane.waitUntil
		}
	}
	doubtful := e.Outcome == TimedOut || e.Outcome == ConnectionReset || e.Outcome == Cancelled
	if l := p.lines[m.key]; l != nil && m.class.Ordered && doubtful {
		l.rest = max(l.rest, p.now+p.set.KeyCooldown)
	}
	if !e.Outcome.NeverRan() && e.Outcome != Delivered && m.doubtAt == 0 {
		p.doubt(m, c.sent, c.ep.zone)
	}
	if !e.LocalFailure {
		m.failedAt = c.ep
	}
	m.kept = m.kept && (e.Outcome == NotSent || e.Outcome == ConnectFailed)
	switch {
	case m.over:
		p.forget(m)
	case e.Outcome == Delivered || e.Final:
		p.finish(m)
	default:
		m.dest.queue = append(m.dest.queue, m)
		p.lookAt(p.now, m)
		p.trim(m.dest)
	}
}

// observe learns from how a call went.
func (p *Policy) observe(c *call, e *Event) {
	ep, l := c.ep, c.ep.lane
	l.unmadeRun = 0
	if e.Load.Limit > 0 {
		if slices.Contains(l.dest.lanes, l) {
			p.leastLimits[l.dest.kindAt].reported(l.limit, e.Load.Limit)
		}
		l.limit = e.Load.Limit
	}
	if t := &p.tight[l.dest.kindAt]; e.Outcome == ConnectFailed || p.noRoom(e) {
		*t += (1 - *t) * tightRise
	} else {
		*t -= *t / tightSpan
	}
	if e.Outcome == TimedOut || e.Outcome == Cancelled {
		p.silent += (1 - p.silent) / silentSpan
	} else {
		p.silent -= p.silent / silentSpan
	}
	switch e.Outcome {
	case Delivered:
		l.hist.accept(p.now)
		l.window = min(l.window+1, float64(p.set.MaxCalls))
		l.fullRun = 0
		l.lat.add(float64(e.Latency))
		ep.lat.add(float64(e.Latency))
		p.lat.add(float64(e.Latency))
		if l.bound {
			p.quicken(l, e.Load)
		}
		ep.crowd = 0
		p.healthy(ep, c.sent)
	case Rejected:
		if p.noRoom(e) {
			p.crowded(c)
			break
		}
		l.window = max(l.window/2, 1)
		p.slow(l)
		if l.fullRun++; l.fullRun == 1 {
			l.fullAt = p.now
		}
		if l.limit == 0 && l.nominal == 0 {
			l.nominal = max(p.capacity(l), p.leastLimit(l.dest)) // not a call a second for each relay
		}
		rate, _ := p.budgetRate(ep)
		age := float64(p.now-l.fullAt) / float64(second)
		objective := float64(c.msgs[0].class.LatencyObjective) / float64(second)
		turn := min(float64(p.set.Relays)/p.capacity(l), objective)
		gap := float64(second) * max(turn, 1/p.depth(l), min(1/rate, p.growth(l)*age))
		l.pauseUntil = p.now + Time(gap*(0.5+p.rng.Float64()))
		if e.RetryAfter > 0 { // all who were told wake together: each comes at a moment of its own
			l.pauseUntil = max(l.pauseUntil, p.now+e.RetryAfter+Time(turn*float64(second)*p.rng.Float64()))
		}
		long := l.fullRun >= fullRunSick && p.now-l.fullAt >= p.set.OverloadWindow/2
		if e.RetryAfter >= p.set.OverloadWindow || long && !e.Load.Present { // a limit reports its state
			ep.score = 1 // shut, however seldom it was asked
			p.failed(ep, c.sent, false)
		}
	case Cancelled: // it tells something only where nothing sent since has come back
		if ep.okAt <= c.sent {
			p.failed(ep, c.sent, true)
		}
	case TimedOut:
		l.window = max(l.window/2, 1)
		p.failed(ep, c.sent, true)
	case ConnectFailed:
		ep.conns = ep.flying
		l.tokens.tokens++ // it took nothing of the limit
		p.failed(ep, c.sent, true)
	case Errored, ConnectionReset:
		p.failed(ep, c.sent, false)
	}
}

// The pace of a lane grows with a success that it had kept waiting and falls with a refusal. A relay that
// calls often does so in small steps. For one that calls seldom they would take longer than an overload may
// The pace of a lane grows with a success that it had kept waiting and falls with a refusal. A relay that
// calls often does so in small steps. For one that calls seldom they would take longer than an overload may
// last, and where refused calls use the limit up nothing is delivered meanwhile. So a step goes by the time
// since the last: a refusal brings a seldom caller down to where all relays together keep to the limit, and a
// success lets it grow by the share of the allowance that is left, which is none where others have used it.

func (p *Policy) quicken(l *lane, told LoadReport) {
	seldom := p.seldom(l)
	rise := boostRise
	if told.Present {
		rise = math.Pow(boostRise, 1-seldom) * math.Pow(1+min(told.Remaining, 1), seldom)
	}
	l.boost = min(l.boost*rise, float64(p.set.Relays))
}

func (p *Policy) slow(l *lane) {
	even := math.Pow(float64(p.set.Relays), shareRoot-1) // all share the limit evenly
	step := l.boost * boostFall
	l.boost = max(step*math.Pow(min(1, even/step), p.seldom(l)), boostLeast*even)
}

// seldom is 0 to 1: how far the steps of a lane's pace are a fall time apart. It counts as a step.
func (p *Policy) seldom(l *lane) float64 {
	age := min(1, float64(p.now-l.boostAt)/float64(p.set.OverloadWindow))
	l.boostAt = p.now
	return age
}

// noRoom: the endpoint holds as many connections as it can, and turned a new one away with its call. That
// answer comes before its limit is looked at: it holds no report where others do.
func (p *Policy) noRoom(e *Event) bool {
	return e.Outcome == Rejected && e.NewConnection && e.RetryAfter == 0 &&
		p.set.LoadReports && !e.Load.Present
}

// crowded has an endpoint with no room for a connection rest for about as long as others hold theirs, then
// ever longer, each relay for a time of its own. Only a long run is an outage: one that is shut may say so.
func (p *Policy) crowded(c *call) {
	ep := c.ep
	ep.lane.tokens.tokens++ // it took nothing of the limit
	if ep.crowd++; ep.crowd == 1 {
		ep.crowdAt = p.now
	}
	gap := min(p.usual(ep.lane.dest)<<min(ep.crowd-1, 8), c.msgs[0].class.LatencyObjective)
	ep.restUntil = p.now + Time(float64(gap)*(0.5+p.rng.Float64()))
	if ep.crowd >= crowdSick && p.now-ep.crowdAt >= p.set.OverloadWindow/2 {
		ep.score = 1
		p.failed(ep, c.sent, false)
	}
}

// ---- recovery

// healthy books a success. In an outage it starts the ramp, if the call left after the last failure.
func (p *Policy) healthy(ep *endpoint, sent Time) {
	ep.score *= scoreKeep
	ep.okAt, ep.okSent = p.now, max(ep.okSent, sent)
	if ep.sick && ep.goodAt == 0 && sent >= ep.badAt {
		ep.goodAt, ep.goodSent = p.now, sent
		p.logf("dest %d: answers again, ramp", ep.lane.dest.id)
	}
}

// failed books a failure. Two close together are an outage, for siblings too that have shown nothing since.
func (p *Policy) failed(ep *endpoint, sent Time, mute bool) {
	if ep.goodAt > 0 && sent < ep.goodSent {
		return // a call from before the return tells nothing of it
	}
	if ep.badAt <= ep.okAt {
		ep.firstBad = p.now
	}
	ep.score = ep.score*scoreKeep + 1 - scoreKeep
	if ep.goodAt == 0 || ep.score >= scoreSick { // where most calls pass, a failure does not undo the ramp
		ep.badAt, ep.goodAt, ep.mute = p.now, 0, mute
	}
	apart := p.now-ep.firstBad >= p.set.OverloadWindow/2 // two in a row tell a seldom caller enough
	if ep.sick || ep.score < scoreSick && !apart {
		ep.restUntil = p.now + Time(p.growth(ep.lane)*float64(p.now-ep.firstBad)) // until the verdict is in
		return
	}
	for _, x := range ep.lane.eps {
		if x == ep || !x.sick && x.okAt < ep.firstBad {
			x.sick, x.mute, x.goodAt, x.badAt = true, mute, 0, p.now
			x.budget, x.firstBad = bucket{}, ep.firstBad
			x.budget.at, x.need = p.now, p.rng.Float64()
		}
	}
	p.logf("dest %d: seen failing, trial calls", ep.lane.dest.id)
}

// ramped is the share of its capacity that an endpoint is held to have.
func (p *Policy) ramped(ep *endpoint) float64 {
	s := p.set.SlowStartCapacity
	if ep.goodAt > 0 {
		s += (1 - s) * float64(p.now-ep.goodAt) / float64(max(p.set.SlowStartTime, 1))
	}
	if s >= 1 && ep.goodAt > 0 {
		ep.sick, ep.score = false, 0
	}
	return s
}

// budgetRate is this relay's part of what the endpoint may be sent while cold: calls a second, and how many
// may come at once. A burst and the refill of one fall time together stay inside the budget. It is shared by
// the relays that may have something for the destination since the outage began: all of them where they are
// few, else about as many as messages have come since.
func (p *Policy) budgetRate(ep *endpoint) (rate, depth float64) {
	n := 0
	for _, x := range ep.lane.eps {
		if x.state != Removed {
			n++
		}
	}
	fall := float64(max(p.set.OverloadWindow, second)) / float64(second)
	whole := p.capacity(ep.lane)
	if ep.lane.limit == 0 && ep.lane.nominal == 0 { // a small guess would be shared out to next to nothing
		whole = min(max(whole, p.leastLimit(ep.lane.dest)), max(whole, float64(p.set.Relays)))
	}
	age := float64(p.now-ep.firstBad)/float64(second) + fall
	sharers := min(float64(p.set.Relays), max(1, sharerPart*whole*age))
	b := budgetPart * p.set.OverloadFactor * p.ramped(ep) * whole / float64(max(n, 1)) * fall / sharers
	if depth = b / 4; depth >= 1 {
		return (b - depth) / fall, depth
	}
	return b / fall, depth
}

// mayCall: every guard on an endpoint, whoever asks.
func (p *Policy) mayCall(ep *endpoint) bool {
	if ep.state != Ready || ep.lane.waitUntil > p.now || !ep.sick && ep.restUntil > p.now {
		return false
	}
	rate, depth := p.budgetRate(ep)
	if !ep.sick || ep.goodAt == 0 && ep.mute && ep.flying > 0 {
		return !ep.sick // what does not answer would pin a slot for each trial
	}
	return ep.budget.level(p.now, rate, max(depth, ep.need)) >= ep.need
}

// patience is how long a call usually takes there at most.
func (p *Policy) patience(ep *endpoint) Time {
	if ep.lat.n == 0 {
		return 4 * p.usual(ep.lane.dest)
	}
	return Time(4*ep.lat.mean + 4*ep.lat.dev)
}

// review calls off a call that has been out for its patience while every slot was taken and messages waited
// for as long: a time-out at the aim is right for a slot that nobody wants, not for the last one. It guards
// against calls that hang here and there where others are answered, and against many slow ones at once. Harm:
// work nearly done is done again. An unsafe message, which has no second try, is given longer. It has the
// longest time-out, so one that hangs is called off without such pressure too, once a call sent as much later
// was answered: it would hold a place in the window and a connection of few until its deadline.
func (p *Policy) review(c *call) {
	worn := p.patience(c.ep) + 1
	again := p.now + worn // a later call may have been answered by then
	at := max(c.sent, cmp.Or(p.pressed, p.now))
	if slices.ContainsFunc(c.msgs, func(m *message) bool { return m.class.Idempotency == NonIdempotent }) {
		if worn *= unsafeWait; p.overdue() >= max(2, int(overduePart*float64(p.set.MaxCalls))) {
			worn /= 2 // too many slots hang for all of them to be given so long
		}
		if c.ep.okSent > c.sent+worn { // a pause or a slow spell holds up what was sent later, too
			at = c.sent
		}
	}
	if at += worn; c.left > 0 && at > p.now {
		p.put(min(at, again), func() { p.review(c) })
		return
	}
	for _, m := range c.msgs {
		if m.call == c {
			p.act(Action{Kind: ActionCancel, Message: m.id, Attempt: m.tries - 1})
		}
	}
}

// Unavailable reports whether an endpoint on the list gets nothing now but trial calls at most: it drains,
// fails, rests after a failure, or told this relay to wait.
func (p *Policy) Unavailable(id Endpoint, now Time) bool {
	ep := p.eps[id]
	if ep == nil || ep.lane.waitUntil > now || ep.state != Ready {
		return true
	}
	return ep.sick && ep.goodAt == 0 || !ep.sick && ep.restUntil > now
}

// overdue counts the calls that have been out for longer than calls there usually take.
func (p *Policy) overdue() (n int) {
	for _, m := range p.live {
		if c := m.call; c != nil && c.msgs[0] == m && p.now-c.sent > p.patience(c.ep) {
			n++
		}
	}
	return n
}

// spend takes a call out of the budget. Where a part is less than one call relays must not act in step: each
// then needs a random amount with the same mean.
func (p *Policy) spend(ep *endpoint) {
	rate, depth := p.budgetRate(ep)
	ep.budget.take(p.now, ep.need, rate, max(depth, ep.need))
	if ep.need = 1; depth < 1 {
		ep.need = 0.5 + p.rng.Float64()
	}
}

// ---- throttle, window and pace

// capacity is the calls a second that the lane takes from all relays, by report, list or observation.
func (p *Policy) capacity(l *lane) float64 {
	return cmp.Or(l.limit, l.nominal, max(l.hist.acceptRate(p.now)*float64(p.set.Relays), 1))
}

// leastLimit is the lowest limit that destinations of one kind have reported: the guess, on the safe side,
// for one that this relay has not heard from. Each of a large fleet calls most of them seldom.
func (p *Policy) leastLimit(of *dest) float64 {
	least := &p.leastLimits[of.kindAt]
	if least.stale {
		*least = leastLimit{}
		for _, d := range p.dests {
			for _, l := range d.lanes {
				if d.kindAt == of.kindAt {
					least.lower(l.limit)
				}
			}
		}
	}
	return least.limit
}

// growth is a rest to the age of a run of failures: less where few relays send there much each.
func (p *Policy) growth(l *lane) float64 {
	whole := sharerPart * p.capacity(l) * float64(p.set.OverloadWindow) / float64(second)
	return restGrowth * min(1, float64(p.set.Relays)/max(whole, 1))
}

// pace is the calls a second that this relay sends there at most.
func (p *Policy) pace(l *lane) float64 {
	if l.limit == 0 && l.nominal == 0 {
		return float64(p.set.MaxCalls) * 2
	}
	whole := p.capacity(l)
	return whole / math.Pow(float64(p.set.Relays), shareRoot) * l.boost
}

// depth is how many calls a lane may save up: as much as chance alone moves a second of what all relays
// send there together, which the destination must stand anyway.
func (p *Policy) depth(l *lane) float64 {
	return max(1, math.Sqrt(p.capacity(l)/float64(p.set.Relays)))
}

// dropped draws by the formula. A drop is counted and spends the lane's token; its message is ended at once.
func (p *Policy) dropped(l *lane) bool {
	req, acc := l.hist.totals(p.now)
	l.hist.request(p.now)
	// Calls still out speak neither for nor against: counted at once they would drop the next arrivals of a
	// destination that has been quiet for longer than the history.
	return p.rng.Float64() < dropChance(max(0, req-float64(l.flying)), acc)
}

// dropChance is the formula, with the cap that always lets some attempts pass.
func dropChance(requests, accepted float64) float64 {
	return min(max(0, (requests-accepts*(accepted+prior))/(requests+1)), dropCap)
}

// room: the window and the destination's part of the slots.
func (p *Policy) room(l *lane) bool {
	part := slotShare
	if p.failing(l) {
		part = failShare
	}
	most := max(1, int(part*float64(p.set.MaxCalls)))
	return l.dest.flying < most && l.flying < max(1, int(l.window))
}

func (p *Policy) failing(l *lane) bool {
	return slices.ContainsFunc(l.eps, func(ep *endpoint) bool { return ep.sick || ep.score >= 1-scoreKeep })
}

// paced: the lane has a token, and no refusal or drop keeps it resting.
func (p *Policy) paced(l *lane) bool {
	if l.pauseUntil > p.now {
		return false
	}
	rate := p.pace(l)
	if l.tokens.level(p.now, rate, p.depth(l)) < 1 {
		l.bound = true
		return false
	}
	return true
}

// ---- choose

// choose picks the endpoint for a message: sound before cold before out, then the soonest answer.
func (p *Policy) choose(m *message) *endpoint {
	var best *endpoint
	low := math.Inf(1)
	for _, l := range m.dest.lanes {
		if !p.room(l) || !p.paced(l) {
			continue
		}
		for _, ep := range l.eps {
			if !p.maySend(m, ep) {
				continue
			}
			lat := ep.lat.mean
			if ep.lat.n == 0 {
				lat = float64(p.usual(m.dest))
			}
			cost := lat * float64(1+ep.flying)
			if ep.flying >= ep.conns*p.set.StreamsPerConnection { // a connection must be opened
				cost += lat
			}
			if ep.zone != p.set.Zone {
				cost *= 1.5
			}
			if m.failedAt == ep { // another may do better, whatever the cause
				cost += float64(m.class.LatencyObjective)
			}
			if ep.sick {
				cost += float64(m.class.Deadline)
				if ep.goodAt == 0 {
					cost *= 2
				}
			}
			if cost < low {
				best, low = ep, cost
			}
		}
	}
	return best
}

// keep is how long an idle connection is kept. Where connections are seen to run out, what all relays keep
// idle at an endpoint together is to be no more than two would keep, and none where this relay is not likely
// to call again within its part: it would only take another's place. Harm: more connections opened.
func (p *Policy) keep(ep *endpoint) Time {
	if p.tight[ep.lane.dest.kindAt] <= noConnTight {
		return p.set.KeepAlive
	}
	part := p.set.KeepAlive * 2 / Time(max(p.set.Relays, 2))
	if calls, _ := ep.lane.hist.totals(p.now); calls*float64(part) < float64(historySpan) {
		return min(p.set.Tick, part)
	}
	return part
}

// maySend: every guard on a message and an endpoint together.
func (p *Policy) maySend(m *message, ep *endpoint) bool {
	if m.over || m.call != nil || p.spent(m) || p.now >= p.last(m) || !p.mayCall(ep) {
		return false
	}
	l := p.lines[m.key]
	if m.class.Ordered && m.key != 0 {
		if l == nil || l.turns[0] != m || l.ahead() || m.tries == 0 && l.rest > p.now {
			return false
		}
	}
	perZone := m.class.Idempotency == IdempotentByKey && m.class.DedupPerZone
	if m.doubtAt > 0 && perZone && ep.zone != m.doubtIn {
		return false
	}
	// An unsafe message has one try that may run: not where calls fail, but for one that is late already.
	return m.class.Idempotency != NonIdempotent || !ep.sick || ep.goodAt > 0 || p.now > m.aimAt
}

// dispatch sends what loses most by waiting, over the destinations that an event or the time has touched and
// those that wait for nothing but a slot.
func (p *Policy) dispatch() {
	if p.calls < p.set.MaxCalls { // what waited for a slot is chosen anew
		for _, d := range p.ready {
			d.waits = false
			p.touch(d)
		}
		p.ready = p.ready[:0]
	}
	for _, d := range p.touched {
		d.touched = false
		p.best(d)
		if d.pick != nil && !d.waits {
			d.waits = true
			p.ready = append(p.ready, d)
		}
	}
	p.touched = p.touched[:0]
	for p.calls < p.set.MaxCalls && len(p.ready) > 0 {
		at := 0
		for i, d := range p.ready {
			if d.pickVal > p.ready[at].pickVal {
				at = i
			}
		}
		d := p.ready[at]
		p.call(d)
		if p.best(d); d.pick == nil {
			d.waits = false
			p.ready = slices.Delete(p.ready, at, at+1)
		}
	}
	if p.calls < p.set.MaxCalls || len(p.live) <= p.aloft {
		p.pressed = 0
	} else if p.pressed == 0 {
		p.pressed = p.now
	}
}

// touch has a destination looked at in this turn.
func (p *Policy) touch(d *dest) {
	if !d.touched {
		d.touched = true
		p.touched = append(p.touched, d)
	}
}

// best finds the message of a destination that loses most if it waits as long as the queue takes; among
// those that lose nothing, the one nearest to its aim.
func (p *Policy) best(d *dest) {
	d.pick = nil
	if len(d.queue) == 0 {
		return
	}
	if slices.ContainsFunc(d.lanes, func(l *lane) bool { return p.room(l) && p.paced(l) }) {
		p.weigh(d)
		slices.SortStableFunc(d.queue, func(a, b *message) int {
			return cmp.Or(cmp.Compare(b.loss, a.loss), cmp.Compare(a.aimAt, b.aimAt))
		})
		for _, m := range d.queue {
			if ep := p.choose(m); ep != nil {
				d.pick, d.pickAt = m, ep
				d.pickVal = (m.loss + m.worth/1000) / float64(p.usual(d)+1)
				return
			}
		}
	}
	if at := p.opens(d); at < math.MaxInt64 && (d.wakeAt <= p.now || at < d.wakeAt) {
		d.wakeAt = max(at, p.now+p.set.Tick)
		p.put(d.wakeAt, func() { p.touch(d) })
	}
}

// opens is the next moment at which time alone may let something go to a destination.
func (p *Policy) opens(d *dest) Time {
	next := Time(math.MaxInt64)
	for _, l := range d.lanes {
		t := max(l.pauseUntil, l.waitUntil, l.tokens.when(p.now, 1, p.pace(l), p.depth(l)))
		for _, ep := range l.eps {
			at := max(t, ep.restUntil)
			if ep.sick {
				r, depth := p.budgetRate(ep)
				at = max(at, ep.budget.when(p.now, ep.need, r, max(depth, ep.need)))
			}
			if at > p.now {
				next = min(next, at)
			}
		}
	}
	for _, m := range d.queue {
		if m.class.Ordered {
			if l := p.lines[m.key]; l != nil && l.rest > p.now {
				next = min(next, l.rest)
			}
		}
		if m.class.Idempotency == NonIdempotent && m.aimAt >= p.now { // may then try what is out
			next = min(next, m.aimAt+1)
		}
	}
	return next
}

// weigh works out what each message of a queue loses if it waits: once for a sort, since what a queue costs
// must not grow faster than it does.
func (p *Policy) weigh(d *dest) {
	soon := p.now + p.usual(d)
	late := soon + p.drain(d)
	for _, m := range d.queue {
		m.loss = p.value(m, soon) - p.value(m, late)
	}
}

// call makes one call with the picked message and what may share it.
func (p *Policy) call(d *dest) {
	ep, l := d.pickAt, d.pickAt.lane
	rate := p.pace(l)
	l.tokens.take(p.now, 1, rate, p.depth(l))
	trial := ep.sick && ep.goodAt == 0
	if trial {
		l.hist.request(p.now) // recovery bounds trial calls harder than the formula would
	} else if p.dropped(l) {
		if !d.pick.kept { // what an earlier process took on loses its turn, not its call
			p.end(d.pick)
		}
		return
	}
	c := &call{ep: ep, sent: p.now, last: math.MaxInt64}
	for _, m := range slices.Clone(d.queue) {
		if c.left >= d.kind.MaxBatch {
			break
		}
		if m == d.pick || c.left > 0 && !trial && p.mayShare(m, c) {
			p.send(m, c)
		}
	}
	if c.left == 0 {
		return
	}
	p.lastCall++
	for _, m := range c.msgs {
		p.act(Action{Kind: ActionSend, Message: m.id, Endpoint: ep.id, Call: p.lastCall,
			Deadline: p.cutAt(m, c), SendBy: p.repeatBy(m)})
	}
	p.spend(ep)
	if p.set.Cancellation {
		p.review(c)
	}
	l.bound = false
	p.calls++
	d.flying++
	l.flying++
	ep.flying++
	ep.conns = max(ep.conns, (ep.flying+p.set.StreamsPerConnection-1)/p.set.StreamsPerConnection)
}

// mayShare: a call ends with the time of the first of its messages, so that those share one which then still
// leaves each the time that it would wait for an answer of its own. Where many calls end in silence, an
// unsafe message shares none with others, as it has the call waited for far longer. Harm: more calls for as
// many messages.
func (p *Policy) mayShare(m *message, c *call) bool {
	if min(c.last, p.last(m)) < max(c.enough, p.enough(m, c.ep)) {
		return false
	}
	unsafe := m.class.Idempotency == NonIdempotent
	return p.silent < silentMany || unsafe == (c.msgs[0].class.Idempotency == NonIdempotent)
}

// send puts a message into a call: nothing else does.
func (p *Policy) send(m *message, c *call) {
	if !p.maySend(m, c.ep) {
		return
	}
	m.dest.queue = slices.DeleteFunc(m.dest.queue, func(x *message) bool { return x == m })
	p.lacks(m.dest)
	m.call = c
	p.aloft++
	m.tries++
	c.left++
	c.msgs = append(c.msgs, m)
	c.last, c.enough = min(c.last, p.last(m)), max(c.enough, p.enough(m, c.ep))
}

// last is the latest moment at which an attempt of a message may time out.
func (p *Policy) last(m *message) Time { return m.deadline - 2*p.margin() }

// enough is the moment by which an answer to a call made now has nearly always come. With the whole patience
// for each, what waits near its deadline would go alone and use up a limit on calls.
func (p *Policy) enough(m *message, ep *endpoint) Time { return min(p.last(m), p.now+p.patience(ep)/2) }

// cutAt is when an attempt times out. The messages of a call share one fate: what answers it once the time of
// one of them is up tells nothing of the others.
func (p *Policy) cutAt(m *message, c *call) Time {
	if m.class.Idempotency == NonIdempotent {
		return c.last // it cannot be tried again
	}
	span := float64(m.class.LatencyObjective)
	if l := &c.ep.lane.lat; l.n > 0 {
		span = max(4*l.mean+4*l.dev, span)
	}
	return min(c.last, p.now+Time(span))
}

// ---- backlog

// trim spills what a queue holds beyond the head that memory has of it, the latest deadline first.
func (p *Policy) trim(d *dest) {
	for most := p.set.MaxResidentMessages; most > 0; {
		if len(d.queue) <= p.head() && (len(p.live) <= most || len(d.queue) <= p.least()) {
			return
		}
		var last *message
		for _, m := range slices.Backward(d.queue) { // what has just joined is often the one
			if (last == nil || m.deadline > last.deadline) && p.mayLeave(m) {
				last = m
			}
		}
		if last == nil {
			return
		}
		p.spill(last)
	}
}

// head is how many messages of one destination memory holds at most, and least how many of each it has room
// for where all have a backlog.
func (p *Policy) head() int  { return min(headMost, p.set.MaxResidentMessages) }
func (p *Policy) least() int { return min(leastMost, max(1, p.set.MaxResidentMessages/len(p.dests))) }

// mayLeave reports whether a queued message may be spilled: not one that would have to be loaded at once or
// only waits for its end, and of a key in order the last one alone, none of which has left yet.
func (p *Policy) mayLeave(m *message) bool {
	if m.stays || p.loadBy(m) <= p.now || p.spent(m) {
		return false
	}
	if !m.class.Ordered || m.key == 0 {
		return true
	}
	l := p.lines[m.key]
	return l.spilled == 0 && l.turns[len(l.turns)-1] == m
}

// loadBy is the moment by which a spilled message has to be back.
func (p *Policy) loadBy(m *message) Time {
	if by := p.repeatBy(m); by > 0 {
		return min(by, m.deadline-p.margin()) - loadLead
	}
	return m.deadline - p.margin() - loadLead
}

// refill asks for spilled messages where memory holds less than half a head, as far as there is room.
func (p *Policy) refill() {
	for _, d := range p.lacking {
		d.lacking = false
		have, n := len(d.queue)+d.asked, 0
		if have < p.head()/2 {
			n = min(p.head()*3/4-have, p.set.MaxResidentMessages-len(p.live)-p.loading)
		}
		if n = min(max(n, p.least()-have), d.spilled-d.asked); n > 0 {
			d.asked += n
			p.loading += n
			p.act(Action{Kind: ActionLoad, Dest: d.id, Count: n})
		}
	}
	p.lacking = p.lacking[:0]
}

// ---- drain

// drainOff empties the relay of its clients. What is held, or still handed in, is delivered as ever: the
// process goes on, and its clients were told that the messages are ours.
func (p *Policy) drainOff() {
	if p.drained > 0 {
		return
	}
	since := p.now
	p.drained = since
	p.act(Action{Kind: ActionStopAccepting})
	p.put(since+drainHeed, func() {
		if p.drained == since { // not undone meanwhile
			p.act(Action{Kind: ActionReleaseClients})
		}
	})
}

func (p *Policy) activate() {
	if p.drained > 0 {
		p.drained = 0
		p.act(Action{Kind: ActionAcceptClients})
	}
}

// ---- timers

// arm asks for one timer at the next moment at which something may change by itself.
func (p *Policy) arm() {
	next := p.later.next()
	if p.set.PollList {
		next = min(next, p.asked+max(p.set.PollInterval/2, second))
	}
	if next == math.MaxInt64 || p.armed > p.now && p.armed <= next {
		return
	}
	p.armed = max(next, p.now+p.set.Tick)
	p.act(Action{Kind: ActionTimer, Delay: p.armed - p.now})
}
