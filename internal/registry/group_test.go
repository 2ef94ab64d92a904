package registry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"plovershore/internal/discovery"
	"plovershore/internal/loopback"
)

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

// group is some nodes in this process, each with its own store and sockets.
type group struct {
	t     *testing.T
	cfgs  []*Config
	nodes []*Node
	mu    sync.Mutex // of nodes, for calls of apply beside start and stop
}

func startGroup(t *testing.T, size int) *group { return startTuned(t, size, func(*Config) {}) }

func startTuned(t *testing.T, size int, tune func(*Config)) *group {
	t.Helper()
	g := &group{t: t}
	var peers []Peer
	for i := range size {
		peers = append(peers, Peer{fmt.Sprint("r", i+1), loopback.Free(), loopback.Free()})
	}
	for _, p := range peers {
		c := DefaultConfig()
		c.ID, c.DataDir, c.Listen, c.Raft, c.Peers = p.ID, filepath.Join(t.TempDir(), "data"), p.HTTP, p.Raft, peers
		if err := c.validate(); err != nil {
			t.Fatal(err)
		}
		tune(&c)
		g.cfgs = append(g.cfgs, &c)
		g.nodes = append(g.nodes, nil)
	}
	for i := range size {
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range g.nodes {
			g.stop(i)
		}
	})
	g.leader()
	return g
}

func (g *group) start(i int) {
	g.t.Helper()
	n, err := Start(g.cfgs[i], quiet())
	if err != nil {
		g.t.Fatal(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nodes[i] = n
}

func (g *group) stop(i int) {
	g.mu.Lock()
	n := g.nodes[i]
	g.nodes[i] = nil
	g.mu.Unlock()
	if n != nil {
		n.Close()
	}
}

// apply has the group take a command as a client does: one whose node is not the
// leader any more is asked again under the same request, at the node that is. On a
// busy machine a leader that is not scheduled for its lease loses the lead. Any
// other error is the caller's, such as a command that raft did not take up in time.
func (g *group) apply(c Command) (r Result, retries int, err error) {
	for end := time.Now().Add(30 * time.Second); ; retries++ {
		err = ErrNoLeader
		if n := g.leaderNow(); n != nil {
			r, err = n.apply(c)
			if err == nil {
				return r, retries, nil
			}
			if !errors.Is(err, raft.ErrNotLeader) && !errors.Is(err, raft.ErrLeadershipLost) && !errors.Is(err, raft.ErrRaftShutdown) {
				return r, retries, err
			}
		}
		if time.Now().After(end) {
			return r, retries, err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// leaderNow is the node that believes to lead, nil for none.
func (g *group) leaderNow() *Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.nodes {
		if n == nil {
			continue
		}
		if _, self := n.leader(); self {
			return n
		}
	}
	return nil
}

// leader waits for one that has begun.
func (g *group) leader() (at int) {
	g.t.Helper()
	waitFor(g.t, "a leader", func() bool {
		for i, n := range g.nodes {
			if n == nil {
				continue
			}
			if _, self := n.leader(); self {
				_, epoch, _ := n.store.members()
				at = i
				return epoch != ""
			}
		}
		return false
	})
	return at
}

func ask(t *testing.T, node *Node, method, path, request, body string) (int, http.Header, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node.Addr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(RequestHeader, request)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(text)
}

// caughtUp is the leader, once it has applied every command answered before.
func (g *group) caughtUp() (n *Node) {
	g.t.Helper()
	waitFor(g.t, "a leader that is up to date", func() bool {
		n = g.leaderNow()
		return n != nil && n.catchUp() == nil
	})
	return n
}

// ask puts a call to the leader, and as a client asks again where that has lost
// the lead meanwhile.
func (g *group) ask(method, path, request, body string) (status int, header http.Header, text string) {
	g.t.Helper()
	waitFor(g.t, "an answer other than 503", func() bool {
		if n := g.leaderNow(); n != nil {
			status, header, text = ask(g.t, n, method, path, request, body)
		}
		return status != 0 && status != http.StatusServiceUnavailable
	})
	return status, header, text
}

const anEndpoint = `{"id":"s-1","address":"127.0.0.1:99","zone":"a","flavor":"agent","cell":3}`

// TestARetryAfterTheLeaderIsKilled: hard case 1. The write is taken, its
// answer lost with the leader; the retry at another node changes nothing and
// gets the first answer.
func TestARetryAfterTheLeaderIsKilled(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	first, _, err := g.apply(Command{Request: "q-1", Op: OpAdd, Member: endpoint("s-1", "127.0.0.1:99")})
	if err != nil {
		t.Fatal(err)
	}
	g.stop(g.leader())
	again, _, err := g.apply(Command{Request: "q-1", Op: OpAdd, Member: endpoint("s-1", "127.0.0.1:99")})
	if err != nil || again != first {
		t.Errorf("first %+v, then %+v, %v", first, again, err)
	}
	if _, _, revision := g.caughtUp().store.members(); revision != first.Revision {
		t.Errorf("revision %d after %d", revision, first.Revision)
	}
}

// TestANodeInTheMinority: hard case 2.
func TestANodeInTheMinority(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	last := g.nodes[0]
	if status, _, text := ask(t, g.nodes[g.leader()], "POST", MembersPath, "q", anEndpoint); status != 200 {
		t.Fatal(status, text)
	}
	waitFor(t, "the change at the node", func() bool { m, _, _ := last.store.members(); return len(m) == 1 })
	resp, err := http.Get("http://" + last.Addr() + discovery.ListPath + "?watch=1&from=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	ended := make(chan error, 1)
	go func() { _, err := io.Copy(io.Discard, resp.Body); ended <- err }()
	g.stop(1)
	g.stop(2)
	waitFor(t, "writes refused", func() bool {
		status, h, _ := ask(t, last, "POST", MembersPath, "q2", anEndpoint)
		return status == 503 && h.Get("Retry-After") != ""
	})
	waitFor(t, "reads marked stale", func() bool {
		status, h, text := ask(t, last, "GET", discovery.ListPath, "", "")
		return status == 200 && h.Get(StaleHeader) == "true" && h.Get(RevisionHeader) != "" && strings.Contains(text, "s-1")
	})
	if status, _, _ := ask(t, last, "GET", discovery.ListPath+"?consistent=1", "", ""); status != 503 {
		t.Errorf("a linearizable read at a node without majority: %d", status)
	}
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Error("its watch goes on")
	}
}

// TestASlowWatcherIsCut: hard case 5. One that reads nothing is cut, and the
// others hear of every change meanwhile.
func TestASlowWatcherIsCut(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 1)
	n := g.nodes[0]
	slow, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.(*net.TCPConn).SetReadBuffer(4 << 10)
	fmt.Fprintf(slow, "GET %s?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n", discovery.ListPath)
	resp, err := http.Get("http://" + n.Addr() + discovery.ListPath + "?watch=1&from=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	waitFor(t, "two watchers", func() bool { return n.watchers.Load() == 2 })
	in := bufio.NewReaderSize(resp.Body, 1<<20)
	long := strings.Repeat("z", 16<<10)
	last := int64(0)
	for i := 0; n.watchers.Load() == 2; i++ {
		m := endpoint("s-1", "127.0.0.1:99")
		m.Locality = fmt.Sprint(long, i)
		a, err := n.apply(Command{Request: NewID(), Op: OpAdd, Member: m})
		if err != nil {
			t.Fatal(err)
		}
		for last < a.Revision { // the other one hears of each
			text, err := in.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if l, err := discovery.Parse([]byte(text)); err == nil {
				if last > 0 && l.Revision != last+1 {
					t.Fatalf("revision %d after %d", l.Revision, last)
				}
				last = l.Revision
			}
		}
	}
}

// TestANodeWithAnEmptyDiskJoins, and a damaged store is refused in plain
// words: hard case 8.
func TestANodeWithAnEmptyDiskJoins(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	at := g.leader()
	behind := (at + 1) % 3
	g.stop(behind)
	if err := os.WriteFile(filepath.Join(g.cfgs[behind].DataDir, "raft.db"), []byte(strings.Repeat("damage", 4096)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Start(g.cfgs[behind], quiet()); !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), "raft.db") {
		t.Fatalf("a damaged store: %v", err)
	}
	for i := range 50 {
		if _, _, err := g.apply(Command{Request: NewID(), Op: OpAdd, Member: endpoint(fmt.Sprint("s-", i), fmt.Sprintf("127.0.0.1:%d", i+1))}); err != nil {
			t.Fatal(err)
		}
	}
	if err := g.nodes[g.leader()].raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(g.cfgs[behind].DataDir); err != nil {
		t.Fatal(err)
	}
	g.start(behind)
	waitFor(t, "the whole list at the node that was empty", func() bool { m, _, _ := g.nodes[behind].store.members(); return len(m) == 50 })
}

// TestRestoredFromABackup: hard case 4 over the wire. The epoch is new, the
// revision does not go back, and a watcher of before gets the whole list.
func TestRestoredFromABackup(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	g.ask("POST", MembersPath, "q1", anEndpoint)
	_, _, backup := g.ask("GET", SnapshotPath, "", "")
	g.ask("POST", MembersPath, "q2", strings.NewReplacer("s-1", "s-2", ":99", ":98").Replace(anEndpoint))
	_, epoch, revision := g.caughtUp().store.members()
	if status, _, text := g.ask("PUT", SnapshotPath, "q3", backup); status != 200 {
		t.Fatal(status, text)
	}
	n := g.caughtUp()
	members, now, after := n.store.members()
	if len(members) != 1 || now == epoch || after <= revision {
		t.Errorf("%d members at %d of %s, before %d of %s", len(members), after, now, revision, epoch)
	}
	lines, _, _, _ := n.store.changesSince(epoch, revision)
	if len(lines) != 1 || !strings.Contains(string(lines[0]), `"complete":true`) {
		t.Errorf("a watcher of before hears %s", lines)
	}
	if status, _, text := g.ask("PUT", SnapshotPath, "q4", `{"revision":1,"members":{"x":{"id":"y"}}}`); status != 400 {
		t.Errorf("a backup that cannot be used: %d %s", status, text)
	}
}

// TestBadInputChangesNothing: hard case 10.
func TestBadInputChangesNothing(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 1)
	n := g.nodes[0]
	ask(t, n, "POST", MembersPath, "q", anEndpoint)
	_, _, before := n.store.members()
	for _, x := range []struct {
		method, path, body string
		status             int
		says               string
	}{
		{"POST", MembersPath, strings.Repeat("x", maxBodyBytes+1), 413, "bytes"},
		{"POST", MembersPath, `{"id":`, 400, "body"},
		{"POST", MembersPath, `{"id":7}`, 400, "id"},
		{"POST", MembersPath, `{"id":"","address":"127.0.0.1:1"}`, 400, "id"},
		{"POST", MembersPath, `{"id":"x","address":"nowhere"}`, 400, "address"},
		{"POST", MembersPath, `{"id":"x","address":"127.0.0.1:1","cell":-1}`, 400, "cell"},
		{"POST", MembersPath, `{"id":"x","address":"127.0.0.1:1","ttl_ms":3}`, 400, "ttl_ms"},
		{"POST", MembersPath, `{"id":"s-1","address":"127.0.0.1:99","if":77}`, 409, `"changed":2`},
		{"POST", MembersPath + "/s-1/phase", `{"phase":"asleep"}`, 400, "phase"},
		{"POST", MembersPath + "/nope/phase", `{"phase":"draining"}`, 404, "nope"},
		{"DELETE", MembersPath + "/s-1?if=x", ``, 400, "if"},
		{"DELETE", MembersPath + "/nope", ``, 404, "nope"},
		{"POST", discovery.NoticePath, `{"message":"m","outcome":"lost"}`, 400, ""},
		{"GET", discovery.ListPath + "?watch=1&from=x", ``, 400, "from"},
	} {
		status, _, text := ask(t, n, x.method, x.path, NewID(), x.body)
		if status != x.status || !strings.Contains(text, x.says) {
			t.Errorf("%s %s %.40s: %d %s", x.method, x.path, x.body, status, text)
		}
	}
	if _, _, after := n.store.members(); after != before {
		t.Errorf("revision %d, before %d", after, before)
	}
}

// TestConfigErrorsNameFileAndKey: unknown keys are refused by name, and the
// example starts as it stands.
func TestConfigErrorsNameFileAndKey(t *testing.T) {
	none := func(string) string { return "" }
	if _, err := LoadConfig(filepath.Join("..", "..", "deploy", "registry.toml"), none); err != nil {
		t.Error(err)
	}
	path := filepath.Join(t.TempDir(), "r.toml")
	for text, says := range map[string]string{
		"idd = \"x\"\n":                           "r.toml:1: idd",
		"[lapse]\nshare = 3\n":                    "lapse.share",
		"[lapse]\nhold = \"long\"\n":              "r.toml:2",
		"log = \"xml\"\n":                         "log",
		"listen = \"nowhere\"\n":                  "listen",
		"[[peers]]\nid = \"a\"\n":                 "peers[0]",
		"[[members]]\nid = \"a\"\n":               "members[0]",
		"[[peers]]\nid='a'\nraft='b'\nhttp='c'\n": "r1",
	} {
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := LoadConfig(path, none); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// fullDisk is a log store on a disk that may be full.
type fullDisk struct {
	raft.LogStore
	full *atomic.Bool
}

func (f fullDisk) StoreLogs(logs []*raft.Log) error {
	if f.full.Load() {
		return syscall.ENOSPC
	}
	return f.LogStore.StoreLogs(logs)
}

func (f fullDisk) StoreLog(l *raft.Log) error { return f.StoreLogs([]*raft.Log{l}) }

// TestAFullDiskStopsWritesNotReads: hard case 8. Nothing that was answered is
// lost, and writes go on once there is room.
func TestAFullDiskStopsWritesNotReads(t *testing.T) {
	t.Parallel()
	full := &atomic.Bool{}
	g := startTuned(t, 1, func(c *Config) { c.wrapLogStore = func(s raft.LogStore) raft.LogStore { return fullDisk{s, full} } })
	n := g.nodes[0]
	if status, _, text := ask(t, n, "POST", MembersPath, "q1", anEndpoint); status != 200 {
		t.Fatal(status, text)
	}
	full.Store(true)
	other := strings.NewReplacer("s-1", "s-2", ":99", ":98").Replace(anEndpoint)
	if status, h, text := ask(t, n, "POST", MembersPath, "q2", other); status != 503 || h.Get("Retry-After") == "" {
		t.Errorf("a write on a full disk: %d %s", status, text)
	}
	if status, _, text := ask(t, n, "GET", discovery.ListPath, "", ""); status != 200 || !strings.Contains(text, "s-1") || strings.Contains(text, "s-2") {
		t.Errorf("a read on a full disk: %d %s", status, text)
	}
	full.Store(false)
	waitFor(t, "writes again", func() bool { status, _, _ := ask(t, n, "POST", MembersPath, "q2", other); return status == 200 })
	g.stop(0)
	g.start(0)
	waitFor(t, "both after a restart", func() bool { m, _, _ := g.nodes[0].store.members(); return len(m) == 2 })
}

// writer changes the list without a pause, until it is stopped.
type writer struct {
	group   *group
	stop    chan struct{}
	done    chan struct{}
	retries atomic.Int64 // of writes at which a node had lost the lead
	writes  int          // answered; read it once done is closed
	err     error
}

func startWriter(g *group) *writer {
	w := &writer{group: g, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *writer) run() {
	defer close(w.done)
	for ; ; w.writes++ {
		select {
		case <-w.stop:
			return
		default:
		}
		m := endpoint(fmt.Sprint("s-", w.writes%50), fmt.Sprintf("127.0.0.1:%d", w.writes%50+1))
		m.Cell, m.TTL = w.writes, 0 // no expiry beside the writes: each is one revision
		_, retries, err := w.group.apply(Command{Request: NewID(), Op: OpAdd, Member: m})
		w.retries.Add(int64(retries))
		if err != nil {
			w.err = fmt.Errorf("write %d: %w", w.writes, err)
			return
		}
	}
}

// end stops the writer and gives how many writes were answered.
func (w *writer) end(t *testing.T) int {
	t.Helper()
	close(w.stop)
	<-w.done
	if w.err != nil {
		t.Error(w.err)
	}
	return w.writes
}

// snapshotIndex is the last log entry that a node's latest snapshot covers.
func snapshotIndex(t *testing.T, n *Node) uint64 {
	t.Helper()
	index, err := strconv.ParseUint(n.raft.Stats()["last_snapshot_index"], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return index
}

// installSnapshot stops a follower until the entries that it misses are cut from
// the log, and starts it again. It reports whether no write met a node that had
// lost the lead meanwhile.
func installSnapshot(t *testing.T, g *group, w *writer) bool {
	t.Helper()
	behind := (g.leader() + 1) % len(g.nodes)
	g.stop(behind)
	leader := g.nodes[g.leader()]
	missed := leader.raft.LastIndex() + 1
	waitFor(t, "a log that is cut", func() bool {
		first, err := leader.bolt.FirstIndex()
		return err == nil && first > missed+200
	})
	retries := w.retries.Load()
	g.start(behind)
	late := g.nodes[behind]
	waitFor(t, "a snapshot installed", func() bool { return snapshotIndex(t, late) > missed && late.raft.AppliedIndex() > missed+200 })
	return w.retries.Load() == retries
}

// TestANodeBehindInstallsASnapshotUnderLoad: hard case 8. What it missed is
// cut from the log, and writes do not stop for it. A machine that is busy may cost
// the leader its lead at any moment; a node that comes back may not, so of three
// returns one at least passes without.
func TestANodeBehindInstallsASnapshotUnderLoad(t *testing.T) {
	t.Parallel()
	g := startTuned(t, 3, func(c *Config) {
		c.tuneRaft = func(r *raft.Config) {
			r.SnapshotThreshold, r.TrailingLogs, r.SnapshotInterval = 64, 8, 50*time.Millisecond
		}
	})
	_, _, before := g.nodes[g.leader()].store.members()
	w := startWriter(g)
	undisturbed := false
	for round := 0; round < 3 && !undisturbed; round++ {
		undisturbed = installSnapshot(t, g, w)
	}
	writes := w.end(t)
	if !undisturbed {
		t.Error("the leader lost its lead at each return of a node")
	}
	for i, n := range g.nodes { // each write was taken once: none is missing, and no retry was taken again
		waitFor(t, fmt.Sprintf("the whole state at node %d", i), func() bool {
			_, _, revision := n.store.members()
			return revision == before+int64(writes)
		})
	}
	if writes < 200 {
		t.Errorf("%d writes", writes)
	}
	t.Logf("%d writes, %d retries", writes, w.retries.Load())
}
