package registry

import (
	"net/http"
	"time"
)

// Limits of a session's time to live.
const (
	minSessionTTL = 300 * time.Millisecond // with a shorter one, a controller would lose its lease in every election of a leader
	maxSessionTTL = 5 * time.Minute
)

// SessionRequest is the body of a request that opens a session.
type SessionRequest struct {
	ID         string `json:"id"`
	Controller string `json:"warden"`
	TTLMS      int64  `json:"ttl_ms"`
}

func (n *Node) postSession(w http.ResponseWriter, r *http.Request) {
	var body SessionRequest
	if !decodeBody(w, r, &body) {
		return
	}
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	switch {
	case body.ID == "" || len(body.ID) > maxIDBytes || body.Controller == "" || len(body.Controller) > maxIDBytes:
		writeError(w, http.StatusBadRequest, "id, warden: 1 to %d bytes are wanted", maxIDBytes)
		return
	case ttl < minSessionTTL || ttl > maxSessionTTL:
		writeError(w, http.StatusBadRequest, "ttl_ms: %d; from %d to %d", body.TTLMS, minSessionTTL.Milliseconds(), maxSessionTTL.Milliseconds())
		return
	}
	n.heartbeats.recordSession(body.ID)
	n.applyAndRespond(w, r, Command{Op: OpSession, Session: Session{body.ID, body.Controller, ttl}})
}

// postRenewSession renews a session. It has a majority confirm that this node is still
// the leader. A deposed leader that doesn't know it yet would otherwise renew a session
// that the next leader expires.
func (n *Node) postRenewSession(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if n.store.hasSession(id) && n.heartbeats.recordSession(id) {
		if err := n.awaitFuture(n.raft.VerifyLeader()); err != nil {
			writeError(w, http.StatusServiceUnavailable, "%v", err)
			return
		}
	}
	if !n.store.hasSession(id) {
		writeError(w, http.StatusNotFound, "session %s is unknown", id)
		return
	}
	writeJSON(w, http.StatusOK, succeeded())
}

func (n *Node) deleteSession(w http.ResponseWriter, r *http.Request) {
	n.applyAndRespond(w, r, Command{Op: OpSessionEnd, EndedSessions: []string{r.PathValue("id")}})
}
