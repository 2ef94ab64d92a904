package registry

import (
	"io"
	"net/http"

	"plovershore/internal/discovery"
)

// getList serves a watch of the list, a linearizable read of it by the leader, or this
// node's own copy of it.
func (n *Node) getList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch {
	case query.Get("watch") == "1":
		n.getWatch(w, r)
	case query.Get("consistent") == "1":
		n.leaderOnly(n.getListConsistent)(w, r)
	default:
		n.writeList(w)
	}
}

func (n *Node) getListConsistent(w http.ResponseWriter, _ *http.Request) {
	if err := n.catchUp(); err != nil {
		writeError(w, http.StatusServiceUnavailable, "%v", err)
		return
	}
	n.writeList(w)
}

func (n *Node) writeList(w http.ResponseWriter) {
	epoch, _, _ := n.store.position()
	text, revision := n.store.list()
	n.setListHeaders(w, epoch, revision)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // fails only if the client is gone; it sends the request again
}

// postNotices counts notices and discards them. Agents that have no other service to send
// notices to send them here.
func (n *Node) postNotices(w http.ResponseWriter, r *http.Request) {
	notices, err := discovery.ReadNotices(io.LimitReader(r.Body, maxNoticeBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.metrics.notices.Add(float64(len(notices)))
	w.WriteHeader(http.StatusNoContent)
}
