package policy

import "testing"

// One quick answer must not make the next, slower one look like an outage, so an attempt is waited
// for at least until the latency objective.
func TestAttemptTimeoutIsAtLeastLatencyObjective(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 1000))
	r.step(r.message(0, 0))
	e := answer(r.sends[0], Delivered)
	e.Latency = 1000
	r.now += 1000
	r.step(e)
	r.step(r.message(0, 0))
	if len(r.sends) != 1 || r.sends[0].Deadline-r.now < 2*second {
		t.Fatalf("sends %+v at %d, want one that times out no earlier than the latency objective", r.sends, r.now)
	}
}

// A message without a usable endpoint is held, and rejected just before its deadline.
func TestMessageWithoutEndpointIsRejectedBeforeDeadline(t *testing.T) {
	r := newRig(t, baseSettings())
	r.step(r.message(0, 7))
	if count(r.acts, ActionTimer) != 1 || count(r.acts, ActionReject) != 0 {
		t.Fatalf("actions %+v, want a timer and no rejection", r.acts)
	}
	r.now += 20*second - 5000
	if r.step(); count(r.acts, ActionReject) != 1 {
		t.Fatalf("no rejection before the deadline: %+v", r.acts)
	}
}
