package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"plovershore/internal/clock"
	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
	"plovershore/internal/loopback"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// Id, key and body go on as they came, whatever bytes they hold.
func TestMessageIsDeliveredUnchanged(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	c := startChild(t, writeTestConfig(t, discoverytest.New(t, ep.member("s-1", 7)), 3))
	cl := dialClient(t, c.env["ROUTER_LISTEN"])
	bodies := [][]byte{nil, []byte("\r\n\x00\xff*5\r\n"), []byte(strings.Repeat("x", maxBodyBytes))}
	for i, body := range bodies {
		id := fmt.Sprintf("m%d", i)
		if s := cl.put(id, putFields("keyed", 8000, 7), body); s != "+OK" {
			t.Fatalf("body %d: %s", i, s)
		}
		waitFor(t, "the call", func() bool { return ep.callCount(id) == 1 })
		ep.mu.Lock()
		got := ep.calls[len(ep.calls)-1]
		ep.mu.Unlock()
		if got.key != "5c0f6e1a2b3d4c59" || string(got.body) != string(body) || got.timeout == "" {
			t.Errorf("body %d: arrived as key %q, timeout %q, %d bytes", i, got.key, got.timeout, len(got.body))
		}
	}
}

// Guards the batch: where a kind of destination takes several messages in one
// call, what waits for it goes out as one call, no longer than a body may be.
func TestWaitingMessagesAreSentInOneBatch(t *testing.T) {
	first := make(chan struct{})
	ep := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			<-first
		}
	})
	env := writeTestConfig(t, discoverytest.New(t, ep.member("s-1", 7)), 3)
	editConfig(t, env, `"kind_batch":[1]`, `"kind_batch":[5]`)
	startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	for i := range 5 {
		if s := cl.put(fmt.Sprintf("m%d", i), putFields("once", 20000, 7), []byte("body")); s != "+OK" {
			t.Fatal(s)
		}
	}
	for _, id := range []string{"long1", "long2"} {
		if s := cl.put(id, putFields("once", 20000, 7), bytes.Repeat([]byte("x"), 40<<10)); s != "+OK" {
			t.Fatal(s)
		}
	}
	waitFor(t, "the first call", func() bool { return ep.callCount("m0") == 1 })
	close(first)
	waitFor(t, "the rest", func() bool { return ep.callCount("long1") == 1 && ep.callCount("long2") == 1 })
	ep.mu.Lock()
	defer ep.mu.Unlock()
	together := false
	for _, c := range ep.calls {
		if len(c.body) > maxBodyBytes {
			t.Errorf("a body of %d bytes", len(c.body))
		}
		var items []batchItem
		if json.Unmarshal(c.body, &items) != nil {
			continue
		}
		together = true
		for _, x := range items {
			if string(x.Body) != "body" && len(x.Body) != 40<<10 {
				t.Errorf("%s arrived as %q", x.ID, x.Body)
			}
		}
	}
	if !together {
		t.Errorf("%d calls for 7 messages, none with several", len(ep.calls))
	}
}

// Guards a batch whose endpoint hangs: the call ends for all its messages when
// the time of the first is up, and the endpoint was told so. What it answers once
// that one has ended is an answer to nobody: the rest still get their ends.
func TestBatchTimesOutAtFirstDeadline(t *testing.T) {
	first := make(chan struct{})
	disc := discoverytest.New(t)
	ep := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			<-first
			return
		}
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if _, over := disc.Notice("short"); over {
				return
			}
		}
	})
	disc.Set(func(d *discoverytest.Server) { d.List.Members = append(d.List.Members, ep.member("s-1", 7)) })
	env := writeTestConfig(t, disc, 3)
	editConfig(t, env, `"kind_batch":[1]`, `"kind_batch":[5]`)
	startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("m0", putFields("once", 20000, 7), nil); s != "+OK" {
		t.Fatal(s)
	}
	waitFor(t, "the first call", func() bool { return ep.callCount("m0") == 1 })
	for id, ms := range map[string]int{"short": 1500, "long": 20000} {
		if s := cl.put(id, putFields("once", ms, 7), nil); s != "+OK" {
			t.Fatal(s)
		}
	}
	close(first)
	for _, id := range []string{"short", "long"} {
		waitFor(t, "the end of "+id, func() bool { n, ok := disc.Notice(id); return ok && n.Outcome == discovery.Failed })
	}
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if len(ep.calls) != 2 {
		t.Fatalf("%d calls, want short and long in one", len(ep.calls))
	}
	if ms, err := strconv.Atoi(ep.calls[1].timeout); err != nil || ms >= 1500 {
		t.Errorf("the endpoint was told to be waited for %s ms, short has 1500", ep.calls[1].timeout)
	}
}

// Guards SIGHUP: it is no end, and list and notices come from and go to the
// address that the file then names. A file that cannot be used changes nothing.
func TestHangupSwitchesDiscoveryAddress(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	gone := newFakeEndpoint(t, answerStatus(http.StatusInternalServerError))
	old, moved := discoverytest.New(t, gone.member("s-1", 1)), discoverytest.New(t, gone.member("s-1", 1), ep.member("s-2", 2))
	env := writeTestConfig(t, old, 3)
	c := startChild(t, env)
	waitFor(t, "the first watch", func() bool { old.Mu.Lock(); defer old.Mu.Unlock(); return len(old.Froms) == 1 })
	good, err := os.ReadFile(env["ROUTER_CONFIG"])
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{`{"disc`, `{"discovery":"nowhere"}`} {
		if err := os.WriteFile(env["ROUTER_CONFIG"], []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		c.cmd.Process.Signal(syscall.SIGHUP)
		c.waitReady(t)
	}
	text := strings.Replace(string(good), old.Addr(), moved.Addr(), 1)
	if err := os.WriteFile(env["ROUTER_CONFIG"], []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the watch at the new address", func() bool {
		c.cmd.Process.Signal(syscall.SIGHUP) // signals that come close together may be one
		moved.Mu.Lock()
		defer moved.Mu.Unlock()
		return len(moved.Froms) > 0
	})
	moved.Send(t, discoverytest.Change(2, ep.member("s-2", 2)))
	cl := dialClient(t, env["ROUTER_LISTEN"])
	for id, f := range map[string]string{"sent": putFields("once", 20000, 2), "failed": putFields("once", 20000, 1)} {
		if s := cl.put(id, f, nil); s != "+OK" {
			t.Fatal(s)
		}
	}
	waitFor(t, "the call", func() bool { return ep.callCount("sent") == 1 })
	waitFor(t, "the notice", func() bool { _, ok := moved.Notice("failed"); return ok })
}

// Guards what was taken on against SIGKILL: an unsafe attempt with no outcome
// may have run and fails by notice, a keyed one goes out again in its window,
// one that was only turned away goes on, and what was delivered stays so.
func TestAcceptedMessagesSurviveKill(t *testing.T) {
	done := newFakeEndpoint(t, nil)
	stuck := newFakeEndpoint(t, hang)
	full := newFakeEndpoint(t, answerStatus(http.StatusServiceUnavailable))
	keyed := newFakeEndpoint(t, hang)
	disc := discoverytest.New(t, done.member("s-1", 1), stuck.member("s-2", 2), full.member("s-3", 3), keyed.member("s-4", 4))
	env := writeTestConfig(t, disc, 3)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	for id, f := range map[string]string{"done": putFields("once", 20000, 1), "stuck": putFields("once", 20000, 2),
		"full": putFields("once", 20000, 3), "keyed": putFields("keyed", 20000, 4)} {
		if s := cl.put(id, f, []byte("body of "+id)); s != "+OK" {
			t.Fatalf("%s: %s", id, s)
		}
	}
	waitFor(t, "calls", func() bool {
		return done.callCount("done") == 1 && stuck.callCount("stuck") == 1 && full.callCount("full") >= 1 && keyed.callCount("keyed") == 1
	})
	waitFor(t, "the outcomes in the log", func() bool {
		return logContains(env["ROUTER_STATE"], wal.KindCompleted, "done") && logContains(env["ROUTER_STATE"], wal.KindOutcome, "full")
	})
	c.kill()
	for _, e := range []*fakeEndpoint{stuck, full, keyed} {
		e.setAnswer(nil)
	}
	startChild(t, env)
	waitFor(t, "notice of the unsafe one", func() bool { n, ok := disc.Notice("stuck"); return ok && n.Outcome == discovery.Failed })
	waitFor(t, "the others", func() bool { return full.callCount("full") >= 2 && keyed.callCount("keyed") == 2 })
	if n := stuck.callCount("stuck"); n != 1 {
		t.Errorf("the unsafe message went out %d times", n)
	}
	if n := done.callCount("done"); n != 1 {
		t.Errorf("the delivered message went out %d times", n)
	}
	keyed.mu.Lock()
	defer keyed.mu.Unlock()
	if got := keyed.calls[1]; string(got.body) != "body of keyed" || got.key != "5c0f6e1a2b3d4c59" {
		t.Errorf("the keyed message came back as %+v", got)
	}
}

// Guards what was taken on and never sent against a restart into bad times: each
// message gets its call, though the destination fails at first, when the policy
// would refuse most new ones without.
func TestUntriedMessagesAreTriedAfterRestart(t *testing.T) {
	ep := newFakeEndpoint(t, hang)
	disc := discoverytest.New(t, ep.member("s-1", 7))
	env := writeTestConfig(t, disc, 3)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	var ids []string
	for i := range 40 {
		id := fmt.Sprintf("m%d", i)
		if s := cl.put(id, putFields("plain", 20000, 7), nil); s != "+OK" {
			t.Fatal(s)
		}
		ids = append(ids, id)
	}
	waitFor(t, "a call", func() bool { return ep.callCount("m0") == 1 })
	c.kill()
	tried := map[string]bool{}
	for _, id := range ids {
		tried[id] = ep.callCount(id) > 0
	}
	ep.setAnswer(func(w http.ResponseWriter, _ *http.Request, n int) {
		if n < 30 {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	startChild(t, env)
	for _, id := range ids {
		waitFor(t, "a call of "+id, func() bool {
			if n, ended := disc.Notice(id); ended && !tried[id] && ep.callCount(id) == 0 {
				t.Fatalf("%s, which was never sent, is %s with no call", id, n.Outcome)
			}
			return ep.callCount(id) > 0
		})
	}
}

// Guards the end of what ran out of time while no process ran: its notice
// comes straight after the start. A notice that was not taken is sent again.
func TestExpiredMessagesGetNoticesAfterRestart(t *testing.T) {
	disc := discoverytest.New(t)
	env := writeTestConfig(t, disc, 3)
	disc.Set(func(d *discoverytest.Server) { d.Answer = http.StatusInternalServerError })
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	for _, id := range []string{"short", "later"} {
		if s := cl.put(id, putFields("plain", map[string]int{"short": 1000, "later": 3000}[id], 9), nil); s != "+OK" {
			t.Fatal(s)
		}
	}
	waitFor(t, "an ending in the log", func() bool {
		return logContains(env["ROUTER_STATE"], wal.KindCompleting, "short")
	})
	c.kill()
	disc.Set(func(d *discoverytest.Server) { d.Answer = http.StatusNoContent })
	startChild(t, env)
	for _, id := range []string{"short", "later"} {
		waitFor(t, "notice of "+id, func() bool { n, ok := disc.Notice(id); return ok && n.Outcome == discovery.Returned })
	}
	waitFor(t, "ends in the log", func() bool {
		return logContains(env["ROUTER_STATE"], wal.KindCompleted, "short") && logContains(env["ROUTER_STATE"], wal.KindCompleted, "later")
	})
}

// Guards a planned end: calls that are out finish, new work is refused
// harmlessly, what is held waits in the log, and the exit code is 0.
func TestTerminationFinishesCallsAndKeepsMessages(t *testing.T) {
	release, entered := make(chan struct{}), atomic.Int32{}
	slow := newFakeEndpoint(t, func(_ http.ResponseWriter, r *http.Request, _ int) {
		entered.Add(1)
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	disc := discoverytest.New(t, slow.member("s-1", 1))
	env := writeTestConfig(t, disc, 3)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("out", putFields("once", 20000, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	if s := cl.put("held", putFields("plain", 20000, 5), nil); s != "+OK" { // nobody serves 5 yet
		t.Fatal(s)
	}
	waitFor(t, "the call", func() bool { return entered.Load() == 1 })
	c.cmd.Process.Signal(syscall.SIGTERM)
	if _, err := cl.in.ReadByte(); err == nil {
		t.Error("an idle client's connection stays open")
	}
	late := dialClient(t, env["ROUTER_LISTEN"]) // connections go on coming for a while
	if s := late.put("late", putFields("plain", 8000, 1), nil); !strings.HasPrefix(s, "-BUSY ") {
		t.Errorf("new work at the end is answered %q", s)
	}
	close(release)
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if n := slow.callCount("late"); n != 0 {
		t.Error("a refused message went out")
	}
	other := newFakeEndpoint(t, nil)
	disc.Set(func(d *discoverytest.Server) { d.List.Members = append(d.List.Members, other.member("s-5", 5)) })
	startChild(t, env)
	waitFor(t, "the held message", func() bool { return other.callCount("held") == 1 })
	if n := slow.callCount("out"); n != 1 {
		t.Errorf("the finished call went out %d times", n)
	}
	if _, ok := disc.Notice("out"); ok {
		t.Error("a delivered message was ended by a notice")
	}
}

// Guards a planned end: a request of which a part has come at SIGTERM gets its
// answer, though nothing else keeps the process, and its connection is not reset.
func TestHalfReadRequestIsAnsweredAtTermination(t *testing.T) {
	env := writeTestConfig(t, discoverytest.New(t), 3)
	c := startChild(t, env)
	half, rest := dialClient(t, env["ROUTER_LISTEN"]), dialClient(t, env["ROUTER_LISTEN"])
	for _, cl := range []*testClient{half, rest} {
		io.WriteString(cl, "*1\r\n$4\r\nPING\r\n")
		if s := cl.readLine(); s != "+PONG" {
			t.Fatal(s)
		}
	}
	text := putCommand("m", putFields("plain", 8000, 7), []byte("body"))
	io.WriteString(half, text[:len(text)/2])
	c.cmd.Process.Signal(syscall.SIGTERM)
	if _, err := rest.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("a resting connection: %v", err)
	}
	waitFor(t, "the end of the listening", func() bool {
		conn, err := net.Dial("tcp", env["ROUTER_LISTEN"])
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	io.WriteString(half, text[len(text)/2:])
	if s := half.readLine(); s != "-BUSY 400" {
		t.Errorf("answer %q", s)
	}
	if _, err := half.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the answer: %v", err)
	}
	half.Close()
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Guards SIGTERM before a process is ready: it ends in order, also where discovery
// never answers and SIGHUP comes between.
func TestTerminationBeforeReadyExitsCleanly(t *testing.T) {
	disc := discoverytest.New(t)
	disc.Set(func(d *discoverytest.Server) { d.Silent = true })
	c := spawn(t, writeTestConfig(t, disc, 3))
	waitFor(t, "the start", func() bool { disc.Mu.Lock(); defer disc.Mu.Unlock(); return disc.Unheard > 0 })
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		c.cmd.Process.Signal(sig)
	}
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Guards against an endpoint that is removed and returns in one change: what it
// says last holds, either way.
func TestLastPhaseInOneListChangeHolds(t *testing.T) {
	first, then := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	m := first.member("s-1", 1)
	gone, back := m, then.member("s-1", 1)
	gone.Phase = discovery.Removed
	disc := discoverytest.New(t, m)
	env := writeTestConfig(t, disc, 3)
	env["ROUTER_OPERATOR"] = loopback.Free()
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	put := func(id string) {
		t.Helper()
		if s := cl.put(id, putFields("once", 20000, 1), nil); s != "+OK" {
			t.Fatalf("%s: %s", id, s)
		}
	}
	put("a")
	waitFor(t, "a", func() bool { return first.callCount("a") == 1 })
	say := func(rev int64, members ...discovery.Member) {
		text, err := json.Marshal(discovery.List{Revision: rev, Members: members})
		if err != nil {
			t.Fatal(err)
		}
		disc.Send(t, string(text))
	}
	say(2, gone, back)
	n := 0
	waitFor(t, "its new address", func() bool {
		n++
		id := fmt.Sprintf("b%d", n)
		put(id)
		waitFor(t, id, func() bool { return first.callCount(id)+then.callCount(id) == 1 })
		return then.callCount(id) == 1
	})
	say(3, back, gone)
	waitFor(t, "its going", func() bool { return c.metric(t, "app_members") == 0 })
	put("c")
	if n := first.callCount("c") + then.callCount("c"); n != 0 {
		t.Errorf("a message went to an endpoint that is gone %d times", n)
	}
	say(4, back)
	waitFor(t, "the return", func() bool { return then.callCount("c") == 1 })
}

// Guards the disk: full holdings of long bodies may not fit into it, and what
// does not fit is refused before the folder is over its limit.
func TestLogStaysWithinDiskLimit(t *testing.T) {
	env := writeTestConfig(t, discoverytest.New(t), 1)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	body := []byte(strings.Repeat("b", maxBodyBytes))
	taken, refused := 0, 0
	for i := range 40 {
		switch s := cl.put(fmt.Sprintf("m%d", i), putFields("plain", 20000, 9), body); {
		case s == "+OK":
			taken++
		case strings.HasPrefix(s, "-BUSY"):
			refused++
		default:
			t.Fatal(s)
		}
		size := int64(0)
		files, err := os.ReadDir(env["ROUTER_STATE"])
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range files {
			if info, err := f.Info(); err == nil {
				size += (info.Size() + 511) / 512 * 512
			}
		}
		if size > 1<<20 {
			t.Fatalf("%d bytes on a disk of 1 MB", size)
		}
	}
	if taken == 0 || refused == 0 {
		t.Errorf("taken %d, refused %d: want both", taken, refused)
	}
	_ = c
}

// Guards against the list as it was: an endpoint may move to another address
// under its id, or to another destination, and a drained one gets nothing new.
func TestMovedAndDrainingEndpointsAreFollowed(t *testing.T) {
	before, after := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	m := before.member("s-1", 1)
	disc := discoverytest.New(t, m)
	env := writeTestConfig(t, disc, 3)
	startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	put := func(id string, dest int) {
		t.Helper()
		if s := cl.put(id, putFields("once", 20000, dest), nil); s != "+OK" {
			t.Fatalf("%s: %s", id, s)
		}
	}
	put("old", 1)
	waitFor(t, "old", func() bool { return before.callCount("old") == 1 })
	m.HostPort = after.addr()
	disc.Send(t, discoverytest.Change(2, m))
	// The change and the message come by different ways: what is sent before
	// the change may still go to the old place, so wait for the new one.
	waitFor(t, "the new address", func() bool {
		put(fmt.Sprintf("n%d", nextID.Add(1)), 1)
		after.mu.Lock()
		defer after.mu.Unlock()
		return len(after.calls) > 0
	})
	moved := after.member("s-1", 2)
	disc.Send(t, discoverytest.Change(3, moved))
	put("two", 2)
	waitFor(t, "the new destination", func() bool { return after.callCount("two") == 1 })
	put("one", 1) // nobody serves it any more
	moved.Phase = discovery.Draining
	disc.Send(t, discoverytest.Change(4, moved))
	fresh := before.member("s-2", 2)
	disc.Send(t, discoverytest.Change(5, fresh))
	put("marker", 2)
	waitFor(t, "the marker", func() bool { return before.callCount("marker")+after.callCount("marker") == 1 })
	waitFor(t, "the drain", func() bool {
		id := fmt.Sprintf("d%d", nextID.Add(1))
		put(id, 2)
		waitFor(t, id, func() bool { return before.callCount(id)+after.callCount(id) == 1 })
		return before.callCount(id) == 1
	})
	for range 5 {
		id := fmt.Sprintf("e%d", nextID.Add(1))
		put(id, 2)
		waitFor(t, id, func() bool { return before.callCount(id)+after.callCount(id) == 1 })
		if after.callCount(id) != 0 {
			t.Error("a drained endpoint got a message")
		}
	}
	if n := before.callCount("one") + after.callCount("one"); n != 0 {
		t.Errorf("a message went to an endpoint of another destination %d times", n)
	}
}

var nextID atomic.Int32 // makes ids new

// What the policy turns away in the step that takes it is answered directly:
// nothing is logged, and there is no notice.
func TestImmediateRejectionIsNotLogged(t *testing.T) {
	disc := discoverytest.New(t)
	env := writeTestConfig(t, disc, 3)
	startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("late", putFields("plain", 0, 9), nil); !strings.HasPrefix(s, "-BUSY") {
		t.Fatalf("out of time: %s", s)
	}
	refused := 0
	for i := range 150 { // more than may be held
		if s := cl.put(fmt.Sprintf("m%d", i), putFields("once", 20000, 9), nil); strings.HasPrefix(s, "-BUSY") {
			refused++
		}
	}
	// What makes room among those that were taken on ends by a notice.
	waitFor(t, "the ends of what is too much", func() bool {
		disc.Mu.Lock()
		defer disc.Mu.Unlock()
		return refused+len(disc.Notices) >= 50
	})
	if logContains(env["ROUTER_STATE"], wal.KindAccepted, "late") {
		t.Error("logged")
	}
	if _, ok := disc.Notice("late"); ok {
		t.Error("a notice for what was never taken on")
	}
}

// Guards against handing in twice: an id that is held is not taken on again.
func TestPendingIDIsAcceptedOnce(t *testing.T) {
	release := make(chan struct{})
	ep := newFakeEndpoint(t, func(_ http.ResponseWriter, r *http.Request, _ int) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	env := writeTestConfig(t, discoverytest.New(t, ep.member("s-1", 1)), 3)
	startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	for range 2 {
		if s := cl.put("m", putFields("once", 20000, 1), nil); s != "+OK" {
			t.Fatal(s)
		}
		waitFor(t, "the call", func() bool { return ep.callCount("m") == 1 })
	}
	close(release)
	if s := cl.put("other", putFields("once", 20000, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	waitFor(t, "the next", func() bool { return ep.callCount("other") == 1 })
	if n := ep.callCount("m"); n != 1 {
		t.Errorf("went out %d times", n)
	}
}

// Guards messages that nothing else happens to: the policy takes each timer that
// it asked for as set. One that comes due within a step, or just before a later
// one that the policy goes by since, must not keep that one out, or nobody wakes
// the policy for their deadlines.
func TestEveryPolicyTimerFires(t *testing.T) {
	r := newTestRelay(t)
	due := r.clock.now() // the loop has looked a moment ago: it was not due
	r.timers = []policy.Time{due}
	r.admit(&putRequest{class: 0, tenant: 0, record: &wal.Record{ID: "m", Class: "plain", Dest: 7}, receivedAt: time.Now(), timeLeft: 20 * time.Second, responses: make(chan response, 1)})
	r.stepPolicy()
	r.applyAction(due, &policy.Action{Kind: policy.ActionTimer, Delay: 10e6})
	r.applyAction(due+5e6, &policy.Action{Kind: policy.ActionTimer, Delay: 5e6}) // that one again is no third
	r.applyAction(due, &policy.Action{Kind: policy.ActionTimer, Delay: 5e6})     // the policy goes by this one; the other comes all the same
	for range 3 {                                                                // as the loop goes on, with no event but the timer's
		if r.fireTimers(); len(r.step.events) > 0 {
			r.stepPolicy()
		}
	}
	if !slices.IsSorted(r.timers) || len(r.timers) != 3 || r.timers[0] != due+5e6 || r.timers[1] != due+10e6 || r.timers[2] <= due+19e6 {
		t.Fatalf("timers %v from %d on: a message is held until %d", r.timers, due, due+20e6)
	}
}

// readClockAhead reads clocks of which the wall clock is ahead, on a machine that is booted
// anew before the next process reads them, or is not.
func readClockAhead(by time.Duration, bootsAfter bool) func() clock.Reading {
	return func() clock.Reading {
		r := clock.Read()
		r.Wall += by.Microseconds()
		if bootsAfter {
			r.Boot = clock.Boot{1}
		}
		return r
	}
}

// Hard case: the clock is set back by an hour between two runs. Deadlines come
// neither at once nor an hour late, for what was owed and for what comes new.
func TestDeadlinesHoldWhenClockIsSetBackBetweenRuns(t *testing.T) {
	for _, boots := range []bool{false, true} {
		r := newTestRelay(t)
		r.cfg.StateDir = t.TempDir()
		w, err := wal.Open(wal.Options{Dir: r.cfg.StateDir, Limit: 3 << 20, Clock: readClockAhead(time.Hour, boots)})
		if err != nil {
			t.Fatal(err)
		}
		stop, booked := make(chan struct{}), make(chan error)
		go w.Run(stop)
		w.Submit(&wal.Record{Kind: wal.KindAccepted, ID: "m", Class: "plain", Dest: 7, Deadline: w.Time() + 20e6}, func(err error) { booked <- err })
		if err := <-booked; err != nil {
			t.Fatal(err)
		}
		close(stop)
		<-w.Done()
		if _, err := r.openLog(); err != nil {
			t.Fatal(err)
		}
		defer r.closeLog()
		near := func(what string, left policy.Time) {
			if left < 15e6 || left > 21e6 {
				t.Errorf("booted %v: %s: %d µs left", boots, what, left)
			}
		}
		near("owed", r.step.events[len(r.step.events)-1].TimeLeft)
		r.admit(&putRequest{class: 0, tenant: 0, record: &wal.Record{ID: "new", Class: "plain", Dest: 7}, receivedAt: time.Now(), timeLeft: 20 * time.Second, responses: make(chan response, 1)})
		near("new", r.step.events[len(r.step.events)-1].TimeLeft)
		near("new, by the log", r.clock.fromLogTime(r.messages.byID["new"].record.Deadline)-r.clock.now())
	}
}

// The same with an attempt that may have run: where the machine was booted since, how
// long no process ran is not known, so its window for repeats counts as over. In one
// boot it is known, wherever the clock was set.
func TestRebootWithClockSetBackEndsDedupWindow(t *testing.T) {
	for _, x := range []struct {
		by    time.Duration
		boots bool
	}{{0, false}, {0, true}, {time.Hour, false}, {time.Hour, true}} {
		r := newTestRelay(t)
		r.cfg.StateDir = t.TempDir()
		w, err := wal.Open(wal.Options{Dir: r.cfg.StateDir, Limit: 3 << 20, Clock: readClockAhead(x.by, x.boots)})
		if err != nil {
			t.Fatal(err)
		}
		stop, booked := make(chan struct{}), make(chan error)
		go w.Run(stop)
		w.Submit(&wal.Record{Kind: wal.KindAccepted, ID: "m", Class: "keyed", Key: "k", Dest: 7, Deadline: w.Time() + 20e6}, nil)
		w.Submit(&wal.Record{Kind: wal.KindAttempt, ID: "m", At: w.Time(), Endpoint: "s-1", Process: w.Process}, func(err error) { booked <- err })
		if err := <-booked; err != nil {
			t.Fatal(err)
		}
		close(stop)
		<-w.Done()
		if _, err := r.openLog(); err != nil {
			t.Fatal(err)
		}
		defer r.closeLog()
		e := &r.step.events[len(r.step.events)-1]
		over := r.clock.now()-e.UnknownOutcomeAt > r.cfg.Policy.Classes[e.Class].DedupWindow
		if e.UnknownOutcomeAt == 0 || over != (x.by > 0 && x.boots) {
			t.Errorf("set back by %v, booted %v: may have run %d µs ago, in a window of %d", x.by, x.boots, r.clock.now()-e.UnknownOutcomeAt, r.cfg.Policy.Classes[e.Class].DedupWindow)
		}
	}
}
