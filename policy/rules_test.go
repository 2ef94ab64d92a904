package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The checker below keeps its own records, from the events that it passes to a policy and the
// actions that it gets back, and checks every action against the rules.

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
	badSince map[Endpoint]Time // since when the list has it draining or removed
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

// checkAction checks an action against the rules and records it.
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
		c.fault(now, "send of unknown message %d", a.Message)
		return
	}
	c.checkState(now, a, m)
	c.checkEndpoint(now, a)
	c.checkRepeat(now, a, m)
	c.checkOrder(now, a, m)
	if !m.doubt {
		m.firstDoubt = now // if this attempt may have run, the window counts from this send
	}
	m.tries++
	m.out, m.at = true, a.Endpoint
	c.flights = append(c.flights, flight{msg: a.Message, attempt: m.tries - 1, at: a.Endpoint, cut: a.Deadline})
}

// checkState checks a send against the message's own state.
func (c *checker) checkState(now Time, a Action, m *heldMsg) {
	x, known := c.eps[a.Endpoint]
	switch {
	case m.done:
		c.fault(now, "send of message %d after its completion", a.Message)
	case m.spilled:
		c.fault(now, "send of message %d, which is spilled", a.Message)
	case m.out:
		c.fault(now, "two attempts of message %d at once", a.Message)
	case !known || x.Dest != m.dest:
		c.fault(now, "send of message %d to an endpoint of another destination", a.Message)
	case a.Deadline > m.deadline:
		c.fault(now, "attempt of message %d times out after its deadline", a.Message)
	case c.set.MaxAttempts > 0 && m.tries >= c.set.MaxAttempts:
		c.fault(now, "attempt %d of message %d is over the limit", m.tries, a.Message)
	}
}

// checkEndpoint checks a send against the endpoint list and any Retry-After.
func (c *checker) checkEndpoint(now Time, a Action) {
	if at, bad := c.badSince[a.Endpoint]; bad && now > at+c.set.DrainGrace {
		c.fault(now, "drain: send of message %d to draining or removed endpoint %d", a.Message, a.Endpoint)
	}
	if now < c.waits[c.route(a.Endpoint)] {
		c.fault(now, "Retry-After: send of message %d to endpoint %d", a.Message, a.Endpoint)
	}
}

// checkRepeat checks a send against the class's rules on a message that may have run.
func (c *checker) checkRepeat(now Time, a Action, m *heldMsg) {
	cl := &c.set.Classes[m.class]
	if m.doubt && cl.Idempotency == NonIdempotent {
		c.fault(now, "non-idempotent message %d, which may have run, is sent again", a.Message)
	}
	if m.doubt && cl.Idempotency == IdempotentByKey {
		if now > m.firstDoubt+cl.DedupWindow {
			c.fault(now, "message %d, which may have run, is sent again after its deduplication window", a.Message)
		}
		if cl.DedupPerZone && c.eps[a.Endpoint].Zone != m.zone {
			c.fault(now, "message %d, which may have run, is sent again to another zone", a.Message)
		}
	}
}

// checkOrder checks that messages of a key are sent one at a time, in order.
func (c *checker) checkOrder(now Time, a Action, m *heldMsg) {
	if !c.set.Classes[m.class].Ordered || m.key == 0 {
		return
	}
	for _, id := range c.order[m.key] {
		o := c.msgs[id]
		if o.seq < m.seq && (!o.done || o.out) {
			c.fault(now, "order: message %d is sent before message %d is finished", a.Message, id)
		}
	}
	if m.tries == 0 && now < c.rest[m.key] {
		c.fault(now, "order: message %d is sent during the cooldown of its key", a.Message)
	}
}

func (c *checker) responded(now Time, a Action, m *heldMsg) {
	if m == nil || m.done || m.spilled {
		c.fault(now, "second final response for message %d", a.Message)
		return
	}
	m.done = true
	if now > m.deadline+c.set.ResponseSlack {
		c.fault(now, "late final response for message %d", a.Message)
	}
	if a.Kind == ActionFail {
		c.failed++
		return
	}
	c.refused++
	cl := &c.set.Classes[m.class]
	open := m.doubt || m.out
	if open && (cl.Idempotency == NonIdempotent || cl.Idempotency == IdempotentByKey && cl.DedupPerZone) {
		c.fault(now, "rejection of message %d, which may have run", a.Message)
	}
}

func (c *checker) spilled(now Time, a Action, m *heldMsg) {
	if m != nil && m.done && m.withdrawn { // it was withdrawn in the same step, after it was spilled
		c.log.gone = append(c.log.gone, Event{Kind: EventWithdraw, Message: a.Message, Spilled: true, Dest: m.dest, Class: m.class, Key: m.key})
		return
	}
	if m == nil || m.done || m.spilled || m.out {
		c.fault(now, "spill of message %d, which can't be spilled: %+v", a.Message, m)
		return
	}
	m.spilled = true
	c.log.spill(a)
}

func (c *checker) healthCheck(now Time, a Action) {
	if now < c.waits[c.route(a.Endpoint)] {
		c.fault(now, "Retry-After: health check of endpoint %d", a.Endpoint)
	}
	if at, bad := c.badSince[a.Endpoint]; bad && now > at+c.set.DrainGrace {
		c.fault(now, "drain: health check of draining or removed endpoint %d", a.Endpoint)
	}
	c.probes = append(c.probes, a.Endpoint)
}

func (c *checker) finish(now Time) {
	for id, m := range c.msgs {
		if !m.done && now > m.deadline+c.set.ResponseSlack {
			c.fault(now, "no final response for message %d", id)
			m.done = true
		}
	}
	n := len(c.flights)
	if most := c.set.MaxCalls; n > most*maxBatch(c.set) {
		c.fault(now, "%d attempts in flight with %d call slots", n, most)
	}
}

func maxBatch(s Settings) int {
	b := 1
	for _, k := range s.Kinds {
		b = max(b, k.MaxBatch)
	}
	return b
}

// randomSettings returns random legal settings with classes of every kind.
func testSettings(r *rand.Rand) Settings {
	s := Settings{Relays: 1 + r.IntN(4), MaxCalls: 1 + r.IntN(12), MaxMessages: r.IntN(80), MaxAttempts: r.IntN(9),
		HalvingWeight: r.IntN(2) == 0, OverQuotaWeight: 0.2, ListedRates: r.IntN(2) == 0, HealthChecks: r.IntN(2) == 0,
		Cancellation: r.IntN(2) == 0, RetryAfter: true, MaxRetryAfter: 2 * second, KeepAlive: 5 * second,
		ConnectTimeout: second, Tick: 5000, ResponseSlack: 20000, DrainGrace: 0, SlowStartCapacity: 0.2,
		SlowStartTime: 8 * second, OverloadFactor: 2, OverloadWindow: 3 * second, KeyCooldown: second / 2,
		Kinds:   []DestinationKind{{MaxBatch: 1 + r.IntN(4)}, {SeparateRoutes: true, MaxBatch: 1}},
		Tenants: []Tenant{{Name: "a", Quota: 3}, {Name: "b"}},
		Classes: []Class{
			{Name: "idempotent", LatencyObjective: second, Deadline: 6 * second, Weight: 1, LateWeight: 0.2},
			{Name: "idempotent by key", LatencyObjective: 2 * second, Deadline: 9 * second, Weight: 2, LateWeight: 0.3, Idempotency: IdempotentByKey,
				DedupWindow: 3 * second / 2},
			{Name: "idempotent by key in its zone", LatencyObjective: 2 * second, Deadline: 9 * second, Weight: 2, LateWeight: 0.3, Idempotency: IdempotentByKey,
				DedupWindow: 3 * second, DedupPerZone: true},
			{Name: "non-idempotent", LatencyObjective: 2 * second, Deadline: 7 * second, Weight: 3, LateWeight: 0.3, Idempotency: NonIdempotent},
			{Name: "ordered", LatencyObjective: second, Deadline: 8 * second, Weight: 1, LateWeight: 0.3, Ordered: true},
		}}
	return s
}

// runRandomEvents runs a policy over random legal events and returns the checker and all actions.
func play(t testing.TB, seed uint64, steps int) (*checker, []string) {
	t.Helper()
	return playResident(t, seed, steps, 0)
}

// runWithResidentLimit is runRandomEvents with a limit on the messages in memory.
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
		if r.IntN(100) == 0 { // the relay restarts
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

// randomEvents generates random legal events from a seed.
type day struct {
	rng      *rand.Rand
	set      Settings
	checker  *checker
	now      Time
	entries  []Entry
	events   []Event // events of the next step
	next     uint32  // number of the next message
	seq      int     // sequence number of the latest message, in order of arrival
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

// restart begins new records for a restarted policy. Its first list may be out of date.
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

// endAttempts ends some attempts at random, and all whose time-out has passed.
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
		if d.rng.IntN(20) == 0 { // the event repeated, and one for a message that was never sent
			d.events = append(d.events, e, Event{Kind: EventAttemptDone, Message: d.next + 9, Endpoint: 5})
		}
	}
	d.checker.flights = still
}

// randomOutcome returns a random outcome for an attempt.
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

// withdraw sometimes withdraws the newest message.
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

// nextTime is the time of the next step. It skips no timer, time-out or load deadline that is due
// earlier.
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

// Every rule of the checker holds for policies that run over random legal events.
func TestRulesHoldOverRandomEvents(t *testing.T) {
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
		t.Fatalf("too few events to test anything: %d sends, %d rejected, %d failed", sends, refused, failed)
	}
}

// The settings, the seed and the events determine every action.
func TestSameSeedAndEventsGiveSameActions(t *testing.T) {
	for seed := range uint64(5) {
		_, a := play(t, seed, 300)
		_, b := play(t, seed, 300)
		if len(a) == 0 || len(a) != len(b) {
			t.Fatalf("seed %d: %d actions in the first run, %d in the second", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: action %s in the first run, %s in the second", seed, a[i], b[i])
			}
		}
	}
}
