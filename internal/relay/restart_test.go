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

// The ID, key and body of a message must reach the endpoint unchanged, whatever bytes the
// body has.
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
		waitFor(t, "the call of "+id, func() bool { return ep.callCount(id) == 1 })
		ep.mu.Lock()
		got := ep.calls[len(ep.calls)-1]
		ep.mu.Unlock()
		if got.key != "5c0f6e1a2b3d4c59" || string(got.body) != string(body) || got.timeout == "" {
			t.Errorf("body %d: endpoint received key %q, timeout %q, %d bytes", i, got.key, got.timeout, len(got.body))
		}
	}
}

// If a kind of destination takes several messages in one call, waiting messages must be sent
// as a batch whose body is within the size limit.
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
	waitFor(t, "the calls of the long messages", func() bool { return ep.callCount("long1") == 1 && ep.callCount("long2") == 1 })
	ep.mu.Lock()
	defer ep.mu.Unlock()
	together := false
	for _, c := range ep.calls {
		if len(c.body) > maxBodyBytes {
			t.Errorf("a call has a body of %d bytes, above the limit", len(c.body))
		}
		var items []batchItem
		if json.Unmarshal(c.body, &items) != nil {
			continue
		}
		together = true
		for _, x := range items {
			if string(x.Body) != "body" && len(x.Body) != 40<<10 {
				t.Errorf("the endpoint received %s with the body %q", x.ID, x.Body)
			}
		}
	}
	if !together {
		t.Errorf("%d calls for 7 messages, none of them a batch", len(ep.calls))
	}
}

// The endpoint of a batch hangs. The call must end for all messages of the batch at the first
// of their deadlines, which the endpoint gets as its timeout. A response after that counts
// for no message, and the other messages must still end.
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
		waitFor(t, "the failure notice of "+id, func() bool { n, ok := disc.Notice(id); return ok && n.Outcome == discovery.Failed })
	}
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if len(ep.calls) != 2 {
		t.Fatalf("%d calls, want short and long in one", len(ep.calls))
	}
	if ms, err := strconv.Atoi(ep.calls[1].timeout); err != nil || ms >= 1500 {
		t.Errorf("the endpoint got a timeout of %s ms, want less than the 1500 ms of the first deadline", ep.calls[1].timeout)
	}
}

// On SIGHUP the relay must not end. It must use the discovery address in the changed
// configuration file for the list and the notices, and ignore a file that is invalid.
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
		c.cmd.Process.Signal(syscall.SIGHUP) // repeated, as two signals in quick succession may arrive as one
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
	waitFor(t, "the notice at the new address", func() bool { _, ok := moved.Notice("failed"); return ok })
}

// The relay is killed with SIGKILL. After its restart, a message of the class "once" whose
// attempt has no outcome may have run and must fail with a notice. A keyed one is sent again
// within its window, a rejected one is sent again, and a delivered one is not.
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
	waitFor(t, "the calls", func() bool {
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
	waitFor(t, "the failure notice of the message that may have run", func() bool { n, ok := disc.Notice("stuck"); return ok && n.Outcome == discovery.Failed })
	waitFor(t, "the repeated calls", func() bool { return full.callCount("full") >= 2 && keyed.callCount("keyed") == 2 })
	if n := stuck.callCount("stuck"); n != 1 {
		t.Errorf("the message of the class once was sent %d times", n)
	}
	if n := done.callCount("done"); n != 1 {
		t.Errorf("the delivered message was sent %d times", n)
	}
	keyed.mu.Lock()
	defer keyed.mu.Unlock()
	if got := keyed.calls[1]; string(got.body) != "body of keyed" || got.key != "5c0f6e1a2b3d4c59" {
		t.Errorf("the keyed message was sent again as %+v", got)
	}
}

// Accepted messages that were never sent are read from the log by a relay whose destination
// fails at first. Each must still get a call, although the policy would reject most new
// messages at such a time without one.
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
				t.Fatalf("%s was never sent, but got the notice %s without a call", id, n.Outcome)
			}
			return ep.callCount(id) > 0
		})
	}
}

// A message whose deadline passes while no process runs must get its notice right after the
// restart. A notice that discovery did not accept before the kill must be sent again.
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
	waitFor(t, "the notice record in the log", func() bool {
		return logContains(env["ROUTER_STATE"], wal.KindCompleting, "short")
	})
	c.kill()
	disc.Set(func(d *discoverytest.Server) { d.Answer = http.StatusNoContent })
	startChild(t, env)
	for _, id := range []string{"short", "later"} {
		waitFor(t, "the notice of "+id, func() bool { n, ok := disc.Notice(id); return ok && n.Outcome == discovery.Returned })
	}
	waitFor(t, "the completions in the log", func() bool {
		return logContains(env["ROUTER_STATE"], wal.KindCompleted, "short") && logContains(env["ROUTER_STATE"], wal.KindCompleted, "later")
	})
}

// On SIGTERM, calls in flight must finish, new messages must be refused with BUSY, pending
// messages must stay in the log for the next process, and the exit code must be 0.
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
	if s := cl.put("held", putFields("plain", 20000, 5), nil); s != "+OK" { // destination 5 has no endpoint yet
		t.Fatal(s)
	}
	waitFor(t, "the call", func() bool { return entered.Load() == 1 })
	c.cmd.Process.Signal(syscall.SIGTERM)
	if _, err := cl.in.ReadByte(); err == nil {
		t.Error("the connection of an idle client was not closed")
	}
	late := dialClient(t, env["ROUTER_LISTEN"]) // new connections are accepted for a while
	if s := late.put("late", putFields("plain", 8000, 1), nil); !strings.HasPrefix(s, "-BUSY ") {
		t.Errorf("new message during the shutdown: response %q, want -BUSY with a delay", s)
	}
	close(release)
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if n := slow.callCount("late"); n != 0 {
		t.Error("a refused message was sent")
	}
	other := newFakeEndpoint(t, nil)
	disc.Set(func(d *discoverytest.Server) { d.List.Members = append(d.List.Members, other.member("s-5", 5)) })
	startChild(t, env)
	waitFor(t, "the call of the pending message", func() bool { return other.callCount("held") == 1 })
	if n := slow.callCount("out"); n != 1 {
		t.Errorf("the message of the finished call was sent %d times", n)
	}
	if _, ok := disc.Notice("out"); ok {
		t.Error("a delivered message got a notice")
	}
}

// A request of which only a part has arrived at SIGTERM must be answered, although the relay
// has no other reason to keep running, and its connection must not be reset.
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
		t.Errorf("idle connection: %v, want EOF", err)
	}
	waitFor(t, "the close of the listener", func() bool {
		conn, err := net.Dial("tcp", env["ROUTER_LISTEN"])
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	io.WriteString(half, text[len(text)/2:])
	if s := half.readLine(); s != "-BUSY 400" {
		t.Errorf("response %q, want -BUSY 400", s)
	}
	if _, err := half.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the response: %v, want EOF", err)
	}
	half.Close()
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// SIGTERM before the relay is ready must end it with exit code 0, also if discovery never
// responds and SIGHUP comes between two SIGTERMs.
func TestTerminationBeforeReadyExitsCleanly(t *testing.T) {
	disc := discoverytest.New(t)
	disc.Set(func(d *discoverytest.Server) { d.Silent = true })
	c := spawn(t, writeTestConfig(t, disc, 3))
	waitFor(t, "the first call to discovery", func() bool { disc.Mu.Lock(); defer disc.Mu.Unlock(); return disc.Unheard > 0 })
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		c.cmd.Process.Signal(sig)
	}
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// One list change removes an endpoint and adds it again, or the other way round. The last
// entry must hold.
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
	waitFor(t, "the call of a", func() bool { return first.callCount("a") == 1 })
	say := func(rev int64, members ...discovery.Member) {
		text, err := json.Marshal(discovery.List{Revision: rev, Members: members})
		if err != nil {
			t.Fatal(err)
		}
		disc.Send(t, string(text))
	}
	say(2, gone, back)
	n := 0
	waitFor(t, "a call at the new address", func() bool {
		n++
		id := fmt.Sprintf("b%d", n)
		put(id)
		waitFor(t, "the call of "+id, func() bool { return first.callCount(id)+then.callCount(id) == 1 })
		return then.callCount(id) == 1
	})
	say(3, back, gone)
	waitFor(t, "the removal of the endpoint", func() bool { return c.metric(t, "app_members") == 0 })
	put("c")
	if n := first.callCount("c") + then.callCount("c"); n != 0 {
		t.Errorf("a message was sent to a removed endpoint %d times", n)
	}
	say(4, back)
	waitFor(t, "a call to the endpoint after its return", func() bool { return then.callCount("c") == 1 })
}

// Messages with long bodies fill the disk limit before the limit on their number. Messages
// that do not fit must be refused before the log exceeds the disk limit.
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
			t.Fatalf("the state folder has %d bytes, the limit is 1 MB", size)
		}
	}
	if taken == 0 || refused == 0 {
		t.Errorf("%d messages accepted, %d refused, want some of both", taken, refused)
	}
	_ = c
}

// The relay must follow list changes: an endpoint may move to another address or another
// destination under the same ID, and a draining endpoint must get no new messages.
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
	waitFor(t, "the call of old", func() bool { return before.callCount("old") == 1 })
	m.HostPort = after.addr()
	disc.Send(t, discoverytest.Change(2, m))
	// The list change and the message arrive over different connections, so messages may
	// still go to the old address until the change is in effect.
	waitFor(t, "a call at the new address", func() bool {
		put(fmt.Sprintf("n%d", nextID.Add(1)), 1)
		after.mu.Lock()
		defer after.mu.Unlock()
		return len(after.calls) > 0
	})
	moved := after.member("s-1", 2)
	disc.Send(t, discoverytest.Change(3, moved))
	put("two", 2)
	waitFor(t, "the call to the new destination", func() bool { return after.callCount("two") == 1 })
	put("one", 1) // destination 1 has no endpoint any more
	moved.Phase = discovery.Draining
	disc.Send(t, discoverytest.Change(4, moved))
	fresh := before.member("s-2", 2)
	disc.Send(t, discoverytest.Change(5, fresh))
	put("marker", 2)
	waitFor(t, "the call of marker", func() bool { return before.callCount("marker")+after.callCount("marker") == 1 })
	waitFor(t, "a call at the endpoint that does not drain", func() bool {
		id := fmt.Sprintf("d%d", nextID.Add(1))
		put(id, 2)
		waitFor(t, "the call of "+id, func() bool { return before.callCount(id)+after.callCount(id) == 1 })
		return before.callCount(id) == 1
	})
	for range 5 {
		id := fmt.Sprintf("e%d", nextID.Add(1))
		put(id, 2)
		waitFor(t, "the call of "+id, func() bool { return before.callCount(id)+after.callCount(id) == 1 })
		if after.callCount(id) != 0 {
			t.Error("a draining endpoint got a message")
		}
	}
	if n := before.callCount("one") + after.callCount("one"); n != 0 {
		t.Errorf("a message was sent to an endpoint of another destination %d times", n)
	}
}

// nextID counts up, so that each message ID is new.
var nextID atomic.Int32

// A message that the policy rejects in the same step in which it arrives must be refused
// directly, without a record in the log and without a notice.
func TestImmediateRejectionIsNotLogged(t *testing.T) {
	disc := discoverytest.New(t)
	env := writeTestConfig(t, disc, 3)
	startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("late", putFields("plain", 0, 9), nil); !strings.HasPrefix(s, "-BUSY") {
		t.Fatalf("message without time left: response %s", s)
	}
	refused := 0
	for i := range 150 { // more than the limit on pending messages
		if s := cl.put(fmt.Sprintf("m%d", i), putFields("once", 20000, 9), nil); strings.HasPrefix(s, "-BUSY") {
			refused++
		}
	}
	// Accepted messages that the policy drops to make room end with a notice.
	waitFor(t, "the refusal or notice of the messages above the limit", func() bool {
		disc.Mu.Lock()
		defer disc.Mu.Unlock()
		return refused+len(disc.Notices) >= 50
	})
	if logContains(env["ROUTER_STATE"], wal.KindAccepted, "late") {
		t.Error("the rejected message is in the log")
	}
	if _, ok := disc.Notice("late"); ok {
		t.Error("a message that was never accepted got a notice")
	}
}

// The ID of a pending message that is submitted again must be acknowledged but not accepted
// a second time.
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
	waitFor(t, "the call of the next message", func() bool { return ep.callCount("other") == 1 })
	if n := ep.callCount("m"); n != 1 {
		t.Errorf("the message was sent %d times, want 1", n)
	}
}

// The policy relies on each timer that it requested. A timer that is due within a step, or
// earlier than one that the policy requested later, must not suppress the other: for messages
// to which nothing else happens, the policy would not be woken at their deadlines.
func TestEveryPolicyTimerFires(t *testing.T) {
	r := newTestRelay(t)
	due := r.clock.now() // due since the loop last fired its timers
	r.timers = []policy.Time{due}
	r.admit(&putRequest{class: 0, tenant: 0, record: &wal.Record{ID: "m", Class: "plain", Dest: 7}, receivedAt: time.Now(), timeLeft: 20 * time.Second, responses: make(chan response, 1)})
	r.stepPolicy()
	r.applyAction(due, &policy.Action{Kind: policy.ActionTimer, Delay: 10e6})
	r.applyAction(due+5e6, &policy.Action{Kind: policy.ActionTimer, Delay: 5e6}) // the same time again must not add a timer
	r.applyAction(due, &policy.Action{Kind: policy.ActionTimer, Delay: 5e6})     // an earlier timer must not remove the later one
	for range 3 {                                                                // the loop goes on with no events but those of timers
		if r.fireTimers(); len(r.step.events) > 0 {
			r.stepPolicy()
		}
	}
	if !slices.IsSorted(r.timers) || len(r.timers) != 3 || r.timers[0] != due+5e6 || r.timers[1] != due+10e6 || r.timers[2] <= due+19e6 {
		t.Fatalf("timers %v at %d; the deadline of the message is at %d", r.timers, due, due+20e6)
	}
}

// readClockAhead returns a clock reader whose wall clock is ahead by the given time. With
// reboots, its boot ID differs from that of the machine, as if the machine was rebooted
// before the next process.
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

// The wall clock is set back by an hour between two runs. Deadlines must pass neither at once
// nor an hour late, for the pending messages and for new ones.
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
				t.Errorf("rebooted %v: %s: %d µs left, want 15 to 21 s", boots, what, left)
			}
		}
		near("pending message", r.step.events[len(r.step.events)-1].TimeLeft)
		r.admit(&putRequest{class: 0, tenant: 0, record: &wal.Record{ID: "new", Class: "plain", Dest: 7}, receivedAt: time.Now(), timeLeft: 20 * time.Second, responses: make(chan response, 1)})
		near("new message", r.step.events[len(r.step.events)-1].TimeLeft)
		near("new message, by its log record", r.clock.fromLogTime(r.messages.byID["new"].record.Deadline)-r.clock.now())
	}
}

// As above, with an attempt that may have run. If the machine was rebooted and the clock was
// set back, it is not known how long no process ran, so the deduplication window must count
// as over. Without a reboot the time is known, whatever the clock was set to.
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
			t.Errorf("set back by %v, rebooted %v: attempt counts as %d µs old, with a window of %d µs", x.by, x.boots, r.clock.now()-e.UnknownOutcomeAt, r.cfg.Policy.Classes[e.Class].DedupWindow)
		}
	}
}
