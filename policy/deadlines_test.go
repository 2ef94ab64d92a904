package policy

import "testing"

// One quick answer must not make the next, slower one look like an outage, so an attempt is waited
// for at least until the latency objective.
func TestAttemptTimeoutIsAtLeastLatencyObjective(t *testing.T) {
	r := newRig(t, baseSettings(), readyEntry(1, 1000))
	r.step(r.newMessage(0, 0))
	e := attemptDone(r.sends[0], Delivered)
	e.Latency = 1000
	r.now += 1000
	r.step(e)
	r.step(r.newMessage(0, 0))
	if len(r.sends) != 1 || r.sends[0].Deadline-r.now < 2*second {
		t.Fatalf("sends %+v at %d, want one that times out no earlier than the latency objective", r.sends, r.now)
	}
}

// A message without a usable endpoint is held, and rejected just before its deadline.
func TestMessageWithoutEndpointIsRejectedBeforeDeadline(t *testing.T) {
	r := newRig(t, baseSettings())
	r.step(r.newMessage(0, 7))
	if countActions(r.actions, ActionTimer) != 1 || countActions(r.actions, ActionReject) != 0 {
		t.Fatalf("actions %+v, want a timer and no rejection", r.actions)
	}
	r.now += 20*second - 5000
	if r.step(); countActions(r.actions, ActionReject) != 1 {
		t.Fatalf("no rejection before the deadline: %+v", r.actions)
	}
}
