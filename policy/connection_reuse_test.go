package policy

import "testing"

// rejectConnections has an endpoint answer one call of a relay in a fleet of 80, and then reject
// the given number of calls in a row for lack of connections.
func rejectConnections(t *testing.T, times int) *rig {
	t.Helper()
	s := baseSettings()
	s.Relays = 80
	r := newRig(t, s, readyEntry(1, 1000))
	r.stepUntilSend()
	e := attemptDone(r.sends[0], Delivered)
	e.Load = LoadReport{Remaining: 1, Limit: 1000, Present: true}
	r.step(e)
	for range times {
		if len(r.sends) == 0 { // a trial call may have followed at once
			r.stepUntilSend()
		}
		e = attemptDone(r.sends[0], Rejected)
		e.Attempt, e.NewConnection = r.p.messages[e.Message].attempts-1, true
		r.step(e)
	}
	return r
}

// In a connection shortage, the idle connections of a relay of a large fleet close early.
func TestIdleConnectionsCloseEarlyInShortage(t *testing.T) {
	for _, shortage := range []float64{0, 1} {
		s := baseSettings()
		s.Relays = 50
		r := newRig(t, s, readyEntry(1, 1000))
		r.p.connectionShortage[0] = shortage
		r.step(r.newMessage(0, 0))
		r.now += second / 10
		closes := 0
		r.step(attemptDone(r.sends[0], Delivered))
		for range 40 { // two seconds, of the keep-alive time of ten
			r.now += second / 20
			closes += countActions(r.step(), ActionCloseIdle)
		}
		if closes != int(shortage) {
			t.Errorf("connection shortage %v: idle connections closed %d times in two seconds", shortage, closes)
		}
	}
}

// An endpoint that can hold no more connections rejects a call on a new connection with a 503 that
// has no load report. One such rejection is enough for a relay of a large fleet to keep idle
// connections only for a short time. Rejections of any other form say nothing about connections.
func TestConnectionRejectionShortensIdleTimeout(t *testing.T) {
	for _, c := range []struct {
		relays                     int
		isNewConnection, hasReport bool
		retryAfter                 Time
		wantShort                  bool
	}{{80, true, false, 0, true}, {80, false, false, 0, false}, {80, true, true, 0, false},
		{80, true, false, second, false}, {2, true, false, 0, false}} {
		s := baseSettings()
		s.Relays = c.relays
		r := newRig(t, s, readyEntry(1, 1000))
		for _, outcome := range []Event{{Outcome: Delivered, Final: true, Load: LoadReport{Remaining: 1, Limit: 1000, Present: true}},
			{Outcome: Rejected, NewConnection: c.isNewConnection, RetryAfter: c.retryAfter, Load: LoadReport{Present: c.hasReport}}} {
			r.step(r.newMessage(0, 0))
			e := attemptDone(r.sends[0], outcome.Outcome)
			e.Final, e.NewConnection, e.RetryAfter, e.Load = outcome.Final, outcome.NewConnection, outcome.RetryAfter, outcome.Load
			r.step(e)
			r.now += second
		}
		if isShort := r.p.idleTimeout(r.p.endpoints[1]) < s.KeepAlive/4; isShort != c.wantShort {
			t.Errorf("%+v: idle connections are kept for %d µs", c, r.p.idleTimeout(r.p.endpoints[1]))
		}
	}
}

// An endpoint whose connections are all taken by other relays is called again soon and is not
// ejected: in a large fleet each call opens a connection, and a few in a row may find none by
// chance. A long run of such rejections is an outage, as of an endpoint that is shut down.
func TestOnlyManyConnectionRejectionsEject(t *testing.T) {
	r := rejectConnections(t, 2)
	endpoint := r.p.endpoints[1]
	if endpoint.isEjected || endpoint.failureScore > 0 || endpoint.route.nominalRate != 1000 || endpoint.route.paceFactor < 1 {
		t.Errorf("after two rejections: ejected %v, failure score %v, nominal rate %v, pace factor %v", endpoint.isEjected, endpoint.failureScore, endpoint.route.nominalRate, endpoint.route.paceFactor)
	}
	if backoff := endpoint.backoffUntil - r.now; backoff <= 0 || backoff > second {
		t.Errorf("backoff of %d µs, want more than 0 and at most a second", backoff)
	}
	r.stepUntilSend()
	e := attemptDone(r.sends[0], Delivered)
	e.Attempt = r.p.messages[e.Message].attempts - 1
	r.step(e)
	if endpoint.connectionRejections != 0 {
		t.Error("a success does not reset the number of rejected connections in a row")
	}
	if r = rejectConnections(t, 12); !r.p.endpoints[1].isEjected {
		t.Error("twelve rejected connections in a row do not eject the endpoint")
	}
}

// A relay that rarely calls an endpoint keeps no idle connection to it in a connection shortage,
// since the connection would be of no use to the relay.
func TestRareCallerKeepsNoIdleConnectionInShortage(t *testing.T) {
	r := rejectConnections(t, 1)
	endpoint := r.p.endpoints[1]
	if got := r.p.idleTimeout(endpoint); got > r.p.settings.Tick {
		t.Errorf("a relay with rare calls keeps idle connections for %d µs, want a tick at most", got)
	}
	for range 100 {
		endpoint.route.history.recordRequest(r.now)
	}
	if got, want := r.p.idleTimeout(endpoint), r.p.settings.KeepAlive/40; got != want {
		t.Errorf("a relay with many calls keeps idle connections for %d µs, want %d", got, want)
	}
}
