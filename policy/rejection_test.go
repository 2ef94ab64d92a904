package policy

import "testing"

// The first backoff after a rejection without Retry-After is about the time in which every relay
// can make one call within the limit, but no longer than the latency objective.
func TestBackoffAfterRejectionIsAboutTimeOfOneCallPerRelay(t *testing.T) {
	for _, relays := range []int{2, 7, 400} {
		s := baseSettings()
		s.Relays = relays
		r := newRig(t, s, readyEntry(1, 4))
		route := r.p.endpoints[1].route
		r.p.observeCall(&callState{endpoint: r.p.endpoints[1], sentAt: r.now, messages: []*messageState{{class: &r.p.settings.Classes[0]}}}, &Event{Kind: EventAttemptDone, Outcome: Rejected})
		wantBackoff := min(Time(relays)*second/4, 2*second)
		if backoff := route.backoffUntil - r.now; backoff < wantBackoff/2 || backoff > wantBackoff*3/2 {
			t.Errorf("%d relays: backoff of %d ms at a limit of 4 calls a second", relays, backoff/1000)
		}
	}
}

// Two rejections far apart without a success between them are a sign of an outage, unless they
// report a limit: a relay of a large fleet calls so rarely that two of its calls in a row often
// meet a limit that the other relays have used up.
func TestRejectionsWithLoadReportDoNotEject(t *testing.T) {
	for _, hasReport := range []bool{false, true} {
		s := baseSettings()
		s.Relays = 80
		r := newRig(t, s, readyEntry(1, 1000))
		for range 2 {
			r.stepUntilSend()
			e := attemptDone(r.sends[0], Rejected)
			e.Attempt, e.Load = r.p.messages[e.Message].attempts-1, LoadReport{Limit: 1000, Present: hasReport}
			r.step(e)
			r.now += s.OverloadWindow
		}
		if isEjected := r.p.endpoints[1].isEjected; isEjected == hasReport {
			t.Errorf("load report %v: ejected %v", hasReport, isEjected)
		}
	}
}

// A Retry-After stops further calls whatever the outcome of the attempt that carried it.
func TestRetryAfterAppliesWithAnyOutcome(t *testing.T) {
	for _, outcome := range []Outcome{Delivered, Rejected, Errored} {
		r := newRig(t, baseSettings(), readyEntry(1, 1000))
		r.step(r.newMessage(0, 0))
		e := attemptDone(r.sends[0], outcome)
		e.RetryAfter = second
		r.now += second / 10
		receivedAt := r.now
		r.step(e, r.newMessage(0, 0))
		for len(r.sends) == 0 && r.now < receivedAt+10*second {
			r.now += second / 100
			r.step()
		}
		if r.now < receivedAt+second || len(r.sends) == 0 {
			t.Errorf("outcome %v: the next send came %d ms after a Retry-After of 1000 ms, or none did", outcome, (r.now-receivedAt)/1000)
		}
	}
}
