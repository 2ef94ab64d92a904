// Package registrytest runs list services for the tests of what uses them: one
// node, or a group whose nodes can be stopped and started again. All end with the
// test.
package registrytest

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"plovershore/internal/loopback"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

const waitTimeout = 30 * time.Second

// Quiet is a log that nobody reads.
func Quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// WaitFor waits for a condition, and fails the test where it never comes.
func WaitFor(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

// Group is a list service of some nodes.
type Group struct {
	t     testing.TB
	Addrs []string
	cfgs  []*registry.Config
	nodes []*registry.Node
}

// Start runs a group; tune, which may be nil, sees each configuration before.
func Start(t testing.TB, size int, tune func(*registry.Config)) *Group {
	t.Helper()
	g := &Group{t: t, nodes: make([]*registry.Node, size)}
	var peers []registry.Peer
	for i := range size {
		peers = append(peers, registry.Peer{ID: fmt.Sprint("r", i+1), Raft: loopback.Free(), HTTP: loopback.Free()})
	}
	for _, p := range peers {
		c := registry.DefaultConfig()
		c.ID, c.DataDir, c.Listen, c.Raft, c.Peers = p.ID, filepath.Join(t.TempDir(), "data"), p.HTTP, p.Raft, peers
		if tune != nil {
			tune(&c)
		}
		g.cfgs, g.Addrs = append(g.cfgs, &c), append(g.Addrs, p.HTTP)
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

// Start runs a node over the folder that it has.
func (g *Group) Start(i int) {
	g.t.Helper()
	n, err := registry.Start(g.cfgs[i], Quiet())
	if err != nil {
		g.t.Fatal(err)
	}
	g.nodes[i] = n
}

// Stop ends a node; its folder stays.
func (g *Group) Stop(i int) {
	if g.nodes[i] != nil {
		g.nodes[i].Close()
		g.nodes[i] = nil
	}
}

// Client asks all nodes of the group.
func (g *Group) Client() *client.Client {
	g.t.Helper()
	return Client(g.t, g.Addrs...)
}

// Client asks the nodes at some addresses.
func Client(t testing.TB, addrs ...string) *client.Client {
	t.Helper()
	c, err := client.New(addrs, 1, Quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Leader waits for the node that says it leads, and gives its number.
func (g *Group) Leader() (at int) {
	g.t.Helper()
	WaitFor(g.t, "a leader", func() bool {
		for i, n := range g.nodes {
			if n == nil {
				continue
			}
			one := Client(g.t, g.Addrs[i])
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			var x registry.Status
			_, err := one.Do(ctx, http.MethodGet, registry.StatusPath, nil, &x)
			cancel()
			if err == nil && x.RaftRole == "Leader" {
				at = i
				return true
			}
		}
		return false
	})
	return at
}
