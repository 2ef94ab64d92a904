package registry

import (
	"net/http"
	"time"
)

// Status is a node's view of itself and its group.
type Status struct {
	ID                   string    `json:"id"`
	RaftRole             string    `json:"role"`   // Leader, Follower or Candidate in Raft; unrelated to Role
	Leader               string    `json:"leader"` // HTTP address; empty if there is no leader
	Term                 uint64    `json:"term"`
	Epoch                string    `json:"epoch"`
	Revision             int64     `json:"revision"`
	Members              int       `json:"members"`
	Watchers             int64     `json:"watchers"`
	Stale                bool      `json:"stale"`   // the node has lost contact with the leader, so what it serves may be old
	Applied              uint64    `json:"applied"` // index of the last applied log entry
	SuspendedExpirations int       `json:"lapses_held"`
	SuspendedSince       time.Time `json:"lapses_held_since,omitzero"`
}

func (n *Node) getStatus(w http.ResponseWriter, _ *http.Request) {
	epoch, revision, members := n.store.position()
	leader, _ := n.leader()
	suspended, since := n.heartbeats.suspension()
	writeJSON(w, http.StatusOK, Status{
		ID:                   n.cfg.ID,
		RaftRole:             n.raft.State().String(),
		Leader:               leader,
		Term:                 n.raft.CurrentTerm(),
		Epoch:                epoch,
		Revision:             revision,
		Members:              members,
		Watchers:             n.watchers.Load(),
		Stale:                n.isStale(),
		Applied:              n.raft.AppliedIndex(),
		SuspendedExpirations: suspended,
		SuspendedSince:       since,
	})
}
