package registry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// retryAfterSeconds is the Retry-After of a 503, since an election takes about a second.
const retryAfterSeconds = "1"

// errorResponse is the body of a response other than 2xx.
type errorResponse struct {
	Error   string `json:"error"`
	Changed int64  `json:"changed,omitempty"` // 409: the revision of the member's last change
	Token   int64  `json:"token,omitempty"`   // rejected grant, or 412: the role's current token
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client is gone; it sends the request again
}

func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(w, status, errorResponse{Error: fmt.Sprintf(format, args...)})
}

func writeRejected(w http.ResponseWriter, result Result) {
	writeJSON(w, result.Status, errorResponse{result.Error, result.Changed, result.Token})
}

// setListHeaders sets the headers with the list's epoch and revision, and marks a response
// as stale if this node's copy may be old.
func (n *Node) setListHeaders(w http.ResponseWriter, epoch string, revision int64) {
	w.Header().Set(EpochHeader, epoch)
	w.Header().Set(RevisionHeader, strconv.FormatInt(revision, 10))
	if n.isStale() {
		w.Header().Set(StaleHeader, "true")
	}
}

// applyAndRespond applies a command with the request's id and fence, and responds with
// the result. It reports whether the command succeeded.
func (n *Node) applyAndRespond(w http.ResponseWriter, r *http.Request, c Command) bool {
	c.Request = r.Header.Get(RequestHeader)
	if len(c.Request) > maxIDBytes {
		writeError(w, http.StatusBadRequest, "%s: over %d bytes", RequestHeader, maxIDBytes)
		return false
	}
	if c.Role == "" { // a grant, note, release or hold names its role in the path, and a token in the body
		fence, err := readFence(r)
		if err != nil {
			writeError(w, http.StatusBadRequest, "%v", err)
			return false
		}
		c.Role, c.Token = fence.role, fence.token
	}
	result, err := n.apply(c)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "%v", err)
		return false
	}
	if result.Status != http.StatusOK {
		writeRejected(w, result)
		return false
	}
	w.Header().Set(RevisionHeader, strconv.FormatInt(result.Revision, 10))
	writeJSON(w, http.StatusOK, result)
	return true
}
