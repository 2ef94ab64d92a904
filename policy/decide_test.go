package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// baseSettings returns settings for a relay with one safe class and one kind of destination.
func baseSettings() Settings {
	return Settings{Relays: 2, MaxCalls: 8, MaxMessages: 100, MaxAttempts: 9, HalvingWeight: true, OverQuotaWeight: 0.1,
		LoadReports: true, ListedRates: true, HealthChecks: true, Cancellation: true, RetryAfter: true, MaxRetryAfter: 2 * second, Tick: 5000,
		ResponseSlack: 20000, DrainGrace: second, SlowStartCapacity: 0.2, SlowStartTime: 10 * second, OverloadFactor: 2,
		OverloadWindow: 3 * second, KeepAlive: 10 * second, ConnectTimeout: second, Kinds: []DestinationKind{{MaxBatch: 1}},
		Classes: []Class{{Name: "m", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 1, LateWeight: 0.3}}}
}

// rig drives a policy by hand: a steady host that answers as told.
type rig struct {
	t      *testing.T
	p      *Policy
	now    Time
	acts   []Action
	next   uint32
	sends  []Action
	sentAt []Time
}

func newRig(t *testing.T, s Settings, entries ...Entry) *rig {
	t.Helper()
	return newSeededRig(t, s, 1, entries...)
}

func newSeededRig(t *testing.T, s Settings, seed uint64, entries ...Entry) *rig {
	t.Helper()
	p, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, p: p, now: 1000 * second, next: 1}
	r.step(Event{Kind: EventListUpdate, ListUpdate: ListCached, Entries: entries})
	return r
}

func (r *rig) step(events ...Event) []Action {
	r.acts = r.p.Step(r.now, events, nil)
	r.sends = nil
	for _, a := range r.acts {
		if a.Kind == ActionSend {
			r.sends = append(r.sends, a)
			r.sentAt = append(r.sentAt, r.now)
		}
	}
	return r.acts
}

func (r *rig) message(class, dest int) Event {
	r.next++
	return Event{Kind: EventMessage, Message: r.next - 1, Class: class, Dest: dest, TimeLeft: r.p.settings.Classes[class].Deadline}
}

func count(acts []Action, k ActionKind) int {
	n := 0
	for _, a := range acts {
		if a.Kind == k {
			n++
		}
	}
	return n
}

func ready(id Endpoint, rate float64) Entry { return Entry{Endpoint: id, State: Ready, Rate: rate} }

func answer(a Action, o Outcome) Event {
	return Event{Kind: EventAttemptDone, Message: a.Message, Endpoint: a.Endpoint, Attempt: a.Attempt, Outcome: o,
		Latency: second / 10, Final: o == Delivered}
}

func TestDropChance(t *testing.T) {
	for _, c := range []struct{ req, acc, want float64 }{
		{0, 0, 0},        // no history
		{10, 10, 0},      // all accepted
		{10, 5, 0},       // just K times the accepts
		{20, 5, 6. / 21}, // past it, two accepts to its credit
		{1000, 0, 0.9},   // dead: the cap
		{3, 0, 0},        // hardly asked: that tells nothing
	} {
		if got := dropProbability(c.req, c.acc); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("dropChance(%v, %v) = %v, want %v", c.req, c.acc, got, c.want)
		}
	}
}

func TestHistoryExpires(t *testing.T) {
	c := newCallHistory(10*second, 20)
	for i := range Time(10) {
		c.recordRequest(i * second)
		c.recordAccept(i * second)
	}
	for _, x := range []struct {
		at   Time
		want float64
	}{{9 * second, 10}, {14 * second, 5}, {60 * second, 0}} {
		if req, acc := c.totals(x.at); math.Abs(req-x.want) > 1 || req != acc {
			t.Errorf("at %d: %v requests, %v accepts, want about %v", x.at, req, acc, x.want)
		}
	}
}

// TestLocalDropsCount: a draw is a request whether or not it passes.
func TestLocalDropsCount(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 10))
	l := r.p.endpoints[1].route
	drops := 0
	for range 200 {
		if r.p.drawDrop(l) {
			drops++
		}
	}
	if req, _ := l.history.totals(r.now); req != 200 || drops < 140 || drops > 195 {
		t.Fatalf("%v requests counted, %d drops of 200", req, drops)
	}
}

// TestDropIsAnswered: a first try that is dropped is refused in the same turn, with a time to come again.
func TestDropIsAnswered(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 1000))
	for range 200 {
		r.p.endpoints[1].route.history.recordRequest(r.now)
	}
	refused := 0
	for range 50 {
		r.now += second / 100
		r.step(r.message(0, 0))
		for _, a := range r.acts {
			if a.Kind == ActionReject {
				refused++
				if a.Delay <= 0 {
					t.Fatalf("refused with no time to come again: %+v", a)
				}
			}
		}
		if len(r.sends) > 0 {
			r.step(answer(r.sends[0], Delivered))
		}
		if len(r.p.pending) > 0 {
			t.Fatal("a message was neither sent nor answered")
		}
	}
	if refused < 25 {
		t.Errorf("%d of 50 refused, want about 9 in 10", refused)
	}
}

// TestWindow: it starts at one, grows by one with each success, and halves on a refusal or a time-out.
func TestWindow(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 1000))
	l := r.p.endpoints[1].route
	var burst []Event
	for range 20 {
		burst = append(burst, r.message(0, 0))
	}
	r.step(burst...)
	if len(r.sends) != 1 {
		t.Fatalf("%d calls in the first turn, want 1", len(r.sends))
	}
	r.now += second / 10
	r.step(answer(r.sends[0], Delivered))
	if len(r.sends) != 2 || l.window != 2 {
		t.Fatalf("%d calls after a success, window %v, want 2 and 2", len(r.sends), l.window)
	}
	for _, o := range []Outcome{Rejected, TimedOut} {
		l.window = 6
		r.now += second / 10
		r.p.observeCall(&callState{endpoint: r.p.endpoints[1], sentAt: r.now, messages: []*messageState{{class: &r.p.settings.Classes[0]}}}, &Event{Kind: EventAttemptDone, Outcome: o})
		if l.window != 3 {
			t.Errorf("window after outcome %d: %v, want 3", o, l.window)
		}
	}
}

// TestSlotsAtOneDestination: three quarters of the slots at most, half while it fails.
func TestSlotsAtOneDestination(t *testing.T) {
	for _, failing := range []bool{false, true} {
		r := newRig(t, baseSettings(), ready(1, 1000))
		l := r.p.endpoints[1].route
		l.window = 100
		want := 6
		if failing {
			r.p.endpoints[1].failureScore, want = 0.35, 4
		}
		for range 10 {
			r.step(r.message(0, 0), r.message(0, 0))
		}
		if l.dest.callsInFlight != want {
			t.Errorf("failing %v: %d calls out of 8 slots, want %d", failing, l.dest.callsInFlight, want)
		}
	}
}

// outage sends a message each 100 ms; the destination answers with o from the first second to the twelfth.
func outage(t *testing.T, s Settings, rate float64, o Outcome) *rig {
	r := newRig(t, s, ready(1, rate/2), ready(2, rate/2))
	start := r.now
	type out struct {
		a   Action
		due Time
		o   Outcome
	}
	var flights []out
	tries := map[uint32]int{}
	for r.now < start+40*second {
		var events []Event
		var still []out
		for _, f := range flights {
			if f.due > r.now {
				still = append(still, f)
				continue
			}
			events = append(events, answer(f.a, f.o))
		}
		flights = still
		if (r.now-start)%(second/10) == 0 {
			events = append(events, r.message(0, 0))
		}
		r.step(events...)
		for _, a := range r.acts {
			switch a.Kind {
			case ActionSend:
				a.Attempt = tries[a.Message]
				tries[a.Message]++
				f := out{a, r.now + second/5, Delivered}
				if at := r.now - start; at > second && at < 12*second {
					f.o = o
					if o == TimedOut {
						f.due = a.Deadline
					}
				}
				flights = append(flights, f)
			}
		}
		r.now += 5000
	}
	return r
}

// TestFailBackBudget: after an outage seen, this relay's part of the budget holds in any window of the fall
// time, from the return on, with the capacity at its slowest ramp.
func TestFailBackBudget(t *testing.T) {
	for _, o := range []Outcome{Errored, TimedOut, ConnectFailed, ConnectionReset, Rejected} {
		s := baseSettings()
		r := outage(t, s, 20, o)
		start, back := 1000*second, 1012*second
		early, late := 0, 0
		for _, at := range r.sentAt {
			if at > start+6*second && at < back {
				early++
			}
			if at > back+15*second {
				late++
			}
		}
		for from := back; from < back+s.SlowStartTime; from += second / 4 {
			n := 0
			for _, at := range r.sentAt {
				if at >= from && at < from+s.OverloadWindow {
					n++
				}
			}
			share := s.SlowStartCapacity + (1-s.SlowStartCapacity)*float64(from-back)/float64(s.SlowStartTime)
			most := s.OverloadFactor * share * 20 * 3 / float64(s.Relays)
			if float64(n) > most+2 { // a trial at each endpoint is the allowance for chance
				t.Errorf("outcome %d: %d calls in the 3 s from %d ms after the return, want at most %.1f", o, n,
					(from-back)/1000, most)
			}
		}
		if early == 0 || early > 60 || late < 50 {
			t.Errorf("outcome %d: %d calls in the outage and %d after it: trials or the return are missing", o, early, late)
		}
	}
}

// TestPartialSuccessKeepsTheBudget: a success amid failures starts no ramp that survives the next failure.
func TestPartialSuccessKeepsTheBudget(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 10))
	ep := r.p.endpoints[1]
	r.p.observeFailure(ep, r.now, false)
	r.p.observeFailure(ep, r.now, false)
	if ep.isEjected {
		t.Fatal("two failures in a row are an outage")
	}
	r.p.observeFailure(ep, r.now, false)
	if !ep.isEjected {
		t.Fatal("three failures in a row are no outage")
	}
	r.now += second
	r.p.now = r.now
	r.p.observeSuccess(ep, r.now)
	r.p.now += 5 * second
	if r.p.recoveredFraction(ep) < 0.5 {
		t.Fatalf("half a ramp gives %v", r.p.recoveredFraction(ep))
	}
	r.p.observeFailure(ep, r.p.now, false)
	r.p.observeFailure(ep, r.p.now, false)
	if got := r.p.recoveredFraction(ep); got != 0.2 || !ep.isEjected {
		t.Fatalf("after a failure in the ramp: share %v, out %v", got, ep.isEjected)
	}
}

// TestOldCallsTellNothingOfTheReturn: what left before the outage was over does not restart it.
func TestOldCallsTellNothingOfTheReturn(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 10))
	ep := r.p.endpoints[1]
	early := r.now
	for range 3 {
		r.p.observeFailure(ep, r.now, true)
	}
	r.p.now += 3 * second
	r.p.observeSuccess(ep, r.p.now-second/10)
	good := ep.recoveredAt
	r.p.observeFailure(ep, early, true)
	if good == 0 || ep.recoveredAt != good {
		t.Fatalf("ramp began at %d and now says %d", good, ep.recoveredAt)
	}
}

// TestTimeoutNotUnderAim: one quick answer must not make the next slow one look like an outage.
func TestTimeoutNotUnderAim(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 1000))
	r.step(r.message(0, 0))
	e := answer(r.sends[0], Delivered)
	e.Latency = 1000
	r.now += 1000
	r.step(e)
	r.step(r.message(0, 0))
	if len(r.sends) != 1 || r.sends[0].Deadline-r.now < 2*second {
		t.Fatalf("sends %+v at %d: time-out under the aim", r.sends, r.now)
	}
}

// TestChanceOfAShare: few relays let a few arrivals close together pass, each of many only one: what a fleet has saved
// up by the end of an outage must stay near what chance moves a second of its calls.
func TestChanceOfAShare(t *testing.T) {
	for _, c := range []struct{ relays, want int }{{2, 3}, {12, 1}, {80, 1}} {
		s := baseSettings()
		s.Relays = c.relays
		r := newRig(t, s, ready(1, 18))
		r.p.endpoints[1].route.window = 5
		r.step(r.message(0, 0), r.message(0, 0), r.message(0, 0))
		if len(r.sends) != c.want {
			t.Errorf("%d relays: %d of 3 calls passed at once", c.relays, len(r.sends))
		}
	}
}

// TestFleetKeepsToALimit: relays that are all refused come down to less than the limit together, however many.
func TestFleetKeepsToALimit(t *testing.T) {
	for _, n := range []int{2, 80, 400} {
		s := baseSettings()
		s.Relays = n
		r := newRig(t, s, ready(1, 20))
		ep := r.p.endpoints[1]
		for range 100 {
			r.p.observeCall(&callState{endpoint: ep, sentAt: r.now, messages: []*messageState{{class: &r.p.settings.Classes[0]}}},
				&Event{Kind: EventAttemptDone, Outcome: Rejected, Load: LoadReport{Limit: 20, Present: true}})
		}
		if all := r.p.paceRate(ep.route) * float64(n); all > 20 || all < 5 {
			t.Errorf("%d relays send %v a second together, limit 20", n, all)
		}
	}
}

// TestPaceOfSeldomCallers: one refusal brings relays that call seldom down to the limit together, and what they
// grow by on one report stays inside the allowance that it told of. One that calls often goes on in small steps.
func TestPaceOfSeldomCallers(t *testing.T) {
	for _, n := range []int{2, 80, 300} {
		s := baseSettings()
		s.Relays = n
		r := newRig(t, s, ready(1, 20))
		l := r.p.endpoints[1].route
		book := func(o Outcome, left float64, gap Time) (before, after float64) {
			r.now += gap
			r.step()
			l.isPaceLimited, before = true, r.p.paceRate(l)
			r.p.observeCall(&callState{endpoint: r.p.endpoints[1], sentAt: r.now, messages: []*messageState{{class: &r.p.settings.Classes[0]}}},
				&Event{Kind: EventAttemptDone, Outcome: o, Load: LoadReport{Remaining: left, Limit: 20, Present: true}})
			return before, r.p.paceRate(l)
		}
		if _, each := book(Rejected, 0, s.OverloadWindow); each*float64(n) > 20.001 {
			t.Errorf("%d relays: after one refusal each they send %v a second together, limit 20", n, each*float64(n))
		}
		for _, left := range []float64{0, 0.2, 0.4} {
			if was, now := book(Delivered, left, s.OverloadWindow); math.Abs(now/was-1-left) > 0.001 {
				t.Errorf("%d relays: with %v of the allowance left the pace goes from %v to %v", n, left, was, now)
			}
		}
		if was, now := book(Delivered, 0, s.Tick); now < was*1.07 {
			t.Errorf("%d relays: a frequent caller goes from %v to %v with a success", n, was, now)
		}
		if was, now := book(Rejected, 0, s.Tick); now < was*0.72 {
			t.Errorf("%d relays: a frequent caller goes from %v to %v with a refusal", n, was, now)
		}
	}
}

// TestNoConnectionSpendsNoToken: a call that found no connection took nothing of the limit.
func TestNoConnectionSpendsNoToken(t *testing.T) {
	s := baseSettings()
	s.Relays = 80
	r := newRig(t, s, ready(1, 20))
	r.untilSend()
	began := r.now
	r.step(answer(r.sends[0], ConnectFailed))
	if len(r.sends) == 0 {
		r.untilSend()
	}
	if r.now > began+second {
		t.Errorf("the next call waits %d ms for a token", (r.now-began)/1000)
	}
}

// TestTrialsUseMessages: a trial call is a message that waits; an unsafe one only once it is late.
func TestTrialsUseMessages(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		s := baseSettings()
		if unsafe {
			s.Classes[0].Idempotency = NonIdempotent
		}
		r := newRig(t, s, ready(1, 10))
		for range 3 {
			r.p.observeFailure(r.p.endpoints[1], r.now, true)
		}
		start := r.now
		r.step(r.message(0, 0))
		for len(r.sends) == 0 && r.now < start+19*second {
			r.now += second / 20
			r.step()
		}
		if len(r.sends) != 1 || unsafe && r.now <= start+s.Classes[0].LatencyObjective {
			t.Errorf("unsafe %v: %d sends after %d ms", unsafe, len(r.sends), (r.now-start)/1000)
		}
	}
}

// TestBatchOfOneTurn: what waits for one endpoint shares a call and a slot, and the call counts once.
func TestBatchOfOneTurn(t *testing.T) {
	s := baseSettings()
	s.Kinds[0].MaxBatch = 3
	r := newRig(t, s, ready(1, 10))
	r.step(r.message(0, 0), r.message(0, 0), r.message(0, 0))
	if len(r.sends) != 3 || r.p.callsInFlight != 1 {
		t.Fatalf("%d sends in %d calls, want 3 in 1", len(r.sends), r.p.callsInFlight)
	}
	r.now += second / 5
	r.step(answer(r.sends[0], Delivered))
	if r.p.callsInFlight != 1 {
		t.Fatal("the slot was freed before the call's last outcome")
	}
}

// TestCallEndsInTime: the messages of a call share one fate, so that none of them is waited for beyond the time
// of another, whichever leads the call.
func TestCallEndsInTime(t *testing.T) {
	s := baseSettings()
	s.Kinds[0].MaxBatch = 3
	unsafe := s.Classes[0]
	unsafe.Idempotency = NonIdempotent
	s.Classes = append(s.Classes, unsafe)
	for seed := range 200 {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		r := newRig(t, s, ready(1, 1000))
		var events []Event
		first := Time(math.MaxInt64)
		for range 3 {
			e := r.message(rng.IntN(2), 0)
			e.TimeLeft = 3*second + Time(rng.Int64N(20*second)) // each leaves the others their time
			first = min(first, r.now+e.TimeLeft)
			events = append(events, e)
		}
		r.step(events...)
		if len(r.sends) != 3 || r.p.callsInFlight != 1 {
			t.Fatalf("seed %d: %d sends in %d calls, want 3 in 1", seed, len(r.sends), r.p.callsInFlight)
		}
		for _, a := range r.sends {
			if a.Call != r.sends[0].Call || a.Deadline >= first || a.Deadline <= r.now {
				t.Errorf("seed %d: message %d of call %d is waited for until %d, the first deadline of call %d is at %d",
					seed, a.Message, a.Call, a.Deadline, r.sends[0].Call, first)
			}
		}
	}
}

// TestCallCutsNobodyShort: a message whose time is nearly up shares no call, whether it leads or follows: its end would
// be that of others, which have more time and may not be sent again.
func TestCallCutsNobodyShort(t *testing.T) {
	s := baseSettings()
	s.Kinds[0].MaxBatch = 3
	unsafe := s.Classes[0]
	unsafe.Idempotency = NonIdempotent
	s.Classes = append(s.Classes, unsafe)
	for _, class := range []int{0, 1} {
		for _, nearFirst := range []bool{false, true} {
			r := newRig(t, s, ready(1, 1000))
			near, far := r.message(0, 0), r.message(class, 0)
			near.TimeLeft = second / 5
			events := []Event{far, near}
			if nearFirst {
				events = []Event{near, far}
			}
			r.step(events...)
			var sends []Action
			for end := r.now + second; r.now < end && len(sends) < 2; r.now += 5000 {
				sends = append(sends, r.sends...)
				events = nil
				for _, a := range r.sends {
					events = append(events, answer(a, Delivered))
				}
				r.step(events...)
			}
			for _, a := range sends {
				if a.Message == far.Message && a.Deadline < 1000*second+s.Classes[0].LatencyObjective {
					t.Errorf("class %d, near first %v: the far one is waited for %d ms", class, nearFirst, (a.Deadline-1000*second)/1000)
				}
			}
			if len(sends) != 2 {
				t.Errorf("class %d, near first %v: %d sends", class, nearFirst, len(sends))
			}
		}
	}
}

// TestRepeatInItsWindow: a keyed message that may have run goes out again with word of the moment after which it is
// not known as the same any more; what has surely not run, and what may always run again, has none.
func TestRepeatInItsWindow(t *testing.T) {
	s := baseSettings()
	keyed := s.Classes[0]
	keyed.Idempotency, keyed.DedupWindow = IdempotentByKey, 5*second
	s.Classes = append(s.Classes, keyed)
	for _, c := range []struct {
		class int
		first Outcome
		bound bool
	}{{1, ConnectionReset, true}, {1, TimedOut, true}, {1, Rejected, false}, {0, ConnectionReset, false}} {
		r := newRig(t, s, ready(1, 1000))
		r.step(r.message(c.class, 0))
		sent := r.now
		if by := r.sends[0].SendBy; by != 0 {
			t.Errorf("class %d: the first try goes out by %d", c.class, by)
		}
		r.now += second / 10
		events := []Event{answer(r.sends[0], c.first)}
		for r.step(events...); len(r.sends) == 0; r.step() {
			if r.now += 5000; r.now > sent+5*second {
				t.Fatalf("class %d after %d: never sent again", c.class, c.first)
			}
		}
		if by := r.sends[0].SendBy; (by != 0) != c.bound || by > sent+keyed.DedupWindow || c.bound && by < r.now {
			t.Errorf("class %d after %d: sent again by %d, the window ends at %d", c.class, c.first, by, sent+keyed.DedupWindow)
		}
	}
}

// TestKeptIsTried: what an earlier process took on and never sent is neither dropped by a draw nor shed for want of
// room: it is tried, or waits until its time is up. It may go on to refuse what is new.
func TestKeptIsTried(t *testing.T) {
	s := baseSettings()
	s.MaxMessages = 30
	for seed := range uint64(20) {
		p, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, p: p, now: 1000 * second, next: 1}
		r.step(Event{Kind: EventListUpdate, ListUpdate: ListCached, Entries: []Entry{ready(1, 5)}})
		deadline, kept, sent := map[uint32]Time{}, map[uint32]bool{}, map[uint32]bool{}
		var events []Event
		for range 40 {
			e := r.message(0, 0)
			e.Recovered, e.TimeLeft = true, 10*second
			e.Attempts = int(e.Message) % 3 // turned away before the restart
			kept[e.Message], deadline[e.Message] = true, r.now+e.TimeLeft
			events = append(events, e)
		}
		refused := 0
		for end := r.now + 12*second; r.now < end; r.now += 5000 {
			if r.now%(second/10) == 0 { // new ones press
				events = append(events, r.message(0, 0))
			}
			r.step(events...)
			events = nil
			for _, a := range r.acts {
				switch a.Kind {
				case ActionSend:
					e := answer(a, Errored) // the draw drops nine in ten
					if p.messages[a.Message].attempts%4 == 1 {
						e.Outcome = ConnectFailed // nobody has seen this one
					} else {
						sent[a.Message] = true
					}
					e.Attempt = p.messages[a.Message].attempts - 1
					events = append(events, e)
				case ActionReject, ActionFail:
					if !kept[a.Message] {
						refused++
					} else if !sent[a.Message] && r.now < deadline[a.Message]-4*s.Tick {
						t.Fatalf("seed %d: message %d is ended %d ms before its time, never sent", seed, a.Message, (deadline[a.Message]-r.now)/1000)
					}
				}
			}
		}
		if len(sent) == 0 || refused == 0 {
			t.Errorf("seed %d: %d sent, %d new ones refused", seed, len(sent), refused)
		}
	}
}

// TestWorthOrder: what loses most by waiting goes first; what is over its tenant's share goes last.
func TestWorthOrder(t *testing.T) {
	s := baseSettings()
	s.Classes = append(s.Classes, Class{Name: "dear", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 3, LateWeight: 0.3})
	s.Tenants = []Tenant{{Name: "a", Quota: 2}, {Name: "b", Quota: 100}}
	r := newRig(t, s, ready(1, 2))
	r.step(r.message(0, 0)) // takes the window of one
	first := r.sends[0]
	var events []Event
	for i := range 6 {
		e := r.message(i%2, 0)
		e.Tenant = 1
		if i >= 4 {
			e.Tenant = 0
		}
		events = append(events, e)
	}
	r.step(events...)
	r.now += second
	r.step(answer(first, Delivered))
	q := r.p.destinations[0].queue
	if len(r.sends) == 0 || len(q) < 2 {
		t.Fatalf("%d sends, %d left in the queue", len(r.sends), len(q))
	}
	if m := r.p.messages[r.sends[0].Message]; m.class.Name != "dear" || m.weight < 3 || q[len(q)-1].weight > 0.5 {
		t.Fatalf("first %s of worth %v, last worth %v", m.class.Name, m.weight, q[len(q)-1].weight)
	}
}

// TestClosedQueueCostsNothing: what waits for a destination that nothing may go to is not weighed at each event;
// where the queue is long that would cost more than the work there is.
func TestClosedQueueCostsNothing(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 2))
	r.step(r.message(0, 0)) // takes the window of one
	for range 50 {
		r.step(r.message(0, 0))
	}
	for _, m := range r.p.destinations[0].queue {
		if m.delayCost != 0 {
			t.Fatal("a queue was weighed while its window was full")
		}
	}
}

// TestNoEndpoint: a message without a usable endpoint is held, then answered in time by its class.
func TestNoEndpoint(t *testing.T) {
	r := newRig(t, baseSettings())
	r.step(r.message(0, 7))
	if count(r.acts, ActionTimer) != 1 || count(r.acts, ActionReject) != 0 {
		t.Fatalf("actions %+v", r.acts)
	}
	r.now += 20*second - 5000
	if r.step(); count(r.acts, ActionReject) != 1 {
		t.Fatalf("no answer before the deadline: %+v", r.acts)
	}
}

// TestUnknownClass: nothing is known of such a message, and nothing has run.
func TestUnknownClass(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 10))
	e := r.message(0, 0)
	e.Class = 9
	if r.step(e); count(r.acts, ActionReject) != 1 || len(r.sends) != 0 {
		t.Fatalf("actions %+v", r.acts)
	}
}

func TestSettingsThatCannotBe(t *testing.T) {
	for _, c := range []struct {
		key    string
		change func(*Settings)
	}{
		{"MaxCalls", func(s *Settings) { s.MaxCalls = 0 }},
		{"Relays", func(s *Settings) { s.Relays = 0 }},
		{"OverloadWindow", func(s *Settings) { s.OverloadWindow = -1 }},
		{"Classes[0].Idempotency", func(s *Settings) { s.Classes[0].Idempotency = 9 }},
		{"Classes[0].Deadline", func(s *Settings) { s.Classes[0].Deadline = 0 }},
		{"Classes[0].DedupWindow", func(s *Settings) { s.Classes[0].DedupWindow = -5 }},
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"SlowStartCapacity", func(s *Settings) { s.SlowStartCapacity = math.NaN() }},
		{"Kinds[0].MaxBatch", func(s *Settings) { s.Kinds[0].MaxBatch = -1 }},
	} {
		s := baseSettings()
		c.change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s: error %v", c.key, err)
		}
	}
	if _, err := New(baseSettings(), 1); err != nil {
		t.Errorf("good settings: %v", err)
	}
}

// TestReclaim: calls that never come back do not hold the last slots while messages wait, and a call to an
// endpoint that has answered others since does not count against it.
func TestReclaim(t *testing.T) {
	s := baseSettings()
	s.MaxCalls = 2
	r := newRig(t, s, Entry{Endpoint: 1, State: Ready, Dest: 0, Rate: 1000}, Entry{Endpoint: 2, State: Ready, Dest: 1, Rate: 1000})
	for dest := range 2 { // both have answered once, so what is usual is known
		r.step(r.message(0, dest))
		r.now += second / 10
		r.step(answer(r.sends[0], Delivered))
	}
	r.now += second
	r.step(r.message(0, 0), r.message(0, 1), r.message(0, 1))
	if r.p.callsInFlight != 2 {
		t.Fatalf("%d calls out, want both slots taken", r.p.callsInFlight)
	}
	cancels := 0
	for range 400 {
		r.now += 5000
		r.step()
		cancels += count(r.acts, ActionCancel)
		if cancels > 0 {
			break
		}
	}
	if cancels == 0 {
		t.Fatal("no overdue call was called off")
	}
	ep := r.p.endpoints[1]
	ep.lastSuccessAt = r.now
	before := ep.failureScore
	r.p.observeCall(&callState{endpoint: ep, sentAt: r.now - second}, &Event{Kind: EventAttemptDone, Outcome: Cancelled})
	if ep.failureScore != before {
		t.Error("a call called off counted against an endpoint that has answered since")
	}
}

// TestReclaimMixedBatch: a call that an unsafe message shares is waited for as long as one of its own, whatever
// message leads it: called off, the unsafe one has had its only try.
func TestReclaimMixedBatch(t *testing.T) {
	s := baseSettings()
	s.MaxCalls = 1
	s.Kinds[0].MaxBatch = 2
	unsafe := s.Classes[0]
	unsafe.Idempotency, unsafe.Weight = NonIdempotent, 0.5
	s.Classes = append(s.Classes, unsafe)
	calledOff := func(class int) Time {
		r := newRig(t, s, ready(1, 1000))
		r.step(r.message(0, 0)) // what is usual is known
		r.now += second / 10
		r.step(answer(r.sends[0], Delivered))
		r.now += second
		r.step(r.message(0, 0), r.message(class, 0), r.message(0, 0))
		if len(r.sends) != 2 || r.p.callsInFlight != 1 || r.p.messages[r.sends[0].Message].class.Idempotency != Idempotent {
			t.Fatalf("%d sends in %d calls, want 2 in 1 led by a safe one", len(r.sends), r.p.callsInFlight)
		}
		for start := r.now; ; r.step() {
			if count(r.acts, ActionCancel) > 0 {
				return r.now - start
			}
			r.now += 5000
		}
	}
	if safe, mixed := calledOff(0), calledOff(1); mixed < 3*safe {
		t.Errorf("called off after %d ms, with an unsafe message after %d ms", safe/1000, mixed/1000)
	}
}

// TestWaitWithAnyOutcome: a wait binds whatever became of the message whose answer told it.
func TestWaitWithAnyOutcome(t *testing.T) {
	for _, o := range []Outcome{Delivered, Rejected, Errored} {
		r := newRig(t, baseSettings(), ready(1, 1000))
		r.step(r.message(0, 0))
		e := answer(r.sends[0], o)
		e.RetryAfter = second
		r.now += second / 10
		told := r.now
		r.step(e, r.message(0, 0))
		for len(r.sends) == 0 && r.now < told+10*second {
			r.now += second / 100
			r.step()
		}
		if r.now < told+second || len(r.sends) == 0 {
			t.Errorf("outcome %v: sent %d ms after the word of a wait of 1000", o, (r.now-told)/1000)
		}
	}
}

// TestHungUnsafeCall: an unsafe call that hangs where calls sent much later are answered gives its place back
// before its deadline; where nothing sent later was answered, or only just later, it is waited for.
func TestHungUnsafeCall(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Idempotency = NonIdempotent
	for later, want := range map[Time]bool{0: false, second / 10: false, 5 * second: true} {
		r := newRig(t, s, ready(1, 1000))
		r.step(r.message(0, 0)) // what is usual is known, and the window has room for two
		r.now += second / 10
		r.step(answer(r.sends[0], Delivered))
		r.now += second
		r.step(r.message(0, 0))
		hung := r.sends[0]
		if later > 0 {
			r.now += later
			r.step(r.message(0, 0))
			other := r.sends[0]
			r.now += second / 10
			r.step(answer(other, Delivered))
		}
		var off Time
		for start := r.now; r.now < start+10*second && off == 0; r.step() {
			for _, a := range r.acts {
				if a.Kind == ActionCancel && a.Message == hung.Message {
					off = r.now - start
				}
			}
			r.now += second / 100
		}
		if called := off > 0; called != want {
			t.Errorf("another sent %d ms later: called off %v, after %d ms", later/1000, called, off/1000)
		}
	}
}

// TestFewerThanHalfFailing: where most calls pass, failures neither make an outage nor undo a ramp.
func TestFewerThanHalfFailing(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 10))
	ep := r.p.endpoints[1]
	for i := range 300 { // two of five fail
		r.p.now += second / 10
		if i%5 == 1 || i%5 == 3 {
			r.p.observeFailure(ep, r.p.now, false)
		} else {
			r.p.observeSuccess(ep, r.p.now)
		}
		if ep.isEjected {
			t.Fatalf("out after %d calls of which two in five failed", i)
		}
	}
	for range 3 {
		r.p.observeFailure(ep, r.p.now, false)
	}
	for range 6 {
		r.p.observeSuccess(ep, r.p.now)
	}
	good := ep.recoveredAt
	r.p.observeFailure(ep, r.p.now, false)
	if good == 0 || ep.recoveredAt != good {
		t.Fatal("one failure among passes undid the ramp")
	}
}

// TestRestAfterARefusal: the first rest after an untold refusal is this relay's turn at the limit, but no longer
// than a message has to its aim.
func TestRestAfterARefusal(t *testing.T) {
	for _, n := range []int{2, 7, 400} {
		s := baseSettings()
		s.Relays = n
		r := newRig(t, s, ready(1, 4))
		l := r.p.endpoints[1].route
		r.p.observeCall(&callState{endpoint: r.p.endpoints[1], sentAt: r.now, messages: []*messageState{{class: &r.p.settings.Classes[0]}}}, &Event{Kind: EventAttemptDone, Outcome: Rejected})
		turn := min(Time(n)*second/4, 2*second)
		if rest := l.backoffUntil - r.now; rest < turn/2 || rest > turn*3/2 {
			t.Errorf("%d relays: a rest of %d ms at 4 calls a second", n, rest/1000)
		}
	}
}

// TestShedLatest: with the room nearly full the message that opens latest is handed back, not the next arrival.
func TestShedLatest(t *testing.T) {
	s := baseSettings()
	s.MaxMessages = 16
	r := newRig(t, s, Entry{Endpoint: 1, State: Ready, Dest: 0, Rate: 4}, Entry{Endpoint: 2, State: Ready, Dest: 1, Rate: 4})
	r.p.endpoints[1].route.backoffUntil = r.now + 15*second
	r.p.endpoints[2].route.backoffUntil = r.now + second
	var events []Event
	dest := map[uint32]int{}
	for i := range 16 {
		e := r.message(0, i%2)
		dest[e.Message] = i % 2
		events = append(events, e)
	}
	r.step(events...)
	refused := 0
	for _, a := range r.acts {
		if a.Kind == ActionReject {
			refused++
			if dest[a.Message] != 0 {
				t.Errorf("message %d of the destination that opens soon was shed", a.Message)
			}
		}
	}
	if refused != 1 {
		t.Fatalf("%d refused, want 1", refused)
	}
}

// TestFleetBudget: after an outage that every relay has seen, all relays together stay inside the budget of a
// cold destination, for two relays and for hundreds.
func TestFleetBudget(t *testing.T) {
	for _, n := range []int{2, 50, 400} {
		s := baseSettings()
		s.Relays, s.MaxMessages = n, 1000
		const rate = 20.0
		back := 1012 * second
		calls := make([]float64, 40) // by half seconds from the return on
		for k := range n {
			p, err := New(s, uint64(k))
			if err != nil {
				t.Fatal(err)
			}
			now := 1000*second + Time(k)*1000
			events := []Event{{Kind: EventListUpdate, ListUpdate: ListCached, Entries: []Entry{ready(1, rate)}}}
			for i := range max(1, 240/n) { // twelve seconds of traffic, spread over the relays
				events = append(events, Event{Kind: EventMessage, Message: uint32(i + 1), TimeLeft: 30 * second})
			}
			tries := map[uint32]int{}
			for now < back+10*second {
				acts := p.Step(now, events, nil)
				events = nil
				for _, a := range acts {
					if a.Kind == ActionSend {
						if at := (now - back) * 2 / second; now >= back {
							calls[at]++
						}
						e := answer(a, ConnectFailed)
						e.Attempt = tries[a.Message]
						tries[a.Message]++
						events = append(events, e)
					}
				}
				now += second / 20
			}
		}
		for from := 0; from+6 <= 20; from++ {
			sum := 0.0
			for _, c := range calls[from : from+6] {
				sum += c
			}
			if most := s.OverloadFactor * s.SlowStartCapacity * rate * 3; sum > most*1.25 {
				t.Errorf("%d relays: %v calls in 3 s from %d ms after the return, budget %v", n, sum, from*500, most)
			}
		}
	}
}

// TestIdleGivenBack: where connections run out, idle ones are given back, the sooner the more relays there are.
func TestIdleGivenBack(t *testing.T) {
	for _, tight := range []float64{0, 1} {
		s := baseSettings()
		s.Relays = 50
		r := newRig(t, s, ready(1, 1000))
		r.p.connectionShortage[0] = tight
		r.step(r.message(0, 0))
		r.now += second / 10
		closes := 0
		r.step(answer(r.sends[0], Delivered))
		for range 40 { // two seconds, of ten that connections live
			r.now += second / 20
			closes += count(r.step(), ActionCloseIdle)
		}
		if closes != int(tight) {
			t.Errorf("share without connection %v: %d times given back", tight, closes)
		}
	}
}

// TestGoneAndMoved: what left or moved is not sent to, and is really let go.
// A full table of connections is told by a 503 with no report on a new connection: one is enough for a relay of a
// large fleet to keep idle ones for a short time. Refusals of any other sort tell nothing of it.
func TestFullTableShortensIdleTime(t *testing.T) {
	for _, c := range []struct {
		relays      int
		fresh, told bool
		wait        Time
		full        bool
	}{{80, true, false, 0, true}, {80, false, false, 0, false}, {80, true, true, 0, false},
		{80, true, false, second, false}, {2, true, false, 0, false}} {
		s := baseSettings()
		s.Relays = c.relays
		r := newRig(t, s, ready(1, 1000))
		for _, o := range []Event{{Outcome: Delivered, Final: true, Load: LoadReport{Remaining: 1, Limit: 1000, Present: true}},
			{Outcome: Rejected, NewConnection: c.fresh, RetryAfter: c.wait, Load: LoadReport{Present: c.told}}} {
			r.step(r.message(0, 0))
			e := answer(r.sends[0], o.Outcome)
			e.Final, e.NewConnection, e.RetryAfter, e.Load = o.Final, o.NewConnection, o.RetryAfter, o.Load
			r.step(e)
			r.now += second
		}
		if short := r.p.idleTimeout(r.p.endpoints[1]) < s.KeepAlive/4; short != c.full {
			t.Errorf("%+v: idle connections kept for %d", c, r.p.idleTimeout(r.p.endpoints[1]))
		}
	}
}

// untilSend has messages come until one is sent.
func (r *rig) untilSend() {
	r.t.Helper()
	for i := 0; ; i++ {
		if r.now += r.p.settings.Tick; len(r.p.pending) == 0 {
			r.step(r.message(0, 0))
		} else {
			r.step()
		}
		if len(r.sends) > 0 {
			return
		}
		if i == 10000 {
			r.t.Fatal("nothing is sent")
		}
	}
}

// crowd has a relay of a fleet of 80 find no room for a connection so many times in a row.
func crowd(t *testing.T, times int) *rig {
	t.Helper()
	s := baseSettings()
	s.Relays = 80
	r := newRig(t, s, ready(1, 1000))
	r.untilSend()
	e := answer(r.sends[0], Delivered)
	e.Load = LoadReport{Remaining: 1, Limit: 1000, Present: true}
	r.step(e)
	for range times {
		if len(r.sends) == 0 { // a trial call may follow at once
			r.untilSend()
		}
		e = answer(r.sends[0], Rejected)
		e.Attempt, e.NewConnection = r.p.messages[e.Message].attempts-1, true
		r.step(e)
	}
	return r
}

// Where others hold the connections, an endpoint is asked again soon and is not held to be out: each call of a large
// fleet opens one, and some chance on some find no room. A long run is an outage, as of one that is shut.
func TestNoRoomIsNoOutage(t *testing.T) {
	r := crowd(t, 2)
	ep := r.p.endpoints[1]
	if ep.isEjected || ep.failureScore > 0 || ep.route.nominalRate != 1000 || ep.route.paceFactor < 1 {
		t.Errorf("after two: sick %v, score %v, nominal %v, boost %v", ep.isEjected, ep.failureScore, ep.route.nominalRate, ep.route.paceFactor)
	}
	if gap := ep.backoffUntil - r.now; gap <= 0 || gap > second {
		t.Errorf("rests for %d", gap)
	}
	r.untilSend()
	e := answer(r.sends[0], Delivered)
	e.Attempt = r.p.messages[e.Message].attempts - 1
	r.step(e)
	if ep.connectionRejections != 0 {
		t.Error("a success does not end the run")
	}
	if r = crowd(t, 12); !r.p.endpoints[1].isEjected {
		t.Error("twelve in a row are no outage")
	}
}

// A relay that calls an endpoint seldom keeps no idle connection where tables are full: it would be of no use to it.
func TestSeldomCallerKeepsNoConnection(t *testing.T) {
	r := crowd(t, 1)
	ep := r.p.endpoints[1]
	if got := r.p.idleTimeout(ep); got > r.p.settings.Tick {
		t.Errorf("kept for %d at a call in seconds", got)
	}
	for range 100 {
		ep.route.history.recordRequest(r.now)
	}
	if got, part := r.p.idleTimeout(ep), r.p.settings.KeepAlive/40; got != part {
		t.Errorf("kept for %d at many calls, want %d", got, part)
	}
}

// Two refusals far apart with no success between are the word of one that is shut, unless they report a limit: a relay
// of a large fleet calls so seldom that two of its calls in a row often meet a limit that the others have used up.
func TestRefusalByALimitIsNoOutage(t *testing.T) {
	for _, told := range []bool{false, true} {
		s := baseSettings()
		s.Relays = 80
		r := newRig(t, s, ready(1, 1000))
		for range 2 {
			r.untilSend()
			e := answer(r.sends[0], Rejected)
			e.Attempt, e.Load = r.p.messages[e.Message].attempts-1, LoadReport{Limit: 1000, Present: told}
			r.step(e)
			r.now += s.OverloadWindow
		}
		if sick := r.p.endpoints[1].isEjected; sick == told {
			t.Errorf("report %v: held to be out %v", told, sick)
		}
	}
}

// A relay of a large fleet meets an outage at a destination that it has never heard from. Its trial calls are paced by
// the lowest limit that others of the kind reported, not by one call a second for all relays together.
func TestTrialsWhereNothingWasHeard(t *testing.T) {
	s := baseSettings()
	s.Relays, s.ListedRates, s.Kinds = 80, false, []DestinationKind{{MaxBatch: 1}, {MaxBatch: 1}}
	entry := func(id Endpoint, dest, kind int) Entry {
		return Entry{Endpoint: id, Dest: dest, Kind: kind, State: Ready}
	}
	r := newRig(t, s, entry(1, 0, 0), entry(2, 1, 0), entry(3, 2, 0), entry(4, 3, 1))
	for dest, limit := range []float64{30, 90} {
		r.step(r.message(0, dest))
		e := answer(r.sends[0], Delivered)
		e.Load = LoadReport{Remaining: 1, Limit: limit, Present: true}
		r.step(e)
	}
	if r.p.estimateCapacity(r.p.endpoints[3].route) != 1 || r.p.lowestReportedLimit(r.p.endpoints[4].route.dest) != 0 {
		t.Error("the guess goes beyond trial calls, or beyond the kind")
	}
	tries := 0
	for range 20000 { // it fails for 100 s
		if r.now += s.Tick; len(r.p.pending) == 0 {
			r.step(r.message(0, 2))
		} else {
			r.step()
		}
		for len(r.sends) > 0 {
			e := answer(r.sends[0], ConnectFailed)
			e.Attempt = r.p.messages[e.Message].attempts - 1
			r.step(e)
			tries++
		}
	}
	if tries < 10 || tries > 40 {
		t.Errorf("%d tries in 100 s", tries)
	}
}

func TestGoneAndMoved(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 10), ready(2, 10))
	r.p.observeFailure(r.p.endpoints[1], r.now, true)
	r.p.endpoints[1].isEjected = true
	r.step(Event{Kind: EventListUpdate, ListUpdate: ListDelta, Entries: []Entry{{Endpoint: 1, State: Removed}, {Endpoint: 2, State: Ready, Dest: 5}}})
	if len(r.p.endpoints) != 1 || len(r.p.destination(0).routes[0].endpoints) != 0 {
		t.Fatalf("%d endpoints kept, %d at the old place", len(r.p.endpoints), len(r.p.destination(0).routes[0].endpoints))
	}
	if r.step(r.message(0, 0)); len(r.sends) != 0 {
		t.Fatal("sent to an endpoint of another destination")
	}
	if r.step(r.message(0, 5)); len(r.sends) != 1 {
		t.Fatal("not sent to the endpoint that moved here")
	}
}

// BenchmarkStep shows what a message and its answer cost by the size of the fleet; nothing asserts a time.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{20, 700} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			p, _ := New(baseSettings(), 1)
			var list []Entry
			for i := range n {
				list = append(list, Entry{Endpoint: Endpoint(i + 1), State: Ready, Dest: i, Rate: 1e6})
			}
			now := second
			p.Step(now, []Event{{Kind: EventListUpdate, ListUpdate: ListCached, Entries: list}}, nil)
			var acts []Action
			for i := range b.N {
				now += 5000
				id := uint32(i + 1)
				acts = p.Step(now, []Event{{Kind: EventMessage, Message: id, Dest: i % n, TimeLeft: 20 * second}}, acts[:0])
				acts = p.Step(now, []Event{{Kind: EventAttemptDone, Message: id, Final: true, Latency: 1000}}, acts[:0])
			}
		})
	}
}

// TestRestOfWhatFails: with many relays for the messages an endpoint that fails twice rests, and the longer the
// longer it has failed; where few relays send there much each, it hardly does.
func TestRestOfWhatFails(t *testing.T) {
	for _, n := range []int{2, 400} {
		s := baseSettings()
		s.Relays = n
		r := newRig(t, s, ready(1, 10))
		ep := r.p.endpoints[1]
		r.p.observeFailure(ep, r.now, false)
		if ep.backoffUntil > r.now {
			t.Fatalf("%d relays: a rest after the first failure", n)
		}
		r.p.now += second / 2
		r.p.observeFailure(ep, r.p.now, false)
		if rest := ep.backoffUntil - r.p.now; n == 400 && rest < second || n == 2 && rest > second/4 {
			t.Errorf("%d relays: a rest of %d ms half a second after the first failure", n, rest/1000)
		}
	}
}

// TestAvoided: an endpoint counts as avoided while it drains, told this relay to wait, or is seen failing,
// and no longer once that is over.
func TestAvoided(t *testing.T) {
	s := baseSettings()
	r := newRig(t, s, ready(1, 1000), Entry{Endpoint: 2, Dest: 1, State: Draining})
	if r.p.Unavailable(1, r.now) || !r.p.Unavailable(2, r.now) || !r.p.Unavailable(3, r.now) {
		t.Errorf("at the start: ready %v, draining %v, unknown %v", r.p.Unavailable(1, r.now), r.p.Unavailable(2, r.now), r.p.Unavailable(3, r.now))
	}
	r.step(r.message(0, 0))
	r.step(Event{Kind: EventAttemptDone, Message: r.sends[0].Message, Endpoint: 1, Outcome: Rejected, RetryAfter: second})
	if !r.p.Unavailable(1, r.now) || r.p.Unavailable(1, r.now+2*second) {
		t.Error("a told wait")
	}
	r = newRig(t, s, ready(1, 1000))
	r.step(r.message(0, 0))
	for range 10 { // its one message goes out again and again
		for len(r.sends) == 0 {
			r.now += second / 4
			r.step(Event{Kind: EventTimer})
		}
		a := r.sends[0]
		a.Attempt = r.p.messages[a.Message].attempts - 1
		if r.step(answer(a, Errored)); r.p.endpoints[1].isEjected {
			break
		}
	}
	if !r.p.Unavailable(1, r.now) {
		t.Error("seen failing")
	}
}

// TestDrain: the no comes at once and the release later, once however often it is asked; an end of the drain
// before the release calls it off, and what is held goes out all the while.
func TestDrain(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 1000))
	if a := r.step(Event{Kind: EventDrain}, Event{Kind: EventDrain}); count(a, ActionStopAccepting) != 1 || count(a, ActionReleaseClients) != 0 {
		t.Errorf("at once: %+v", a)
	}
	r.now += clientReleaseDelay / 2
	if a := r.step(r.message(0, 0)); count(a, ActionSend) != 1 || count(a, ActionReleaseClients) != 0 {
		t.Errorf("before the release: %+v", a)
	}
	r.now += clientReleaseDelay/2 + 1
	if a := r.step(Event{Kind: EventTimer}); count(a, ActionReleaseClients) != 1 {
		t.Errorf("then: %+v", a)
	}
	if a := r.step(Event{Kind: EventActivate}, Event{Kind: EventActivate}); count(a, ActionAcceptClients) != 1 {
		t.Errorf("taken back: %+v", a)
	}
	r.step(Event{Kind: EventDrain})
	r.step(Event{Kind: EventActivate})
	r.now += 2 * clientReleaseDelay
	if a := r.step(Event{Kind: EventTimer}); count(a, ActionReleaseClients) != 0 {
		t.Errorf("a release that was called off: %+v", a)
	}
}

// TestHangingCallsAreNotShared: where many calls end in silence, an unsafe message, for which a call is waited
// for far longer, does not hold up others in it; where few do, it shares its call as ever.
func TestHangingCallsAreNotShared(t *testing.T) {
	s := baseSettings()
	s.Kinds[0].MaxBatch = 4
	unsafe := s.Classes[0]
	unsafe.Idempotency = NonIdempotent
	s.Classes = append(s.Classes, unsafe)
	for _, hang := range []bool{false, true} {
		r := newRig(t, s, ready(1, 1000))
		ep := r.p.endpoints[1]
		for i := range 100 { // one in five is called off, or none
			o := Delivered
			if hang && i%5 == 0 {
				o, ep.lastSuccessAt = Cancelled, r.now // others were answered since
			}
			r.p.observeCall(&callState{endpoint: ep, sentAt: r.now - second}, &Event{Kind: EventAttemptDone, Outcome: o, Latency: second / 10})
		}
		r.p.endpoints[1].route.window = 1 // one call with all, or none
		r.step(r.message(0, 0), r.message(1, 0), r.message(0, 0), r.message(1, 0))
		kinds := map[Idempotency]int{}
		for _, a := range r.sends {
			kinds[r.p.messages[a.Message].class.Idempotency]++
		}
		if len(r.sends) < 2 || (len(kinds) == 1) != hang {
			t.Errorf("hanging %v: sent %v of each kind", hang, kinds)
		}
	}
}

// TestHungCallIsLookedAtAgain: that a call sent much later was answered is seen within one patience, also where
// no slot was wanted when the hung call was last looked at.
func TestHungCallIsLookedAtAgain(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Idempotency = NonIdempotent
	r := newRig(t, s, ready(1, 1000))
	r.step(r.message(0, 0))
	r.now += second / 10
	r.step(answer(r.sends[0], Delivered))
	r.now += second
	r.step(r.message(0, 0))
	hung := r.sends[0]
	patience := r.p.expectedLatencyBound(r.p.endpoints[1])
	r.now += (nonIdempotentWaitFactor + 1) * patience
	r.step(r.message(0, 0))
	other := r.sends[0]
	r.now += second / 100
	r.step(answer(other, Delivered))
	for end := r.now + 2*patience; r.now < end; r.now += 5000 {
		if r.step(); count(r.acts, ActionCancel) == 1 && r.acts[0].Message == hung.Message {
			return
		}
	}
	t.Error("not called off")
}

// TestManyOverdue: where a third of the slots is held by calls that hang, unsafe ones too are called off sooner:
// waited for as long as a single one is (TestReclaimMixedBatch), they would leave no slot to what can be delivered.
func TestManyOverdue(t *testing.T) {
	s := baseSettings()
	s.MaxCalls = 4
	s.Classes[0].Idempotency = NonIdempotent
	r := newRig(t, s, ready(1, 1000), Entry{Endpoint: 2, State: Ready, Dest: 1, Rate: 1000})
	for dest := range 2 { // what is usual is known, and the windows have room
		r.step(r.message(0, dest))
		r.now += second / 10
		r.step(answer(r.sends[0], Delivered))
	}
	r.now += second
	r.step(r.message(0, 0), r.message(0, 0), r.message(0, 1), r.message(0, 1), r.message(0, 0))
	if r.p.callsInFlight != 4 || r.p.countOverdueCalls() != 0 {
		t.Fatalf("%d calls out, %d overdue", r.p.callsInFlight, r.p.countOverdueCalls())
	}
	start, patience := r.now, r.p.expectedLatencyBound(r.p.endpoints[1])
	for r.step(); count(r.acts, ActionCancel) == 0 && r.now < start+10*second; r.step() {
		r.now += 5000
	}
	if after := r.now - start; after < 2*patience || after > 3*patience {
		t.Errorf("called off after %d ms, patience %d ms", after/1000, patience/1000)
	}
}
