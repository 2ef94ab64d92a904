package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/loopback"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after 30 s waiting for: %s", what)
}

func startNode(t *testing.T, cfg *registry.Config) *registry.Node {
	t.Helper()
	n, err := registry.Start(cfg, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func nodeConfig(t *testing.T) *registry.Config {
	c := registry.DefaultConfig()
	c.DataDir, c.Listen, c.Raft = filepath.Join(t.TempDir(), "data"), loopback.Free(), loopback.Free()
	c.Peers = []registry.Peer{{ID: c.ID, Raft: c.Raft, HTTP: c.Listen}}
	return &c
}

func startAgent(t *testing.T, folder, node string) *Agent {
	t.Helper()
	a, err := Start(Options{Listen: "127.0.0.1:0", Folder: folder, Nodes: []string{node}, Fleet: 1, Log: discardLog()})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func sendChange(t *testing.T, node, method, path string, body any) {
	t.Helper()
	c, err := client.New([]string{node}, 1, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if _, err := c.Do(ctx, method, path, body, nil); err != nil {
		t.Fatal(err)
	}
}

func testRegistration(i int) registry.Registration {
	return registry.Registration{ID: fmt.Sprint("s-", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: "a", Flavor: "agent", Cell: i}
}

// relayWatch is a relay's copy of the list, which its watch of an agent keeps up to date.
type relayWatch struct {
	mu       sync.Mutex
	revision int64
	phases   map[string]string
}

func watchAsRelay(t *testing.T, addr string) *relayWatch {
	r := &relayWatch{phases: map[string]string{}}
	w := discovery.NewWatch(addr, 1, discardLog(), func(l *discovery.List) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if l.Revision < r.revision {
			t.Errorf("the relay was sent revision %d after %d", l.Revision, r.revision)
		}
		r.revision = l.Revision
		if l.Complete {
			clear(r.phases)
		}
		for _, m := range l.Members {
			r.phases[m.ID] = m.Phase
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

func (r *relayWatch) phaseOf(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phases[id]
}

// TestListSurvivesGroupOutageAndAgentRestart checks an agent whose group is stopped: the
// agent keeps its list, serves it to relays after a restart, says how old it is, and
// serves the changes that it missed once the group is started again.
func TestListSurvivesGroupOutageAndAgentRestart(t *testing.T) {
	cfg, folder := nodeConfig(t), t.TempDir()
	node := startNode(t, cfg)
	for i := range 3 {
		sendChange(t, cfg.Listen, http.MethodPost, registry.MembersPath, testRegistration(i))
	}
	a := startAgent(t, folder, cfg.Listen)
	r := watchAsRelay(t, a.Addr())
	waitFor(t, "the relay to have the list", func() bool { return r.phaseOf("s-2") == discovery.Up })
	sendChange(t, cfg.Listen, http.MethodPost, registry.MembersPath+"/s-1/phase", map[string]string{"phase": discovery.Draining})
	waitFor(t, "the relay to see the draining member", func() bool { return r.phaseOf("s-1") == discovery.Draining })
	node.Close()
	waitFor(t, "the agent to notice that the group is stopped", func() bool { return !a.State().Up })
	if s := a.State(); s.Members != 3 {
		t.Errorf("state without a group: %+v, want 3 members", s)
	}
	a.Close()
	a = startAgent(t, folder, cfg.Listen) // the group is still stopped
	r = watchAsRelay(t, a.Addr())
	waitFor(t, "the relay to have the saved list with the draining member", func() bool { return r.phaseOf("s-1") == discovery.Draining && r.phaseOf("s-0") == discovery.Up })
	if s := a.State(); s.Up || s.AgeMS <= 0 {
		t.Errorf("state after a restart without a group: %+v, want Up false and AgeMS above 0", s)
	}
	node = startNode(t, cfg)
	defer node.Close()
	sendChange(t, cfg.Listen, http.MethodDelete, registry.MembersPath+"/s-0", nil)
	waitFor(t, "the relay to see the change made after the group was started again", func() bool { return r.phaseOf("s-0") == discovery.Removed && r.phaseOf("s-1") == discovery.Draining })
	a.Close()
}

// TestNoticesSurviveRestart checks that notices that were answered with 204 are kept over
// a restart, also if the spool's last line is torn, until the group has accepted them.
func TestNoticesSurviveRestart(t *testing.T) {
	folder := t.TempDir()
	node := loopback.Free()
	a := startAgent(t, folder, node)
	post := func(a *Agent, text string) int {
		resp, err := http.Post("http://"+a.Addr()+discovery.NoticePath, "application/json", strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if status := post(a, "{\"message\":\"a\",\"outcome\":\"given_up\"}\n{\"message\":\"b\",\"outcome\":\"handed_back\",\"retry_in_ms\":5}\n"); status != 204 {
		t.Fatal(status)
	}
	if status := post(a, "{\"message\":\"c\",\"outcome\":\"lost\"}\n"); status != 400 {
		t.Fatal(status)
	}
	a.Close()
	file, _ := os.OpenFile(filepath.Join(folder, "notices"), os.O_APPEND|os.O_WRONLY, 0)
	file.WriteString("{\"message\":\"torn")
	file.Close()
	var mu sync.Mutex
	var received []string
	listener, err := net.Listen("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		notices, err := discovery.ReadNotices(r.Body)
		if r.Method != http.MethodPost || err != nil {
			w.WriteHeader(503)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, n := range notices {
			received = append(received, n.Message)
		}
		w.WriteHeader(204)
	})}
	go server.Serve(listener)
	defer server.Close()
	a = startAgent(t, folder, node)
	defer a.Close()
	waitFor(t, "the group to receive both notices, and the spool to be empty", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.Contains(received, "a") && slices.Contains(received, "b") && a.spool.count() == 0
	})
}

// TestCorruptListIsRejected checks that a list file that is cut at any byte is rejected,
// that no flipped bit changes the decoded list, and that an agent with a corrupt list file
// renames it and starts with an empty list.
func TestCorruptListIsRejected(t *testing.T) {
	list := &savedList{At: client.Position{Epoch: "e", Revision: 7}, Revision: 3, Members: map[string]discovery.Member{
		"s-1": {ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up}}}
	text, err := encodeList(list)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := decodeList(text); err != nil || decoded.Revision != 3 || decoded.Members["s-1"].HostPort != "127.0.0.1:1" {
		t.Fatalf("decoded list %+v, error %v", decoded, err)
	}
	for offset := range text {
		if _, err := decodeList(text[:offset]); err == nil {
			t.Fatalf("a list file cut at byte %d was accepted", offset)
		}
		for bit := range 8 {
			corrupted := bytes.Clone(text)
			corrupted[offset] ^= 1 << bit
			if decoded, err := decodeList(corrupted); err == nil {
				encoded, _ := json.Marshal(decoded)
				if want, _ := json.Marshal(list); !bytes.Equal(encoded, want) {
					t.Fatalf("a list file with bit %[2]d of byte %[1]d flipped was decoded as another list", offset, bit)
				}
			}
		}
	}
	folder := t.TempDir()
	path := filepath.Join(folder, listName)
	os.WriteFile(path, text[:len(text)-1], 0o600)
	a := startAgent(t, folder, loopback.Free())
	defer a.Close()
	if _, err := os.Stat(path + ".damaged"); err != nil || a.State().Members != 0 {
		t.Errorf("renamed file: %v; state %+v, want no members", err, a.State())
	}
}

func FuzzDecodeList(f *testing.F) {
	text, _ := encodeList(&savedList{Members: map[string]discovery.Member{}})
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		if list, err := decodeList(text); err == nil && list.Members == nil {
			t.Fatal("a list was decoded whose map of members is nil")
		}
	})
}

// testGroup is a list service whose nodes are started and stopped together.
type testGroup struct {
	t       *testing.T
	configs []*registry.Config
	addrs   []string
	nodes   []*registry.Node
}

func newTestGroup(t *testing.T, size int) *testGroup {
	g := &testGroup{t: t}
	var peers []registry.Peer
	for i := range size {
		peers = append(peers, registry.Peer{ID: fmt.Sprint("r", i), Raft: loopback.Free(), HTTP: loopback.Free()})
	}
	for _, p := range peers {
		c := registry.DefaultConfig()
		c.ID, c.DataDir, c.Listen, c.Raft, c.Peers = p.ID, filepath.Join(t.TempDir(), "data"), p.HTTP, p.Raft, peers
		g.configs, g.addrs = append(g.configs, &c), append(g.addrs, p.HTTP)
	}
	t.Cleanup(g.stop)
	return g
}

func (g *testGroup) start() {
	g.t.Helper()
	for _, c := range g.configs {
		g.nodes = append(g.nodes, startNode(g.t, c))
	}
}

func (g *testGroup) stop() {
	for _, n := range g.nodes {
		n.Close()
	}
	g.nodes = nil
}

// term returns the highest Raft term of the nodes, and whether one of them is the leader.
func (g *testGroup) term() (highest uint64, hasLeader bool) {
	for _, addr := range g.addrs {
		resp, err := http.Get("http://" + addr + registry.StatusPath)
		if err != nil {
			continue
		}
		var s registry.Status
		if json.NewDecoder(resp.Body).Decode(&s) == nil {
			highest, hasLeader = max(highest, s.Term), hasLeader || s.RaftRole == "Leader"
		}
		resp.Body.Close()
	}
	return highest, hasLeader
}

// TestReconnectingFleetCausesNoElection checks that all 300 agents of a fleet reconnect to a
// group that was stopped and started again, and that the load of it causes no election
// after the first one.
func TestReconnectingFleetCausesNoElection(t *testing.T) {
	group := newTestGroup(t, 3)
	group.start()
	sendChange(t, group.addrs[0], http.MethodPost, registry.MembersPath, testRegistration(0))
	agents := make([]*Agent, 300)
	for i := range agents {
		a, err := Start(Options{Listen: "127.0.0.1:0", Folder: t.TempDir(), Nodes: group.addrs, Fleet: len(agents), Log: discardLog()})
		if err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		agents[i] = a
	}
	allAgents := func(condition func(Status) bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(agents, func(a *Agent) bool { return !condition(a.State()) })
		}
	}
	waitFor(t, "all agents to watch the group", allAgents(func(s Status) bool { return s.Up }))
	group.stop()
	waitFor(t, "all agents to notice that the group is stopped", allAgents(func(s Status) bool { return !s.Up }))
	group.start()
	var firstTerm uint64
	waitFor(t, "a leader to be elected", func() (hasLeader bool) { firstTerm, hasLeader = group.term(); return hasLeader })
	waitFor(t, "all agents to watch the group again", allAgents(func(s Status) bool { return s.Up }))
	sendChange(t, group.addrs[0], http.MethodPost, registry.MembersPath, testRegistration(1))
	waitFor(t, "all agents to have the member added afterwards", allAgents(func(s Status) bool { return s.Members == 2 }))
	if lastTerm, _ := group.term(); lastTerm != firstTerm {
		t.Errorf("%d more elections while the agents reconnected, want none", lastTerm-firstTerm)
	}
}
