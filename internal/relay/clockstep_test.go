package relay

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"plovershore/internal/clock/clocktest"
	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
)

// noticeSlack is what an end may come after a message's time by the protocol (300 ms),
// and 50 ms on sockets.
const noticeSlack = 350 * time.Millisecond

// steppedRelay is a relay on a machine whose wall clock a test steps.
type steppedRelay struct {
	t           *testing.T
	wallClock   *clocktest.Wall
	env         map[string]string
	child       *child
	client      *testClient
	disc        *discoverytest.Server
	notices     *noticeTimes
	quick       *fakeEndpoint // serves 1
	hung        *fakeEndpoint // serves 2
	listedLater *fakeEndpoint // serves 5, once it is listed
	log         *lockedBuffer
	acceptedAt  map[string]time.Time
}

func newSteppedRelay(t *testing.T) *steppedRelay {
	s := &steppedRelay{t: t, wallClock: clocktest.New(t), notices: &noticeTimes{byID: map[string]time.Time{}}, log: &lockedBuffer{}, acceptedAt: map[string]time.Time{},
		quick: newFakeEndpoint(t, nil), hung: newFakeEndpoint(t, hang), listedLater: newFakeEndpoint(t, nil)}
	s.disc = discoverytest.New(t, s.quick.member("s-1", 1), s.hung.member("s-2", 2))
	s.env = writeTestConfig(t, s.disc, 3)
	maps.Copy(s.env, s.wallClock.Env())
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go s.notices.record(s.disc, done)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(s.log.content())
		}
	})
	return s
}

func (s *steppedRelay) start() {
	s.t.Helper()
	s.child = spawnWithLog(s.t, s.env, s.log)
	s.child.waitReady(s.t)
	s.client = dialClient(s.t, s.env["ROUTER_LISTEN"])
}

// put hands a message in that has to be taken on.
func (s *steppedRelay) put(id, class string, left time.Duration, dest int) {
	s.t.Helper()
	s.acceptedAt[id] = time.Now()
	if answer := s.client.put(id, putFields(class, int(left.Milliseconds()), dest), nil); answer != "+OK" {
		s.t.Errorf("%s: %s", id, answer)
		delete(s.acceptedAt, id)
	}
}

// list5 lists the endpoint that serves 5.
func (s *steppedRelay) listEndpoint5() {
	s.disc.Set(func(d *discoverytest.Server) { d.List.Members = append(d.List.Members, s.listedLater.member("s-5", 5)) })
}

// checkNoticeTime requires the notice of a message when its time is up: not much before it,
// and no later than is allowed. A restart until since excuses what was due by then.
func (s *steppedRelay) checkNoticeTime(id string, left time.Duration, since time.Time) {
	s.t.Helper()
	began, ok := s.acceptedAt[id]
	if !ok {
		return // it was not taken on, which is told already
	}
	most := began.Add(left + noticeSlack)
	if restarted := since.Add(1500*time.Millisecond + noticeSlack); restarted.After(most) && !since.IsZero() {
		most = restarted
	}
	var at time.Time
	for seen := false; !seen && time.Now().Before(most.Add(time.Second)); time.Sleep(2 * time.Millisecond) {
		at, seen = s.notices.get(id)
	}
	switch {
	case at.IsZero():
		s.t.Errorf("%s, taken on with %v, has no end after %v", id, left, time.Since(began))
	case at.After(most):
		s.t.Errorf("%s, taken on with %v, ended after %v", id, left, at.Sub(began))
	case at.Before(began.Add(left * 9 / 10)):
		s.t.Errorf("%s, taken on with %v, ended after %v already", id, left, at.Sub(began))
	}
}

// delivered requires that a message is answered 200, and has no notice.
func (s *steppedRelay) checkDelivered(e *fakeEndpoint, id string) {
	s.t.Helper()
	began, ok := s.acceptedAt[id]
	if !ok {
		return
	}
	for time.Since(began) < 20*time.Second && !e.answeredOK(id) {
		time.Sleep(2 * time.Millisecond)
	}
	if n, ended := s.disc.Notice(id); ended || !e.answeredOK(id) {
		s.t.Errorf("%s: delivered %v, notice %q after %v", id, e.answeredOK(id), n.Outcome, time.Since(began))
	}
}

// Guards the ends of messages where the wall clock is stepped while the relay runs:
// those taken on before the step, after it, and between two steps each have the time
// that their clients gave them, neither more nor less.
func TestDeadlinesHoldAcrossClockStep(t *testing.T) {
	const left = 2 * time.Second
	for _, by := range []time.Duration{400 * time.Second, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		t.Run(by.String(), func(t *testing.T) {
			t.Parallel()
			s := newSteppedRelay(t)
			s.start()
			s.put("before", "plain", left, 5)
			s.put("out-before", "once", left, 2)
			s.wallClock.Step(t, by)
			s.put("after", "plain", left, 5)
			s.put("out-after", "once", left, 2)
			s.put("sent-after", "once", left, 1)
			s.put("late-after", "plain", 2*left, 5)
			s.checkDelivered(s.quick, "sent-after")
			for _, id := range []string{"before", "out-before", "after", "out-after"} {
				s.checkNoticeTime(id, left, time.Time{})
			}
			s.wallClock.Step(t, -by)
			s.put("back", "plain", left, 5)
			s.checkNoticeTime("late-after", 2*left, time.Time{})
			s.checkNoticeTime("back", left, time.Time{})
			if s.log.occurrences("wall clock stepped") == 0 {
				t.Error("the log does not tell of the step")
			}
		})
	}
}

// Guards the same over a kill and a restart, with the clock stepped while the first
// process runs, while none does, or both. Only real time counts.
func TestDeadlinesAndWindowsHoldAcrossRestartAndClockStep(t *testing.T) {
	hour := time.Hour
	for _, x := range []struct{ running, down time.Duration }{{0, hour}, {hour, 0}, {0, -hour}, {-hour, 0}, {hour, -hour}, {-hour, hour}, {3 * time.Second, 0}, {0, -3 * time.Second}} {
		t.Run(fmt.Sprint("held/", x.running, " then ", x.down), func(t *testing.T) {
			t.Parallel()
			runRestartWithClockStep(t, x.running, x.down)
		})
	}
	for _, by := range []time.Duration{-hour, -1500 * time.Millisecond, 0, hour} {
		t.Run(fmt.Sprint("window/", by), func(t *testing.T) {
			t.Parallel()
			runWindowWithClockStep(t, by)
		})
	}
}

// runRestartWithClockStep checks that what was never tried still is, that what may have run is
// sent again within its window, and that what has little time ends when that is up.
func runRestartWithClockStep(t *testing.T, running, down time.Duration) {
	const short = 4 * time.Second
	s := newSteppedRelay(t)
	s.start()
	s.put("held-first", "plain", 20*time.Second, 5)
	s.wallClock.Step(t, running)
	s.put("held", "plain", 20*time.Second, 5)
	s.put("keyed", "keyed", 20*time.Second, 2)
	s.put("short", "plain", short, 6)
	if t.Failed() {
		return
	}
	waitFor(t, "the call", func() bool { return s.hung.callCount("keyed") == 1 })
	s.child.kill()
	s.wallClock.Step(t, down)
	time.Sleep(600 * time.Millisecond) // as the platform has it
	s.hung.setAnswer(nil)
	s.listEndpoint5()
	s.start()
	since := time.Now()
	s.put("new", "plain", short, 6)
	s.checkDelivered(s.listedLater, "held-first")
	s.checkDelivered(s.listedLater, "held")
	s.checkDelivered(s.hung, "keyed")
	s.checkNoticeTime("short", short, since)
	s.checkNoticeTime("new", short, time.Time{})
}

// runWindowWithClockStep checks that once the window for repeats is over by real time, what may
// have run is not sent again.
func runWindowWithClockStep(t *testing.T, by time.Duration) {
	s := newSteppedRelay(t)
	editConfig(t, s.env, `"dedup_window_us":20000000,"group":"all","late_worth":0.3,"name":"keyed"`,
		`"dedup_window_us":1000000,"group":"all","late_worth":0.3,"name":"keyed"`)
	s.start()
	s.put("keyed", "keyed", 20*time.Second, 2)
	waitFor(t, "the call", func() bool { return s.hung.callCount("keyed") == 1 })
	s.child.kill()
	s.wallClock.Step(t, by)
	time.Sleep(1500 * time.Millisecond) // longer than the window
	s.hung.setAnswer(nil)
	s.start()
	s.put("mark", "plain", 20*time.Second, 1)
	s.checkDelivered(s.quick, "mark")
	since := time.Now()
	waitFor(t, "the notice", func() bool { _, ended := s.disc.Notice("keyed"); return ended }) // sent on its own, not before the call
	if waited := time.Since(since); waited > 5*time.Second {
		t.Errorf("the notice came %v after a later message was delivered: not before its own deadline", waited)
	}
	if n, ended := s.disc.Notice("keyed"); !ended || n.Outcome != discovery.Failed || s.hung.callCount("keyed") != 1 {
		t.Errorf("%d calls, ended %v by %q", s.hung.callCount("keyed"), ended, n.Outcome)
	}
}

// Guards an upgrade with the clock stepped between the starts of its two processes:
// what the old one holds is the new one's with the time that it has left, and a told
// wait that the old one hears of late binds the new one for as long as it was told.
func TestUpgradeHandsOverDeadlinesAndWaitsAcrossClockStep(t *testing.T) {
	for _, by := range []time.Duration{2 * time.Hour, -2 * time.Hour} {
		t.Run(by.String(), func(t *testing.T) {
			wall := clocktest.New(t)
			u := startUpgradeTestWithEnv(t, wall.Env())
			wall.Step(t, by)
			u.startNew()
			avoided := u.new.metric(t, "app_members_unavailable")
			u.slowRejects.Store(true)
			close(u.release)
			waitFor(t, "the wait", func() bool { return u.new.metric(t, "app_members_unavailable") == avoided+2 })
			u.put(u.oldClient, "next", putFields("once", 20000, 2))
			u.put(u.oldClient, "late", putFields("once", 20000, 5))
			u.put(u.oldClient, "mark", putFields("once", 20000, 1))
			u.waitDelivered(u.quick, "mark")
			u.listEndpoint5()
			u.waitDelivered(u.listedLater, "held", "late")
			if n := u.slow.callCount("next"); n != 0 {
				t.Errorf("%d calls against a told wait", n)
			}
			u.checkSentOnce("held", "late", "out", "keyed")
		})
	}
}
