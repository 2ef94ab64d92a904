package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"plovershore/internal/loopback"
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

// group is a list service of several nodes in the test's process, each with its own data
// folder and sockets.
type group struct {
	t       *testing.T
	configs []*Config
	nodes   []*Node
	mu      sync.Mutex // guards nodes: apply may run concurrently with start and stop
}

func startGroup(t *testing.T, size int) *group { return startGroupWith(t, size, func(*Config) {}) }

func startGroupWith(t *testing.T, size int, configure func(*Config)) *group {
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
		configure(&c)
		g.configs = append(g.configs, &c)
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
	n, err := Start(g.configs[i], discardLog())
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

// apply has the group apply a command. As a client does, it sends the command again under
// the same request id if the node is no longer the leader, for up to 30 s. This happens on
// a busy machine, when the leader isn't scheduled for the time of its lease. Other errors
// are returned, such as that of a command that raft didn't start to process in time.
func (g *group) apply(c Command) (result Result, retries int, err error) {
	for deadline := time.Now().Add(30 * time.Second); ; retries++ {
		err = ErrNoLeader
		if n := g.currentLeader(); n != nil {
			result, err = n.apply(c)
			if err == nil {
				return result, retries, nil
			}
			if !errors.Is(err, raft.ErrNotLeader) && !errors.Is(err, raft.ErrLeadershipLost) && !errors.Is(err, raft.ErrRaftShutdown) {
				return result, retries, err
			}
		}
		if time.Now().After(deadline) {
			return result, retries, err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// currentLeader returns the node that considers itself the leader, or nil if there is none.
func (g *group) currentLeader() *Node {
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

// leader waits for a leader whose state has an epoch, and returns its index.
func (g *group) leader() (index int) {
	g.t.Helper()
	waitFor(g.t, "a leader", func() bool {
		for i, n := range g.nodes {
			if n == nil {
				continue
			}
			if _, self := n.leader(); self {
				_, epoch, _ := n.store.members()
				index = i
				return epoch != ""
			}
		}
		return false
	})
	return index
}

func sendRequest(t *testing.T, node *Node, method, path, requestID, body string) (int, http.Header, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node.Addr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(RequestHeader, requestID)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(text)
}

// caughtUpLeader returns the leader after it has applied every command answered so far.
func (g *group) caughtUpLeader() (n *Node) {
	g.t.Helper()
	waitFor(g.t, "a leader that has applied all commands", func() bool {
		n = g.currentLeader()
		return n != nil && n.catchUp() == nil
	})
	return n
}

// sendToLeader sends a request to the leader. As a client does, it sends it again if
// there is no leader, the connection fails or the response is a 503.
func (g *group) sendToLeader(method, path, requestID, body string) (status int, header http.Header, text string) {
	g.t.Helper()
	waitFor(g.t, "a response other than 503", func() bool {
		if n := g.currentLeader(); n != nil {
			status, header, text = sendRequest(g.t, n, method, path, requestID, body)
		}
		return status != 0 && status != http.StatusServiceUnavailable
	})
	return status, header, text
}

const registrationJSON = `{"id":"s-1","address":"127.0.0.1:99","zone":"a","flavor":"agent","cell":3}`
