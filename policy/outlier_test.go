package policy

import "testing"

// A success between failures must not begin a slow start that survives the next failures.
func TestFailuresAfterOneSuccessRestartSlowStart(t *testing.T) {
	r := newRig(t, baseSettings(), readyEntry(1, 10))
	endpoint := r.p.endpoints[1]
	r.p.observeFailure(endpoint, r.now, false)
	r.p.observeFailure(endpoint, r.now, false)
	if endpoint.isEjected {
		t.Fatal("two failures in a row ejected the endpoint")
	}
	r.p.observeFailure(endpoint, r.now, false)
	if !endpoint.isEjected {
		t.Fatal("three failures in a row did not eject the endpoint")
	}
	r.now += second
	r.p.now = r.now
	r.p.observeSuccess(endpoint, r.now)
	r.p.now += 5 * second
	if r.p.recoveredFraction(endpoint) < 0.5 {
		t.Fatalf("halfway through the slow start the recovered fraction is %v", r.p.recoveredFraction(endpoint))
	}
	r.p.observeFailure(endpoint, r.p.now, false)
	r.p.observeFailure(endpoint, r.p.now, false)
	if got := r.p.recoveredFraction(endpoint); got != 0.2 || !endpoint.isEjected {
		t.Fatalf("after failures in the slow start: recovered fraction %v, ejected %v, want 0.2 and true", got, endpoint.isEjected)
	}
}

// The failure of a call that was sent before the recovery does not restart the slow start.
func TestFailureOfCallSentBeforeRecoveryIsIgnored(t *testing.T) {
	r := newRig(t, baseSettings(), readyEntry(1, 10))
	endpoint := r.p.endpoints[1]
	sentAt := r.now
	for range 3 {
		r.p.observeFailure(endpoint, r.now, true)
	}
	r.p.now += 3 * second
	r.p.observeSuccess(endpoint, r.p.now-second/10)
	recoveredAt := endpoint.recoveredAt
	r.p.observeFailure(endpoint, sentAt, true)
	if recoveredAt == 0 || endpoint.recoveredAt != recoveredAt {
		t.Fatalf("the slow start began at %d, after an old failure it counts from %d", recoveredAt, endpoint.recoveredAt)
	}
}

// Where most calls succeed, failures neither eject the endpoint nor restart its slow start.
func TestMinorityOfFailuresNeitherEjectsNorRestartsSlowStart(t *testing.T) {
	r := newRig(t, baseSettings(), readyEntry(1, 10))
	endpoint := r.p.endpoints[1]
	for i := range 300 { // two calls in five fail
		r.p.now += second / 10
		if i%5 == 1 || i%5 == 3 {
			r.p.observeFailure(endpoint, r.p.now, false)
		} else {
			r.p.observeSuccess(endpoint, r.p.now)
		}
		if endpoint.isEjected {
			t.Fatalf("ejected after call %d, although only two in five fail", i)
		}
	}
	for range 3 {
		r.p.observeFailure(endpoint, r.p.now, false)
	}
	for range 6 {
		r.p.observeSuccess(endpoint, r.p.now)
	}
	recoveredAt := endpoint.recoveredAt
	r.p.observeFailure(endpoint, r.p.now, false)
	if recoveredAt == 0 || endpoint.recoveredAt != recoveredAt {
		t.Fatal("one failure among successes restarted the slow start")
	}
}

// If there are many relays and each of them sends few messages, an endpoint that fails twice is
// backed off for longer than it has failed. If a few relays send it many messages each, there is
// hardly any backoff.
func TestFailureBackoffIsLongerInLargeFleet(t *testing.T) {
	for _, relays := range []int{2, 400} {
		s := baseSettings()
		s.Relays = relays
		r := newRig(t, s, readyEntry(1, 10))
		endpoint := r.p.endpoints[1]
		r.p.observeFailure(endpoint, r.now, false)
		if endpoint.backoffUntil > r.now {
			t.Fatalf("%d relays: backoff after the first failure", relays)
		}
		r.p.now += second / 2
		r.p.observeFailure(endpoint, r.p.now, false)
		if backoff := endpoint.backoffUntil - r.p.now; relays == 400 && backoff < second || relays == 2 && backoff > second/4 {
			t.Errorf("%d relays: backoff of %d ms after a second failure half a second after the first", relays, backoff/1000)
		}
	}
}

// An endpoint is unavailable while it drains, has asked this relay to wait, or is ejected. It is
// available again once the time that it asked for is over.
func TestEndpointIsUnavailableWhileDrainingInRetryAfterOrEjected(t *testing.T) {
	s := baseSettings()
	r := newRig(t, s, readyEntry(1, 1000), Entry{Endpoint: 2, Dest: 1, State: Draining})
	if r.p.Unavailable(1, r.now) || !r.p.Unavailable(2, r.now) || !r.p.Unavailable(3, r.now) {
		t.Errorf("unavailable at the start: ready endpoint %v, draining %v, unknown %v, want false, true and true", r.p.Unavailable(1, r.now), r.p.Unavailable(2, r.now), r.p.Unavailable(3, r.now))
	}
	r.step(r.newMessage(0, 0))
	r.step(Event{Kind: EventAttemptDone, Message: r.sends[0].Message, Endpoint: 1, Outcome: Rejected, RetryAfter: second})
	if !r.p.Unavailable(1, r.now) || r.p.Unavailable(1, r.now+2*second) {
		t.Error("an endpoint is not unavailable exactly during its Retry-After of a second")
	}
	r = newRig(t, s, readyEntry(1, 1000))
	r.step(r.newMessage(0, 0))
	for range 10 { // its only message is sent again and again
		for len(r.sends) == 0 {
			r.now += second / 4
			r.step(Event{Kind: EventTimer})
		}
		a := r.sends[0]
		a.Attempt = r.p.messages[a.Message].attempts - 1
		if r.step(attemptDone(a, Errored)); r.p.endpoints[1].isEjected {
			break
		}
	}
	if !r.p.Unavailable(1, r.now) {
		t.Error("an ejected endpoint counts as available")
	}
}
