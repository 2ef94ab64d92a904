package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
	"plovershore/internal/loopback"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// says reports whether a relay's own address says that it can serve.
func (c *child) readyzIs(yes bool) bool {
	resp, err := http.Get("http://" + c.env["ROUTER_OPERATOR"] + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return (resp.StatusCode == http.StatusOK) == yes
}

// figure reads one of a relay's figures.
func (c *child) metric(t *testing.T, name string) int {
	t.Helper()
	_, text := callOperator(t, c.env["ROUTER_OPERATOR"], "GET", "/v1/metrics")
	for s := bufio.NewScanner(strings.NewReader(text)); s.Scan(); {
		if v, ok := strings.CutPrefix(s.Text(), name+" "); ok {
			n, err := strconv.Atoi(v)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	t.Fatalf("no figure %s", name)
	return 0
}

// upgrade is two processes of one relay, with destinations for what there is
// to pass on.
type upgradeTest struct {
	t           *testing.T
	env         map[string]string
	disc        *discoverytest.Server
	old, new    *child
	oldClient   *testClient // of the old one
	quick       *fakeEndpoint
	slow        *fakeEndpoint // answers on release
	rejecting   *fakeEndpoint // told to wait, for long
	listedLater *fakeEndpoint // not on the list at first
	release     chan struct{}
	slowCalls   atomic.Int32
	slowRejects atomic.Bool // the slow one then tells to wait
}

// startUpgradeTest runs the old process, with an unsafe and a keyed call out, a
// message that was told to wait and one that nobody serves yet.
func startUpgradeTest(t *testing.T) *upgradeTest { return startUpgradeTestWithEnv(t, nil) }

// startUpgradeTestWithEnv is the same with more in the environment of all processes.
func startUpgradeTestWithEnv(t *testing.T, more map[string]string) *upgradeTest {
	u := &upgradeTest{t: t, release: make(chan struct{}), quick: newFakeEndpoint(t, nil), listedLater: newFakeEndpoint(t, nil)}
	u.slow = newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		u.slowCalls.Add(1)
		select {
		case <-u.release:
			if u.slowRejects.Load() {
				w.Header().Set("Retry-After", "3600")
				w.WriteHeader(http.StatusTooManyRequests)
			}
		case <-r.Context().Done():
		}
	})
	u.rejecting = newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Retry-After", "3600")
		w.WriteHeader(http.StatusTooManyRequests)
	})
	u.disc = discoverytest.New(t, u.quick.member("s-1", 1), u.slow.member("s-2", 2), u.rejecting.member("s-3", 3), u.slow.member("s-6", 6))
	u.env = writeTestConfig(t, u.disc, 3)
	u.env["ROUTER_OPERATOR"] = loopback.Free()
	maps.Copy(u.env, more)
	u.old = startChild(t, u.env)
	u.oldClient = dialClient(t, u.env["ROUTER_LISTEN"])
	for id, f := range map[string]string{"out": putFields("once", 20000, 2), "keyed": putFields("keyed", 20000, 6),
		"waits": putFields("once", 20000, 3), "held": putFields("once", 20000, 5)} {
		u.put(u.oldClient, id, f)
	}
	waitFor(t, "the calls", func() bool { return u.slowCalls.Load() == 2 && u.rejecting.callCount("waits") == 1 })
	waitFor(t, "the outcome in the log", func() bool { return logContains(u.env["ROUTER_STATE"], wal.KindOutcome, "waits") })
	return u
}

func (u *upgradeTest) put(cl *testClient, id, f string) {
	u.t.Helper()
	if s := cl.put(id, f, nil); s != "+OK" {
		u.t.Fatalf("%s: %s", id, s)
	}
}

func (u *upgradeTest) startNew() {
	env := maps.Clone(u.env)
	env["ROUTER_OPERATOR"] = loopback.Free()
	u.new = spawn(u.t, env)
	waitFor(u.t, "a yes of the new process", func() bool { return u.new.readyzIs(true) })
}

func (u *upgradeTest) waitDelivered(e *fakeEndpoint, ids ...string) {
	u.t.Helper()
	for _, id := range ids {
		waitFor(u.t, id, func() bool { return e.callCount(id) > 0 })
	}
}

// once checks that nothing went out twice, or was ended by a notice.
func (u *upgradeTest) checkSentOnce(ids ...string) {
	u.t.Helper()
	for _, id := range ids {
		n := 0
		for _, e := range []*fakeEndpoint{u.quick, u.slow, u.rejecting, u.listedLater} {
			n += e.callCount(id)
		}
		if _, ended := u.disc.Notice(id); n != 1 || ended {
			u.t.Errorf("%s went out %d times; ended by a notice: %v", id, n, ended)
		}
	}
}

// show5 puts an endpoint on the list that serves destination 5.
func (u *upgradeTest) listEndpoint5() {
	u.disc.Set(func(d *discoverytest.Server) {
		for _, lines := range d.Lines {
			select {
			case lines <- discoverytest.Change(2, u.listedLater.member("s-5", 5)):
			default:
			}
		}
		d.List.Members = append(d.List.Members, u.listedLater.member("s-5", 5))
	})
}

// Two processes are one relay: what the old one holds is delivered by the new
// one, what it has out ends there and nowhere else, a told wait binds both, its
// clients are served until it goes, and an id is taken on once.
func TestUpgradeSharesMessagesBetweenProcesses(t *testing.T) {
	u := startUpgradeTest(t)
	u.startNew()
	// Two are held and two are out: each is one process's, so that the sum is right.
	waitFor(t, "the figures", func() bool {
		return u.old.metric(t, "app_pending") == 2 && u.new.metric(t, "app_pending") == 2
	})
	u.put(u.oldClient, "late", putFields("once", 20000, 1)) // taken on by the old one, sent by the new
	u.waitDelivered(u.quick, "late")
	u.put(u.oldClient, "late5", putFields("once", 20000, 5))
	u.put(u.oldClient, "waits2", putFields("once", 20000, 3))
	// Any connection may be the new process's: an id that the old one took on is known there.
	for range 8 {
		u.put(dialClient(t, u.env["ROUTER_LISTEN"]), "late5", putFields("once", 20000, 5))
	}
	u.listEndpoint5()
	u.waitDelivered(u.listedLater, "held", "late5")
	close(u.release)
	waitFor(t, "the end of the calls", func() bool { return u.old.metric(t, "app_pending") == 0 })
	u.old.cmd.Process.Signal(syscall.SIGTERM)
	if _, err := u.oldClient.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("a connection of the old process: %v", err)
	}
	if err := u.old.cmd.Wait(); err != nil {
		t.Errorf("exit of the old process: %v", err)
	}
	cl := dialClient(t, u.env["ROUTER_LISTEN"])
	u.put(cl, "after", putFields("once", 20000, 1))
	u.waitDelivered(u.quick, "after")
	waitFor(t, "the end of the side log", func() bool {
		_, err := os.Stat(filepath.Join(u.env["ROUTER_STATE"], wal.HandoffName))
		return errors.Is(err, os.ErrNotExist)
	})
	u.checkSentOnce("out", "keyed", "late", "held", "late5", "after")
	if n := u.rejecting.callCount("waits") + u.rejecting.callCount("waits2"); n != 1 {
		t.Errorf("%d calls against a told wait", n)
	}
	// What it delivered itself; it counts a call later than the endpoint does.
	waitFor(t, "4 that the new process counts as delivered", func() bool { return u.new.metric(t, `app_completed{lane="once"}`) >= 4 })
	if n := u.new.metric(t, `app_completed{lane="once"}`); n != 4 {
		t.Errorf("the new process counts %d delivered", n)
	}
}

// A told wait that the old process hears of after it has passed on binds the
// new one, too.
func TestUpgradeHandsOverLateRetryAfter(t *testing.T) {
	u := startUpgradeTest(t)
	u.startNew()
	avoided := u.new.metric(t, "app_members_unavailable")
	u.slowRejects.Store(true)
	close(u.release)
	waitFor(t, "the wait", func() bool { return u.new.metric(t, "app_members_unavailable") == avoided+2 })
	u.put(u.oldClient, "next", putFields("once", 20000, 2))
	u.put(u.oldClient, "mark", putFields("once", 20000, 1))
	u.waitDelivered(u.quick, "mark")
	if n := u.slow.callCount("next"); n != 0 {
		t.Errorf("%d calls against a told wait", n)
	}
	u.checkSentOnce("out", "keyed")
}

// Killed with its calls out, the old process leaves them in doubt: the unsafe
// one fails, the keyed one goes out again, and what it took on late is kept.
func TestUpgradeSurvivesKillOfOldProcess(t *testing.T) {
	u := startUpgradeTest(t)
	u.startNew()
	u.put(u.oldClient, "late", putFields("once", 20000, 5))
	u.old.kill()
	u.slow.setAnswer(nil)
	waitFor(t, "notice of the unsafe one", func() bool { n, ok := u.disc.Notice("out"); return ok && n.Outcome == discovery.Failed })
	waitFor(t, "the keyed one", func() bool { return u.slow.callCount("keyed") == 2 })
	u.listEndpoint5()
	u.waitDelivered(u.listedLater, "held", "late")
	u.checkSentOnce("held", "late")
	if n := u.slow.callCount("out"); n != 1 {
		t.Errorf("the unsafe message went out %d times", n)
	}
}

// Killed after it took over, the new process leaves a relay that goes on: the
// old one takes all back, with what it took on itself meanwhile.
func TestUpgradeSurvivesKillOfNewProcess(t *testing.T) {
	u := startUpgradeTest(t)
	u.startNew()
	u.put(u.oldClient, "late", putFields("once", 20000, 5))
	u.new.kill()
	u.slow.setAnswer(nil)
	waitFor(t, "notice of the unsafe one", func() bool { n, ok := u.disc.Notice("out"); return ok && n.Outcome == discovery.Failed })
	u.listEndpoint5()
	u.waitDelivered(u.listedLater, "held", "late")
	u.put(u.oldClient, "more", putFields("once", 20000, 1))
	u.waitDelivered(u.quick, "more")
	u.checkSentOnce("held", "late", "more")
	// And it can be upgraded again.
	u.startNew()
	u.put(u.oldClient, "last", putFields("once", 20000, 1))
	u.waitDelivered(u.quick, "last")
	u.checkSentOnce("last")
}

// Both killed, the next process finds everything in the two logs.
func TestUpgradeSurvivesKillOfBothProcesses(t *testing.T) {
	u := startUpgradeTest(t)
	u.startNew()
	u.put(u.oldClient, "late", putFields("once", 20000, 5))
	u.new.kill()
	u.old.kill()
	u.slow.setAnswer(nil)
	startChild(t, u.env)
	u.listEndpoint5()
	u.waitDelivered(u.listedLater, "held", "late")
	waitFor(t, "notice of the unsafe one", func() bool { _, ok := u.disc.Notice("out"); return ok })
	u.checkSentOnce("held", "late")
}

// A process that waits to take over says no; its death changes nothing, and one
// that is told to stop ends.
func TestWaitingSuccessorIsNotReady(t *testing.T) {
	env := writeTestConfig(t, discoverytest.New(t), 3)
	lock, err := wal.OpenLock(env["ROUTER_STATE"], wal.LockName)
	if err != nil {
		t.Fatal(err)
	}
	defer lock.Close()
	if got, err := lock.TryLock(); !got {
		t.Fatal(err)
	}
	next, err := wal.OpenLock(env["ROUTER_STATE"], wal.SuccessorLockName)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	wished := func(want bool) func() bool {
		return func() bool {
			got, err := next.HeldByOther()
			if err != nil {
				t.Fatal(err)
			}
			return got == want
		}
	}
	env["ROUTER_OPERATOR"] = loopback.Free()
	first := spawn(t, env)
	waitFor(t, "the wish", wished(true))
	if !first.readyzIs(false) {
		t.Error("says yes without the lock")
	}
	first.kill()
	waitFor(t, "the end of the wish", wished(false))
	second := spawn(t, env)
	waitFor(t, "the wish", wished(true))
	second.cmd.Process.Signal(syscall.SIGTERM)
	if err := second.cmd.Wait(); err != nil {
		t.Errorf("told to stop: %v", err)
	}
}

// Guards the clients of a listener that closes: what waits there is taken in.
func TestClosedListenerServesBacklog(t *testing.T) {
	ln, err := listenReusePort(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClientServer(parseTestConfig(t), discardLog(), accept, func(*putRequest, bool) {})
	var waiting []*testClient
	for range 20 { // nobody accepts yet
		waiting = append(waiting, dialClient(t, ln.Addr().String()))
	}
	c.stopListening(ln)
	if err := c.serve(ln); err != nil {
		t.Fatal(err)
	}
	for i, cl := range waiting {
		if s := cl.put(fmt.Sprintf("m%d", i), putFields("plain", 8000, 1), nil); s != "+OK" {
			t.Errorf("%d: %s", i, s)
		}
	}
	if _, err := net.DialTimeout("tcp", ln.Addr().String(), time.Second); err == nil {
		t.Error("still listens")
	}
}

// Guards what drains while a process waits to take over: it is known before
// anything is sent, and what came besides is kept for the loop.
func TestWaitingSuccessorAppliesListUpdates(t *testing.T) {
	r := newTestRelay(t)
	m := discovery.Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up}
	r.mailbox.Put(listEvent{&discovery.List{Complete: true, Members: []discovery.Member{m}}})
	if !r.takeListUpdates() || r.endpoints.byID["s-1"].isStopped {
		t.Fatal("the first list")
	}
	m.Phase = discovery.Draining
	r.mailbox.Put(operatorEvent{policy.EventDrain})
	r.mailbox.Put(listEvent{&discovery.List{Members: []discovery.Member{m}}})
	r.takeListUpdates()
	if !r.endpoints.byID["s-1"].isStopped || len(r.deferredEvents) != 1 || r.deferredEvents[0] != event(operatorEvent{policy.EventDrain}) {
		t.Errorf("gone %v, kept %d", r.endpoints.byID["s-1"].isStopped, len(r.deferredEvents))
	}
}

// Hard case: the owner stands still (SIGSTOP). The next process waits and writes
// nothing; once the owner goes on it passes on, and once one is killed the other
// has the log. There is one writer at any time.
func TestSuccessorWaitsForStoppedOwner(t *testing.T) {
	env := writeTestConfig(t, discoverytest.New(t), 3)
	env["ROUTER_OPERATOR"] = loopback.Free()
	owner := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("held", putFields("plain", 20000, 9), nil); s != "+OK" {
		t.Fatal(s)
	}
	owner.cmd.Process.Signal(syscall.SIGSTOP)
	env["ROUTER_OPERATOR"] = loopback.Free()
	next := spawn(t, env)
	wish, err := wal.OpenLock(env["ROUTER_STATE"], wal.SuccessorLockName)
	if err != nil {
		t.Fatal(err)
	}
	defer wish.Close()
	waitFor(t, "the wish", func() bool { held, err := wish.HeldByOther(); return held && err == nil })
	before, err := wal.Inspect(nil, env["ROUTER_STATE"])
	if err != nil {
		t.Fatal(err)
	}
	if !next.readyzIs(false) {
		t.Error("the next process says yes while the owner stands still")
	}
	if after, err := wal.Inspect(nil, env["ROUTER_STATE"]); err != nil || after.Seq != before.Seq || after.Process != before.Process {
		t.Errorf("written by another: %+v, then %+v, %v", before, after, err)
	}
	owner.cmd.Process.Signal(syscall.SIGCONT)
	waitFor(t, "the next one says yes", func() bool { return next.readyzIs(true) })
	owner.kill()
	next.kill()
	env["ROUTER_OPERATOR"] = loopback.Free()
	startChild(t, env)
	if r, err := wal.Inspect(nil, env["ROUTER_STATE"]); err != nil || r.Pending != 1 || !r.Sound() {
		t.Errorf("%+v, %v", r, err)
	}
}
