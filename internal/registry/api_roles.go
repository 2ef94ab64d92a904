package registry

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// maxRolesWait is the longest that a poll of the roles waits for a change.
const maxRolesWait = 20 * time.Second

// RoleRequest is the body of a request that grants, releases, disables or enables a
// role, or saves its note.
type RoleRequest struct {
	Session   string `json:"session,omitempty"` // grant: id of the session
	Token     int64  `json:"token,omitempty"`   // note, release
	Note      string `json:"note,omitempty"`
	Successor string `json:"next,omitempty"`   // release: name of the controller that gets the role next
	Healthy   bool   `json:"good,omitempty"`   // note: the work succeeds, and Note is not set
	Failed    bool   `json:"failed,omitempty"` // release: the work failed
	LeaseLost bool   `json:"lost,omitempty"`   // release: the lease was lost while the work ran
	Disabled  bool   `json:"off,omitempty"`    // hold: true disables the role, false enables it again
}

// getRoles serves all roles and sessions. It waits for up to the query parameter wait_ms
// until their revision differs from the query parameter after.
func (n *Node) getRoles(w http.ResponseWriter, r *http.Request) {
	after, afterErr := queryInt(r, "after")
	waitMS, waitErr := queryInt(r, "wait_ms")
	if err := errors.Join(afterErr, waitErr); err != nil {
		writeError(w, http.StatusBadRequest, "after, wait_ms: %v", err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(waitMS)*time.Millisecond, maxRolesWait))
	defer cancel()
	list := n.pollRoles(ctx, after)
	epoch, revision, _ := n.store.position()
	n.setListHeaders(w, epoch, revision)
	writeJSON(w, http.StatusOK, list)
}

// pollRoles returns the roles and sessions once their revision differs from after, the
// context is done, or the node is closed.
func (n *Node) pollRoles(ctx context.Context, after int64) RoleList {
	for {
		list, changed := n.store.roleList()
		if list.Revision != after || ctx.Err() != nil || n.ctx.Err() != nil {
			return list
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-n.ctx.Done():
		}
	}
}

// postRole returns the handler of one operation on a role.
func (n *Node) postRole(op Op) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body RoleRequest
		if !decodeBody(w, r, &body) {
			return
		}
		name := r.PathValue("name")
		if len(name) > maxIDBytes || len(body.Note) > maxNoteBytes || len(body.Successor) > maxIDBytes {
			writeError(w, http.StatusBadRequest, "name, next: %d bytes at most; note: %d", maxIDBytes, maxNoteBytes)
			return
		}
		n.applyAndRespond(w, r, Command{
			Op:        op,
			Role:      name,
			Session:   Session{ID: body.Session},
			Token:     body.Token,
			Note:      body.Note,
			Successor: body.Successor,
			Healthy:   body.Healthy,
			Failed:    body.Failed,
			LeaseLost: body.LeaseLost,
			Disabled:  body.Disabled,
		})
	}
}
