package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The checker below keeps its own records, from the events that it passes to a policy and the
// actions that it gets back, and checks every action against the rules.

type checkedMessage struct {
	class, dest, mayHaveRunZone int
	key                         uint64
	sequence                    int
	deadline                    Time
	attempts                    int
	inFlight                    bool
	firstMayHaveRunAt           Time
	mayHaveRun, isCompleted     bool
	endpoint                    Endpoint
	tenant                      int
	isSpilled, isWithdrawn      bool
}

type pendingItem struct {
	message   uint32
	attempt   int
	endpoint  Endpoint
	timeoutAt Time
	dueAt     Time
}

type checker struct {
	settings        Settings
	endpoints       map[Endpoint]Entry
	unusableSince   map[Endpoint]Time // since when the list has it draining or removed
	messages        map[uint32]*checkedMessage
	attempts        []pendingItem
	timers          []pendingItem
	retryAfterUntil map[string]Time
	keyOrder        map[uint64][]uint32
	cooldownUntil   map[uint64]Time
	healthChecks    []Endpoint
	violations      []string
	sends           int
	rejected        int
	failed          int
	log             hostLog
	loads           int
}

func newChecker(s Settings) *checker {
	return &checker{settings: s, endpoints: map[Endpoint]Entry{}, unusableSince: map[Endpoint]Time{}, messages: map[uint32]*checkedMessage{},
		retryAfterUntil: map[string]Time{}, keyOrder: map[uint64][]uint32{}, cooldownUntil: map[uint64]Time{}, log: hostLog{requested: map[int]int{}}}
}

func (c *checker) addViolation(now Time, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%d: ", now)+fmt.Sprintf(format, args...))
}

func (c *checker) routeKey(endpoint Endpoint) string {
	entry := c.endpoints[endpoint]
	if c.settings.Kinds[entry.Kind].SeparateRoutes {
		return fmt.Sprintf("e%d", endpoint)
	}
	return fmt.Sprintf("d%d", entry.Dest)
}

func (c *checker) updateList(now Time, e Event) {
	if e.ListUpdate == ListFailed {
		return
	}
	listed := map[Endpoint]bool{}
	for _, entry := range e.Entries {
		listed[entry.Endpoint] = true
		if entry.State == Ready {
			delete(c.unusableSince, entry.Endpoint)
		} else if _, ok := c.unusableSince[entry.Endpoint]; !ok {
			c.unusableSince[entry.Endpoint] = now
		}
		c.endpoints[entry.Endpoint] = entry
	}
	if e.ListUpdate == ListFull || e.ListUpdate == ListCached {
		for id := range c.endpoints {
			if _, bad := c.unusableSince[id]; !listed[id] && !bad {
				c.unusableSince[id] = now
			}
		}
	}
}

func (c *checker) addMessage(now Time, e Event, sequence int) {
	message := &checkedMessage{class: e.Class, dest: e.Dest, key: e.Key, sequence: sequence, deadline: now + e.TimeLeft}
	c.messages[e.Message] = message
	if c.settings.Classes[e.Class].Ordered && e.Key != 0 {
		c.keyOrder[e.Key] = append(c.keyOrder[e.Key], e.Message)
	}
}

func (c *checker) recordOutcome(now Time, e Event) {
	m := c.messages[e.Message]
	m.inFlight = false
	switch e.Outcome {
	case Delivered:
		m.isCompleted = true
	case Errored, TimedOut, ConnectionReset, Cancelled:
		if !m.mayHaveRun {
			m.mayHaveRun = true
			m.mayHaveRunZone = c.endpoints[e.Endpoint].Zone
		}
	}
	if !m.mayHaveRun {
		m.firstMayHaveRunAt = 0
	}
	if e.Outcome == TimedOut || e.Outcome == ConnectionReset || e.Outcome == Cancelled {
		c.cooldownUntil[m.key] = max(c.cooldownUntil[m.key], now+c.settings.KeyCooldown)
	}
	if e.Outcome == Rejected && e.RetryAfter > 0 {
		route := c.routeKey(e.Endpoint)
		c.retryAfterUntil[route] = max(c.retryAfterUntil[route], now+e.RetryAfter)
	}
}

// checkAction checks an action against the rules and records it.
func (c *checker) checkAction(now Time, a Action) {
	m := c.messages[a.Message]
	switch a.Kind {
	case ActionSend:
		c.checkSend(now, a, m)
	case ActionReject, ActionFail:
		c.checkResponse(now, a, m)
	case ActionSpill:
		c.checkSpill(now, a, m)
	case ActionLoad:
		c.log.requested[a.Dest] += a.Count
	case ActionTimer:
		c.timers = append(c.timers, pendingItem{dueAt: now + a.Delay})
	case ActionHealthCheck:
		c.checkHealthCheck(now, a)
	}
}

func (c *checker) checkSend(now Time, a Action, m *checkedMessage) {
	c.sends++
	if m == nil {
		c.addViolation(now, "send of unknown message %d", a.Message)
		return
	}
	c.checkState(now, a, m)
	c.checkEndpoint(now, a)
	c.checkRepeat(now, a, m)
	c.checkOrder(now, a, m)
	if !m.mayHaveRun {
		m.firstMayHaveRunAt = now // if this attempt may have run, the window counts from this send
	}
	m.attempts++
	m.inFlight, m.endpoint = true, a.Endpoint
	c.attempts = append(c.attempts, pendingItem{message: a.Message, attempt: m.attempts - 1, endpoint: a.Endpoint, timeoutAt: a.Deadline})
}

// checkState checks a send against the message's own state.
func (c *checker) checkState(now Time, a Action, m *checkedMessage) {
	entry, known := c.endpoints[a.Endpoint]
	switch {
	case m.isCompleted:
		c.addViolation(now, "send of message %d after its completion", a.Message)
	case m.isSpilled:
		c.addViolation(now, "send of message %d, which is spilled", a.Message)
	case m.inFlight:
		c.addViolation(now, "two attempts of message %d at once", a.Message)
	case !known || entry.Dest != m.dest:
		c.addViolation(now, "send of message %d to an endpoint of another destination", a.Message)
	case a.Deadline > m.deadline:
		c.addViolation(now, "attempt of message %d times out after its deadline", a.Message)
	case c.settings.MaxAttempts > 0 && m.attempts >= c.settings.MaxAttempts:
		c.addViolation(now, "attempt %d of message %d is over the limit", m.attempts, a.Message)
	}
}

// checkEndpoint checks a send against the endpoint list and any Retry-After.
func (c *checker) checkEndpoint(now Time, a Action) {
	if since, bad := c.unusableSince[a.Endpoint]; bad && now > since+c.settings.DrainGrace {
		c.addViolation(now, "drain: send of message %d to draining or removed endpoint %d", a.Message, a.Endpoint)
	}
	if now < c.retryAfterUntil[c.routeKey(a.Endpoint)] {
		c.addViolation(now, "Retry-After: send of message %d to endpoint %d", a.Message, a.Endpoint)
	}
}

// checkRepeat checks a send against the class's rules on a message that may have run.
func (c *checker) checkRepeat(now Time, a Action, m *checkedMessage) {
	class := &c.settings.Classes[m.class]
	if m.mayHaveRun && class.Idempotency == NonIdempotent {
		c.addViolation(now, "non-idempotent message %d, which may have run, is sent again", a.Message)
	}
	if m.mayHaveRun && class.Idempotency == IdempotentByKey {
		if now > m.firstMayHaveRunAt+class.DedupWindow {
			c.addViolation(now, "message %d, which may have run, is sent again after its deduplication window", a.Message)
		}
		if class.DedupPerZone && c.endpoints[a.Endpoint].Zone != m.mayHaveRunZone {
			c.addViolation(now, "message %d, which may have run, is sent again to another zone", a.Message)
		}
	}
}

// checkOrder checks that messages of a key are sent one at a time, in order.
func (c *checker) checkOrder(now Time, a Action, m *checkedMessage) {
	if !c.settings.Classes[m.class].Ordered || m.key == 0 {
		return
	}
	for _, id := range c.keyOrder[m.key] {
		other := c.messages[id]
		if other.sequence < m.sequence && (!other.isCompleted || other.inFlight) {
			c.addViolation(now, "order: message %d is sent before message %d is finished", a.Message, id)
		}
	}
	if m.attempts == 0 && now < c.cooldownUntil[m.key] {
		c.addViolation(now, "order: message %d is sent during the cooldown of its key", a.Message)
	}
}

func (c *checker) checkResponse(now Time, a Action, m *checkedMessage) {
	if m == nil || m.isCompleted || m.isSpilled {
		c.addViolation(now, "second final response for message %d", a.Message)
		return
	}
	m.isCompleted = true
	if now > m.deadline+c.settings.ResponseSlack {
		c.addViolation(now, "late final response for message %d", a.Message)
	}
	if a.Kind == ActionFail {
		c.failed++
		return
	}
	c.rejected++
	class := &c.settings.Classes[m.class]
	mayRunOrHaveRun := m.mayHaveRun || m.inFlight
	if mayRunOrHaveRun && (class.Idempotency == NonIdempotent || class.Idempotency == IdempotentByKey && class.DedupPerZone) {
		c.addViolation(now, "rejection of message %d, which may have run", a.Message)
	}
}

func (c *checker) checkSpill(now Time, a Action, m *checkedMessage) {
	if m != nil && m.isCompleted && m.isWithdrawn { // it was withdrawn in the same step, after it was spilled
		c.log.withdrawals = append(c.log.withdrawals, Event{Kind: EventWithdraw, Message: a.Message, Spilled: true, Dest: m.dest, Class: m.class, Key: m.key})
		return
	}
	if m == nil || m.isCompleted || m.isSpilled || m.inFlight {
		c.addViolation(now, "spill of message %d, which can't be spilled: %+v", a.Message, m)
		return
	}
	m.isSpilled = true
	c.log.spill(a)
}

func (c *checker) checkHealthCheck(now Time, a Action) {
	if now < c.retryAfterUntil[c.routeKey(a.Endpoint)] {
		c.addViolation(now, "Retry-After: health check of endpoint %d", a.Endpoint)
	}
	if since, bad := c.unusableSince[a.Endpoint]; bad && now > since+c.settings.DrainGrace {
		c.addViolation(now, "drain: health check of draining or removed endpoint %d", a.Endpoint)
	}
	c.healthChecks = append(c.healthChecks, a.Endpoint)
}

func (c *checker) checkDeadlines(now Time) {
	for id, m := range c.messages {
		if !m.isCompleted && now > m.deadline+c.settings.ResponseSlack {
			c.addViolation(now, "no final response for message %d", id)
			m.isCompleted = true
		}
	}
	inFlight := len(c.attempts)
	if slots := c.settings.MaxCalls; inFlight > slots*maxBatch(c.settings) {
		c.addViolation(now, "%d attempts in flight with %d call slots", inFlight, slots)
	}
}

func maxBatch(s Settings) int {
	largest := 1
	for _, kind := range s.Kinds {
		largest = max(largest, kind.MaxBatch)
	}
	return largest
}

// randomSettings returns random legal settings with classes of every kind.
func randomSettings(rng *rand.Rand) Settings {
	s := Settings{Relays: 1 + rng.IntN(4), MaxCalls: 1 + rng.IntN(12), MaxMessages: rng.IntN(80), MaxAttempts: rng.IntN(9),
		HalvingWeight: rng.IntN(2) == 0, OverQuotaWeight: 0.2, ListedRates: rng.IntN(2) == 0, HealthChecks: rng.IntN(2) == 0,
		Cancellation: rng.IntN(2) == 0, RetryAfter: true, MaxRetryAfter: 2 * second, KeepAlive: 5 * second,
		ConnectTimeout: second, Tick: 5000, ResponseSlack: 20000, DrainGrace: 0, SlowStartCapacity: 0.2,
		SlowStartTime: 8 * second, OverloadFactor: 2, OverloadWindow: 3 * second, KeyCooldown: second / 2,
		Kinds:   []DestinationKind{{MaxBatch: 1 + rng.IntN(4)}, {SeparateRoutes: true, MaxBatch: 1}},
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
func runRandomEvents(t testing.TB, seed uint64, steps int) (*checker, []string) {
	t.Helper()
	return runWithResidentLimit(t, seed, steps, 0)
}

// runWithResidentLimit is runRandomEvents with a limit on the messages in memory.
func runWithResidentLimit(t testing.TB, seed uint64, steps, resident int) (*checker, []string) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	settings := randomSettings(rng)
	settings.MaxResidentMessages = resident
	p, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	generator := &eventGenerator{rng: rng, settings: settings, checker: newChecker(settings), next: 1, outcomes: map[int]Outcome{}}
	generator.now = Time(rng.Int64N(int64(1000 * second)))
	generator.makeList()
	generator.updateList(Event{Kind: EventListUpdate, ListUpdate: ListCached, Entries: generator.entries})
	var trace []string
	for step := range steps {
		for _, a := range p.Step(generator.now, generator.events, nil) {
			trace = append(trace, fmt.Sprintf("%d %+v", generator.now, a))
			generator.checker.checkAction(generator.now, a)
		}
		generator.checker.checkDeadlines(generator.now)
		generator.checker.checkResident(generator.now, p)
		generator.events = nil
		generator.now = generator.checker.nextTime(generator.now, generator.now+5000*(1+Time(rng.IntN(20))))
		if rng.IntN(100) == 0 { // the relay restarts
			if p, err = New(settings, seed+uint64(step)); err != nil {
				t.Fatal(err)
			}
			generator.restart()
		}
		generator.changeList()
		if rng.IntN(40) == 0 {
			generator.outcomes[rng.IntN(4)] = []Outcome{Errored, TimedOut, ConnectFailed, Rejected, Delivered}[rng.IntN(5)]
		}
		generator.newMessages()
		generator.events = append(generator.events, generator.checker.loadSpilled(generator.now, rng)...)
		generator.endAttempts()
		generator.endHealthChecks()
		generator.withdraw()
		generator.fireTimers()
	}
	return generator.checker, trace
}

// eventGenerator generates random legal events from a seed.
type eventGenerator struct {
	rng      *rand.Rand
	settings Settings
	checker  *checker
	now      Time
	entries  []Entry
	events   []Event // events of the next step
	next     uint32  // number of the next message
	sequence int     // sequence number of the latest message, in order of arrival
	outcomes map[int]Outcome
}

func (g *eventGenerator) makeList() {
	for i := range 10 {
		dest := g.rng.IntN(4)
		g.entries = append(g.entries, Entry{Endpoint: Endpoint(100 + i), Zone: g.rng.IntN(2), Kind: dest % 2, Dest: dest, State: Ready,
			Rate: 1 + 9*g.rng.Float64()})
	}
}

func (g *eventGenerator) updateList(e Event) {
	g.checker.updateList(g.now, e)
	g.events = append(g.events, e)
}

// restart begins new records for a restarted policy. Its first list may be out of date.
func (g *eventGenerator) restart() {
	old := g.checker
	g.checker = newChecker(g.settings)
	g.checker.violations, g.checker.loads = old.violations, old.loads
	g.checker.sends, g.checker.rejected, g.checker.failed = old.sends, old.rejected, old.failed
	g.updateList(Event{Kind: EventListUpdate, ListUpdate: ListCached, Entries: g.entries})
}

func (g *eventGenerator) changeList() {
	if g.rng.IntN(30) != 0 {
		return
	}
	i := g.rng.IntN(len(g.entries))
	g.entries = append([]Entry(nil), g.entries...)
	g.entries[i].State = Readiness(g.rng.IntN(3))
	e := Event{Kind: EventListUpdate, ListUpdate: ListDelta, Entries: g.entries[i : i+1]}
	switch g.rng.IntN(4) {
	case 0:
		e = Event{Kind: EventListUpdate, ListUpdate: ListFull}
		for _, entry := range g.entries {
			if entry.State != Removed {
				e.Entries = append(e.Entries, entry)
			}
		}
	case 1:
		e = Event{Kind: EventListUpdate, ListUpdate: ListFailed}
		g.entries[i].State = g.checker.listedState(g.entries[i].Endpoint)
	}
	g.updateList(e)
}

func (g *eventGenerator) newMessages() {
	for range g.rng.IntN(4) {
		e := Event{Kind: EventMessage, Message: g.next, Class: g.rng.IntN(len(g.settings.Classes)), Dest: g.rng.IntN(5), Tenant: g.rng.IntN(3)}
		if g.settings.Classes[e.Class].Ordered {
			e.Key = uint64(g.rng.IntN(3))
		}
		e.TimeLeft = Time(float64(g.settings.Classes[e.Class].Deadline) * (0.05 + 0.95*g.rng.Float64()))
		g.sequence++
		g.next++
		g.checker.addMessage(g.now, e, g.sequence)
		g.events = append(g.events, e)
	}
}

// endAttempts ends some attempts at random, and all whose time-out has passed.
func (g *eventGenerator) endAttempts() {
	var remaining []pendingItem
	for _, f := range g.checker.attempts {
		if g.rng.IntN(4) != 0 && f.timeoutAt > g.now {
			remaining = append(remaining, f)
			continue
		}
		e := g.randomOutcome(f)
		g.checker.recordOutcome(g.now, e)
		g.events = append(g.events, e)
		if g.rng.IntN(20) == 0 { // the event repeated, and one for a message that was never sent
			g.events = append(g.events, e, Event{Kind: EventAttemptDone, Message: g.next + 9, Endpoint: 5})
		}
	}
	g.checker.attempts = remaining
}

// randomOutcome returns a random outcome for an attempt.
func (g *eventGenerator) randomOutcome(f pendingItem) Event {
	m := g.checker.messages[f.message]
	e := Event{Kind: EventAttemptDone, Message: f.message, Attempt: f.attempt, Endpoint: f.endpoint, Latency: second / 5}
	switch {
	case f.timeoutAt <= g.now:
		e.Outcome = TimedOut
	case g.rng.IntN(5) == 0:
		e.Outcome = Outcome(g.rng.IntN(int(outcomeCount)))
	default:
		e.Outcome = g.outcomes[m.dest]
	}
	if e.Outcome == Rejected && g.rng.IntN(2) == 0 {
		e.RetryAfter = Time(g.rng.Int64N(int64(3 * second)))
	}
	e.Final = m.isCompleted || e.Outcome == Delivered
	if g.rng.IntN(2) == 0 {
		e.Load = LoadReport{Remaining: g.rng.Float64(), Limit: 10 * g.rng.Float64()}
	}
	return e
}

func (g *eventGenerator) endHealthChecks() {
	for _, ep := range g.checker.healthChecks {
		g.events = append(g.events, Event{Kind: EventHealthChecked, Endpoint: ep, Outcome: Outcome(g.rng.IntN(int(outcomeCount)))})
	}
	g.checker.healthChecks = nil
}

// withdraw sometimes withdraws the newest message.
func (g *eventGenerator) withdraw() {
	if g.rng.IntN(50) != 0 || g.next <= 1 {
		return
	}
	id := g.next - 1
	if m := g.checker.messages[id]; m != nil && !m.isCompleted && !m.isSpilled {
		m.isCompleted, m.isWithdrawn = true, true
		g.events = append(g.events, Event{Kind: EventWithdraw, Message: id})
	}
}

func (g *eventGenerator) fireTimers() {
	var later []pendingItem
	for _, timer := range g.checker.timers {
		if timer.dueAt <= g.now {
			g.events = append(g.events, Event{Kind: EventTimer})
		} else {
			later = append(later, timer)
		}
	}
	g.checker.timers = later
}

// nextTime is the time of the next step. It skips no timer, time-out or load deadline that is due
// earlier.
func (c *checker) nextTime(now, next Time) Time {
	for _, timer := range c.timers {
		next = min(next, max(timer.dueAt, now+1))
	}
	for _, f := range c.attempts {
		next = min(next, max(f.timeoutAt, now+1))
	}
	for _, a := range c.log.entries {
		next = min(next, max(a.Deadline, now+1))
	}
	return next
}

func (c *checker) listedState(e Endpoint) Readiness {
	if _, bad := c.unusableSince[e]; bad {
		return Draining
	}
	return Ready
}

// Every rule of the checker holds for policies that run over random legal events.
func TestRulesHoldOverRandomEvents(t *testing.T) {
	var sends, rejected, failed int
	for seed := range uint64(90) {
		c, _ := runRandomEvents(t, seed, 400)
		for i, e := range c.violations {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, e)
			}
		}
		sends, rejected, failed = sends+c.sends, rejected+c.rejected, failed+c.failed
	}
	if sends < 5000 || rejected < 100 || failed < 100 {
		t.Fatalf("too few events to test anything: %d sends, %d rejected, %d failed", sends, rejected, failed)
	}
}

// The settings, the seed and the events determine every action.
func TestSameSeedAndEventsGiveSameActions(t *testing.T) {
	for seed := range uint64(5) {
		_, a := runRandomEvents(t, seed, 300)
		_, b := runRandomEvents(t, seed, 300)
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
