package policy

import "testing"

// baseSettings returns settings for a relay with one idempotent class and one kind of destination.
func baseSettings() Settings {
	return Settings{Relays: 2, MaxCalls: 8, MaxMessages: 100, MaxAttempts: 9, HalvingWeight: true, OverQuotaWeight: 0.1,
		LoadReports: true, ListedRates: true, HealthChecks: true, Cancellation: true, RetryAfter: true, MaxRetryAfter: 2 * second, Tick: 5000,
		ResponseSlack: 20000, DrainGrace: second, SlowStartCapacity: 0.2, SlowStartTime: 10 * second, OverloadFactor: 2,
		OverloadWindow: 3 * second, KeepAlive: 10 * second, ConnectTimeout: second, Kinds: []DestinationKind{{MaxBatch: 1}},
		Classes: []Class{{Name: "m", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 1, LateWeight: 0.3}}}
}

// rig drives a policy step by step, in the place of its host. It keeps the actions of the latest
// step and the times of all sends.
type rig struct {
	t           *testing.T
	p           *Policy
	now         Time
	actions     []Action
	nextMessage uint32
	sends       []Action
	sendTimes   []Time
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
	r := &rig{t: t, p: p, now: 1000 * second, nextMessage: 1}
	r.step(Event{Kind: EventListUpdate, ListUpdate: ListCached, Entries: entries})
	return r
}

func (r *rig) step(events ...Event) []Action {
	r.actions = r.p.Step(r.now, events, nil)
	r.sends = nil
	for _, a := range r.actions {
		if a.Kind == ActionSend {
			r.sends = append(r.sends, a)
			r.sendTimes = append(r.sendTimes, r.now)
		}
	}
	return r.actions
}

func (r *rig) newMessage(class, dest int) Event {
	r.nextMessage++
	return Event{Kind: EventMessage, Message: r.nextMessage - 1, Class: class, Dest: dest, TimeLeft: r.p.settings.Classes[class].Deadline}
}

// stepUntilSend lets time pass, with a new message whenever none is pending, until something is
// sent.
func (r *rig) stepUntilSend() {
	r.t.Helper()
	for i := 0; ; i++ {
		if r.now += r.p.settings.Tick; len(r.p.pending) == 0 {
			r.step(r.newMessage(0, 0))
		} else {
			r.step()
		}
		if len(r.sends) > 0 {
			return
		}
		if i == 10000 {
			r.t.Fatal("nothing was sent in 10000 steps")
		}
	}
}

func countActions(actions []Action, kind ActionKind) int {
	n := 0
	for _, a := range actions {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

func readyEntry(id Endpoint, rate float64) Entry {
	return Entry{Endpoint: id, State: Ready, Rate: rate}
}

func attemptDone(a Action, outcome Outcome) Event {
	return Event{Kind: EventAttemptDone, Message: a.Message, Endpoint: a.Endpoint, Attempt: a.Attempt, Outcome: outcome,
		Latency: second / 10, Final: outcome == Delivered}
}
