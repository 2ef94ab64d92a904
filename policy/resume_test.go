package policy

import "testing"

// A message that an earlier process admitted keeps its history: if it may have run, it is sent
// again only as its class allows, and its attempts are counted on.
func TestRecoveredMessageKeepsItsAttempts(t *testing.T) {
	settings := Settings{Relays: 1, MaxCalls: 8, MaxAttempts: 3, Tick: 5000, ListedRates: true, RetryAfter: true,
		SlowStartCapacity: 0.2, SlowStartTime: 10 * second, OverloadFactor: 2, OverloadWindow: 3 * second, Kinds: []DestinationKind{{MaxBatch: 1}},
		Classes: []Class{
			{Name: "idempotent", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 1, Idempotency: Idempotent},
			{Name: "idempotent by key", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 1, Idempotency: IdempotentByKey, DedupWindow: 5 * second},
			{Name: "non-idempotent", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 1, Idempotency: NonIdempotent}}}
	now := 100 * second
	for name, test := range map[string]struct {
		class, attempts            int
		unknownOutcomeAt, timeLeft Time
		want                       ActionKind
	}{
		"new":                          {class: 2, timeLeft: 9 * second, want: ActionSend},
		"non-idempotent, may have run": {class: 2, attempts: 1, unknownOutcomeAt: now - second, timeLeft: 9 * second, want: ActionFail},
		"non-idempotent, never ran":    {class: 2, attempts: 2, timeLeft: 9 * second, want: ActionSend},
		"non-idempotent, never ran, no attempt left":      {class: 2, attempts: 3, timeLeft: 9 * second, want: ActionReject},
		"idempotent by key, within its window":            {class: 1, attempts: 1, unknownOutcomeAt: now - 2*second, timeLeft: 9 * second, want: ActionSend},
		"idempotent by key, window over":                  {class: 1, attempts: 1, unknownOutcomeAt: now - 6*second, timeLeft: 9 * second, want: ActionFail},
		"idempotent, may have run":                        {class: 0, attempts: 1, unknownOutcomeAt: now - 6*second, timeLeft: 9 * second, want: ActionSend},
		"past its deadline":                               {class: 0, attempts: 1, timeLeft: -second, want: ActionReject},
		"non-idempotent, past its deadline, may have run": {class: 2, attempts: 1, unknownOutcomeAt: now - 6*second, timeLeft: -second, want: ActionFail},
		"past its deadline, never sent":                   {class: 2, timeLeft: 0, want: ActionReject},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := New(settings, 42)
			if err != nil {
				t.Fatal(err)
			}
			actions := p.Step(now, []Event{
				{Kind: EventListUpdate, ListUpdate: ListFull, Entries: []Entry{{Endpoint: 7, Dest: 1, State: Ready, Rate: 20}}},
				{Kind: EventMessage, Message: 1, Class: test.class, Dest: 1, TimeLeft: test.timeLeft, Attempts: test.attempts, UnknownOutcomeAt: test.unknownOutcomeAt},
			}, nil)
			var got []ActionKind
			for _, a := range actions {
				if a.Kind != ActionTimer && a.Kind != ActionLog {
					got = append(got, a.Kind)
				}
			}
			if len(got) != 1 || got[0] != test.want {
				t.Fatalf("actions %v, want %v", got, test.want)
			}
			if test.want != ActionSend {
				return
			}
			// The new attempt's number follows those of the earlier attempts.
			after := p.Step(now+second/10, []Event{{Kind: EventAttemptDone, Message: 1, Attempt: test.attempts, Endpoint: 7,
				Outcome: Delivered, Final: true, Latency: second / 10}}, nil)
			for _, a := range after {
				if a.Kind != ActionTimer && a.Kind != ActionLog {
					t.Errorf("action %v after the delivery, want none", a.Kind)
				}
			}
		})
	}
}

// A message whose call another process has in flight keeps its call slot and is not sent again
// until that call ends. Then the outcome decides what happens to it, as for a call of this process.
func TestRecoveredMessageInFlightIsNotSentBeforeItsOutcome(t *testing.T) {
	settings := baseSettings()
	settings.MaxCalls = 3
	settings.Classes = append(settings.Classes, Class{Name: "non-idempotent", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 1, Idempotency: NonIdempotent})
	inFlight := func(id uint32, sentAt Time) Event {
		return Event{Kind: EventMessage, Message: id, Class: 1, TimeLeft: 9 * second, Attempts: 1, InFlightEndpoint: 1, InFlightSince: sentAt}
	}
	for name, test := range map[string]struct {
		outcome Outcome
		want    ActionKind
	}{"rejected": {Rejected, ActionSend}, "may have run": {Cancelled, ActionFail}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, settings, readyEntry(1, 1000))
			r.p.endpoints[1].route.window = 8
			actions := r.step(inFlight(90, r.now-second), inFlight(91, r.now-second), inFlight(92, r.now-2*second)) // one call with two messages, and another with one
			if len(r.sends) != 0 || r.p.callsInFlight != 2 || r.p.endpoints[1].callsInFlight != 2 {
				t.Fatalf("%d calls in flight, %d to the endpoint, want 2 and no send: %+v", r.p.callsInFlight, r.p.endpoints[1].callsInFlight, actions)
			}
			for _, id := range []uint32{90, 91} {
				r.step(Event{Kind: EventAttemptDone, Message: id, Endpoint: 1, Outcome: Delivered, Final: true})
			}
			actions = r.step(Event{Kind: EventAttemptDone, Message: 92, Endpoint: 1, Outcome: test.outcome})
			for range 40 {
				if countActions(actions, test.want) > 0 {
					break
				}
				r.now += second / 10
				actions = r.step(Event{Kind: EventTimer})
			}
			if countActions(actions, test.want) != 1 {
				t.Errorf("want one action of kind %v: %+v", test.want, actions)
			}
		})
	}
}
