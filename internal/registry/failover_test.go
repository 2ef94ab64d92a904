package registry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"plovershore/internal/discovery"
)

// TestRetryAfterLeaderIsStoppedHasFirstResult checks that a write that is sent again
// after its leader was stopped changes nothing at the next leader, and has the result of
// the first one.
func TestRetryAfterLeaderIsStoppedHasFirstResult(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	first, _, err := g.apply(Command{Request: "q-1", Op: OpAdd, Member: testMember("s-1", "127.0.0.1:99")})
	if err != nil {
		t.Fatal(err)
	}
	g.stop(g.leader())
	retried, _, err := g.apply(Command{Request: "q-1", Op: OpAdd, Member: testMember("s-1", "127.0.0.1:99")})
	if err != nil || retried != first {
		t.Errorf("first result %+v, result of the retry %+v, error %v", first, retried, err)
	}
	if _, _, revision := g.caughtUpLeader().store.members(); revision != first.Revision {
		t.Errorf("revision %d after the retry, want %d as before", revision, first.Revision)
	}
}

// TestMinorityNodeRejectsWritesAndMarksReadsStale checks a node whose two peers are
// stopped. It also ends its watches, so that their clients ask another node.
func TestMinorityNodeRejectsWritesAndMarksReadsStale(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	remaining := g.nodes[0]
	if status, _, text := sendRequest(t, g.nodes[g.leader()], "POST", MembersPath, "q", registrationJSON); status != 200 {
		t.Fatal(status, text)
	}
	waitFor(t, "the node to apply the registration", func() bool { m, _, _ := remaining.store.members(); return len(m) == 1 })
	resp, err := http.Get("http://" + remaining.Addr() + discovery.ListPath + "?watch=1&from=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	ended := make(chan error, 1)
	go func() { _, err := io.Copy(io.Discard, resp.Body); ended <- err }()
	g.stop(1)
	g.stop(2)
	waitFor(t, "writes to be rejected with 503 and Retry-After", func() bool {
		status, header, _ := sendRequest(t, remaining, "POST", MembersPath, "q2", registrationJSON)
		return status == 503 && header.Get("Retry-After") != ""
	})
	waitFor(t, "reads to be marked as stale", func() bool {
		status, header, text := sendRequest(t, remaining, "GET", discovery.ListPath, "", "")
		return status == 200 && header.Get(StaleHeader) == "true" && header.Get(RevisionHeader) != "" && strings.Contains(text, "s-1")
	})
	if status, _, _ := sendRequest(t, remaining, "GET", discovery.ListPath+"?consistent=1", "", ""); status != 503 {
		t.Errorf("status %d of a linearizable read at a node without a majority, want 503", status)
	}
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Error("the watch is still open 30 s after the node lost the majority")
	}
}

// TestNodeWithEmptyFolderIsRebuiltFromPeers checks that Start returns ErrCorrupt for a
// corrupt store, and that a node that is started with an empty folder gets the list from
// its peers.
func TestNodeWithEmptyFolderIsRebuiltFromPeers(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	leader := g.leader()
	follower := (leader + 1) % 3
	g.stop(follower)
	if err := os.WriteFile(filepath.Join(g.configs[follower].DataDir, "raft.db"), []byte(strings.Repeat("damage", 4096)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Start(g.configs[follower], discardLog()); !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), "raft.db") {
		t.Fatalf("start with a corrupt store: error %v, want ErrCorrupt with the file name", err)
	}
	for i := range 50 {
		if _, _, err := g.apply(Command{Request: NewID(), Op: OpAdd, Member: testMember(fmt.Sprint("s-", i), fmt.Sprintf("127.0.0.1:%d", i+1))}); err != nil {
			t.Fatal(err)
		}
	}
	if err := g.nodes[g.leader()].raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(g.configs[follower].DataDir); err != nil {
		t.Fatal(err)
	}
	g.start(follower)
	waitFor(t, "the complete list at the node that had an empty folder", func() bool { m, _, _ := g.nodes[follower].store.members(); return len(m) == 50 })
}

// fullDisk is a log store whose writes fail with ENOSPC while full is set.
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

// TestFullDiskRejectsWritesAndServesReads checks that a node on a full disk rejects
// writes and serves reads, that it accepts writes again once there is space, and that no
// write that was answered with success is lost.
func TestFullDiskRejectsWritesAndServesReads(t *testing.T) {
	t.Parallel()
	full := &atomic.Bool{}
	g := startGroupWith(t, 1, func(c *Config) { c.wrapLogStore = func(s raft.LogStore) raft.LogStore { return fullDisk{s, full} } })
	n := g.nodes[0]
	if status, _, text := sendRequest(t, n, "POST", MembersPath, "q1", registrationJSON); status != 200 {
		t.Fatal(status, text)
	}
	full.Store(true)
	otherJSON := strings.NewReplacer("s-1", "s-2", ":99", ":98").Replace(registrationJSON)
	if status, header, text := sendRequest(t, n, "POST", MembersPath, "q2", otherJSON); status != 503 || header.Get("Retry-After") == "" {
		t.Errorf("response to a write on a full disk: %d %s, want 503 with Retry-After", status, text)
	}
	if status, _, text := sendRequest(t, n, "GET", discovery.ListPath, "", ""); status != 200 || !strings.Contains(text, "s-1") || strings.Contains(text, "s-2") {
		t.Errorf("response to a read on a full disk: %d %s, want 200 with s-1 alone", status, text)
	}
	full.Store(false)
	waitFor(t, "writes to succeed once there is space", func() bool {
		status, _, _ := sendRequest(t, n, "POST", MembersPath, "q2", otherJSON)
		return status == 200
	})
	g.stop(0)
	g.start(0)
	waitFor(t, "both members after a restart", func() bool { m, _, _ := g.nodes[0].store.members(); return len(m) == 2 })
}
