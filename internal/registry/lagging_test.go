package registry

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// writer sends one write after the other without a pause, until stopAndCount is called.
type writer struct {
	group   *group
	stop    chan struct{}
	done    chan struct{}
	retries atomic.Int64 // writes sent again because the node was no longer the leader
	writes  int          // writes that were answered; read it once done is closed
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
		m := testMember(fmt.Sprint("s-", w.writes%50), fmt.Sprintf("127.0.0.1:%d", w.writes%50+1))
		m.Cell, m.TTL = w.writes, 0 // without expiry each write, and nothing else, raises the revision by one
		_, retries, err := w.group.apply(Command{Request: NewID(), Op: OpAdd, Member: m})
		w.retries.Add(int64(retries))
		if err != nil {
			w.err = fmt.Errorf("write %d: %w", w.writes, err)
			return
		}
	}
}

// stopAndCount stops the writer, and returns how many writes were answered.
func (w *writer) stopAndCount(t *testing.T) int {
	t.Helper()
	close(w.stop)
	<-w.done
	if w.err != nil {
		t.Error(w.err)
	}
	return w.writes
}

// snapshotIndex returns the index of the last log entry that a node's latest snapshot
// covers.
func snapshotIndex(t *testing.T, n *Node) uint64 {
	t.Helper()
	index, err := strconv.ParseUint(n.raft.Stats()["last_snapshot_index"], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return index
}

// installSnapshotAtFollower stops a follower until the leader has cut the entries that it
// misses from the log, and starts it again. It waits until the follower has installed a
// snapshot, and reports whether no write had to be sent again since the start.
func installSnapshotAtFollower(t *testing.T, g *group, w *writer) bool {
	t.Helper()
	follower := (g.leader() + 1) % len(g.nodes)
	g.stop(follower)
	leader := g.nodes[g.leader()]
	firstMissing := leader.raft.LastIndex() + 1
	waitFor(t, "the leader to cut the missing entries from its log", func() bool {
		first, err := leader.bolt.FirstIndex()
		return err == nil && first > firstMissing+200
	})
	retries := w.retries.Load()
	g.start(follower)
	restarted := g.nodes[follower]
	waitFor(t, "the follower to install a snapshot and catch up", func() bool {
		return snapshotIndex(t, restarted) > firstMissing && restarted.raft.AppliedIndex() > firstMissing+200
	})
	return w.retries.Load() == retries
}

// TestLaggingNodeInstallsSnapshotDuringWrites checks that a node whose missing entries were
// cut from the log catches up by a snapshot while writes go on. On a busy machine the
// leader may lose leadership at any time, but a returning node must not cause that: at
// least one of three returns has to pass without a loss of leadership.
func TestLaggingNodeInstallsSnapshotDuringWrites(t *testing.T) {
	t.Parallel()
	g := startGroupWith(t, 3, func(c *Config) {
		c.tuneRaft = func(r *raft.Config) {
			r.SnapshotThreshold, r.TrailingLogs, r.SnapshotInterval = 64, 8, 50*time.Millisecond
		}
	})
	_, _, initialRevision := g.nodes[g.leader()].store.members()
	w := startWriter(g)
	undisturbed := false
	for round := 0; round < 3 && !undisturbed; round++ {
		undisturbed = installSnapshotAtFollower(t, g, w)
	}
	writes := w.stopAndCount(t)
	if !undisturbed {
		t.Error("leadership was lost in each of three returns of a node")
	}
	for i, n := range g.nodes { // each write was applied exactly once: none is missing, and no retry was applied again
		waitFor(t, fmt.Sprintf("node %d to apply all writes", i), func() bool {
			_, _, revision := n.store.members()
			return revision == initialRevision+int64(writes)
		})
	}
	if writes < 200 {
		t.Errorf("%d writes were answered, want at least 200", writes)
	}
	t.Logf("%d writes, %d retries", writes, w.retries.Load())
}
