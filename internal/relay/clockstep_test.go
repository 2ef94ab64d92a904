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

// noticeSlack is how long after a message's deadline its notice may arrive: 300 ms by the
// protocol, and 50 ms for the sockets.
const noticeSlack = 350 * time.Millisecond

// steppedRelay is a relay in a child process whose wall clock the test can step.
type steppedRelay struct {
	t           *testing.T
	wallClock   *clocktest.Wall
	env         map[string]string
	child       *child
	client      *testClient
	disc        *discoverytest.Server
	notices     *noticeTimes
	quick       *fakeEndpoint // serves destination 1 and answers at once
	hung        *fakeEndpoint // serves destination 2 and does not answer
	listedLater *fakeEndpoint // serves destination 5 once it is listed
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

// put submits a message that must be accepted.
func (s *steppedRelay) put(id, class string, timeLeft time.Duration, dest int) {
	s.t.Helper()
	s.acceptedAt[id] = time.Now()
	if answer := s.client.put(id, putFields(class, int(timeLeft.Milliseconds()), dest), nil); answer != "+OK" {
		s.t.Errorf("%s: %s", id, answer)
		delete(s.acceptedAt, id)
	}
}

// listEndpoint5 adds the endpoint of destination 5 to the list of discovery.
func (s *steppedRelay) listEndpoint5() {
	s.disc.Set(func(d *discoverytest.Server) { d.List.Members = append(d.List.Members, s.listedLater.member("s-5", 5)) })
}

// checkNoticeTime waits for the notice of a message that was submitted with timeLeft. It must
// not come before 90 % of that time is over, and no later than noticeSlack after its end. If
// the relay was restarted and ready again at readyAt, a notice is also in time until 1.5 s
// and noticeSlack after that.
func (s *steppedRelay) checkNoticeTime(id string, timeLeft time.Duration, readyAt time.Time) {
	s.t.Helper()
	submittedAt, isAccepted := s.acceptedAt[id]
	if !isAccepted {
		return // the message was not accepted, which put has reported
	}
	latest := submittedAt.Add(timeLeft + noticeSlack)
	if latestAfterRestart := readyAt.Add(1500*time.Millisecond + noticeSlack); latestAfterRestart.After(latest) && !readyAt.IsZero() {
		latest = latestAfterRestart
	}
	var noticeAt time.Time
	for seen := false; !seen && time.Now().Before(latest.Add(time.Second)); time.Sleep(2 * time.Millisecond) {
		noticeAt, seen = s.notices.get(id)
	}
	switch {
	case noticeAt.IsZero():
		s.t.Errorf("%s, accepted with a deadline of %v, has no notice after %v", id, timeLeft, time.Since(submittedAt))
	case noticeAt.After(latest):
		s.t.Errorf("%s, accepted with a deadline of %v, got its notice too late, after %v", id, timeLeft, noticeAt.Sub(submittedAt))
	case noticeAt.Before(submittedAt.Add(timeLeft * 9 / 10)):
		s.t.Errorf("%s, accepted with a deadline of %v, got its notice too early, after %v", id, timeLeft, noticeAt.Sub(submittedAt))
	}
}

// checkDelivered waits until an endpoint has answered a message with 200, at most 20 s, and
// checks that the message got no notice.
func (s *steppedRelay) checkDelivered(e *fakeEndpoint, id string) {
	s.t.Helper()
	submittedAt, isAccepted := s.acceptedAt[id]
	if !isAccepted {
		return
	}
	for time.Since(submittedAt) < 20*time.Second && !e.answeredOK(id) {
		time.Sleep(2 * time.Millisecond)
	}
	if n, ended := s.disc.Notice(id); ended || !e.answeredOK(id) {
		s.t.Errorf("%s: delivered %v, notice %q after %v", id, e.answeredOK(id), n.Outcome, time.Since(submittedAt))
	}
}

// The wall clock is stepped while the relay runs. Messages that were accepted before the
// step, after it and between two steps must all end when the time that their clients gave
// them is over, neither earlier nor later.
func TestDeadlinesHoldAcrossClockStep(t *testing.T) {
	const timeLeft = 2 * time.Second
	for _, step := range []time.Duration{400 * time.Second, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			s := newSteppedRelay(t)
			s.start()
			s.put("before", "plain", timeLeft, 5)
			s.put("out-before", "once", timeLeft, 2)
			s.wallClock.Step(t, step)
			s.put("after", "plain", timeLeft, 5)
			s.put("out-after", "once", timeLeft, 2)
			s.put("sent-after", "once", timeLeft, 1)
			s.put("late-after", "plain", 2*timeLeft, 5)
			s.checkDelivered(s.quick, "sent-after")
			for _, id := range []string{"before", "out-before", "after", "out-after"} {
				s.checkNoticeTime(id, timeLeft, time.Time{})
			}
			s.wallClock.Step(t, -step)
			s.put("back", "plain", timeLeft, 5)
			s.checkNoticeTime("late-after", 2*timeLeft, time.Time{})
			s.checkNoticeTime("back", timeLeft, time.Time{})
			if s.log.occurrences("wall clock stepped") == 0 {
				t.Error("the relay did not log the step")
			}
		})
	}
}

// The relay is killed and restarted, and the wall clock is stepped while the first process
// runs, while none runs, or both. For deadlines and deduplication windows only the elapsed
// time may count.
func TestDeadlinesAndWindowsHoldAcrossRestartAndClockStep(t *testing.T) {
	hour := time.Hour
	for _, steps := range []struct{ running, down time.Duration }{{0, hour}, {hour, 0}, {0, -hour}, {-hour, 0}, {hour, -hour}, {-hour, hour}, {3 * time.Second, 0}, {0, -3 * time.Second}} {
		t.Run(fmt.Sprint("deadlines/", steps.running, " then ", steps.down), func(t *testing.T) {
			t.Parallel()
			runRestartWithClockStep(t, steps.running, steps.down)
		})
	}
	for _, step := range []time.Duration{-hour, -1500 * time.Millisecond, 0, hour} {
		t.Run(fmt.Sprint("window/", step), func(t *testing.T) {
			t.Parallel()
			runWindowWithClockStep(t, step)
		})
	}
}

// runRestartWithClockStep checks that after the restart messages that were never tried are
// sent, a message that may have run is sent again within its window, and messages with a
// short deadline end at it.
func runRestartWithClockStep(t *testing.T, stepWhileRunning, stepWhileDown time.Duration) {
	const shortDeadline = 4 * time.Second
	s := newSteppedRelay(t)
	s.start()
	s.put("held-first", "plain", 20*time.Second, 5)
	s.wallClock.Step(t, stepWhileRunning)
	s.put("held", "plain", 20*time.Second, 5)
	s.put("keyed", "keyed", 20*time.Second, 2)
	s.put("short", "plain", shortDeadline, 6)
	if t.Failed() {
		return
	}
	waitFor(t, "the call", func() bool { return s.hung.callCount("keyed") == 1 })
	s.child.kill()
	s.wallClock.Step(t, stepWhileDown)
	time.Sleep(600 * time.Millisecond) // the time in which the platform restarts a process
	s.hung.setAnswer(nil)
	s.listEndpoint5()
	s.start()
	readyAt := time.Now()
	s.put("new", "plain", shortDeadline, 6)
	s.checkDelivered(s.listedLater, "held-first")
	s.checkDelivered(s.listedLater, "held")
	s.checkDelivered(s.hung, "keyed")
	s.checkNoticeTime("short", shortDeadline, readyAt)
	s.checkNoticeTime("new", shortDeadline, time.Time{})
}

// runWindowWithClockStep checks that a message that may have run is not sent again after a
// restart if the deduplication window is over by elapsed time.
func runWindowWithClockStep(t *testing.T, step time.Duration) {
	s := newSteppedRelay(t)
	editConfig(t, s.env, `"dedup_window_us":20000000,"group":"all","late_worth":0.3,"name":"keyed"`,
		`"dedup_window_us":1000000,"group":"all","late_worth":0.3,"name":"keyed"`)
	s.start()
	s.put("keyed", "keyed", 20*time.Second, 2)
	waitFor(t, "the call", func() bool { return s.hung.callCount("keyed") == 1 })
	s.child.kill()
	s.wallClock.Step(t, step)
	time.Sleep(1500 * time.Millisecond) // longer than the window
	s.hung.setAnswer(nil)
	s.start()
	s.put("mark", "plain", 20*time.Second, 1)
	s.checkDelivered(s.quick, "mark")
	deliveredAt := time.Now()
	waitFor(t, "the notice", func() bool { _, ended := s.disc.Notice("keyed"); return ended }) // notices and calls are independent, so the notice may come after the call of "mark"
	if waited := time.Since(deliveredAt); waited > 5*time.Second {
		t.Errorf("the notice came %v after a later message was delivered, want at most 5 s: it must not wait for the deadline", waited)
	}
	if n, ended := s.disc.Notice("keyed"); !ended || n.Outcome != discovery.Failed || s.hung.callCount("keyed") != 1 {
		t.Errorf("%d calls, notice %v with outcome %q, want 1 call and a failure notice", s.hung.callCount("keyed"), ended, n.Outcome)
	}
}

// During an upgrade, the wall clock is stepped between the starts of the two processes. The
// messages of the old process must keep their remaining time in the new one, and a
// Retry-After that the old process receives late must hold in the new one for its whole time.
func TestUpgradeHandsOverDeadlinesAndWaitsAcrossClockStep(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Hour, -2 * time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			wall := clocktest.New(t)
			u := startUpgradeTestWithEnv(t, wall.Env())
			wall.Step(t, step)
			u.startNew()
			unavailable := u.new.metric(t, "app_members_unavailable")
			u.slowRejects.Store(true)
			close(u.release)
			waitFor(t, "the Retry-After at the new process", func() bool { return u.new.metric(t, "app_members_unavailable") == unavailable+2 })
			u.put(u.oldClient, "next", putFields("once", 20000, 2))
			u.put(u.oldClient, "late", putFields("once", 20000, 5))
			u.put(u.oldClient, "mark", putFields("once", 20000, 1))
			u.waitDelivered(u.quick, "mark")
			u.listEndpoint5()
			u.waitDelivered(u.listedLater, "held", "late")
			if n := u.slow.callCount("next"); n != 0 {
				t.Errorf("%d calls during the Retry-After time, want 0", n)
			}
			u.checkSentOnce("held", "late", "out", "keyed")
		})
	}
}
