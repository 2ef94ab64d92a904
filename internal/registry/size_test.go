package registry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"plovershore/internal/discovery"
)

// targetMembers is the length of the list that the service is sized for.
const targetMembers = 31000

// newNodeWithMembers returns a node that isn't started, whose list has members with a
// time to live.
func newNodeWithMembers(members int) *Node {
	n := &Node{cfg: &Config{}, store: newStore(), log: discardLog()}
	n.heartbeats = newHeartbeatMonitor(n)
	for i := range members {
		id := fmt.Sprint("s-", i)
		n.store.state.Members[id] = Member{Member: discovery.Member{ID: id, HostPort: fmt.Sprintf("127.0.0.1:%d", i+1), Phase: discovery.Up},
			Holder: "h", TTL: time.Minute}
	}
	return n
}

// bytesAllocatedPerCall returns how many bytes a call allocates on average.
func bytesAllocatedPerCall(calls int, call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		call()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / uint64(calls)
}

// TestHeartbeatsAndChecksDoNotCopyList checks that a heartbeat, the check for overdue
// members and the list's position, which the metrics read, don't copy the list: 31,000
// members send 6,200 heartbeats a second.
func TestHeartbeatsAndChecksDoNotCopyList(t *testing.T) {
	n := newNodeWithMembers(targetMembers)
	sendHeartbeat := func() {
		r := httptest.NewRequest(http.MethodPost, HeartbeatsPath, strings.NewReader(`[{"id":"s-30999","holder":"h"}]`))
		w := httptest.NewRecorder()
		n.postHeartbeats(w, r)
		if w.Code != http.StatusOK || strings.TrimSpace(w.Body.String()) != `{"unknown":[]}` {
			t.Fatalf("response to a heartbeat: %d %s", w.Code, w.Body)
		}
	}
	now := time.Now()
	n.heartbeats.dueMembers(n.store.eachMember(), now) // the first check starts the time to live of each member
	for _, tt := range []struct {
		name string
		call func()
	}{{"a heartbeat", sendHeartbeat}, {"a check for overdue members", func() { n.heartbeats.dueMembers(n.store.eachMember(), now) }},
		{"the list's position", func() { n.store.position() }}} {
		if allocated := bytesAllocatedPerCall(20, tt.call); allocated > 64<<10 {
			t.Errorf("%s allocates %d bytes with %d members", tt.name, allocated, targetMembers)
		}
	}
}

// TestHeartbeatsOfUnlistedMembersOrOtherHoldersAreRejected checks that a response names the
// members that aren't listed or have another holder, and that the other heartbeats of the
// request are recorded.
func TestHeartbeatsOfUnlistedMembersOrOtherHoldersAreRejected(t *testing.T) {
	n := newNodeWithMembers(3)
	r := httptest.NewRequest(http.MethodPost, HeartbeatsPath,
		strings.NewReader(`[{"id":"s-0","holder":"h"},{"id":"s-1","holder":"x"},{"id":"s-9","holder":"h"},{"id":"s-2","holder":"h"}]`))
	w := httptest.NewRecorder()
	n.postHeartbeats(w, r)
	if got := strings.TrimSpace(w.Body.String()); got != `{"unknown":["s-1","s-9"]}` {
		t.Errorf("response %s", got)
	}
	if len(n.heartbeats.lastHeartbeat) != 2 || n.heartbeats.lastHeartbeat["s-0"].IsZero() || n.heartbeats.lastHeartbeat["s-2"].IsZero() {
		t.Errorf("heartbeats recorded: %v, want s-0 and s-2", n.heartbeats.lastHeartbeat)
	}
}
