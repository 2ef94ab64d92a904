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

// stepUntilSend lets time pass, with a new message whenever none is pending, until something is
// sent.
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
			r.t.Fatal("nothing was sent in 10000 steps")
		}
	}
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
