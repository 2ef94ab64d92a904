package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The checker below keeps books of its own, from the events it hands out and the actions it gets back.

type heldMsg struct {
	class, dest, zone  int
	key                uint64
	seq                int
	deadline           Time
	tries              int
	out                bool
	firstDoubt         Time
	doubt, done        bool
	at                 Endpoint
	tenant             int
	spilled, withdrawn bool
}

type flight struct {
	msg     uint32
	attempt int
	at      Endpoint
	cut     Time
	due     Time
}

type checker struct {
	set      Settings
	eps      map[Endpoint]Entry
	badSince map[Endpoint]Time // told draining or gone
	msgs     map[uint32]*heldMsg
	flights  []flight
	timers   []flight
	waits    map[string]Time
	order    map[uint64][]uint32
	rest     map[uint64]Time
	probes   []Endpoint
	errs     []string
	sends    int
	refused  int
	failed   int
	log      hostLog
	loads    int
}

func newChecker(s Settings) *checker {
	return &checker{set: s, eps: map[Endpoint]Entry{}, badSince: map[Endpoint]Time{}, msgs: map[uint32]*heldMsg{},
		waits: map[string]Time{}, order: map[uint64][]uint32{}, rest: map[uint64]Time{}, log: hostLog{asked: map[int]int{}}}
}

func (c *checker) fault(now Time, format string, args ...any) {
	c.errs = append(c.errs, fmt.Sprintf("%d: ", now)+fmt.Sprintf(format, args...))
}

func (c *checker) route(e Endpoint) string {
	x := c.eps[e]
	if c.set.Kinds[x.Kind].SeparateRoutes {
		return fmt.Sprintf("e%d", e)
	}
	return fmt.Sprintf("d%d", x.Dest)
}

func (c *checker) list(now Time, e Event) {
	if e.ListUpdate == ListFailed {
		return
	}
	seen := map[Endpoint]bool{}
	for _, x := range e.Entries {
		seen[x.Endpoint] = true
		if x.State == Ready {
			delete(c.badSince, x.Endpoint)
		} else if _, ok := c.badSince[x.Endpoint]; !ok {
			c.badSince[x.Endpoint] = now
		}
		c.eps[x.Endpoint] = x
	}
	if e.ListUpdate == ListFull || e.ListUpdate == ListCached {
		for id := range c.eps {
			if _, bad := c.badSince[id]; !seen[id] && !bad {
				c.badSince[id] = now
			}
		}
	}
}

func (c *checker) arrive(now Time, e Event, seq int) {
	m := &heldMsg{class: e.Class, dest: e.Dest, key: e.Key, seq: seq, deadline: now + e.TimeLeft}
	c.msgs[e.Message] = m
	if c.set.Classes[e.Class].Ordered && e.Key != 0 {
		c.order[e.Key] = append(c.order[e.Key], e.Message)
	}
}

func (c *checker) resolved(now Time, e Event) {
	m := c.msgs[e.Message]
	m.out = false
	switch e.Outcome {
	case Delivered:
		m.done = true
	case Errored, TimedOut, ConnectionReset, Cancelled:
		if !m.doubt {
			m.doubt = true
			m.zone = c.eps[e.Endpoint].Zone
		}
	}
	if !m.doubt {
		m.firstDoubt = 0
	}
	if e.Outcome == TimedOut || e.Outcome == ConnectionReset || e.Outcome == Cancelled {
		c.rest[m.key] = max(c.rest[m.key], now+c.set.KeyCooldown)
	}
	if e.Outcome == Rejected && e.RetryAfter > 0 {
		r := c.route(e.Endpoint)
		c.waits[r] = max(c.waits[r], now+e.RetryAfter)
	}
}

// action checks an action against the rules and notes it.
func (c *checker) action(now Time, a Action) {
	m := c.msgs[a.Message]
	switch a.Kind {
	case ActionSend:
		c.sent(now, a, m)
	case ActionReject, ActionFail:
		c.responded(now, a, m)
	case ActionSpill:
		c.spilled(now, a, m)
	case ActionLoad:
		c.log.asked[a.Dest] += a.Count
	case ActionTimer:
		c.timers = append(c.timers, flight{due: now + a.Delay})
	case ActionHealthCheck:
		c.healthCheck(now, a)
	}
}

func (c *checker) sent(now Time, a Action, m *heldMsg) {
	c.sends++
	if m == nil {
		c.fault(now, "send of unknown %d", a.Message)
		return
	}
	c.checkState(now, a, m)
	c.checkEndpoint(now, a)
	c.checkRepeat(now, a, m)
	c.checkOrder(now, a, m)
	if !m.doubt {
		m.firstDoubt = now // it counts from this send if this attempt may have run
	}
	m.tries++
	m.out, m.at = true, a.Endpoint
	c.flights = append(c.flights, flight{msg: a.Message, attempt: m.tries - 1, at: a.Endpoint, cut: a.Deadline})
}

// checkState holds what a message's own state says of a send.
func (c *checker) checkState(now Time, a Action, m *heldMsg) {
	x, known := c.eps[a.Endpoint]
	switch {
	case m.done:
		c.fault(now, "send of %d after its end", a.Message)
	case m.spilled:
		c.fault(now, "send of %d, which is spilled", a.Message)
	case m.out:
		c.fault(now, "two attempts of %d at once", a.Message)
	case !known || x.Dest != m.dest:
		c.fault(now, "send of %d to an endpoint of another destination", a.Message)
	case a.Deadline > m.deadline:
		c.fault(now, "attempt of %d outlives its deadline", a.Message)
	case c.set.MaxAttempts > 0 && m.tries >= c.set.MaxAttempts:
		c.fault(now, "attempt %d of %d", m.tries, a.Message)
	}
}

// checkEndpoint holds what the list and a told wait say of a send.
func (c *checker) checkEndpoint(now Time, a Action) {
	if at, bad := c.badSince[a.Endpoint]; bad && now > at+c.set.DrainGrace {
		c.fault(now, "drain: send of %d to %d", a.Message, a.Endpoint)
	}
	if now < c.waits[c.route(a.Endpoint)] {
		c.fault(now, "wait: send of %d to %d", a.Message, a.Endpoint)
	}
}

// checkRepeat holds what the class says of a message that may have run.
func (c *checker) checkRepeat(now Time, a Action, m *heldMsg) {
	cl := &c.set.Classes[m.class]
	if m.doubt && cl.Idempotency == NonIdempotent {
		c.fault(now, "unsafe %d sent again", a.Message)
	}
	if m.doubt && cl.Idempotency == IdempotentByKey {
		if now > m.firstDoubt+cl.DedupWindow {
			c.fault(now, "keyed %d sent outside its window", a.Message)
		}
		if cl.DedupPerZone && c.eps[a.Endpoint].Zone != m.zone {
			c.fault(now, "keyed %d left its zone", a.Message)
		}
	}
}

// checkOrder holds that messages of a key go one at a time, in order.
func (c *checker) checkOrder(now Time, a Action, m *heldMsg) {
	if !c.set.Classes[m.class].Ordered || m.key == 0 {
		return
	}
	for _, id := range c.order[m.key] {
		o := c.msgs[id]
		if o.seq < m.seq && (!o.done || o.out) {
			c.fault(now, "order: %d before %d", a.Message, id)
		}
	}
	if m.tries == 0 && now < c.rest[m.key] {
		c.fault(now, "order: %d inside the rest of its key", a.Message)
	}
}

func (c *checker) responded(now Time, a Action, m *heldMsg) {
	if m == nil || m.done || m.spilled {
		c.fault(now, "second answer for %d", a.Message)
		return
	}
	m.done = true
	if now > m.deadline+c.set.ResponseSlack {
		c.fault(now, "late answer for %d", a.Message)
	}
	if a.Kind == ActionFail {
		c.failed++
		return
	}
	c.refused++
	cl := &c.set.Classes[m.class]
	open := m.doubt || m.out
	if open && (cl.Idempotency == NonIdempotent || cl.Idempotency == IdempotentByKey && cl.DedupPerZone) {
		c.fault(now, "refused %d which may have run", a.Message)
	}
}

func (c *checker) spilled(now Time, a Action, m *heldMsg) {
	if m != nil && m.done && m.withdrawn { // in the same turn, after it was spilled
		c.log.gone = append(c.log.gone, Event{Kind: EventWithdraw, Message: a.Message, Spilled: true, Dest: m.dest, Class: m.class, Key: m.key})
		return
	}
	if m == nil || m.done || m.spilled || m.out {
		c.fault(now, "spill of %d, which cannot be: %+v", a.Message, m)
		return
	}
	m.spilled = true
	c.log.spill(a)
}

func (c *checker) healthCheck(now Time, a Action) {
	if now < c.waits[c.route(a.Endpoint)] {
		c.fault(now, "wait: probe to %d", a.Endpoint)
	}
	if at, bad := c.badSince[a.Endpoint]; bad && now > at+c.set.DrainGrace {
		c.fault(now, "drain: probe to %d", a.Endpoint)
	}
	c.probes = append(c.probes, a.Endpoint)
}

func (c *checker) finish(now Time) {
	for id, m := range c.msgs {
		if !m.done && now > m.deadline+c.set.ResponseSlack {
			c.fault(now, "no answer for %d", id)
			m.done = true
		}
	}
	n := len(c.flights)
	if most := c.set.MaxCalls; n > most*maxBatch(c.set) {
		c.fault(now, "%d attempts out with %d slots", n, most)
	}
}

func maxBatch(s Settings) int {
	b := 1
	for _, k := range s.Kinds {
		b = max(b, k.MaxBatch)
	}
	return b
}

// testSettings draws legal settings; every kind of class is among them.
func testSettings(r *rand.Rand) Settings {
	s := Settings{Relays: 1 + r.IntN(4), MaxCalls: 1 + r.IntN(12), MaxMessages: r.IntN(80), MaxAttempts: r.IntN(9),
		HalvingWeight: r.IntN(2) == 0, OverQuotaWeight: 0.2, ListedRates: r.IntN(2) == 0, HealthChecks: r.IntN(2) == 0,
		Cancellation: r.IntN(2) == 0, RetryAfter: true, MaxRetryAfter: 2 * second, KeepAlive: 5 * second,
		ConnectTimeout: second, Tick: 5000, ResponseSlack: 20000, DrainGrace: 0, SlowStartCapacity: 0.2,
		SlowStartTime: 8 * second, OverloadFactor: 2, OverloadWindow: 3 * second, KeyCooldown: second / 2,
		Kinds:   []DestinationKind{{MaxBatch: 1 + r.IntN(4)}, {SeparateRoutes: true, MaxBatch: 1}},
		Tenants: []Tenant{{Name: "a", Quota: 3}, {Name: "b"}},
		Classes: []Class{
			{Name: "safe", LatencyObjective: second, Deadline: 6 * second, Weight: 1, LateWeight: 0.2},
			{Name: "keyed", LatencyObjective: 2 * second, Deadline: 9 * second, Weight: 2, LateWeight: 0.3, Idempotency: IdempotentByKey,
				DedupWindow: 3 * second / 2},
			{Name: "zoned", LatencyObjective: 2 * second, Deadline: 9 * second, Weight: 2, LateWeight: 0.3, Idempotency: IdempotentByKey,
				DedupWindow: 3 * second, DedupPerZone: true},
			{Name: "unsafe", LatencyObjective: 2 * second, Deadline: 7 * second, Weight: 3, LateWeight: 0.3, Idempotency: NonIdempotent},
			{Name: "ordered", LatencyObjective: second, Deadline: 8 * second, Weight: 1, LateWeight: 0.3, Ordered: true},
		}}
	return s
}

// play runs a seeded random legal day against a policy and returns the checker and all that was asked.
func play(t testing.TB, seed uint64, steps int) (*checker, []string) {
	t.Helper()
	return playResident(t, seed, steps, 0)
}

// playResident is play with so many messages in memory at most.
func playResident(t testing.TB, seed uint64, steps, resident int) (*checker, []string) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 7))
	set := testSettings(r)
	set.MaxResidentMessages = resident
	p, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	d := &day{rng: r, set: set, checker: newChecker(set), next: 1, outcomes: map[int]Outcome{}}
	d.now = Time(r.Int64N(int64(1000 * second)))
	d.makeList()
	d.update(Event{Kind: EventListUpdate, ListUpdate: ListCached, Entries: d.entries})
	var trace []string
	for step := range steps {
		for _, a := range p.Step(d.now, d.events, nil) {
			trace = append(trace, fmt.Sprintf("%d %+v", d.now, a))
			d.checker.action(d.now, a)
		}
		d.checker.finish(d.now)
		d.checker.oneInMemory(d.now, p)
		d.events = nil
		d.now = d.checker.until(d.now, d.now+5000*(1+Time(r.IntN(20))))
		if r.IntN(100) == 0 { // a restart
			if p, err = New(set, seed+uint64(step)); err != nil {
				t.Fatal(err)
			}
			d.restart()
		}
		d.changeList()
		if r.IntN(40) == 0 {
			d.outcomes[r.IntN(4)] = []Outcome{Errored, TimedOut, ConnectFailed, Rejected, Delivered}[r.IntN(5)]
		}
		d.newMessages()
		d.events = append(d.events, d.checker.load(d.now, r)...)
		d.endFlights()
		d.endHealthChecks()
		d.withdraw()
		d.runTimers()
	}
	return d.checker, trace
}

// day draws the events of a seeded random legal day.
type day struct {
	rng      *rand.Rand
	set      Settings
	checker  *checker
	now      Time
	entries  []Entry
	events   []Event // of the next step
	next     uint32  // number of the next message
	seq      int     // of messages, in order of arrival
	outcomes map[int]Outcome
}

func (d *day) makeList() {
	for i := range 10 {
		dest := d.rng.IntN(4)
		d.entries = append(d.entries, Entry{Endpoint: Endpoint(100 + i), Zone: d.rng.IntN(2), Kind: dest % 2, Dest: dest, State: Ready,
			Rate: 1 + 9*d.rng.Float64()})
	}
}

func (d *day) update(e Event) {
	d.checker.list(d.now, e)
	d.events = append(d.events, e)
}

// restart closes the books of this life; the list may be old.
func (d *day) restart() {
	old := d.checker
	d.checker = newChecker(d.set)
	d.checker.errs, d.checker.loads = old.errs, old.loads
	d.checker.sends, d.checker.refused, d.checker.failed = old.sends, old.refused, old.failed
	d.update(Event{Kind: EventListUpdate, ListUpdate: ListCached, Entries: d.entries})
}

func (d *day) changeList() {
	if d.rng.IntN(30) != 0 {
		return
	}
	i := d.rng.IntN(len(d.entries))
	d.entries = append([]Entry(nil), d.entries...)
	d.entries[i].State = Readiness(d.rng.IntN(3))
	e := Event{Kind: EventListUpdate, ListUpdate: ListDelta, Entries: d.entries[i : i+1]}
	switch d.rng.IntN(4) {
	case 0:
		e = Event{Kind: EventListUpdate, ListUpdate: ListFull}
		for _, x := range d.entries {
			if x.State != Removed {
				e.Entries = append(e.Entries, x)
			}
		}
	case 1:
		e = Event{Kind: EventListUpdate, ListUpdate: ListFailed}
		d.entries[i].State = d.checker.stateOf(d.entries[i].Endpoint)
	}
	d.update(e)
}

func (d *day) newMessages() {
	for range d.rng.IntN(4) {
		e := Event{Kind: EventMessage, Message: d.next, Class: d.rng.IntN(len(d.set.Classes)), Dest: d.rng.IntN(5), Tenant: d.rng.IntN(3)}
		if d.set.Classes[e.Class].Ordered {
			e.Key = uint64(d.rng.IntN(3))
		}
		e.TimeLeft = Time(float64(d.set.Classes[e.Class].Deadline) * (0.05 + 0.95*d.rng.Float64()))
		d.seq++
		d.next++
		d.checker.arrive(d.now, e, d.seq)
		d.events = append(d.events, e)
	}
}

// endFlights ends some attempts, and all whose time is up.
func (d *day) endFlights() {
	var still []flight
	for _, f := range d.checker.flights {
		if d.rng.IntN(4) != 0 && f.cut > d.now {
			still = append(still, f)
			continue
		}
		e := d.outcome(f)
		d.checker.resolved(d.now, e)
		d.events = append(d.events, e)
		if d.rng.IntN(20) == 0 { // repeated, and about what was never sent
			d.events = append(d.events, e, Event{Kind: EventAttemptDone, Message: d.next + 9, Endpoint: 5})
		}
	}
	d.checker.flights = still
}

// outcome draws how an attempt ends.
func (d *day) outcome(f flight) Event {
	m := d.checker.msgs[f.msg]
	e := Event{Kind: EventAttemptDone, Message: f.msg, Attempt: f.attempt, Endpoint: f.at, Latency: second / 5}
	switch {
	case f.cut <= d.now:
		e.Outcome = TimedOut
	case d.rng.IntN(5) == 0:
		e.Outcome = Outcome(d.rng.IntN(int(outcomeCount)))
	default:
		e.Outcome = d.outcomes[m.dest]
	}
	if e.Outcome == Rejected && d.rng.IntN(2) == 0 {
		e.RetryAfter = Time(d.rng.Int64N(int64(3 * second)))
	}
	e.Final = m.done || e.Outcome == Delivered
	if d.rng.IntN(2) == 0 {
		e.Load = LoadReport{Remaining: d.rng.Float64(), Limit: 10 * d.rng.Float64()}
	}
	return e
}

func (d *day) endHealthChecks() {
	for _, ep := range d.checker.probes {
		d.events = append(d.events, Event{Kind: EventHealthChecked, Endpoint: ep, Outcome: Outcome(d.rng.IntN(int(outcomeCount)))})
	}
	d.checker.probes = nil
}

// withdraw now and then takes the newest message back.
func (d *day) withdraw() {
	if d.rng.IntN(50) != 0 || d.next <= 1 {
		return
	}
	id := d.next - 1
	if m := d.checker.msgs[id]; m != nil && !m.done && !m.spilled {
		m.done, m.withdrawn = true, true
		d.events = append(d.events, Event{Kind: EventWithdraw, Message: id})
	}
}

func (d *day) runTimers() {
	var later []flight
	for _, tm := range d.checker.timers {
		if tm.due <= d.now {
			d.events = append(d.events, Event{Kind: EventTimer})
		} else {
			later = append(later, tm)
		}
	}
	d.checker.timers = later
}

// until is the next moment of the day: a timer or a time-out that comes due is not passed over.
func (c *checker) until(now, then Time) Time {
	for _, tm := range c.timers {
		then = min(then, max(tm.due, now+1))
	}
	for _, f := range c.flights {
		then = min(then, max(f.cut, now+1))
	}
	for _, a := range c.log.entries {
		then = min(then, max(a.Deadline, now+1))
	}
	return then
}

func (c *checker) stateOf(e Endpoint) Readiness {
	if _, bad := c.badSince[e]; bad {
		return Draining
	}
	return Ready
}

// TestRules holds every rule as a property over seeded random legal days.
func TestRules(t *testing.T) {
	var sends, refused, failed int
	for seed := range uint64(90) {
		c, _ := play(t, seed, 400)
		for i, e := range c.errs {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, e)
			}
		}
		sends, refused, failed = sends+c.sends, refused+c.refused, failed+c.failed
	}
	if sends < 5000 || refused < 100 || failed < 100 {
		t.Fatalf("the days test nothing: %d sends, %d refused, %d failed", sends, refused, failed)
	}
}

// TestSameEventsSameActions: the seed and the events settle every action.
func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		_, a := play(t, seed, 300)
		_, b := play(t, seed, 300)
		if len(a) == 0 || len(a) != len(b) {
			t.Fatalf("seed %d: %d and %d actions", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: %s against %s", seed, a[i], b[i])
			}
		}
	}
}
