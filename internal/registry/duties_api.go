package registry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Paths of sessions and duties.
const (
	SessionsPath = "/v1/sessions"
	RolesPath    = "/v1/duties"
	ExpirePath   = "/v1/lapse" // the effect of list-keeper
)

// FenceHeader goes with a write that is a duty's effect: its name, an equals sign
// and its token. A write whose token is not the present one is refused with 412.
const FenceHeader = "Duty-Fence"

const (
	minSessionTTL = 300 * time.Millisecond // a shorter time to live would end with every election
	maxSessionTTL = 5 * time.Minute
	maxRolesWait  = 20 * time.Second
)

// SessionRequest opens a session.
type SessionRequest struct {
	ID         string `json:"id"`
	Controller string `json:"warden"`
	TTLMS      int64  `json:"ttl_ms"`
}

// RoleRequest is the body of a grant, a note, a release or a hold.
type RoleRequest struct {
	Session   string `json:"session,omitempty"` // grant
	Token     int64  `json:"token,omitempty"`   // note, release
	Note      string `json:"note,omitempty"`
	Successor string `json:"next,omitempty"`
	Healthy   bool   `json:"good,omitempty"`
	Failed    bool   `json:"failed,omitempty"`
	LeaseLost bool   `json:"lost,omitempty"` // release: the lease ended under the work
	Disabled  bool   `json:"off,omitempty"`  // hold
}

func (n *Node) roleRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+SessionsPath, n.leaderOnly(n.postSession))
	mux.HandleFunc("POST "+SessionsPath+"/{id}/renew", n.leaderOnly(n.postRenewSession))
	mux.HandleFunc("DELETE "+SessionsPath+"/{id}", n.leaderOnly(n.deleteSession))
	mux.HandleFunc("GET "+RolesPath, n.getRoles)
	mux.HandleFunc("POST "+ExpirePath, n.leaderOnly(n.postExpire))
	for op, path := range map[Op]string{OpGrant: "grant", OpNote: "note", OpRelease: "release", OpDisable: "hold"} {
		mux.HandleFunc("POST "+RolesPath+"/{name}/"+path, n.leaderOnly(func(w http.ResponseWriter, r *http.Request) { n.postRoleCommand(w, r, op) }))
	}
}

func (n *Node) postSession(w http.ResponseWriter, r *http.Request) {
	var x SessionRequest
	if !decodeBody(w, r, &x) {
		return
	}
	ttl := time.Duration(x.TTLMS) * time.Millisecond
	switch {
	case x.ID == "" || len(x.ID) > maxIDBytes || x.Controller == "" || len(x.Controller) > maxIDBytes:
		writeError(w, http.StatusBadRequest, "id, warden: 1 to %d bytes are wanted", maxIDBytes)
		return
	case ttl < minSessionTTL || ttl > maxSessionTTL:
		writeError(w, http.StatusBadRequest, "ttl_ms: %d; from %d to %d", x.TTLMS, minSessionTTL.Milliseconds(), maxSessionTTL.Milliseconds())
		return
	}
	n.heartbeats.recordSession(x.ID)
	n.applyAndRespond(w, r, Command{Op: OpSession, Session: Session{x.ID, x.Controller, ttl}})
}

// postRenewSession keeps a session. Only a leader that a majority still follows may say
// so: one that was deposed and does not know yet would keep a session that the
// next one ends.
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
	writeJSON(w, http.StatusOK, Result{Status: http.StatusOK})
}

func (n *Node) deleteSession(w http.ResponseWriter, r *http.Request) {
	n.applyAndRespond(w, r, Command{Op: OpSessionEnd, EndedSessions: []string{r.PathValue("id")}})
}

// getRoles gives all duties; with after, once they are of another revision, or
// wait_ms is over.
func (n *Node) getRoles(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt("0"+r.URL.Query().Get("after"), 10, 64)
	ms, werr := strconv.ParseInt("0"+r.URL.Query().Get("wait_ms"), 10, 64)
	if err = errors.Join(err, werr); err != nil {
		writeError(w, http.StatusBadRequest, "after, wait_ms: %v", err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(ms)*time.Millisecond, maxRolesWait))
	defer cancel()
	for {
		l, changed := n.store.roleList()
		if l.Revision != after || ctx.Err() != nil || n.ctx.Err() != nil {
			epoch, revision, _ := n.store.position()
			n.setListHeaders(w, epoch, revision)
			writeJSON(w, http.StatusOK, l)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-n.ctx.Done():
		}
	}
}

func (n *Node) postRoleCommand(w http.ResponseWriter, r *http.Request, op Op) {
	var x RoleRequest
	if !decodeBody(w, r, &x) {
		return
	}
	name := r.PathValue("name")
	if len(name) > maxIDBytes || len(x.Note) > maxNoteBytes || len(x.Successor) > maxIDBytes {
		writeError(w, http.StatusBadRequest, "name, next: %d bytes at most; note: %d", maxIDBytes, maxNoteBytes)
		return
	}
	n.applyAndRespond(w, r, Command{Op: op, Role: name, Session: Session{ID: x.Session}, Token: x.Token, Note: x.Note, Successor: x.Successor, Healthy: x.Healthy, Failed: x.Failed, LeaseLost: x.LeaseLost, Disabled: x.Disabled})
}

// postExpire ends the registrations that are due, as an effect of a duty.
func (n *Node) postExpire(w http.ResponseWriter, r *http.Request) {
	var c Command
	if err := readFence(r, &c); err != nil || c.Role == "" {
		writeError(w, http.StatusBadRequest, "%s: NAME=TOKEN is wanted", FenceHeader)
		return
	}
	count, a, err := n.heartbeats.expireMembers(n.cfg.Clock.Mono(), c)
	switch {
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, "%v", err)
	case a.Status != http.StatusOK:
		writeJSON(w, a.Status, errorResponse{a.Error, a.Changed, a.Token})
	default:
		writeJSON(w, http.StatusOK, map[string]int{"lapsed": count})
	}
}

// readFence reads the header of a duty's effect into a command.
func readFence(r *http.Request, c *Command) error {
	text := r.Header.Get(FenceHeader)
	if text == "" || c.Role != "" {
		return nil
	}
	name, token, ok := strings.Cut(text, "=")
	var err error
	if c.Role = name; ok {
		c.Token, err = strconv.ParseInt(token, 10, 64)
	}
	if !ok || err != nil || name == "" {
		return fmt.Errorf("%s: %q; NAME=TOKEN is wanted", FenceHeader, text)
	}
	return nil
}
