package policy_test

import (
	"fmt"

	"plovershore/policy"
)

// A relay asks its policy what to do with a message, and tells it how the call went.
func Example() {
	const second = policy.Time(1e6)
	p, err := policy.New(policy.Settings{
		Relays: 2, MaxCalls: 8, MaxAttempts: 6, Tick: 5000, ListedRates: true,
		SlowStartCapacity: 0.2, SlowStartTime: 10 * second, OverloadFactor: 2, OverloadWindow: 3 * second,
		Kinds: []policy.DestinationKind{{MaxBatch: 1}},
		Classes: []policy.Class{{Name: "order", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 1, LateWeight: 0.3,
			Idempotency: policy.IdempotentByKey, DedupWindow: 15 * second}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 100 * second // by the host's clock; the policy has none of its own
	actions := p.Step(now, []policy.Event{
		{Kind: policy.EventListUpdate, ListUpdate: policy.ListFull,
			Entries: []policy.Entry{{Endpoint: 7, Dest: 1, State: policy.Ready, Rate: 20}}},
		{Kind: policy.EventMessage, Message: 1, Class: 0, Dest: 1, TimeLeft: 20 * second},
	}, nil)
	for _, a := range actions {
		if a.Kind == policy.ActionSend {
			fmt.Println("send message", a.Message, "to endpoint", a.Endpoint)
		}
	}
	now += second / 5
	actions = p.Step(now, []policy.Event{{Kind: policy.EventAttemptDone, Message: 1, Attempt: 0, Endpoint: 7,
		Outcome: policy.Delivered, Final: true, Latency: second / 5}}, actions[:0])
	fmt.Println("further actions:", len(actions))
	// Output:
	// send message 1 to endpoint 7
	// further actions: 0
}
