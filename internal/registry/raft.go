package registry

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// Raft's parameters. A follower waits between one and two heartbeat timeouts before it
// starts an election, so a leader that died is replaced well within 1.5 s.
const (
	raftHeartbeatTimeout = 300 * time.Millisecond
	raftLeaderLease      = 250 * time.Millisecond // shorter than the heartbeat timeout: a cut-off leader steps down before an election
	raftCommitInterval   = 5 * time.Millisecond
	raftConnsPerPeer     = 3
	raftIOTimeout        = time.Second

	retainedSnapshots = 2
	snapshotInterval  = 10 * time.Second
	snapshotThreshold = 8192 // log entries after which a snapshot is taken and the log is cut
	trailingLogs      = 2048 // log entries kept behind a snapshot, which a node that lags a little catches up with
	cachedLogs        = 512  // latest log entries that are kept in memory

	boltLockTimeout = 2 * time.Second
)

// ErrStoreInUse means that another process has the data folder open.
var ErrStoreInUse = errors.New("in use by another process")

// openRaft opens the node's Raft store, bootstraps the group if it is new, and starts
// Raft.
func (n *Node) openRaft() (err error) {
	path := filepath.Join(n.cfg.DataDir, "raft.db")
	if n.bolt, err = openBolt(path); err != nil {
		return err
	}
	snapshots, err := raft.NewFileSnapshotStore(n.cfg.DataDir, retainedSnapshots, io.Discard)
	if err != nil {
		return fmt.Errorf("data: %w", err)
	}
	transport, err := n.openTransport()
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	defer func() {
		if err != nil {
			transport.Close()
		}
	}()
	logs, err := n.openLogs()
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	hasState, err := raft.HasExistingState(logs, n.bolt, snapshots)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
	}
	config := n.raftConfig()
	if !hasState {
		if err := raft.BootstrapCluster(config, logs, n.bolt, snapshots, transport, n.initialServers()); err != nil {
			return fmt.Errorf("raft: %w", err)
		}
	}
	if n.raft, err = raft.NewRaft(config, n.store, logs, n.bolt, snapshots, transport); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrCorrupt, n.cfg.DataDir, err)
	}
	return nil
}

func (n *Node) raftConfig() *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(n.cfg.ID)
	c.HeartbeatTimeout = raftHeartbeatTimeout
	c.ElectionTimeout = raftHeartbeatTimeout
	c.LeaderLeaseTimeout = raftLeaderLease
	c.CommitTimeout = raftCommitInterval
	c.SnapshotThreshold = snapshotThreshold
	c.SnapshotInterval = snapshotInterval
	c.TrailingLogs = trailingLogs
	c.Logger = hclog.New(&hclog.LoggerOptions{Output: raftLogWriter{n.log}, Level: hclog.Warn, DisableTime: true})
	if n.cfg.tuneRaft != nil {
		n.cfg.tuneRaft(c)
	}
	return c
}

// openTransport listens for the other nodes. Raft's own configuration has only the ids of
// the nodes. ServerAddr looks up their addresses in this node's configuration, so an
// address may change, and may differ from node to node.
func (n *Node) openTransport() (*raft.NetworkTransport, error) {
	addr, err := net.ResolveTCPAddr("tcp", n.cfg.Raft)
	if err != nil {
		return nil, err
	}
	return raft.NewTCPTransportWithConfig(n.cfg.Raft, addr, &raft.NetworkTransportConfig{
		ServerAddressProvider: n,
		MaxPool:               raftConnsPerPeer,
		Timeout:               raftIOTimeout,
		Logger:                hclog.NewNullLogger(),
	})
}

// openLogs returns the log store, which reads through a cache.
func (n *Node) openLogs() (raft.LogStore, error) {
	var logs raft.LogStore = n.bolt
	if n.cfg.wrapLogStore != nil {
		logs = n.cfg.wrapLogStore(logs)
	}
	return raft.NewLogCache(cachedLogs, logs)
}

// initialServers returns the Raft configuration of a new group. It is the same on each
// node, so it doesn't matter which one is elected first.
func (n *Node) initialServers() raft.Configuration {
	var servers []raft.Server
	for _, p := range n.cfg.Peers {
		servers = append(servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.ID)})
	}
	return raft.Configuration{Servers: servers}
}

// ServerAddr implements raft.ServerAddressProvider.
func (n *Node) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	for _, p := range n.cfg.Peers {
		if raft.ServerID(p.ID) == id {
			return raft.ServerAddress(p.Raft), nil
		}
	}
	return "", fmt.Errorf("raft: node %s is not in the configuration", id)
}

// openBolt opens the file that stores Raft's log and its votes. An error wraps ErrCorrupt
// or ErrStoreInUse.
func openBolt(path string) (store *raftboltdb.BoltStore, err error) {
	defer func() {
		if p := recover(); p != nil { // bbolt panics on some kinds of corruption
			err = fmt.Errorf("%w: %s: %v", ErrCorrupt, path, p)
		}
	}()
	store, err = raftboltdb.New(raftboltdb.Options{
		Path:        path,
		BoltOptions: &bbolt.Options{Timeout: boltLockTimeout, FreelistType: bbolt.FreelistMapType},
	})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: %w", path, ErrStoreInUse)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w; move it away, and this node is rebuilt from the others", ErrCorrupt, path, err)
	}
	return store, nil
}

// raftLogWriter writes the log lines of the raft library to the node's log.
type raftLogWriter struct{ log *slog.Logger }

// Write implements io.Writer. Each call passes one line.
func (w raftLogWriter) Write(line []byte) (int, error) {
	w.log.Warn("raft", "message", strings.TrimSuffix(string(line), "\n"))
	return len(line), nil
}
