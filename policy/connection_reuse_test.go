package policy

import "testing"

// crowd has a relay of a fleet of 80 find no room for a connection so many times in a row.
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
		if len(r.sends) == 0 { // a trial call may follow at once
			r.untilSend()
		}
		e = answer(r.sends[0], Rejected)
		e.Attempt, e.NewConnection = r.p.messages[e.Message].attempts-1, true
		r.step(e)
	}
	return r
}

// TestIdleGivenBack: where connections run out, idle ones are given back, the sooner the more relays there are.
func TestIdleGivenBack(t *testing.T) {
	for _, tight := range []float64{0, 1} {
		s := baseSettings()
		s.Relays = 50
		r := newRig(t, s, ready(1, 1000))
		r.p.connectionShortage[0] = tight
		r.step(r.message(0, 0))
		r.now += second / 10
		closes := 0
		r.step(answer(r.sends[0], Delivered))
		for range 40 { // two seconds, of ten that connections live
			r.now += second / 20
			closes += count(r.step(), ActionCloseIdle)
		}
		if closes != int(tight) {
			t.Errorf("share without connection %v: %d times given back", tight, closes)
		}
	}
}

// A full table of connections is told by a 503 with no report on a new connection: one is enough for a relay of a
// large fleet to keep idle ones for a short time. Refusals of any other sort tell nothing of it.
func TestFullTableShortensIdleTime(t *testing.T) {
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
			t.Errorf("%+v: idle connections kept for %d", c, r.p.idleTimeout(r.p.endpoints[1]))
		}
	}
}

// Where others hold the connections, an endpoint is asked again soon and is not held to be out: each call of a large
// fleet opens one, and some chance on some find no room. A long run is an outage, as of one that is shut.
func TestNoRoomIsNoOutage(t *testing.T) {
	r := crowd(t, 2)
	ep := r.p.endpoints[1]
	if ep.isEjected || ep.failureScore > 0 || ep.route.nominalRate != 1000 || ep.route.paceFactor < 1 {
		t.Errorf("after two: sick %v, score %v, nominal %v, boost %v", ep.isEjected, ep.failureScore, ep.route.nominalRate, ep.route.paceFactor)
	}
	if gap := ep.backoffUntil - r.now; gap <= 0 || gap > second {
		t.Errorf("rests for %d", gap)
	}
	r.untilSend()
	e := answer(r.sends[0], Delivered)
	e.Attempt = r.p.messages[e.Message].attempts - 1
	r.step(e)
	if ep.connectionRejections != 0 {
		t.Error("a success does not end the run")
	}
	if r = crowd(t, 12); !r.p.endpoints[1].isEjected {
		t.Error("twelve in a row are no outage")
	}
}

// A relay that calls an endpoint seldom keeps no idle connection where tables are full: it would be of no use to it.
func TestSeldomCallerKeepsNoConnection(t *testing.T) {
	r := crowd(t, 1)
	ep := r.p.endpoints[1]
	if got := r.p.idleTimeout(ep); got > r.p.settings.Tick {
		t.Errorf("kept for %d at a call in seconds", got)
	}
	for range 100 {
		ep.route.history.recordRequest(r.now)
	}
	if got, part := r.p.idleTimeout(ep), r.p.settings.KeepAlive/40; got != part {
		t.Errorf("kept for %d at many calls, want %d", got, part)
	}
}
