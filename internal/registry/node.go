package registry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"plovershore/internal/acceptretry"
)

const (
	// applyTimeout is how long a command may wait until raft starts to process it.
	applyTimeout = 2 * time.Second

	// staleAfter is the time without contact with a leader after which reads are marked
	// as stale.
	staleAfter = 2 * time.Second

	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
)

// Errors of a node.
var (
	// ErrNoLeader means that a command may or may not have been applied. It is safe to
	// send it again with the same request id.
	ErrNoLeader = errors.New("no leader: the group has no majority, or is electing")

	// ErrCorrupt means that the data folder can't be used. A node that is started with an
	// empty folder is rebuilt from the other nodes.
	ErrCorrupt = errors.New("the store is damaged")
)

// Node is one running node of a group. Start creates it, and the caller of Start closes
// it. It is safe for concurrent use.
type Node struct {
	cfg       *Config
	log       *slog.Logger
	startedAt time.Time // reading of cfg.Clock

	store      *store
	heartbeats *heartbeatMonitor
	metrics    *metrics
	watchers   atomic.Int64

	raft *raft.Raft
	bolt *raftboltdb.BoltStore

	listener         net.Listener
	server           *http.Server
	operatorListener net.Listener
	operatorServer   *http.Server

	ctx    context.Context // done once the node is closed
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu     sync.Mutex
	closed bool
}

// NewID returns a random id of 24 hexadecimal digits.
func NewID() string {
	var b [12]byte
	rand.Read(b[:]) // it never returns an error
	return hex.EncodeToString(b[:])
}

// Start opens a node's data folder, joins its group and serves. The error wraps
// ErrCorrupt if the contents of the folder can't be used.
func Start(cfg *Config, log *slog.Logger) (_ *Node, err error) {
	n := &Node{cfg: cfg, log: log, startedAt: cfg.Clock.Monotonic(), store: newStore()}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.heartbeats = newHeartbeatMonitor(n)
	n.metrics = newMetrics(n)
	n.store.onApplied = n.metrics.countCommand
	defer func() {
		if err != nil {
			n.Close()
		}
	}()
	if err := os.MkdirAll(cfg.DataDir, 0o700); err != nil {
		return nil, fmt.Errorf("data: %w", err)
	}
	// Listen before opening the store: a second process with the same configuration fails
	// here instead of at the store's lock.
	if n.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if err := n.openRaft(); err != nil {
		return nil, err
	}
	if err := n.startServers(); err != nil {
		return nil, err
	}
	n.startTask(n.runLeaderTasks)
	log.Info("serving", "id", cfg.ID, "listen", n.listener.Addr().String(), "nodes", len(cfg.Peers))
	return n, nil
}

func (n *Node) startServers() (err error) {
	n.server = &http.Server{
		Handler:           n.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	n.serve(n.server, n.listener)
	if n.cfg.Operator == "" {
		return nil
	}
	if n.operatorListener, err = net.Listen("tcp", n.cfg.Operator); err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	n.operatorServer = &http.Server{Handler: n.metrics.routes(), ReadHeaderTimeout: readHeaderTimeout}
	n.serve(n.operatorServer, n.operatorListener)
	return nil
}

func (n *Node) serve(server *http.Server, listener net.Listener) {
	n.startTask(func() {
		_ = server.Serve(acceptretry.NewListener(listener)) // returns once the server is closed
	})
}

// startTask runs f on a goroutine that Close waits for. Once the node is closed, it
// returns false and doesn't run f.
func (n *Node) startTask(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		f()
	}()
	return true
}

// Close closes the node's servers and watches, leaves its group's Raft, and closes its
// store. It waits for the node's goroutines.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	n.closeServers()
	if n.raft != nil {
		if err := n.raft.Shutdown().Error(); err != nil {
			n.log.Error("raft shutdown failed", "err", err)
		}
	}
	n.tasks.Wait()
	if n.bolt != nil {
		n.bolt.Close()
	}
}

func (n *Node) closeServers() {
	for _, server := range []*http.Server{n.server, n.operatorServer} {
		if server != nil {
			server.Close()
		}
	}
	for _, listener := range []net.Listener{n.listener, n.operatorListener} {
		if listener != nil {
			listener.Close()
		}
	}
}

// Addr returns the host:port where the node serves its API.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// leader returns the leader's HTTP address, which is empty if there is no leader, and
// whether this node is the leader.
func (n *Node) leader() (addr string, isSelf bool) {
	_, id := n.raft.LeaderWithID()
	for _, p := range n.cfg.Peers {
		if raft.ServerID(p.ID) == id {
			return p.HTTP, p.ID == n.cfg.ID && n.raft.State() == raft.Leader
		}
	}
	return "", false
}

// isStale reports whether this node has had no contact with a leader for longer than
// staleAfter, so that its copy of the state may be old.
func (n *Node) isStale() bool {
	if n.raft.State() == raft.Leader {
		return false // a leader that loses contact with the majority steps down within its lease
	}
	last := n.raft.LastContact()
	return last.IsZero() || time.Since(last) > staleAfter
}

// uptime returns the time since the node started, by its clock.
func (n *Node) uptime() time.Duration { return n.cfg.Clock.Monotonic().Sub(n.startedAt) }

// apply has the group apply a command. An error wraps ErrNoLeader: the command may or
// may not have been applied.
func (n *Node) apply(c Command) (Result, error) {
	c.At = n.cfg.Clock.Date().UnixMilli()
	text, err := json.Marshal(c)
	if err != nil {
		return Result{}, fmt.Errorf("command: %w", err)
	}
	future := n.raft.Apply(text, applyTimeout)
	if err := n.awaitFuture(future); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	result, ok := future.Response().(Result)
	if !ok {
		return Result{}, fmt.Errorf("command: response of type %T", future.Response())
	}
	return result, nil
}

// awaitFuture waits for a future of raft, or until the node is closed.
func (n *Node) awaitFuture(future raft.Future) error {
	done := make(chan error, 1)
	// Close can't wait for this goroutine: raft never completes a future that it had
	// not started to process when it was shut down. The goroutine holds only the future.
	go func() { done <- future.Error() }()
	select {
	case err := <-done:
		return err
	case <-n.ctx.Done():
		return raft.ErrRaftShutdown
	}
}

// catchUp waits until this node, if it is the leader, has applied every change that was
// answered before the call. A read of the store after it is linearizable.
func (n *Node) catchUp() error {
	if n.raft.State() != raft.Leader {
		return raft.ErrNotLeader
	}
	if err := n.awaitFuture(n.raft.VerifyLeader()); err != nil {
		return err
	}
	return n.awaitFuture(n.raft.Barrier(applyTimeout))
}
