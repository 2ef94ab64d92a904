package relay

import (
	"fmt"
	"maps"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"plovershore/internal/backlog"
	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
	"plovershore/internal/loopback"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// backlogEnv is a configuration with so many messages in memory at most, and
// room for many to be held.
func backlogEnv(t *testing.T, d *discoverytest.Server, diskMB, resident int) map[string]string {
	t.Helper()
	env := writeTestConfig(t, d, diskMB)
	editConfig(t, env, `"most_held":100`, `"most_held":1000000`)
	editConfig(t, env, `"seed":`, fmt.Sprintf(`"resident":%d,"seed":`, resident))
	env["ROUTER_OPERATOR"] = loopback.Free()
	return env
}

// newDiscoveryWithOneMember is discovery with an endpoint of a destination that nobody writes to.
func newDiscoveryWithOneMember(t *testing.T) *discoverytest.Server {
	return discoverytest.New(t, newFakeEndpoint(t, nil).member("s-1", 1))
}

// putMessages hands messages in, a class after the other, and gives their ids.
func putMessages(t *testing.T, cl *testClient, prefix string, n, dest, deadlineMS int) (ids []string) {
	t.Helper()
	for i := range n {
		class := []string{"plain", "once", "keyed"}[i%3]
		id := fmt.Sprintf("%s%d-%s", prefix, i, class)
		if s := cl.put(id, putFields(class, deadlineMS+i, dest), []byte("body of "+id)); s != "+OK" {
			t.Fatalf("%s: %s", id, s)
		}
		ids = append(ids, id)
	}
	return ids
}

// waitSpilled waits until so many are in the log alone.
func (c *child) waitSpilled(t *testing.T, n int) {
	t.Helper()
	waitFor(t, "the backlog", func() bool { return c.metric(t, "app_spilled") >= n })
}

// checkEndedOnce checks that each message has its end, and no second: it was answered
// by its endpoint or ended by a notice. With kills, a call that nobody saw the
// end of may be both.
func checkEndedOnce(t *testing.T, disc *discoverytest.Server, ids []string, kills bool, eps ...*fakeEndpoint) {
	t.Helper()
	for _, id := range ids {
		waitFor(t, "the end of "+id, func() bool {
			_, ended := disc.Notice(id)
			for _, e := range eps {
				ended = ended || e.answeredOK(id)
			}
			return ended
		})
	}
	for _, id := range ids {
		calls := 0
		for _, e := range eps {
			calls += e.callCount(id)
		}
		_, notice := disc.Notice(id)
		if strings.HasSuffix(id, "-once") && calls > 1 {
			t.Errorf("%s, which may not have its effect twice, went out %d times", id, calls)
		}
		if !kills && (notice || calls != 1) {
			t.Errorf("%s: %d calls, ended by a notice: %v", id, calls, notice)
		}
	}
}

// Hard case: SIGKILL at any moment with most messages in the log alone, in the
// backlog's making, in its reading at a start and while it is worked off. Each
// has its end, and what may not run twice does not.
func TestBacklogSurvivesKills(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	disc := newDiscoveryWithOneMember(t)
	env := backlogEnv(t, disc, 64, 4)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	ids := append(putMessages(t, cl, "a", 240, 7, 25000), putMessages(t, cl, "b", 240, 8, 25000)...)
	c.waitSpilled(t, 400)
	c.kill()
	c = startChild(t, env)
	c.kill() // while it reads what is owed, or just after
	c = startChild(t, env)
	c.waitSpilled(t, 400)
	waitFor(t, "all of them", func() bool { return c.metric(t, "app_pending") == len(ids) })
	ids = append(ids, putMessages(t, dialClient(t, env["ROUTER_LISTEN"]), "c", 60, 7, 25000)...)
	disc.Set(func(d *discoverytest.Server) {
		d.List.Members = append(d.List.Members, ep.member("s-7", 7), ep.member("s-8", 8))
	})
	disc.Send(t, discoverytest.Change(2, ep.member("s-7", 7)))
	disc.Send(t, discoverytest.Change(3, ep.member("s-8", 8)))
	for _, n := range []int{60, 200} { // calls by which it is killed
		waitFor(t, "some calls", func() bool { ep.mu.Lock(); defer ep.mu.Unlock(); return len(ep.calls) >= n })
		c.kill()
		c = startChild(t, env)
	}
	checkEndedOnce(t, disc, ids, true, ep)
	waitFor(t, "an empty backlog", func() bool { return c.metric(t, "app_pending") == 0 && c.metric(t, "app_spilled") == 0 })
}

// Hard case: a destination comes back, is gone again while its backlog is read,
// and comes back. Each message is delivered once.
func TestBacklogIsDeliveredOnceAfterOutages(t *testing.T) {
	for _, resident := range []int{1, 2, 30} {
		t.Run(fmt.Sprint(resident, " in memory"), func(t *testing.T) {
			ep := newFakeEndpoint(t, nil)
			disc := newDiscoveryWithOneMember(t)
			env := backlogEnv(t, disc, 64, resident)
			c := startChild(t, env)
			ids := putMessages(t, dialClient(t, env["ROUTER_LISTEN"]), "m", 300, 7, 25000)
			c.waitSpilled(t, 300-resident)
			m := ep.member("s-7", 7)
			disc.Send(t, discoverytest.Change(2, m))
			waitFor(t, "some calls", func() bool { ep.mu.Lock(); defer ep.mu.Unlock(); return len(ep.calls) >= 40 })
			gone := m
			gone.Phase = discovery.Removed
			disc.Send(t, discoverytest.Change(3, gone))
			waitFor(t, "its going", func() bool { return c.metric(t, "app_members") == 1 })
			disc.Send(t, discoverytest.Change(4, m))
			checkEndedOnce(t, disc, ids, false, ep)
			waitFor(t, "an empty backlog", func() bool { return c.metric(t, "app_pending") == 0 && c.metric(t, "app_spilled") == 0 })
			if n := c.metric(t, "app_loaded"); n < 300-resident {
				t.Errorf("%d loaded", n)
			}
		})
	}
}

// Hard case: deadlines that pass in the log. Each message is handed back within
// its time and 300 ms, also where all come due at once.
func TestSpilledMessagesEndAtDeadline(t *testing.T) {
	disc := newDiscoveryWithOneMember(t)
	env := backlogEnv(t, disc, 64, 2)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	due := map[string]time.Time{}
	for i := range 600 {
		ms := 4000 // half of them at once
		if i%2 == 0 {
			ms = 3500 + 3*i
		}
		id, class := fmt.Sprint("m", i), []string{"plain", "once"}[i%2]
		before := time.Now()
		if s := cl.put(id, putFields(class, ms, 10+i%5), nil); s != "+OK" {
			t.Fatalf("%s: %s", id, s)
		}
		due[id] = before.Add(time.Duration(ms) * time.Millisecond)
	}
	if n := c.metric(t, "app_loaded"); n > 0 {
		t.Logf("%d are loaded already", n)
	}
	for len(due) > 0 {
		now := time.Now()
		for id, at := range due {
			n, ended := disc.Notice(id)
			switch {
			case ended && n.Outcome != discovery.Returned:
				t.Fatalf("%s: %+v", id, n)
			case ended && now.Before(at.Add(-100*time.Millisecond)):
				t.Fatalf("%s: ended %v before its time", id, at.Sub(now))
			case ended:
				delete(due, id)
			case now.After(at.Add(300 * time.Millisecond)):
				t.Fatalf("%s: no end %v after its time", id, now.Sub(at))
			}
		}
		time.Sleep(time.Millisecond)
	}
	if n := c.metric(t, "app_loaded"); n < 500 {
		t.Errorf("%d of 600 were loaded", n)
	}
}

// Hard case: an id that is handed in again while it is in the log alone, over any
// connection, is ours already, and has one end.
func TestSpilledIDIsAcceptedOnce(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	disc := newDiscoveryWithOneMember(t)
	env := backlogEnv(t, disc, 64, 2)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	ids := putMessages(t, cl, "m", 60, 7, 25000)
	c.waitSpilled(t, 55)
	var wg sync.WaitGroup
	for range 4 {
		again := dialClient(t, env["ROUTER_LISTEN"])
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i, id := range ids {
				if s := again.put(id, putFields(id[strings.LastIndex(id, "-")+1:], 25000+i, 7), nil); s != "+OK" {
					t.Errorf("%s again: %s", id, s)
				}
			}
		}()
	}
	wg.Wait()
	waitFor(t, "the figure", func() bool { return c.metric(t, "app_pending") > 0 })
	if n := c.metric(t, "app_pending"); n != len(ids) {
		t.Errorf("%d pending of %d", n, len(ids))
	}
	disc.Send(t, discoverytest.Change(2, ep.member("s-7", 7)))
	checkEndedOnce(t, disc, ids, false, ep)
}

// Hard case: a keyed message that may have run is spilled. It goes out again only
// within its window; before that is over it has its end, though its deadline is far.
func TestSpilledMessageInDoubtKeepsDedupWindow(t *testing.T) {
	for name, back := range map[string]bool{"returns in time": true, "does not return": false} {
		t.Run(name, func(t *testing.T) {
			answer := make(chan struct{})
			ep := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
				<-answer
				w.WriteHeader(http.StatusInternalServerError)
			})
			m := ep.member("s-7", 7)
			disc := newDiscoveryWithOneMember(t)
			env := backlogEnv(t, disc, 64, 1)
			editConfig(t, env, `"dedup_window_us":20000000`, `"dedup_window_us":6000000`)
			c := startChild(t, env)
			disc.Send(t, discoverytest.Change(2, m))
			cl := dialClient(t, env["ROUTER_LISTEN"])
			put := func(id, class string, ms int) {
				t.Helper()
				if s := cl.put(id, putFields(class, ms, 7), nil); s != "+OK" {
					t.Fatalf("%s: %s", id, s)
				}
			}
			put("keyed", "keyed", 29000)
			waitFor(t, "its call", func() bool { return ep.callCount("keyed") == 1 })
			first := time.Now()
			gone := m
			gone.Phase = discovery.Removed
			disc.Send(t, discoverytest.Change(3, gone))
			waitFor(t, "its going", func() bool { return c.metric(t, "app_members") == 1 })
			close(answer)
			waitFor(t, "the outcome in the log", func() bool { return logContains(env["ROUTER_STATE"], wal.KindOutcome, "keyed") })
			for i := range 5 { // they have less time, so the keyed one is spilled
				put(fmt.Sprint("m", i), "plain", 15000+i)
			}
			c.waitSpilled(t, 5)
			ep.setAnswer(nil)
			if back {
				disc.Send(t, discoverytest.Change(4, m))
				checkEndedOnce(t, disc, []string{"keyed"}, true, ep)
				if n, took := ep.callCount("keyed"), time.Since(first); n != 2 || took > 6*time.Second {
					t.Errorf("%d calls, the last after %v; its window is 6 s", n, took)
				}
				return
			}
			waitFor(t, "its end", func() bool { _, ok := disc.Notice("keyed"); return ok })
			if took := time.Since(first); took > 7*time.Second || took < 5*time.Second {
				t.Errorf("ended after %v, its window is 6 s", took)
			}
			disc.Send(t, discoverytest.Change(4, m))
			for i := range 5 { // a drop may have ended one
				id := fmt.Sprint("m", i)
				waitFor(t, "the end of "+id, func() bool { _, ended := disc.Notice(id); return ended || ep.answeredOK(id) })
			}
			if n := ep.callCount("keyed"); n != 1 {
				t.Errorf("sent again after its end")
			}
		})
	}
}

// Hard case: the disk fills while most of what it has is spilled. What does not
// fit is refused, what was taken on is delivered.
func TestBacklogOnFullDiskRefusesNewMessages(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	disc := newDiscoveryWithOneMember(t)
	env := backlogEnv(t, disc, 1, 2)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	var ids []string
	refused := 0
	for i := 0; refused < 20 && i < 5000; i++ {
		id := fmt.Sprintf("m%d-once", i)
		switch s := cl.put(id, putFields("once", 25000, 7), []byte(strings.Repeat("b", 2000))); {
		case s == "+OK":
			ids = append(ids, id)
		case strings.HasPrefix(s, "-BUSY"):
			refused++
		default:
			t.Fatal(s)
		}
	}
	if refused < 20 || len(ids) < 100 {
		t.Fatalf("%d taken on, %d refused", len(ids), refused)
	}
	c.waitSpilled(t, len(ids)-2)
	disc.Send(t, discoverytest.Change(2, ep.member("s-7", 7)))
	checkEndedOnce(t, disc, ids, false, ep)
}

// Hard case: an upgrade with a backlog. The next process finds it in the log, the
// sums of both are right, and an id that the old process is handed again stays
// one message.
func TestUpgradeHandsOverBacklog(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	disc := newDiscoveryWithOneMember(t)
	env := backlogEnv(t, disc, 64, 2)
	old := startChild(t, env)
	kept := dialClient(t, env["ROUTER_LISTEN"])
	ids := putMessages(t, kept, "m", 200, 7, 25000)
	old.waitSpilled(t, 190)
	next := func() *child {
		env := maps.Clone(env)
		env["ROUTER_OPERATOR"] = loopback.Free()
		c := spawn(t, env)
		waitFor(t, "a yes of the new process", func() bool { return c.readyzIs(true) })
		return c
	}
	c := next()
	waitFor(t, "the figures", func() bool {
		return old.metric(t, "app_pending") == 0 && old.metric(t, "app_spilled") == 0 && c.metric(t, "app_pending") == len(ids)
	})
	again := func() {
		t.Helper()
		for i, id := range ids {
			if s := kept.put(id, putFields(id[strings.LastIndex(id, "-")+1:], 25000+i, 7), nil); s != "+OK" {
				t.Fatalf("%s again: %s", id, s)
			}
		}
		for i := range 50 { // and new ones, which stay in memory there
			id := fmt.Sprintf("late%d-%d-once", len(ids), i)
			if s := kept.put(id, putFields("once", 25000, 7), nil); s != "+OK" {
				t.Fatalf("%s: %s", id, s)
			}
			ids = append(ids, id)
		}
	}
	again()
	waitFor(t, "the sum", func() bool { return c.metric(t, "app_pending") == len(ids) })
	c.kill() // the old one takes all back, from the log
	waitFor(t, "the sum again", func() bool { return old.metric(t, "app_pending") == len(ids) })
	c = next()
	again()
	waitFor(t, "the sum of the third", func() bool { return c.metric(t, "app_pending") == len(ids) })
	old.cmd.Process.Signal(syscall.SIGTERM)
	if err := old.cmd.Wait(); err != nil {
		t.Errorf("exit of the old process: %v", err)
	}
	disc.Send(t, discoverytest.Change(2, ep.member("s-7", 7)))
	checkEndedOnce(t, disc, ids, false, ep)
}

// Hard case: a log written with no bound, as by the program before, is taken up
// under one, and the other way round; SIGTERM leaves a backlog in it.
func TestBacklogOtherBound(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	disc := newDiscoveryWithOneMember(t)
	env := backlogEnv(t, disc, 64, 0)
	c := startChild(t, env)
	ids := putMessages(t, dialClient(t, env["ROUTER_LISTEN"]), "m", 3000, 7, 29000)
	if n := c.metric(t, "app_spilled"); n != 0 {
		t.Errorf("%d spilled with no bound", n)
	}
	c.kill()
	editConfig(t, env, `"resident":0,`, `"resident":3,`)
	c = startChild(t, env)
	c.waitSpilled(t, 2990)
	waitFor(t, "all of them", func() bool { return c.metric(t, "app_pending") == len(ids) })
	c.cmd.Process.Signal(syscall.SIGTERM)
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	editConfig(t, env, `"resident":3,`, ``)
	c = startChild(t, env)
	waitFor(t, "what is owed", func() bool { return c.metric(t, "app_pending") == len(ids) })
	disc.Send(t, discoverytest.Change(2, ep.member("s-7", 7)))
	checkEndedOnce(t, disc, ids, false, ep)
}

// turn carries out what has happened to a relay without a loop.
func (r *Relay) runLoopOnce() {
	for _, e := range r.mailbox.TakeAll(nil) {
		e.handle(r)
	}
	if r.fireTimers(); len(r.step.events) > 0 {
		r.stepPolicy()
	}
	r.loadSpilled()
}

// executePut takes a message on as the loop and its client do together.
func submitMessage(t *testing.T, r *Relay, id string, dest int, left policy.Time) *putRequest {
	q := &putRequest{class: 0, tenant: 0, record: &wal.Record{Kind: wal.KindAccepted, ID: id, Class: "plain", Dest: dest, Body: make([]byte, 200)}, receivedAt: time.Now(), timeLeft: time.Duration(left) * time.Microsecond, responses: make(chan response, 1)}
	r.mailbox.Put(submitEvent{request: q})
	return q
}

// newBoundedRelay is a test relay with so many messages in memory at most.
func newBoundedRelay(t *testing.T, resident int) *Relay {
	r := newTestRelay(t)
	r.cfg.Policy.MaxMessages, r.cfg.Policy.MaxResidentMessages = 0, resident
	decider, err := policy.New(r.cfg.Policy, 1)
	if err != nil {
		t.Fatal(err)
	}
	w, err := wal.Open(wal.Options{Dir: t.TempDir(), Limit: 1 << 30, Log: discardLog()})
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	go w.Run(stop)
	t.Cleanup(func() { close(stop); <-w.Done() })
	r.policy, r.wal = decider, w
	return r
}

// The memory of a relay does not grow with what it holds but for the log's index
// and the store: some 75 bytes a message.
func TestSpilledMessagesUseLittleMemory(t *testing.T) {
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	const n, batch = 200_000, 500
	r := newBoundedRelay(t, 1000)
	before := heap()
	for from := 0; from < n; from += batch {
		var qs []*putRequest
		for i := range batch {
			qs = append(qs, submitMessage(t, r, fmt.Sprint("m", from+i), i%50, 3600e6))
		}
		for _, q := range qs {
			waitFor(t, "an answer", func() bool {
				r.runLoopOnce()
				select {
				case s := <-q.responses:
					if s != responseOK {
						t.Fatal(s)
					}
					r.mailbox.Put(responseDoneEvent{request: q, isSent: true})
					return true
				default:
					return false
				}
			})
		}
	}
	waitFor(t, "the backlog", func() bool { r.runLoopOnce(); return len(r.messages.byNumber) <= 1000 })
	per := float64(heap()-before) / n
	t.Logf("%.0f bytes a message held, %d of %d in memory", per, len(r.messages.byNumber), n)
	if per > 130 || r.messages.pending != n || len(r.messages.byNumber)+r.spilled.count() != n || len(r.messages.byID) > 1000 {
		t.Errorf("%.0f bytes a message; %d held, %d known, %d spilled", per, r.messages.pending, len(r.messages.byNumber), r.spilled.count())
	}
	runtime.KeepAlive(r)
}

// A message stays in memory until its client has heard of it, and is forgotten by
// all where its client leaves instead.
func TestMessageIsSpilledOnlyAfterAcknowledgement(t *testing.T) {
	r := newBoundedRelay(t, 1)
	var qs []*putRequest
	for i := range 3 {
		qs = append(qs, submitMessage(t, r, fmt.Sprint("m", i), 7, 3600e6))
		r.runLoopOnce()
	}
	for _, q := range qs {
		if s := <-q.responses; s != responseOK {
			t.Fatal(s)
		}
	}
	if r.runLoopOnce(); len(r.messages.byNumber) != 3 || r.spilled.count() != 0 {
		t.Fatalf("%d in memory, %d spilled before any client has heard", len(r.messages.byNumber), r.spilled.count())
	}
	r.mailbox.Put(responseDoneEvent{request: qs[1], isSent: true})
	r.mailbox.Put(responseDoneEvent{request: qs[2]})
	if r.runLoopOnce(); len(r.messages.byNumber) != 1 || r.spilled.count() != 1 || r.messages.pending != 2 || r.messages.byID["m1"] != nil || r.messages.byID["m2"] != nil {
		t.Fatalf("%d in memory, %d spilled, %d held", len(r.messages.byNumber), r.spilled.count(), r.messages.pending)
	}
	// The policy knows of that, too: once nothing is spilled it asks for nothing.
	r.step.add(policy.Event{Kind: policy.EventWithdraw, Message: 1})
	waitFor(t, "the one that is left", func() bool { r.runLoopOnce(); return r.messages.byID["m1"] != nil })
	r.step.add(policy.Event{Kind: policy.EventWithdraw, Message: r.messages.byID["m1"].number})
	if r.runLoopOnce(); len(r.spilled.requested) != 0 || r.spilled.count() != 0 {
		t.Errorf("%d spilled, asked for %v", r.spilled.count(), r.spilled.requested)
	}
}

// A message that cannot be read just now is tried again, and another one is read
// in its place meanwhile. One that damage took is given up.
func TestUnreadableSpilledMessageIsRetried(t *testing.T) {
	r := newBoundedRelay(t, 1)
	r.notices = discovery.NewNotices(discoverytest.New(t).Addr(), discardLog(), func(string) {})
	r.messages.pending = 2
	item := backlog.Item{Entry: backlog.Entry{LoadBy: 1, Index: 9}, Dest: 7}
	r.readmitLoaded(spilledLoadedEvent{r.wal, []backlog.Item{item, item}, []*wal.Record{{}, {ID: "m", Class: "plain", Dest: 7, Corrupted: true}}})
	if len(r.spilled.unreadable) != 1 || r.spilled.requested[7] != 1 || r.messages.pending != 1 {
		t.Errorf("%d to be tried again, asked for %v, %d held", len(r.spilled.unreadable), r.spilled.requested, r.messages.pending)
	}
	if wait := r.spilled.untilNext(r.clock.now()); wait > time.Second || wait < 500*time.Millisecond {
		t.Errorf("tried again in %v", wait)
	}
	if r.retryUnreadableNow(); r.spilled.store.Len() != 1 {
		t.Errorf("%d in the store", r.spilled.store.Len())
	}
	// One whose outcome could not be logged may have run.
	r.readmit(&wal.Record{ID: "x", Class: "once", Dest: 7, Attempts: 1, InFlightSince: r.clock.logTime(r.clock.now()), InFlightZone: 1}, item)
	if e := r.step.events[len(r.step.events)-1]; e.UnknownOutcomeAt == 0 || e.UnknownOutcomeZone != 1 || e.InFlightEndpoint != 0 || e.Attempts != 1 || !e.Spilled {
		t.Errorf("the policy is told %+v", e)
	}
	waitFor(t, "an end in the log", func() bool {
		owed := make(chan bool)
		r.wal.Do(func() { owed <- r.wal.IsPending("m") })
		return !<-owed
	})
}

func (r *Relay) retryUnreadableNow() { r.spilled.retryUnreadable(r.clock.now() + 2*loadRetryDelay) }
