package policy

import "testing"

// What one policy has learned holds for the next: a told wait, the window, the history and an outage, by the
// new host's clock. An endpoint that is not on its list is passed over.
func TestRecall(t *testing.T) {
	old := newRig(t, baseSettings(), ready(1, 10), Entry{Endpoint: 2, Dest: 1, State: Ready, Rate: 10}, Entry{Endpoint: 3, Dest: 2, State: Ready})
	old.step(old.message(0, 0))
	old.step(Event{Kind: EventAttemptDone, Message: old.sends[0].Message, Endpoint: 1, Outcome: Rejected, RetryAfter: 3 * second})
	l := old.p.endpoints[2].route
	l.window, old.p.endpoints[2].isEjected, old.p.endpoints[2].lastFailureAt = 5, true, old.now-second
	for range 6 {
		old.now += second / 4
		l.history.recordRequest(old.now)
	}
	const shift = 77 * second
	r := newRig(t, baseSettings(), ready(1, 10), Entry{Endpoint: 2, Dest: 1, State: Ready, Rate: 10})
	r.now = old.now + shift
	r.p.Restore(old.p.Snapshot(), shift)
	if got, want := r.p.endpoints[1].route.retryAfterUntil, old.p.endpoints[1].route.retryAfterUntil+shift; got != want {
		t.Errorf("wait until %d, want %d", got, want)
	}
	ep := r.p.endpoints[2]
	if req, _ := ep.route.history.totals(r.now); req != 6 || ep.route.window != 5 || !ep.isEjected || ep.lastFailureAt != old.p.endpoints[2].lastFailureAt+shift {
		t.Errorf("%v requests, window %v, sick %v since %d", req, ep.route.window, ep.isEjected, ep.lastFailureAt)
	}
	if req, _ := ep.route.history.totals(r.now + historySpan); req != 0 {
		t.Errorf("%v requests after the span", req)
	}
	r.step(r.message(0, 0))
	if len(r.sends) != 0 {
		t.Error("sent against a told wait")
	}
	if r.now = old.p.endpoints[1].route.backoffUntil + shift + second; len(r.step(Event{Kind: EventTimer})) == 0 || len(r.sends) != 1 {
		t.Error("not sent after the wait")
	}
}
