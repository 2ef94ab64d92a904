package policy

import "testing"

// rejectConnections has an endpoint answer one call of a relay in a fleet of 80, and then reject
// the given number of calls in a row for lack of connections.
func crowd(t *testing.T, times int) *rig {
	t.Helper()
	s := baseSettings()
	s.Relays = 80
	r := newRig(t, s, ready(1, 1000))
	r.untilSend()
	e := answer(r.sends[0], Delivered)
	e.Load = LoadReport{Remaining: 1, Limit: 1000, Present: true}
	r.step(e)
	for range times {
		if len(r.sends) == 0 { // a trial call may have followed at once
			r.untilSend()
		}
		e = answer(r.sends[0], Rejected)
		e.Attempt, e.NewConnection = r.p.messages[e.Message].attempts-1, true
		r.step(e)
	}
	return r
}

// In a connection shortage, idle connections close early: the more relays there are, the earlier.
func TestIdleConnectionsCloseEarlyInShortage(t *testing.T) {
	for _, tight := range []float64{0, 1} {
		s := baseSettings()
		s.Relays = 50
		r := newRig(t, s, ready(1, 1000))
		r.p.connectionShortage[0] = tight
		r.step(r.message(0, 0))
		r.now += second / 10
		closes := 0
		r.step(answer(r.sends[0], Delivered))
		for range 40 { // two seconds, of the keep-alive time of ten
			r.now += second / 20
			closes += count(r.step(), ActionCloseIdle)
		}
		if closes != int(tight) {
			t.Errorf("connection shortage %v: idle connections closed %d times in two seconds", tight, closes)
		}
	}
}

// An endpoint that can hold no more connections rejects a call on a new connection with a 503 that
// has no load report. One such rejection is enough for a relay of a large fleet to keep idle
// connections only for a short time. Rejections of any other form say nothing about connections.
func TestConnectionRejectionShortensIdleTimeout(t *testing.T) {
	for _, c := range []struct {
		relays      int
		fresh, told bool
		wait        Time
		full        bool
	}{{80, true, false, 0, true}, {80, false, false, 0, false}, {80, true, true, 0, false},
		{80, true, false, second, false}, {2, true, false, 0, false}} {
		s := baseSettings()
		s.Relays = c.relays
		r := newRig(t, s, ready(1, 1000))
		for _, o := range []Event{{Outcome: Delivered, Final: true, Load: LoadReport{Remaining: 1, Limit: 1000, Present: true}},
			{Outcome: Rejected, NewConnection: c.fresh, RetryAfter: c.wait, Load: LoadReport{Present: c.told}}} {
			r.step(r.message(0, 0))
			e := answer(r.sends[0], o.Outcome)
			e.Final, e.NewConnection, e.RetryAfter, e.Load = o.Final, o.NewConnection, o.RetryAfter, o.Load
			r.step(e)
			r.now += second
		}
		if short := r.p.idleTimeout(r.p.endpoints[1]) < s.KeepAlive/4; short != c.full {
			t.Errorf("%+v: idle connections are kept for %d µs", c, r.p.idleTimeout(r.p.endpoints[1]))
		}
	}
}

// An endpoint whose connections are all taken by other relays is called again soon and is not
// ejected: in a large fleet each call opens a connection, and a few in a row may find none by
// chance. A long run of such rejections is an outage, as of an endpoint that is shut down.
func TestOnlyManyConnectionRejectionsEject(t *testing.T) {
	r := crowd(t, 2)
	ep := r.p.endpoints[1]
	if ep.isEjected || ep.failureScore > 0 || ep.route.nominalRate != 1000 || ep.route.paceFactor < 1 {
		t.Errorf("after two rejections: ejected %v, failure score %v, nominal rate %v, pace factor %v", ep.isEjected, ep.failureScore, ep.route.nominalRate, ep.route.paceFactor)
	}
	if gap := ep.backoffUntil - r.now; gap <= 0 || gap > second {
		t.Errorf("backoff of %d µs, want more than 0 and at most a second", gap)
	}
	r.untilSend()
	e := answer(r.sends[0], Delivered)
	e.Attempt = r.p.messages[e.Message].attempts - 1
	r.step(e)
	if ep.connectionRejections != 0 {
		t.Error("a success does not reset the number of rejected connections in a row")
	}
	if r = crowd(t, 12); !r.p.endpoints[1].isEjected {
		t.Error("twelve rejected connections in a row do not eject the endpoint")
	}
}

// A relay that rarely calls an endpoint keeps no idle connection to it in a connection shortage,
// since the connection would be of no use to the relay.
func TestRareCallerKeepsNoIdleConnectionInShortage(t *testing.T) {
	r := crowd(t, 1)
	ep := r.p.endpoints[1]
	if got := r.p.idleTimeout(ep); got > r.p.settings.Tick {
		t.Errorf("a relay with rare calls keeps idle connections for %d µs, want a tick at most", got)
	}
	for range 100 {
		ep.route.history.recordRequest(r.now)
	}
	if got, part := r.p.idleTimeout(ep), r.p.settings.KeepAlive/40; got != part {
		t.Errorf("a relay with many calls keeps idle connections for %d µs, want %d", got, part)
	}
}
