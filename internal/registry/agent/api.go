package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/registry/client"
)

const (
	statusPath = "/v1/status"

	watchKeepAlive    = 2 * time.Second // interval at which an empty line is sent
	watchWriteTimeout = 5 * time.Second
	maxNoticeBytes    = 1 << 20 // longest body of a request with notices
)

func (a *Agent) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+discovery.ListPath, a.getList)
	mux.HandleFunc("POST "+discovery.NoticePath, a.postNotices)
	mux.HandleFunc("GET "+statusPath, a.getStatus)
	return mux
}

// getList serves the list or a watch of it. It waits until the agent has a list.
func (a *Agent) getList(w http.ResponseWriter, r *http.Request) {
	if !a.awaitList(r.Context()) {
		return
	}
	if r.URL.Query().Get("watch") != "1" {
		writeJSON(w, a.completeList())
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: a revision is wanted", http.StatusBadRequest)
		return
	}
	a.watch(w, r, from)
}

// awaitList waits for the agent's first list. It returns false if the request is cancelled
// or the agent is closed before.
func (a *Agent) awaitList(ctx context.Context) bool {
	for {
		ok, changed := a.hasList()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-a.ctx.Done():
			return false
		}
	}
}

// watch writes the changes after a revision, until the client disconnects or the agent is
// closed.
func (a *Agent) watch(w http.ResponseWriter, r *http.Request, revision int64) {
	out := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	if out.Flush() != nil {
		return
	}
	keepAlive := time.NewTicker(watchKeepAlive)
	defer keepAlive.Stop()
	encoder := json.NewEncoder(w)
	for {
		changes, changed := a.changesSince(revision)
		_ = out.SetWriteDeadline(time.Now().Add(watchWriteTimeout)) // cannot fail: the server's connections support deadlines
		for _, change := range changes {
			if encoder.Encode(change) != nil || out.Flush() != nil {
				return
			}
			revision = change.Revision
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			if _, err := io.WriteString(w, "\n"); err != nil || out.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		case <-a.ctx.Done():
			return
		}
	}
}

// postNotices saves notices to the spool. It responds with 204 once they are on disk.
func (a *Agent) postNotices(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxNoticeBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(text) > maxNoticeBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	notices, err := discovery.ReadNotices(bytes.NewReader(text))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.spool.add(notices); err != nil {
		a.options.Log.Error("notices not saved", "err", err)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Status is an agent's view of itself and its group.
type Status struct {
	Up       bool            `json:"up"`              // a watch on the group is open
	At       client.Position `json:"at"`              // position in the group's changes
	Revision int64           `json:"revision"`        // the agent's own revision of the list
	Members  int             `json:"members"`         // number of members in the list
	AgeMS    int64           `json:"age_ms"`          // 0 while Up; otherwise the time since the last contact with the group
	Spooled  int             `json:"spooled"`         // number of notices that the group hasn't accepted yet
	Error    string          `json:"error,omitempty"` // why the list could not be saved
}

// State returns the agent's status.
func (a *Agent) State() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Status{
		Up:       a.following,
		At:       a.list.At,
		Revision: a.list.Revision,
		Members:  len(a.list.Members),
		Spooled:  a.spool.count(),
	}
	lastContact := a.lastContact
	if lastContact.IsZero() {
		lastContact = a.list.Saved
	}
	if !a.following && !lastContact.IsZero() {
		s.AgeMS = time.Since(lastContact).Milliseconds()
	}
	if a.saveErr != nil {
		s.Error = a.saveErr.Error()
	}
	return s
}

func (a *Agent) getStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.State()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client is gone; it sends the request again
}
