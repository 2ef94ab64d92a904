package registry

import (
	"strings"
	"testing"

	"plovershore/internal/discovery"
)

// TestRestoreBeginsEpochAndDoesNotDecreaseRevision checks that a restore begins a new
// epoch, that the revision doesn't decrease, and that a watcher of the previous epoch is
// sent the complete list.
func TestRestoreBeginsEpochAndDoesNotDecreaseRevision(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	g.sendToLeader("POST", MembersPath, "q1", registrationJSON)
	_, _, backup := g.sendToLeader("GET", SnapshotPath, "", "")
	g.sendToLeader("POST", MembersPath, "q2", strings.NewReplacer("s-1", "s-2", ":99", ":98").Replace(registrationJSON))
	_, oldEpoch, oldRevision := g.caughtUpLeader().store.members()
	if status, _, text := g.sendToLeader("PUT", SnapshotPath, "q3", backup); status != 200 {
		t.Fatal(status, text)
	}
	n := g.caughtUpLeader()
	members, newEpoch, newRevision := n.store.members()
	if len(members) != 1 || newEpoch == oldEpoch || newRevision <= oldRevision {
		t.Errorf("%d members at revision %d of epoch %s, want 1 in a later revision than %d and another epoch than %s", len(members), newRevision, newEpoch, oldRevision, oldEpoch)
	}
	lines, _, _, _ := n.store.changesSince(oldEpoch, oldRevision)
	if len(lines) != 1 || !strings.Contains(string(lines[0]), `"complete":true`) {
		t.Errorf("a watcher of the previous epoch is sent %s, want the complete list", lines)
	}
	if status, _, text := g.sendToLeader("PUT", SnapshotPath, "q4", `{"revision":1,"members":{"x":{"id":"y"}}}`); status != 400 {
		t.Errorf("response to an invalid backup: %d %s, want 400", status, text)
	}
}

// TestInvalidRequestsChangeNothing checks the status and the text of each rejection, and
// that the list's revision stays the same.
func TestInvalidRequestsChangeNothing(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 1)
	n := g.nodes[0]
	sendRequest(t, n, "POST", MembersPath, "q", registrationJSON)
	_, _, before := n.store.members()
	for _, tt := range []struct {
		method, path, body string
		wantStatus         int
		wantText           string
	}{
		{"POST", MembersPath, strings.Repeat("x", maxBodyBytes+1), 413, "bytes"},
		{"POST", MembersPath, `{"id":`, 400, "body"},
		{"POST", MembersPath, `{"id":7}`, 400, "id"},
		{"POST", MembersPath, `{"id":"","address":"127.0.0.1:1"}`, 400, "id"},
		{"POST", MembersPath, `{"id":"x","address":"nowhere"}`, 400, "address"},
		{"POST", MembersPath, `{"id":"x","address":"127.0.0.1:1","cell":-1}`, 400, "cell"},
		{"POST", MembersPath, `{"id":"x","address":"127.0.0.1:1","ttl_ms":3}`, 400, "ttl_ms"},
		{"POST", MembersPath, `{"id":"s-1","address":"127.0.0.1:99","if":77}`, 409, `"changed":2`},
		{"POST", MembersPath + "/s-1/phase", `{"phase":"asleep"}`, 400, "phase"},
		{"POST", MembersPath + "/nope/phase", `{"phase":"draining"}`, 404, "nope"},
		{"DELETE", MembersPath + "/s-1?if=x", ``, 400, "if"},
		{"DELETE", MembersPath + "/nope", ``, 404, "nope"},
		{"POST", discovery.NoticePath, `{"message":"m","outcome":"lost"}`, 400, ""},
		{"GET", discovery.ListPath + "?watch=1&from=x", ``, 400, "from"},
	} {
		status, _, text := sendRequest(t, n, tt.method, tt.path, NewID(), tt.body)
		if status != tt.wantStatus || !strings.Contains(text, tt.wantText) {
			t.Errorf("%s %s %.40s: response %d %s", tt.method, tt.path, tt.body, status, text)
		}
	}
	if _, _, after := n.store.members(); after != before {
		t.Errorf("revision %d after the requests, %d before", after, before)
	}
}
