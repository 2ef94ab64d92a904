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

// backlogEnv writes a configuration with a limit on the messages in memory and a high limit
// on the pending messages.
func backlogEnv(t *testing.T, d *discoverytest.Server, diskMB, resident int) map[string]string {
	t.Helper()
	env := writeTestConfig(t, d, diskMB)
	editConfig(t, env, `"most_held":100`, `"most_held":1000000`)
	editConfig(t, env, `"seed":`, fmt.Sprintf(`"resident":%d,"seed":`, resident))
	env["ROUTER_OPERATOR"] = loopback.Free()
	return env
}

// newDiscoveryWithOneMember starts a discovery server that lists one endpoint, of
// destination 1, to which the backlog tests send nothing.
func newDiscoveryWithOneMember(t *testing.T) *discoverytest.Server {
	return discoverytest.New(t, newFakeEndpoint(t, nil).member("s-1", 1))
}

// putMessages submits n messages, whose classes take turns, and returns their IDs. Each
// deadline is 1 ms longer than the one before.
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

// waitSpilled waits until at least n messages are spilled.
func (c *child) waitSpilled(t *testing.T, n int) {
	t.Helper()
	waitFor(t, "the spilled messages", func() bool { return c.metric(t, "app_spilled") >= n })
}

// checkEndedOnce waits until each message was delivered or got a notice. Without kills, each
// must have been delivered with one call and have no notice. With kills, a message whose
// call had no known outcome may have been sent again or have a notice as well; only messages
// of the class "once" must never be sent twice.
func checkEndedOnce(t *testing.T, disc *discoverytest.Server, ids []string, kills bool, endpoints ...*fakeEndpoint) {
	t.Helper()
	for _, id := range ids {
		waitFor(t, "the delivery or notice of "+id, func() bool {
			_, ended := disc.Notice(id)
			for _, e := range endpoints {
				ended = ended || e.answeredOK(id)
			}
			return ended
		})
	}
	for _, id := range ids {
		calls := 0
		for _, e := range endpoints {
			calls += e.callCount(id)
		}
		_, hasNotice := disc.Notice(id)
		if strings.HasSuffix(id, "-once") && calls > 1 {
			t.Errorf("%s must run at most once, but was sent %d times", id, calls)
		}
		if !kills && (hasNotice || calls != 1) {
			t.Errorf("%s: %d calls and notice %v, want 1 call and no notice", id, calls, hasNotice)
		}
	}
}

// The relay is killed with SIGKILL while most messages are spilled: after it spilled them,
// while it reads the log at its start, and while it delivers them. Each message must be
// delivered or get a notice, and a message that must not run twice is sent only once.
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
	c.kill() // it still reads the pending messages from the log, or has just done so
	c = startChild(t, env)
	c.waitSpilled(t, 400)
	waitFor(t, "all messages to be pending", func() bool { return c.metric(t, "app_pending") == len(ids) })
	ids = append(ids, putMessages(t, dialClient(t, env["ROUTER_LISTEN"]), "c", 60, 7, 25000)...)
	disc.Set(func(d *discoverytest.Server) {
		d.List.Members = append(d.List.Members, ep.member("s-7", 7), ep.member("s-8", 8))
	})
	disc.Send(t, discoverytest.Change(2, ep.member("s-7", 7)))
	disc.Send(t, discoverytest.Change(3, ep.member("s-8", 8)))
	for _, n := range []int{60, 200} { // the relay is killed after this many calls
		waitFor(t, "enough calls", func() bool { ep.mu.Lock(); defer ep.mu.Unlock(); return len(ep.calls) >= n })
		c.kill()
		c = startChild(t, env)
	}
	checkEndedOnce(t, disc, ids, true, ep)
	waitFor(t, "the end of all messages", func() bool { return c.metric(t, "app_pending") == 0 && c.metric(t, "app_spilled") == 0 })
}

// A destination with spilled messages gets an endpoint, loses it while its messages are
// loaded, and gets it back. Each message must be delivered once.
func TestBacklogIsDeliveredOnceAfterOutages(t *testing.T) {
	for _, resident := range []int{1, 2, 30} {
		t.Run(fmt.Sprint(resident, " resident"), func(t *testing.T) {
			ep := newFakeEndpoint(t, nil)
			disc := newDiscoveryWithOneMember(t)
			env := backlogEnv(t, disc, 64, resident)
			c := startChild(t, env)
			ids := putMessages(t, dialClient(t, env["ROUTER_LISTEN"]), "m", 300, 7, 25000)
			c.waitSpilled(t, 300-resident)
			m := ep.member("s-7", 7)
			disc.Send(t, discoverytest.Change(2, m))
			waitFor(t, "enough calls", func() bool { ep.mu.Lock(); defer ep.mu.Unlock(); return len(ep.calls) >= 40 })
			removed := m
			removed.Phase = discovery.Removed
			disc.Send(t, discoverytest.Change(3, removed))
			waitFor(t, "the removal of the endpoint", func() bool { return c.metric(t, "app_members") == 1 })
			disc.Send(t, discoverytest.Change(4, m))
			checkEndedOnce(t, disc, ids, false, ep)
			waitFor(t, "the end of all messages", func() bool { return c.metric(t, "app_pending") == 0 && c.metric(t, "app_spilled") == 0 })
			if n := c.metric(t, "app_loaded"); n < 300-resident {
				t.Errorf("only %d messages were loaded from the log", n)
			}
		})
	}
}

// Deadlines pass while messages are spilled. Each message must be returned no later than
// 300 ms after its deadline, also if many deadlines pass at the same time, and no more than
// 100 ms before it.
func TestSpilledMessagesEndAtDeadline(t *testing.T) {
	disc := newDiscoveryWithOneMember(t)
	env := backlogEnv(t, disc, 64, 2)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	deadlines := map[string]time.Time{}
	for i := range 600 {
		ms := 4000 // one half of the messages get the same time
		if i%2 == 0 {
			ms = 3500 + 3*i
		}
		id, class := fmt.Sprint("m", i), []string{"plain", "once"}[i%2]
		before := time.Now()
		if s := cl.put(id, putFields(class, ms, 10+i%5), nil); s != "+OK" {
			t.Fatalf("%s: %s", id, s)
		}
		deadlines[id] = before.Add(time.Duration(ms) * time.Millisecond)
	}
	if n := c.metric(t, "app_loaded"); n > 0 {
		t.Logf("%d messages were loaded before the first deadline", n)
	}
	for len(deadlines) > 0 {
		now := time.Now()
		for id, deadline := range deadlines {
			n, ended := disc.Notice(id)
			switch {
			case ended && n.Outcome != discovery.Returned:
				t.Fatalf("%s: %+v", id, n)
			case ended && now.Before(deadline.Add(-100*time.Millisecond)):
				t.Fatalf("%s: notice came %v before its deadline", id, deadline.Sub(now))
			case ended:
				delete(deadlines, id)
			case now.After(deadline.Add(300 * time.Millisecond)):
				t.Fatalf("%s: no notice %v after its deadline", id, now.Sub(deadline))
			}
		}
		time.Sleep(time.Millisecond)
	}
	if n := c.metric(t, "app_loaded"); n < 500 {
		t.Errorf("only %d of 600 messages were loaded from the log", n)
	}
}

// The ID of a spilled message is submitted again, over several connections. The relay must
// acknowledge it without accepting a second message, and deliver it once.
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
		otherClient := dialClient(t, env["ROUTER_LISTEN"])
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i, id := range ids {
				if s := otherClient.put(id, putFields(id[strings.LastIndex(id, "-")+1:], 25000+i, 7), nil); s != "+OK" {
					t.Errorf("%s, submitted again: %s", id, s)
				}
			}
		}()
	}
	wg.Wait()
	waitFor(t, "the count of pending messages", func() bool { return c.metric(t, "app_pending") > 0 })
	if n := c.metric(t, "app_pending"); n != len(ids) {
		t.Errorf("%d messages are pending, want %d", n, len(ids))
	}
	disc.Send(t, discoverytest.Change(2, ep.member("s-7", 7)))
	checkEndedOnce(t, disc, ids, false, ep)
}

// A keyed message that may have run is spilled. It may be sent again only within its
// deduplication window of 6 s. If no endpoint returns in that time, it must get its notice
// shortly before the window is over, although its deadline is much later. The test allows 5 to
// 7 s after the first call.
func TestSpilledMessageInDoubtKeepsDedupWindow(t *testing.T) {
	for name, returns := range map[string]bool{"endpoint returns in time": true, "endpoint does not return": false} {
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
			waitFor(t, "the call of the keyed message", func() bool { return ep.callCount("keyed") == 1 })
			firstCallAt := time.Now()
			removed := m
			removed.Phase = discovery.Removed
			disc.Send(t, discoverytest.Change(3, removed))
			waitFor(t, "the removal of the endpoint", func() bool { return c.metric(t, "app_members") == 1 })
			close(answer)
			waitFor(t, "the outcome in the log", func() bool { return logContains(env["ROUTER_STATE"], wal.KindOutcome, "keyed") })
			for i := range 5 { // these have less time left, so the keyed message is among the spilled ones
				put(fmt.Sprint("m", i), "plain", 15000+i)
			}
			c.waitSpilled(t, 5)
			ep.setAnswer(nil)
			if returns {
				disc.Send(t, discoverytest.Change(4, m))
				checkEndedOnce(t, disc, []string{"keyed"}, true, ep)
				if n, took := ep.callCount("keyed"), time.Since(firstCallAt); n != 2 || took > 6*time.Second {
					t.Errorf("%d calls of the keyed message, delivered after %v; want 2 calls within the window of 6 s", n, took)
				}
				return
			}
			waitFor(t, "the notice of the keyed message", func() bool { _, ok := disc.Notice("keyed"); return ok })
			if took := time.Since(firstCallAt); took > 7*time.Second || took < 5*time.Second {
				t.Errorf("notice %v after the first call, want 5 to 7 s for a window of 6 s", took)
			}
			disc.Send(t, discoverytest.Change(4, m))
			for i := range 5 { // the policy may have dropped some of them, which then have a notice
				id := fmt.Sprint("m", i)
				waitFor(t, "the delivery or notice of "+id, func() bool { _, ended := disc.Notice(id); return ended || ep.answeredOK(id) })
			}
			if n := ep.callCount("keyed"); n != 1 {
				t.Errorf("the keyed message was sent again after it had failed")
			}
		})
	}
}

// The log reaches its disk limit while most messages are spilled. Messages that do not fit
// must be refused, and accepted ones delivered.
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
		t.Fatalf("%d messages accepted, %d refused", len(ids), refused)
	}
	c.waitSpilled(t, len(ids)-2)
	disc.Send(t, discoverytest.Change(2, ep.member("s-7", 7)))
	checkEndedOnce(t, disc, ids, false, ep)
}

// An upgrade with spilled messages. The new process must find them in the log, the pending
// counts of both processes must add up, and an ID that is submitted again to the old process
// must stay one message.
func TestUpgradeHandsOverBacklog(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	disc := newDiscoveryWithOneMember(t)
	env := backlogEnv(t, disc, 64, 2)
	old := startChild(t, env)
	oldClient := dialClient(t, env["ROUTER_LISTEN"])
	ids := putMessages(t, oldClient, "m", 200, 7, 25000)
	old.waitSpilled(t, 190)
	startNext := func() *child {
		env := maps.Clone(env)
		env["ROUTER_OPERATOR"] = loopback.Free()
		c := spawn(t, env)
		waitFor(t, "readiness of the new process", func() bool { return c.readyzIs(true) })
		return c
	}
	c := startNext()
	waitFor(t, "the transfer of all messages to the new process", func() bool {
		return old.metric(t, "app_pending") == 0 && old.metric(t, "app_spilled") == 0 && c.metric(t, "app_pending") == len(ids)
	})
	resubmitAll := func() {
		t.Helper()
		for i, id := range ids {
			if s := oldClient.put(id, putFields(id[strings.LastIndex(id, "-")+1:], 25000+i, 7), nil); s != "+OK" {
				t.Fatalf("%s, submitted again: %s", id, s)
			}
		}
		for i := range 50 { // also new messages: a process that has handed over spills none, so they stay in its memory
			id := fmt.Sprintf("late%d-%d-once", len(ids), i)
			if s := oldClient.put(id, putFields("once", 25000, 7), nil); s != "+OK" {
				t.Fatalf("%s: %s", id, s)
			}
			ids = append(ids, id)
		}
	}
	resubmitAll()
	waitFor(t, "all messages at the second process", func() bool { return c.metric(t, "app_pending") == len(ids) })
	c.kill() // the old process takes over again and reads all messages from the log
	waitFor(t, "all messages at the old process", func() bool { return old.metric(t, "app_pending") == len(ids) })
	c = startNext()
	resubmitAll()
	waitFor(t, "all messages at the third process", func() bool { return c.metric(t, "app_pending") == len(ids) })
	old.cmd.Process.Signal(syscall.SIGTERM)
	if err := old.cmd.Wait(); err != nil {
		t.Errorf("exit of the old process: %v", err)
	}
	disc.Send(t, discoverytest.Change(2, ep.member("s-7", 7)))
	checkEndedOnce(t, disc, ids, false, ep)
}

// A log written without a limit on the messages in memory, as by older versions of the
// program, is read by a relay with a limit of 3. That relay ends on SIGTERM while most
// messages are spilled, and its log is read by a relay with the default limit, under which
// all of the messages stay in memory.
func TestBacklogOtherBound(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	disc := newDiscoveryWithOneMember(t)
	env := backlogEnv(t, disc, 64, 0)
	c := startChild(t, env)
	ids := putMessages(t, dialClient(t, env["ROUTER_LISTEN"]), "m", 3000, 7, 29000)
	if n := c.metric(t, "app_spilled"); n != 0 {
		t.Errorf("%d messages spilled without a limit on the messages in memory", n)
	}
	c.kill()
	editConfig(t, env, `"resident":0,`, `"resident":3,`)
	c = startChild(t, env)
	c.waitSpilled(t, 2990)
	waitFor(t, "all messages to be pending", func() bool { return c.metric(t, "app_pending") == len(ids) })
	c.cmd.Process.Signal(syscall.SIGTERM)
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	editConfig(t, env, `"resident":3,`, ``)
	c = startChild(t, env)
	waitFor(t, "the pending messages from the log", func() bool { return c.metric(t, "app_pending") == len(ids) })
	disc.Send(t, discoverytest.Change(2, ep.member("s-7", 7)))
	checkEndedOnce(t, disc, ids, false, ep)
}

// runLoopOnce does one round of the loop for a relay that runs none: it handles the events
// and due timers, steps the policy and loads spilled messages.
func (r *Relay) runLoopOnce() {
	for _, e := range r.mailbox.TakeAll(nil) {
		e.handle(r)
	}
	if r.fireTimers(); len(r.step.events) > 0 {
		r.stepPolicy()
	}
	r.loadSpilled()
}

// submitMessage puts the event of a new message into the mailbox, as a client connection
// does, and returns its request.
func submitMessage(t *testing.T, r *Relay, id string, dest int, timeLeft policy.Time) *putRequest {
	request := &putRequest{class: 0, tenant: 0, record: &wal.Record{Kind: wal.KindAccepted, ID: id, Class: "plain", Dest: dest, Body: make([]byte, 200)}, receivedAt: time.Now(), timeLeft: time.Duration(timeLeft) * time.Microsecond, responses: make(chan response, 1)}
	r.mailbox.Put(submitEvent{request: request})
	return request
}

// newBoundedRelay returns a test relay with a limit on the messages in memory and no limit
// on the pending messages.
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

// For a spilled message a relay may keep only its entries in the index of the log and in the
// backlog store in memory, about 75 bytes. The test allows 130 bytes per message, averaged
// over all messages with the 1000 that stay in memory.
func TestSpilledMessagesUseLittleMemory(t *testing.T) {
	heapSize := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	const n, batch = 200_000, 500
	r := newBoundedRelay(t, 1000)
	heapBefore := heapSize()
	for firstIndex := 0; firstIndex < n; firstIndex += batch {
		var requests []*putRequest
		for i := range batch {
			requests = append(requests, submitMessage(t, r, fmt.Sprint("m", firstIndex+i), i%50, 3600e6))
		}
		for _, q := range requests {
			waitFor(t, "a response to each message", func() bool {
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
	waitFor(t, "the spilling of all messages above the limit", func() bool { r.runLoopOnce(); return len(r.messages.byNumber) <= 1000 })
	bytesPerMessage := float64(heapSize()-heapBefore) / n
	t.Logf("%.0f bytes of memory per message, %d of %d messages in memory", bytesPerMessage, len(r.messages.byNumber), n)
	if bytesPerMessage > 130 || r.messages.pending != n || len(r.messages.byNumber)+r.spilled.count() != n || len(r.messages.byID) > 1000 {
		t.Errorf("%.0f bytes of memory per message; %d messages pending, %d in memory, %d spilled", bytesPerMessage, r.messages.pending, len(r.messages.byNumber), r.spilled.count())
	}
	runtime.KeepAlive(r)
}

// A message must stay in memory until its client has received the response. If the client
// leaves instead, the relay and the policy must forget the message.
func TestMessageIsSpilledOnlyAfterAcknowledgement(t *testing.T) {
	r := newBoundedRelay(t, 1)
	var requests []*putRequest
	for i := range 3 {
		requests = append(requests, submitMessage(t, r, fmt.Sprint("m", i), 7, 3600e6))
		r.runLoopOnce()
	}
	for _, q := range requests {
		if s := <-q.responses; s != responseOK {
			t.Fatal(s)
		}
	}
	if r.runLoopOnce(); len(r.messages.byNumber) != 3 || r.spilled.count() != 0 {
		t.Fatalf("before any client got its response: %d messages in memory and %d spilled, want 3 and 0", len(r.messages.byNumber), r.spilled.count())
	}
	r.mailbox.Put(responseDoneEvent{request: requests[1], isSent: true})
	r.mailbox.Put(responseDoneEvent{request: requests[2]})
	if r.runLoopOnce(); len(r.messages.byNumber) != 1 || r.spilled.count() != 1 || r.messages.pending != 2 || r.messages.byID["m1"] != nil || r.messages.byID["m2"] != nil {
		t.Fatalf("%d messages in memory, %d spilled, %d pending, want 1, 1 and 2", len(r.messages.byNumber), r.spilled.count(), r.messages.pending)
	}
	// The policy has counted the same: once nothing is spilled, it must request no loads.
	r.step.add(policy.Event{Kind: policy.EventWithdraw, Message: 1})
	waitFor(t, "the loading of the spilled message", func() bool { r.runLoopOnce(); return r.messages.byID["m1"] != nil })
	r.step.add(policy.Event{Kind: policy.EventWithdraw, Message: r.messages.byID["m1"].number})
	if r.runLoopOnce(); len(r.spilled.requested) != 0 || r.spilled.count() != 0 {
		t.Errorf("%d messages spilled, loads requested for destinations %v, want none", r.spilled.count(), r.spilled.requested)
	}
}

// A spilled message that could not be read from the log must be read again later, and the
// policy's request stays open so that another message of the destination is loaded
// meanwhile. A message whose record is damaged must be given up.
func TestUnreadableSpilledMessageIsRetried(t *testing.T) {
	r := newBoundedRelay(t, 1)
	r.notices = discovery.NewNotices(discoverytest.New(t).Addr(), discardLog(), func(string) {})
	r.messages.pending = 2
	item := backlog.Item{Entry: backlog.Entry{LoadBy: 1, Index: 9}, Dest: 7}
	r.readmitLoaded(spilledLoadedEvent{r.wal, []backlog.Item{item, item}, []*wal.Record{{}, {ID: "m", Class: "plain", Dest: 7, Corrupted: true}}})
	if len(r.spilled.unreadable) != 1 || r.spilled.requested[7] != 1 || r.messages.pending != 1 {
		t.Errorf("%d messages to be read again, loads requested %v, %d pending", len(r.spilled.unreadable), r.spilled.requested, r.messages.pending)
	}
	if wait := r.spilled.untilNext(r.clock.now()); wait > time.Second || wait < 500*time.Millisecond {
		t.Errorf("the next read is in %v, want 0.5 to 1 s", wait)
	}
	if r.retryUnreadableNow(); r.spilled.store.Len() != 1 {
		t.Errorf("%d messages in the store after the delay, want 1", r.spilled.store.Len())
	}
	// A message with an attempt whose outcome is not in the log may have run.
	r.readmit(&wal.Record{ID: "x", Class: "once", Dest: 7, Attempts: 1, InFlightSince: r.clock.logTime(r.clock.now()), InFlightZone: 1}, item)
	if e := r.step.events[len(r.step.events)-1]; e.UnknownOutcomeAt == 0 || e.UnknownOutcomeZone != 1 || e.InFlightEndpoint != 0 || e.Attempts != 1 || !e.Spilled {
		t.Errorf("the policy got %+v", e)
	}
	waitFor(t, "the completion of the damaged message in the log", func() bool {
		isPending := make(chan bool)
		r.wal.Do(func() { isPending <- r.wal.IsPending("m") })
		return !<-isPending
	})
}

// retryUnreadableNow returns unreadable messages to the store as if their delay had passed.
func (r *Relay) retryUnreadableNow() { r.spilled.retryUnreadable(r.clock.now() + 2*loadRetryDelay) }
