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
		waitFor(t, "the call", func() bool { return ep.callCount(id) == 1 })
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
func TestWaitingMessagesAreSentAsBatchWithinSizeLimit(t *testing.T) {
	releaseFirst := make(chan struct{})
	ep := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			<-releaseFirst
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
	close(releaseFirst)
	waitFor(t, "the calls of the long messages", func() bool { return ep.callCount("long1") == 1 && ep.callCount("long2") == 1 })
	ep.mu.Lock()
	defer ep.mu.Unlock()
	hasBatch := false
	for _, c := range ep.calls {
		if len(c.body) > maxBodyBytes {
			t.Errorf("a call has a body of %d bytes, above the limit", len(c.body))
		}
		var items []batchItem
		if json.Unmarshal(c.body, &items) != nil {
			continue
		}
		hasBatch = true
		for _, item := range items {
			if string(item.Body) != "body" && len(item.Body) != 40<<10 {
				t.Errorf("the endpoint received %s with the body %q", item.ID, item.Body)
			}
		}
	}
	if !hasBatch {
		t.Errorf("%d calls for 7 messages, none of them a batch", len(ep.calls))
	}
}

// The endpoint of a batch hangs. The call must end for all messages of the batch at the first
// of their deadlines, which the endpoint gets as its timeout. A response after that counts
// for no message, and the other messages must still end.
func TestBatchTimesOutAtFirstDeadline(t *testing.T) {
	releaseFirst := make(chan struct{})
	disc := discoverytest.New(t)
	ep := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			<-releaseFirst
			return
		}
		for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if _, hasNotice := disc.Notice("short"); hasNotice {
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
	close(releaseFirst)
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
	failing := newFakeEndpoint(t, answerStatus(http.StatusInternalServerError))
	oldDiscovery, newDiscovery := discoverytest.New(t, failing.member("s-1", 1)), discoverytest.New(t, failing.member("s-1", 1), ep.member("s-2", 2))
	env := writeTestConfig(t, oldDiscovery, 3)
	c := startChild(t, env)
	waitFor(t, "the first watch", func() bool {
		oldDiscovery.Mu.Lock()
		defer oldDiscovery.Mu.Unlock()
		return len(oldDiscovery.Froms) == 1
	})
	validConfig, err := os.ReadFile(env["ROUTER_CONFIG"])
	if err != nil {
		t.Fatal(err)
	}
	for _, invalidConfig := range []string{`{"disc`, `{"discovery":"nowhere"}`} {
		if err := os.WriteFile(env["ROUTER_CONFIG"], []byte(invalidConfig), 0o600); err != nil {
			t.Fatal(err)
		}
		c.cmd.Process.Signal(syscall.SIGHUP)
		c.waitReady(t)
	}
	text := strings.Replace(string(validConfig), oldDiscovery.Addr(), newDiscovery.Addr(), 1)
	if err := os.WriteFile(env["ROUTER_CONFIG"], []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the watch at the new address", func() bool {
		c.cmd.Process.Signal(syscall.SIGHUP) // repeated, as two signals in quick succession may arrive as one
		newDiscovery.Mu.Lock()
		defer newDiscovery.Mu.Unlock()
		return len(newDiscovery.Froms) > 0
	})
	newDiscovery.Send(t, discoverytest.Change(2, ep.member("s-2", 2)))
	cl := dialClient(t, env["ROUTER_LISTEN"])
	for id, f := range map[string]string{"sent": putFields("once", 20000, 2), "failed": putFields("once", 20000, 1)} {
		if s := cl.put(id, f, nil); s != "+OK" {
			t.Fatal(s)
		}
	}
	waitFor(t, "the call", func() bool { return ep.callCount("sent") == 1 })
	waitFor(t, "the notice at the new address", func() bool { _, ok := newDiscovery.Notice("failed"); return ok })
}

// The relay is killed with SIGKILL. After its restart, a message of the class "once" whose
// attempt has no outcome may have run and must fail with a notice. A keyed one is sent again
// within its window, a rejected one is sent again, and a delivered one is not.
func TestAcceptedMessagesSurviveKill(t *testing.T) {
	delivering := newFakeEndpoint(t, nil)
	hanging := newFakeEndpoint(t, hang)
	rejecting := newFakeEndpoint(t, answerStatus(http.StatusServiceUnavailable))
	keyedEndpoint := newFakeEndpoint(t, hang)
	disc := discoverytest.New(t, delivering.member("s-1", 1), hanging.member("s-2", 2), rejecting.member("s-3", 3), keyedEndpoint.member("s-4", 4))
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
		return delivering.callCount("done") == 1 && hanging.callCount("stuck") == 1 && rejecting.callCount("full") >= 1 && keyedEndpoint.callCount("keyed") == 1
	})
	waitFor(t, "the outcomes in the log", func() bool {
		return logContains(env["ROUTER_STATE"], wal.KindCompleted, "done") && logContains(env["ROUTER_STATE"], wal.KindOutcome, "full")
	})
	c.kill()
	for _, e := range []*fakeEndpoint{hanging, rejecting, keyedEndpoint} {
		e.setAnswer(nil)
	}
	startChild(t, env)
	waitFor(t, "the failure notice of the message that may have run", func() bool { n, ok := disc.Notice("stuck"); return ok && n.Outcome == discovery.Failed })
	waitFor(t, "the repeated calls", func() bool { return rejecting.callCount("full") >= 2 && keyedEndpoint.callCount("keyed") == 2 })
	if n := hanging.callCount("stuck"); n != 1 {
		t.Errorf("the message of the class once was sent %d times", n)
	}
	if n := delivering.callCount("done"); n != 1 {
		t.Errorf("the delivered message was sent %d times", n)
	}
	keyedEndpoint.mu.Lock()
	defer keyedEndpoint.mu.Unlock()
	if got := keyedEndpoint.calls[1]; string(got.body) != "body of keyed" || got.key != "5c0f6e1a2b3d4c59" {
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

// The relay is killed after the deadline of one message, whose notice discovery did not accept,
// and before the deadline of another. After the restart, that notice must be sent again, and
// the other message must get its notice, too.
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
	release, slowCalls := make(chan struct{}), atomic.Int32{}
	slow := newFakeEndpoint(t, func(_ http.ResponseWriter, r *http.Request, _ int) {
		slowCalls.Add(1)
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
	waitFor(t, "the call", func() bool { return slowCalls.Load() == 1 })
	c.cmd.Process.Signal(syscall.SIGTERM)
	if _, err := cl.in.ReadByte(); err == nil {
		t.Error("the connection of an idle client was not closed")
	}
	lateClient := dialClient(t, env["ROUTER_LISTEN"]) // new connections are accepted for a while
	if s := lateClient.put("late", putFields("plain", 8000, 1), nil); !strings.HasPrefix(s, "-BUSY ") {
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
	half, idle := dialClient(t, env["ROUTER_LISTEN"]), dialClient(t, env["ROUTER_LISTEN"])
	for _, cl := range []*testClient{half, idle} {
		io.WriteString(cl, "*1\r\n$4\r\nPING\r\n")
		if s := cl.readLine(); s != "+PONG" {
			t.Fatal(s)
		}
	}
	text := putCommand("m", putFields("plain", 8000, 7), []byte("body"))
	io.WriteString(half, text[:len(text)/2])
	c.cmd.Process.Signal(syscall.SIGTERM)
	if _, err := idle.in.ReadByte(); !errors.Is(err, io.EOF) {
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
	oldEndpoint, newEndpoint := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	m := oldEndpoint.member("s-1", 1)
	removed, returned := m, newEndpoint.member("s-1", 1)
	removed.Phase = discovery.Removed
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
	waitFor(t, "the call of a", func() bool { return oldEndpoint.callCount("a") == 1 })
	sendChange := func(rev int64, members ...discovery.Member) {
		text, err := json.Marshal(discovery.List{Revision: rev, Members: members})
		if err != nil {
			t.Fatal(err)
		}
		disc.Send(t, string(text))
	}
	sendChange(2, removed, returned)
	n := 0
	waitFor(t, "a call at the new address", func() bool {
		n++
		id := fmt.Sprintf("b%d", n)
		put(id)
		waitFor(t, id, func() bool { return oldEndpoint.callCount(id)+newEndpoint.callCount(id) == 1 })
		return newEndpoint.callCount(id) == 1
	})
	sendChange(3, returned, removed)
	waitFor(t, "the removal of the endpoint", func() bool { return c.metric(t, "app_members") == 0 })
	put("c")
	if n := oldEndpoint.callCount("c") + newEndpoint.callCount("c"); n != 0 {
		t.Errorf("a message was sent to a removed endpoint %d times", n)
	}
	sendChange(4, returned)
	waitFor(t, "a call to the endpoint after its return", func() bool { return newEndpoint.callCount("c") == 1 })
}

// Messages with long bodies fill the disk limit before the limit on their number. Messages
// that do not fit must be refused before the log exceeds the disk limit. The size check does
// not look into the folder of the log.
func TestLogStaysWithinDiskLimit(t *testing.T) {
	env := writeTestConfig(t, discoverytest.New(t), 1)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	body := []byte(strings.Repeat("b", maxBodyBytes))
	accepted, refused := 0, 0
	for i := range 40 {
		switch s := cl.put(fmt.Sprintf("m%d", i), putFields("plain", 20000, 9), body); {
		case s == "+OK":
			accepted++
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
	if accepted == 0 || refused == 0 {
		t.Errorf("%d messages accepted, %d refused, want some of both", accepted, refused)
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
		waitFor(t, id, func() bool { return before.callCount(id)+after.callCount(id) == 1 })
		return before.callCount(id) == 1
	})
	for range 5 {
		id := fmt.Sprintf("e%d", nextID.Add(1))
		put(id, 2)
		waitFor(t, id, func() bool { return before.callCount(id)+after.callCount(id) == 1 })
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

// The policy relies on each timer that it requested. Neither a timer that falls due within a
// step nor one that is due earlier may suppress another: the policy would not be woken at the
// deadlines of messages to which nothing else happens.
func TestEveryPolicyTimerFires(t *testing.T) {
	r := newTestRelay(t)
	firstDue := r.clock.now() // due since the loop last fired its timers
	r.timers = []policy.Time{firstDue}
	r.admit(&putRequest{class: 0, tenant: 0, record: &wal.Record{ID: "m", Class: "plain", Dest: 7}, receivedAt: time.Now(), timeLeft: 20 * time.Second, responses: make(chan response, 1)})
	r.stepPolicy()
	r.applyAction(firstDue, &policy.Action{Kind: policy.ActionTimer, Delay: 10e6})
	r.applyAction(firstDue+5e6, &policy.Action{Kind: policy.ActionTimer, Delay: 5e6}) // the same time again must not add a timer
	r.applyAction(firstDue, &policy.Action{Kind: policy.ActionTimer, Delay: 5e6})     // an earlier timer must not remove the later one
	for range 3 {                                                                     // the loop goes on with no events but those of timers
		if r.fireTimers(); len(r.step.events) > 0 {
			r.stepPolicy()
		}
	}
	if !slices.IsSorted(r.timers) || len(r.timers) != 3 || r.timers[0] != firstDue+5e6 || r.timers[1] != firstDue+10e6 || r.timers[2] <= firstDue+19e6 {
		t.Fatalf("timers %v at %d; the deadline of the message is at %d", r.timers, firstDue, firstDue+20e6)
	}
}

// readClockAhead returns a clock reader whose wall clock is ahead by the given time. With
// reboots, its boot ID differs from that of the machine, as if the machine was rebooted
// before the next process.
func readClockAhead(ahead time.Duration, reboots bool) func() clock.Reading {
	return func() clock.Reading {
		r := clock.Read()
		r.Wall += ahead.Microseconds()
		if reboots {
			r.Boot = clock.Boot{1}
		}
		return r
	}
}

// The wall clock is set back by an hour between two runs. Deadlines must pass neither at once
// nor an hour late, for the pending messages and for new ones.
func TestDeadlinesHoldWhenClockIsSetBackBetweenRuns(t *testing.T) {
	for _, reboots := range []bool{false, true} {
		r := newTestRelay(t)
		r.cfg.StateDir = t.TempDir()
		w, err := wal.Open(wal.Options{Dir: r.cfg.StateDir, Limit: 3 << 20, Clock: readClockAhead(time.Hour, reboots)})
		if err != nil {
			t.Fatal(err)
		}
		stop, logged := make(chan struct{}), make(chan error)
		go w.Run(stop)
		w.Submit(&wal.Record{Kind: wal.KindAccepted, ID: "m", Class: "plain", Dest: 7, Deadline: w.Time() + 20e6}, func(err error) { logged <- err })
		if err := <-logged; err != nil {
			t.Fatal(err)
		}
		close(stop)
		<-w.Done()
		if _, err := r.openLog(); err != nil {
			t.Fatal(err)
		}
		defer r.closeLog()
		checkTimeLeft := func(what string, timeLeft policy.Time) {
			if timeLeft < 15e6 || timeLeft > 21e6 {
				t.Errorf("rebooted %v: %s: %d µs left, want 15 to 21 s", reboots, what, timeLeft)
			}
		}
		checkTimeLeft("pending message", r.step.events[len(r.step.events)-1].TimeLeft)
		r.admit(&putRequest{class: 0, tenant: 0, record: &wal.Record{ID: "new", Class: "plain", Dest: 7}, receivedAt: time.Now(), timeLeft: 20 * time.Second, responses: make(chan response, 1)})
		checkTimeLeft("new message", r.step.events[len(r.step.events)-1].TimeLeft)
		checkTimeLeft("new message, by its log record", r.clock.fromLogTime(r.messages.byID["new"].record.Deadline)-r.clock.now())
	}
}

// The wall clock may be set back between two runs, and a message has an attempt that may have
// run. If the machine was rebooted and the clock was set back, it is not known how long no
// process ran, so the deduplication window must count as over. Without a reboot the time is
// known, whatever the clock was set to.
func TestRebootWithClockSetBackEndsDedupWindow(t *testing.T) {
	for _, test := range []struct {
		ahead   time.Duration
		reboots bool
	}{{0, false}, {0, true}, {time.Hour, false}, {time.Hour, true}} {
		r := newTestRelay(t)
		r.cfg.StateDir = t.TempDir()
		w, err := wal.Open(wal.Options{Dir: r.cfg.StateDir, Limit: 3 << 20, Clock: readClockAhead(test.ahead, test.reboots)})
		if err != nil {
			t.Fatal(err)
		}
		stop, logged := make(chan struct{}), make(chan error)
		go w.Run(stop)
		w.Submit(&wal.Record{Kind: wal.KindAccepted, ID: "m", Class: "keyed", Key: "k", Dest: 7, Deadline: w.Time() + 20e6}, nil)
		w.Submit(&wal.Record{Kind: wal.KindAttempt, ID: "m", At: w.Time(), Endpoint: "s-1", Process: w.Process}, func(err error) { logged <- err })
		if err := <-logged; err != nil {
			t.Fatal(err)
		}
		close(stop)
		<-w.Done()
		if _, err := r.openLog(); err != nil {
			t.Fatal(err)
		}
		defer r.closeLog()
		e := &r.step.events[len(r.step.events)-1]
		isWindowOver := r.clock.now()-e.UnknownOutcomeAt > r.cfg.Policy.Classes[e.Class].DedupWindow
		if e.UnknownOutcomeAt == 0 || isWindowOver != (test.ahead > 0 && test.reboots) {
			t.Errorf("set back by %v, rebooted %v: attempt counts as %d µs old, with a window of %d µs", test.ahead, test.reboots, r.clock.now()-e.UnknownOutcomeAt, r.cfg.Policy.Classes[e.Class].DedupWindow)
		}
	}
}
