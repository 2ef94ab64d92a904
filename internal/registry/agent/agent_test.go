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

func startNode(t *testing.T, cfg *registry.Config) *registry.Node {
	t.Helper()
	n, err := registry.Start(cfg, quiet())
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
	a, err := Start(Options{Listen: "127.0.0.1:0", Folder: folder, Nodes: []string{node}, Fleet: 1, Log: quiet()})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func change(t *testing.T, node, method, path string, body any) {
	t.Helper()
	c, err := client.New([]string{node}, 1, quiet())
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

func member(i int) registry.Registration {
	return registry.Registration{ID: fmt.Sprint("s-", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: "a", Flavor: "agent", Cell: i}
}

// relayWatch is the relay's own watch on an agent.
type relayWatch struct {
	mu    sync.Mutex
	rev   int64
	phase map[string]string
}

func watchAsRelay(t *testing.T, addr string) *relayWatch {
	r := &relayWatch{phase: map[string]string{}}
	w := discovery.NewWatch(addr, 1, quiet(), func(l *discovery.List) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if l.Revision < r.rev {
			t.Errorf("revision %d after %d", l.Revision, r.rev)
		}
		r.rev = l.Revision
		if l.Complete {
			clear(r.phase)
		}
		for _, m := range l.Members {
			r.phase[m.ID] = m.Phase
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

func (r *relayWatch) has(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase[id]
}

// TestTheGroupGone: hard case 3, for one agent. The relay's watch goes on, a
// drain told before is kept over a restart of the agent, and what changed
// meanwhile comes when the group is back.
func TestTheGroupGone(t *testing.T) {
	cfg, folder := nodeConfig(t), t.TempDir()
	node := startNode(t, cfg)
	for i := range 3 {
		change(t, cfg.Listen, http.MethodPost, registry.MembersPath, member(i))
	}
	a := startAgent(t, folder, cfg.Listen)
	r := watchAsRelay(t, a.Addr())
	waitFor(t, "the list at the relay", func() bool { return r.has("s-2") == discovery.Up })
	change(t, cfg.Listen, http.MethodPost, registry.MembersPath+"/s-1/phase", map[string]string{"phase": discovery.Draining})
	waitFor(t, "the drain at the relay", func() bool { return r.has("s-1") == discovery.Draining })
	node.Close()
	waitFor(t, "the agent to see it gone", func() bool { return !a.State().Up })
	if s := a.State(); s.Members != 3 {
		t.Errorf("%+v", s)
	}
	a.Close()
	a = startAgent(t, folder, cfg.Listen) // the group is still gone
	r = watchAsRelay(t, a.Addr())
	waitFor(t, "the last list, with the drain", func() bool { return r.has("s-1") == discovery.Draining && r.has("s-0") == discovery.Up })
	if s := a.State(); s.Up || s.AgeMS <= 0 {
		t.Errorf("it does not say how old its list is: %+v", s)
	}
	node = startNode(t, cfg)
	defer node.Close()
	change(t, cfg.Listen, http.MethodDelete, registry.MembersPath+"/s-0", nil)
	waitFor(t, "what changed meanwhile", func() bool { return r.has("s-0") == discovery.Removed && r.has("s-1") == discovery.Draining })
	a.Close()
}

// TestNoticesOutliveTheAgent: what was answered 204 is kept until the group has it.
func TestNoticesOutliveTheAgent(t *testing.T) {
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
	if got := post(a, "{\"message\":\"a\",\"outcome\":\"given_up\"}\n{\"message\":\"b\",\"outcome\":\"handed_back\",\"retry_in_ms\":5}\n"); got != 204 {
		t.Fatal(got)
	}
	if got := post(a, "{\"message\":\"c\",\"outcome\":\"lost\"}\n"); got != 400 {
		t.Fatal(got)
	}
	a.Close()
	f, _ := os.OpenFile(filepath.Join(folder, "notices"), os.O_APPEND|os.O_WRONLY, 0)
	f.WriteString("{\"message\":\"torn")
	f.Close()
	var mu sync.Mutex
	var got []string
	ln, err := net.Listen("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		all, err := discovery.ReadNotices(r.Body)
		if r.Method != http.MethodPost || err != nil {
			w.WriteHeader(503)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, n := range all {
			got = append(got, n.Message)
		}
		w.WriteHeader(204)
	})}
	go s.Serve(ln)
	defer s.Close()
	a = startAgent(t, folder, node)
	defer a.Close()
	waitFor(t, "both notices", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.Contains(got, "a") && slices.Contains(got, "b") && a.spool.count() == 0
	})
}

// TestADamagedListIsNotUsed: every flipped bit and every torn end of the file
// is noticed; the agent starts, and the file is kept aside.
func TestADamagedListIsNotUsed(t *testing.T) {
	k := &savedList{At: client.Position{Epoch: "e", Revision: 7}, Revision: 3, Members: map[string]discovery.Member{
		"s-1": {ID: "s-1", HostPort: "127.0.0.1:1", Phase: discovery.Up}}}
	text, err := encodeList(k)
	if err != nil {
		t.Fatal(err)
	}
	if back, err := decodeList(text); err != nil || back.Revision != 3 || back.Members["s-1"].HostPort != "127.0.0.1:1" {
		t.Fatalf("%+v, %v", back, err)
	}
	for at := range text {
		if _, err := decodeList(text[:at]); err == nil {
			t.Fatalf("torn at %d: used", at)
		}
		for bit := range 8 {
			bad := bytes.Clone(text)
			bad[at] ^= 1 << bit
			if back, err := decodeList(bad); err == nil {
				same, _ := json.Marshal(back)
				if want, _ := json.Marshal(k); !bytes.Equal(same, want) {
					t.Fatalf("byte %d, bit %d: used", at, bit)
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
		t.Errorf("%v, %+v", err, a.State())
	}
}

func FuzzDecodeKept(f *testing.F) {
	text, _ := encodeList(&savedList{Members: map[string]discovery.Member{}})
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		if k, err := decodeList(text); err == nil && k.Members == nil {
			t.Fatal("a list without members")
		}
	})
}

// Hard case 3: a whole fleet of agents comes back to a group that was gone, at
// its pace, and the group keeps the leader that it elected.
func TestAFleetComesBackAndChangesNoLeader(t *testing.T) {
	var peers []registry.Peer
	for i := range 3 {
		peers = append(peers, registry.Peer{ID: fmt.Sprint("r", i), Raft: loopback.Free(), HTTP: loopback.Free()})
	}
	var cfgs []*registry.Config
	var addrs []string
	for _, p := range peers {
		c := registry.DefaultConfig()
		c.ID, c.DataDir, c.Listen, c.Raft, c.Peers = p.ID, filepath.Join(t.TempDir(), "data"), p.HTTP, p.Raft, peers
		cfgs, addrs = append(cfgs, &c), append(addrs, p.HTTP)
	}
	var nodes []*registry.Node
	start := func() {
		for _, c := range cfgs {
			nodes = append(nodes, startNode(t, c))
		}
	}
	stop := func() {
		for _, n := range nodes {
			n.Close()
		}
		nodes = nil
	}
	start()
	defer func() { stop() }()
	change(t, addrs[0], http.MethodPost, registry.MembersPath, member(0))
	agents := make([]*Agent, 300)
	for i := range agents {
		a, err := Start(Options{Listen: "127.0.0.1:0", Folder: t.TempDir(), Nodes: addrs, Fleet: len(agents), Log: quiet()})
		if err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		agents[i] = a
	}
	all := func(up bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(agents, func(a *Agent) bool { return a.State().Up != up })
		}
	}
	waitFor(t, "all agents follow", all(true))
	stop()
	waitFor(t, "all agents see that the group is gone", all(false))
	start()
	var first uint64
	term := func() (highest uint64, led bool) {
		for _, addr := range addrs {
			resp, err := http.Get("http://" + addr + registry.StatusPath)
			if err != nil {
				continue
			}
			var s registry.Status
			if json.NewDecoder(resp.Body).Decode(&s) == nil {
				highest, led = max(highest, s.Term), led || s.RaftRole == "Leader"
			}
			resp.Body.Close()
		}
		return highest, led
	}
	waitFor(t, "a leader", func() (led bool) { first, led = term(); return led })
	waitFor(t, "all agents are back", all(true))
	change(t, addrs[0], http.MethodPost, registry.MembersPath, member(1))
	waitFor(t, "all have what came after", func() bool {
		return !slices.ContainsFunc(agents, func(a *Agent) bool { return a.State().Members != 2 })
	})
	if last, _ := term(); last != first {
		t.Errorf("the return caused %d elections", last-first)
	}
}
