package registry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/raft"
)

// restoreTimeout is how long the restore of a backup may take.
const restoreTimeout = 10 * time.Second

// getSnapshot serves the leader's state as a backup.
func (n *Node) getSnapshot(w http.ResponseWriter, _ *http.Request) {
	if err := n.catchUp(); err != nil {
		writeError(w, http.StatusServiceUnavailable, "%v", err)
		return
	}
	encoded, err := n.store.Snapshot()
	if err != nil {
		writeError(w, http.StatusInternalServerError, "%v", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded.(snapshot)) // fails only if the client is gone; it sends the request again
}

// putSnapshot restores the whole group from a backup, in a new epoch.
func (n *Node) putSnapshot(w http.ResponseWriter, r *http.Request) {
	state, err := ReadState(io.LimitReader(r.Body, maxSnapshotBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	n.raiseRevisions(state)
	text, err := json.Marshal(state)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "%v", err)
		return
	}
	meta := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(text)), Index: n.raft.LastIndex(), Term: n.raft.CurrentTerm()}
	if err := n.raft.Restore(meta, bytes.NewReader(text), restoreTimeout); err != nil {
		writeError(w, http.StatusServiceUnavailable, "%v", err)
		return
	}
	n.applyAndRespond(w, r, Command{Op: OpEpoch, Epoch: NewID()})
}

// raiseRevisions raises the revisions and the last token of a backup to at least the
// current ones, since they must never decrease. Otherwise clients would reject the
// group's lists as those of a node that is behind.
func (n *Node) raiseRevisions(backup *State) {
	_, revision, _ := n.store.position()
	token, roleRevision := n.store.lastToken()
	backup.Revision = max(backup.Revision, revision)
	backup.LastToken = max(backup.LastToken, token)
	backup.RoleRevision = max(backup.RoleRevision, roleRevision)
}
