package registry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"plovershore/internal/acceptretry"
)

// Figures of the group. A leader that died is followed by another well within
// 1.5 s: a follower waits between one and two times the heartbeat, then votes.
const (
	raftHeartbeatTimeout = 300 * time.Millisecond
	raftLeaderLease      = 250 * time.Millisecond // shorter than heartbeat: a leader that is cut off steps down first
	raftCommitInterval   = 5 * time.Millisecond
	applyTimeout         = 2 * time.Second
	raftConnsPerPeer     = 3
	raftIOTimeout        = time.Second
	retainedSnapshots    = 2
	snapshotThreshold    = 8192            // commands after which the log is cut
	trailingLogs         = 2048            // of them, kept for nodes that are a little behind
	staleAfter           = 2 * time.Second // without word from a leader, reads are marked stale
)

// Errors of a node.
var (
	ErrNoLeader = errors.New("no leader: the group has no majority, or is electing")
	ErrCorrupt  = errors.New("the store is damaged")
)

// Node is one node of a group. Close ends it.
type Node struct {
	cfg              *Config
	log              *slog.Logger
	store            *store
	startedAt        time.Time
	raft             *raft.Raft
	bolt             *raftboltdb.BoltStore
	server           *http.Server
	listener         net.Listener
	operatorListener net.Listener
	operatorServer   *http.Server
	heartbeats       *heartbeatMonitor
	metrics          *metrics
	ctx              context.Context
	cancel           context.CancelFunc
	wg               sync.WaitGroup
	mu               sync.Mutex // of closed
	closed           bool

	watchers atomic.Int64
}

// NewID draws an id that nobody else draws.
func NewID() string {
	var b [12]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Start opens a node's store and serves.
func Start(cfg *Config, log *slog.Logger) (_ *Node, err error) {
	n := &Node{cfg: cfg, log: log, store: newStore(), startedAt: cfg.Clock.Mono()}
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
	// The address first: a second process over one folder ends here, not in the store's lock.
	if n.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if err := n.openRaft(); err != nil {
		return nil, err
	}
	n.server = &http.Server{Handler: n.routes(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	n.serve(n.server, n.listener)
	if cfg.Operator != "" {
		if n.operatorListener, err = net.Listen("tcp", cfg.Operator); err != nil {
			return nil, fmt.Errorf("operator: %w", err)
		}
		n.operatorServer = &http.Server{Handler: n.metrics.routes(), ReadHeaderTimeout: 5 * time.Second}
		n.serve(n.operatorServer, n.operatorListener)
	}
	n.wg.Add(1)
	go func() { defer n.wg.Done(); n.runLeaderTasks() }()
	log.Info("serving", "id", cfg.ID, "listen", n.listener.Addr().String(), "nodes", len(cfg.Peers))
	return n, nil
}

func (n *Node) serve(s *http.Server, ln net.Listener) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		s.Serve(acceptretry.NewListener(ln)) // ends by Close
	}()
}

// Addr is where the node listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// openRaft begins or takes up the node's part in the group.
func (n *Node) openRaft() error {
	path := filepath.Join(n.cfg.DataDir, "raft.db")
	bolt, err := openBolt(path)
	if err != nil {
		return err
	}
	n.bolt = bolt
	snaps, err := raft.NewFileSnapshotStore(n.cfg.DataDir, retainedSnapshots, io.Discard)
	if err != nil {
		return fmt.Errorf("data: %w", err)
	}
	addr, err := net.ResolveTCPAddr("tcp", n.cfg.Raft)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	// Nodes are known by their ids; where each is to be reached is this node's
	// configuration's to say, so an address may change and may differ from node to node.
	transport, err := raft.NewTCPTransportWithConfig(n.cfg.Raft, addr, &raft.NetworkTransportConfig{ServerAddressProvider: n,
		MaxPool: raftConnsPerPeer, Timeout: raftIOTimeout, Logger: hclog.NewNullLogger()})
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(n.cfg.ID)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = raftHeartbeatTimeout, raftHeartbeatTimeout, raftLeaderLease, raftCommitInterval
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = snapshotThreshold, trailingLogs, 10*time.Second
	c.Logger = hclog.New(&hclog.LoggerOptions{Output: raftLogWriter{n.log}, Level: hclog.Warn, DisableTime: true})
	if n.cfg.tuneRaft != nil {
		n.cfg.tuneRaft(c)
	}
	var logs raft.LogStore = bolt
	if n.cfg.wrapLogStore != nil {
		logs = n.cfg.wrapLogStore(logs)
	}
	cache, err := raft.NewLogCache(512, logs)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	known, err := raft.HasExistingState(cache, bolt, snaps)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
	}
	if !known {
		// Every node begins with the same configuration, so it does not matter which is first.
		var servers []raft.Server
		for _, p := range n.cfg.Peers {
			servers = append(servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.ID)})
		}
		if err := raft.BootstrapCluster(c, cache, bolt, snaps, transport, raft.Configuration{Servers: servers}); err != nil {
			return fmt.Errorf("raft: %w", err)
		}
	}
	if n.raft, err = raft.NewRaft(c, n.store, cache, bolt, snaps, transport); err != nil {
		transport.Close()
		return fmt.Errorf("%w: %s: %w", ErrCorrupt, n.cfg.DataDir, err)
	}
	return nil
}

// ServerAddr is raft.ServerAddressProvider's.
func (n *Node) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	for _, p := range n.cfg.Peers {
		if raft.ServerID(p.ID) == id {
			return raft.ServerAddress(p.Raft), nil
		}
	}
	return "", fmt.Errorf("raft: node %s is not in the configuration", id)
}

// openBolt opens a store, and tells of a damaged one in plain words: the
// library panics on some.
func openBolt(path string) (b *raftboltdb.BoltStore, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %s: %v", ErrCorrupt, path, p)
		}
	}()
	opt := raftboltdb.Options{Path: path}
	opt.BoltOptions = boltOptions()
	b, err = raftboltdb.New(opt)
	if err != nil {
		if errors.Is(err, errBoltInUse) {
			return nil, fmt.Errorf("%s: in use by another process", path)
		}
		return nil, fmt.Errorf("%w: %s: %w; move it away, and this node is rebuilt from the others", ErrCorrupt, path, err)
	}
	return b, nil
}

type raftLogWriter struct{ log *slog.Logger }

func (w raftLogWriter) Write(p []byte) (int, error) {
	w.log.Warn("raft", "says", string(p[:max(0, len(p)-1)]))
	return len(p), nil
}

// Close ends the node: its watches, its part in the group, its store.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	for _, s := range []*http.Server{n.server, n.operatorServer} {
		if s != nil {
			s.Close()
		}
	}
	for _, ln := range []net.Listener{n.listener, n.operatorListener} {
		if ln != nil {
			ln.Close()
		}
	}
	if n.raft != nil {
		if err := n.raft.Shutdown().Error(); err != nil {
			n.log.Error("raft: not shut down", "err", err)
		}
	}
	n.wg.Wait()
	if n.bolt != nil {
		n.bolt.Close()
	}
}

// startTask runs f on a goroutine that Close waits for; false once the node is closed.
func (n *Node) startTask(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wg.Add(1)
	go func() { defer n.wg.Done(); f() }()
	return true
}

// leader gives the leader's address for others, and whether it is this node.
func (n *Node) leader() (http string, self bool) {
	_, id := n.raft.LeaderWithID()
	for _, p := range n.cfg.Peers {
		if raft.ServerID(p.ID) == id {
			return p.HTTP, p.ID == n.cfg.ID && n.raft.State() == raft.Leader
		}
	}
	return "", false
}

// isStale tells whether this node has been without word from a leader for so
// long that what it says may be old.
func (n *Node) isStale() bool {
	if n.raft.State() == raft.Leader {
		return false // a leader that is cut off steps down within its lease
	}
	last := n.raft.LastContact()
	return last.IsZero() || time.Since(last) > staleAfter
}

// uptime is how long it runs, by its clock.
func (n *Node) uptime() time.Duration { return n.cfg.Clock.Mono().Sub(n.startedAt) }

// awaitFuture waits for what raft makes of something, or for this node's end: what raft
// had not taken up when it was shut down it never answers.
func (n *Node) awaitFuture(f raft.Future) error {
	done := make(chan error, 1)
	go func() { done <- f.Error() }() // ends with raft's answer; without one, with the process
	select {
	case err := <-done:
		return err
	case <-n.ctx.Done():
		return raft.ErrRaftShutdown
	}
}

// apply has the group take a command. An error means that it may or may not
// have been taken: with the same request it may be asked again.
func (n *Node) apply(c Command) (Result, error) {
	c.At = n.cfg.Clock.Date().UnixMilli()
	text, err := json.Marshal(c)
	if err != nil {
		return Result{}, fmt.Errorf("command: %w", err)
	}
	f := n.raft.Apply(text, applyTimeout)
	if err := n.awaitFuture(f); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	a, ok := f.Response().(Result)
	if !ok {
		return Result{}, fmt.Errorf("command: answered by %T", f.Response())
	}
	return a, nil
}

// runLeaderTasks does what only a leader does, from when this node is one until it is
// not any more.
func (n *Node) runLeaderTasks() {
	var looked time.Time
	for {
		select {
		case <-n.ctx.Done():
			return
		case leads := <-n.raft.LeaderCh():
			n.heartbeats.reset()
			if !leads {
				n.log.Info("no longer the leader")
				continue
			}
			n.log.Info("leader", "term", n.raft.CurrentTerm())
			n.initializeGroup()
		case <-time.After(sessionCheckInterval):
			if n.raft.State() != raft.Leader {
				continue
			}
			n.heartbeats.expireSessions()
			if now := n.cfg.Clock.Mono(); now.Sub(looked) >= memberCheckInterval {
				looked = now
				if n.cfg.ExpiryGuard.ExpiredBy == "duty" {
					continue
				}
				if _, _, err := n.heartbeats.expireMembers(now, Command{}); err != nil {
					n.log.Warn("registrations not ended", "err", err)
				}
			}
		}
	}
}

// initializeGroup gives a new group its epoch and its static members. Until the log
// before is applied here nothing can be said of either.
func (n *Node) initializeGroup() {
	if err := n.awaitFuture(n.raft.Barrier(applyTimeout)); err != nil {
		return // lost again: the next leader sees to it
	}
	members, epoch, _ := n.store.members()
	// The first leader of a group puts its zones into regions; later they are the
	// operators'. The epoch comes last: with it, all of this was done.
	if epoch == "" {
		for _, z := range n.cfg.Zones {
			if _, err := n.apply(Command{Request: NewID(), Op: OpZone, Zone: z.Name, Region: z.Region}); err != nil {
				n.log.Warn("zone not put into its region", "zone", z.Name, "err", err)
				return
			}
		}
	}
	if epoch == "" {
		if _, err := n.apply(Command{Request: NewID(), Op: OpEpoch, Epoch: NewID()}); err != nil {
			n.log.Warn("no epoch yet", "err", err)
			return
		}
	}
	have := map[string]Member{}
	for _, m := range members {
		have[m.ID] = m
	}
	for _, s := range n.cfg.Members {
		if old, ok := have[s.ID]; ok && old.Static {
			continue // as it is: it may have been drained since
		}
		if _, err := n.apply(Command{Request: NewID(), Op: OpAdd, Member: Member{Member: s.member(), Static: true}}); err != nil {
			n.log.Warn("static member not added", "member", s.ID, "err", err)
			return
		}
	}
}
