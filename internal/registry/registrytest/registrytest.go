// Package registrytest runs a list service in the process of a test: one node, or a group
// whose nodes can be stopped and started again. All nodes are closed when the test ends.
package registrytest

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"plovershore/internal/loopback"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

const (
	waitTimeout   = 30 * time.Second
	waitInterval  = 2 * time.Millisecond
	statusTimeout = time.Second
)

// DiscardLog returns a logger that is disabled at every level, for nodes whose log no test
// reads.
func DiscardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

// WaitFor waits until a condition holds. It fails the test with a message that names what
// if that takes longer than 30 s.
func WaitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(waitInterval) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after 30 s waiting for: %s", what)
}

// Group is a list service whose nodes run in the test's process. It is not safe for
// concurrent use.
type Group struct {
	// Addrs are the host:port addresses of the nodes' APIs.
	Addrs []string

	t       testing.TB
	configs []*registry.Config
	nodes   []*registry.Node // nil for a stopped node
}

// Start runs a group of size nodes until the test ends. Before a node is started, tune may
// change its configuration; tune may be nil.
func Start(t testing.TB, size int, tune func(*registry.Config)) *Group {
	t.Helper()
	g := &Group{t: t, nodes: make([]*registry.Node, size)}
	var peers []registry.Peer
	for i := range size {
		peers = append(peers, registry.Peer{ID: fmt.Sprint("r", i+1), Raft: loopback.Free(), HTTP: loopback.Free()})
	}
	for _, p := range peers {
		config := registry.DefaultConfig()
		config.ID, config.Listen, config.Raft, config.Peers = p.ID, p.HTTP, p.Raft, peers
		config.DataDir = filepath.Join(t.TempDir(), "data")
		if tune != nil {
			tune(&config)
		}
		g.configs = append(g.configs, &config)
		g.Addrs = append(g.Addrs, p.HTTP)
	}
	for i := range size {
		g.Start(i)
	}
	t.Cleanup(func() {
		for i := range size {
			g.Stop(i)
		}
	})
	return g
}

// Start starts node i with its data folder.
func (g *Group) Start(i int) {
	g.t.Helper()
	n, err := registry.Start(g.configs[i], DiscardLog())
	if err != nil {
		g.t.Fatal(err)
	}
	g.nodes[i] = n
}

// Stop stops node i if it is running. Its data folder is kept.
func (g *Group) Stop(i int) {
	if g.nodes[i] != nil {
		g.nodes[i].Close()
		g.nodes[i] = nil
	}
}

// Client returns a client of all nodes of the group.
func (g *Group) Client() *client.Client {
	g.t.Helper()
	return Client(g.t, g.Addrs...)
}

// Client returns a client of the nodes at some addresses. It is closed when the test ends.
func Client(t testing.TB, addrs ...string) *client.Client {
	t.Helper()
	c, err := client.New(addrs, 1, DiscardLog())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Leader waits for a leader, and returns its index.
func (g *Group) Leader() (leader int) {
	g.t.Helper()
	WaitFor(g.t, "a leader", func() bool {
		for i, n := range g.nodes {
			if n != nil && g.isLeader(i) {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

func (g *Group) isLeader(i int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	var status registry.Status
	_, err := Client(g.t, g.Addrs[i]).Do(ctx, http.MethodGet, registry.StatusPath, nil, &status)
	return err == nil && status.RaftRole == raft.Leader.String()
}
