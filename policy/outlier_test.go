package policy

import "testing"

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
