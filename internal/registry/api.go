package registry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/raft"

	"plovershore/internal/discovery"
)

// Paths beside those of the protocol.
const (
	MembersPath       = "/v1/members"
	HeartbeatsPath    = "/v1/heartbeats"
	StatusPath        = "/v1/status"
	SnapshotPath      = "/v1/snapshot"
	ConfirmExpiryPath = "/v1/lapse/confirm"
	ZonesPath         = "/v1/zones"
)

// Headers of answers.
const (
	EpochHeader    = "Registry-Epoch"
	RevisionHeader = "Registry-Revision"
	StaleHeader    = "Registry-Stale" // true: this node has no word from a leader
	RequestHeader  = "Request-Id"     // of a write: a second one with it changes nothing
)

const (
	maxBodyBytes      = 64 << 10
	maxSnapshotBytes  = 256 << 20
	retryAfterSeconds = "1"
	maxIDBytes        = 200
)

// Registration is what a member hands in.
type Registration struct {
	ID        string  `json:"id"`
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Size      float64 `json:"size,omitempty"`
	TTLMS     int64   `json:"ttl_ms,omitempty"`
	Holder    string  `json:"holder,omitempty"`
	IfChanged int64   `json:"if,omitempty"` // only where the member's last change is this
}

// ZoneStatus is a zone, its region (empty for none) and its members.
type ZoneStatus struct {
	Zone
	Members  int `json:"members"`
	Draining int `json:"draining"`
}

// Heartbeat is a heartbeat of one registration.
type Heartbeat struct {
	ID     string `json:"id"`
	Holder string `json:"holder"`
}

// Status is what a node says of itself and its group.
type Status struct {
	ID                   string    `json:"id"`
	RaftRole             string    `json:"role"`
	Leader               string    `json:"leader"` // its address; empty for none
	Term                 uint64    `json:"term"`
	Epoch                string    `json:"epoch"`
	Revision             int64     `json:"revision"`
	Members              int       `json:"members"`
	Watchers             int64     `json:"watchers"`
	Stale                bool      `json:"stale"`
	Applied              uint64    `json:"applied"`
	SuspendedExpirations int       `json:"lapses_held"`
	SuspendedSince       time.Time `json:"lapses_held_since,omitzero"`
}

// errorResponse is an answer other than 2xx.
type errorResponse struct {
	Error   string `json:"error"`
	Changed int64  `json:"changed,omitempty"` // 409: the member's last change, as it holds
	Token   int64  `json:"token,omitempty"`   // 412: the duty's present one
}

func (n *Node) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+discovery.ListPath, n.getList)
	mux.HandleFunc("POST "+discovery.NoticePath, n.postNotices)
	mux.HandleFunc("GET "+MembersPath, n.getMembers)
	mux.HandleFunc("POST "+MembersPath, n.leaderOnly(n.postMember))
	mux.HandleFunc("POST "+MembersPath+"/{id}/phase", n.leaderOnly(n.postPhase))
	mux.HandleFunc("DELETE "+MembersPath+"/{id}", n.leaderOnly(n.deleteMember))
	mux.HandleFunc("POST "+HeartbeatsPath, n.leaderOnly(n.postHeartbeats))
	mux.HandleFunc("POST "+ConfirmExpiryPath, n.leaderOnly(n.postConfirmExpiry))
	mux.HandleFunc("GET "+ZonesPath, n.getZones)
	mux.HandleFunc("POST "+ZonesPath, n.leaderOnly(n.postZone))
	n.roleRoutes(mux)
	n.operationRoutes(mux)
	mux.HandleFunc("GET "+StatusPath, n.getStatus)
	mux.HandleFunc("GET "+SnapshotPath, n.leaderOnly(n.getSnapshot))
	mux.HandleFunc("PUT "+SnapshotPath, n.leaderOnly(n.putSnapshot))
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v) // a client that is gone hears nothing: its request is asked again
}

func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(w, status, errorResponse{Error: fmt.Sprintf(format, args...)})
}

// leaderOnly sends a call on to the leader, or refuses it where there is none.
func (n *Node) leaderOnly(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		leader, self := n.leader()
		switch {
		case self:
			f(w, r)
		case leader == "" || leader == n.ownHTTPAddr() || n.isStale():
			writeError(w, http.StatusServiceUnavailable, "%v", ErrNoLeader)
		default:
			http.Redirect(w, r, "http://"+leader+r.URL.RequestURI(), http.StatusTemporaryRedirect)
		}
	}
}

// ownHTTPAddr is this node's own address, as its peers are told.
func (n *Node) ownHTTPAddr() string {
	for _, p := range n.cfg.Peers {
		if p.ID == n.cfg.ID {
			return p.HTTP
		}
	}
	return ""
}

// decodeBody reads a body of JSON into v, or answers 413 or 400.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		writeError(w, http.StatusBadRequest, "body: %v", err)
		return false
	}
	if len(text) > maxBodyBytes {
		writeError(w, http.StatusRequestEntityTooLarge, "body: over %d bytes", maxBodyBytes)
		return false
	}
	if err := json.Unmarshal(text, v); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			writeError(w, http.StatusBadRequest, "%s: wrong type %s", te.Field, te.Value)
		} else {
			writeError(w, http.StatusBadRequest, "body: %v", err)
		}
		return false
	}
	return true
}

// applyAndRespond has a command applied and answers as it came out.
func (n *Node) applyAndRespond(w http.ResponseWriter, r *http.Request, c Command) (Result, bool) {
	if c.Request = r.Header.Get(RequestHeader); len(c.Request) > maxIDBytes {
		writeError(w, http.StatusBadRequest, "%s: over %d bytes", RequestHeader, maxIDBytes)
		return Result{}, false
	}
	if err := readFence(r, &c); err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return Result{}, false
	}
	a, err := n.apply(c)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "%v", err)
		return a, false
	}
	if a.Status != http.StatusOK {
		writeJSON(w, a.Status, errorResponse{a.Error, a.Changed, a.Token})
		return a, false
	}
	w.Header().Set(RevisionHeader, strconv.FormatInt(a.Revision, 10))
	writeJSON(w, http.StatusOK, a)
	return a, true
}

func (n *Node) postMember(w http.ResponseWriter, r *http.Request) {
	var x Registration
	if !decodeBody(w, r, &x) {
		return
	}
	if x.Size == 0 {
		x.Size = 1
	}
	m := discovery.Member{ID: x.ID, HostPort: x.Address, Locality: x.Zone, Flavor: x.Flavor, Cell: x.Cell, Phase: discovery.Up, Size: x.Size}
	switch err := m.Validate(); {
	case x.ID == "" || len(x.ID) > maxIDBytes:
		writeError(w, http.StatusBadRequest, "id: 1 to %d bytes are wanted", maxIDBytes)
		return
	case err != nil:
		writeError(w, http.StatusBadRequest, "address: %v", err)
		return
	case x.Cell < 0 || x.Cell > math.MaxUint16:
		writeError(w, http.StatusBadRequest, "cell: %d; from 0 to %d", x.Cell, math.MaxUint16)
		return
	case x.TTLMS < 0 || x.TTLMS > 0 && x.TTLMS < 500:
		writeError(w, http.StatusBadRequest, "ttl_ms: %d; 0, or 500 at least", x.TTLMS)
		return
	}
	ttl := time.Duration(x.TTLMS) * time.Millisecond
	if _, ok := n.applyAndRespond(w, r, Command{Op: OpAdd, IfChanged: x.IfChanged, Member: Member{Member: m, TTL: ttl, Holder: x.Holder}}); ok {
		n.heartbeats.recordMember(x.ID)
	}
}

func (n *Node) postPhase(w http.ResponseWriter, r *http.Request) {
	var x struct {
		Phase  string `json:"phase"`
		Holder string `json:"holder"`
		If     int64  `json:"if"`
	}
	if !decodeBody(w, r, &x) {
		return
	}
	if x.Phase != discovery.Up && x.Phase != discovery.Draining {
		writeError(w, http.StatusBadRequest, "phase: %q; %s and %s are allowed", x.Phase, discovery.Up, discovery.Draining)
		return
	}
	n.applyAndRespond(w, r, Command{Op: OpPhase, ID: r.PathValue("id"), Phase: x.Phase, Holder: x.Holder, IfChanged: x.If})
}

func (n *Node) deleteMember(w http.ResponseWriter, r *http.Request) {
	at, err := strconv.ParseInt("0"+r.URL.Query().Get("if"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "if: a revision is wanted")
		return
	}
	n.applyAndRespond(w, r, Command{Op: OpRemove, ID: r.PathValue("id"), Holder: r.URL.Query().Get("holder"), IfChanged: at})
}

// postHeartbeats hears several registrations at once, and names those that it does
// not know as theirs: these have to register again.
func (n *Node) postHeartbeats(w http.ResponseWriter, r *http.Request) {
	var all []Heartbeat
	if !decodeBody(w, r, &all) {
		return
	}
	known, unknown := n.store.sortHeartbeats(all)
	for _, id := range known {
		n.heartbeats.recordMember(id)
	}
	if unknown == nil {
		unknown = []string{}
	}
	writeJSON(w, http.StatusOK, map[string][]string{"unknown": unknown})
}

func (n *Node) postConfirmExpiry(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]int{"lapses": n.heartbeats.confirmSuspended()})
}

// setListHeaders puts on an answer which list it is of.
func (n *Node) setListHeaders(w http.ResponseWriter, epoch string, revision int64) {
	w.Header().Set(EpochHeader, epoch)
	w.Header().Set(RevisionHeader, strconv.FormatInt(revision, 10))
	if n.isStale() {
		w.Header().Set(StaleHeader, "true")
	}
}

// catchUp waits until this node's copy holds every change that was answered
// before the call, which only a leader can tell.
func (n *Node) catchUp() error {
	if n.raft.State() != raft.Leader {
		return raft.ErrNotLeader
	}
	if err := n.awaitFuture(n.raft.VerifyLeader()); err != nil {
		return err
	}
	return n.awaitFuture(n.raft.Barrier(applyTimeout))
}

func (n *Node) getList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Get("watch") == "1" {
		n.getWatch(w, r)
		return
	}
	if q.Get("consistent") == "1" {
		n.leaderOnly(func(w http.ResponseWriter, r *http.Request) {
			if err := n.catchUp(); err != nil {
				writeError(w, http.StatusServiceUnavailable, "%v", err)
				return
			}
			n.sendList(w)
		})(w, r)
		return
	}
	n.sendList(w)
}

func (n *Node) sendList(w http.ResponseWriter) {
	epoch, _, _ := n.store.position()
	text, revision := n.store.list()
	n.setListHeaders(w, epoch, revision)
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}

func (n *Node) getMembers(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("consistent") == "1" {
		if _, self := n.leader(); !self {
			n.leaderOnly(n.getMembers)(w, r)
			return
		}
		if err := n.catchUp(); err != nil {
			writeError(w, http.StatusServiceUnavailable, "%v", err)
			return
		}
	}
	members, epoch, revision := n.store.members()
	n.setListHeaders(w, epoch, revision)
	if members == nil {
		members = []Member{}
	}
	writeJSON(w, http.StatusOK, members)
}

// getZones tells of the zones, as this node has them.
func (n *Node) getZones(w http.ResponseWriter, _ *http.Request) {
	epoch, revision, _ := n.store.position()
	n.setListHeaders(w, epoch, revision)
	writeJSON(w, http.StatusOK, n.store.zones())
}

// postZone puts a zone into a region; without one, out of any.
func (n *Node) postZone(w http.ResponseWriter, r *http.Request) {
	var z Zone
	if !decodeBody(w, r, &z) {
		return
	}
	if z.Name == "" || len(z.Name) > maxIDBytes || len(z.Region) > maxIDBytes {
		writeError(w, http.StatusBadRequest, "name: 1 to %d bytes are wanted, and no more for a region", maxIDBytes)
		return
	}
	n.applyAndRespond(w, r, Command{Op: OpZone, Zone: z.Name, Region: z.Region})
}

func (n *Node) getStatus(w http.ResponseWriter, _ *http.Request) {
	epoch, revision, members := n.store.position()
	leader, _ := n.leader()
	held, since := n.heartbeats.suspension()
	writeJSON(w, http.StatusOK, Status{ID: n.cfg.ID, RaftRole: n.raft.State().String(), Leader: leader, Term: n.raft.CurrentTerm(), Epoch: epoch,
		Revision: revision, Members: members, Watchers: n.watchers.Load(), Stale: n.isStale(), Applied: n.raft.AppliedIndex(), SuspendedExpirations: held, SuspendedSince: since})
}

// getSnapshot gives the state as a leader has it, to be kept as a backup.
func (n *Node) getSnapshot(w http.ResponseWriter, _ *http.Request) {
	if err := n.catchUp(); err != nil {
		writeError(w, http.StatusServiceUnavailable, "%v", err)
		return
	}
	s, err := n.store.Snapshot()
	if err != nil {
		writeError(w, http.StatusInternalServerError, "%v", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(s.(snapshot))
}

// putSnapshot has the whole group go on from a backup, in a new epoch, at a
// revision beyond the one that it had: no client takes it for one that is behind.
func (n *Node) putSnapshot(w http.ResponseWriter, r *http.Request) {
	state, err := ReadState(io.LimitReader(r.Body, maxSnapshotBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	_, revision, _ := n.store.position()
	state.Revision = max(state.Revision, revision)
	tokens, dutyRev := n.store.lastToken() // nor do these go back
	state.LastToken, state.RoleRevision = max(state.LastToken, tokens), max(state.RoleRevision, dutyRev)
	text, err := json.Marshal(state)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "%v", err)
		return
	}
	meta := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(text)), Index: n.raft.LastIndex(), Term: n.raft.CurrentTerm()}
	if err := n.raft.Restore(meta, bytes.NewReader(text), 10*time.Second); err != nil {
		writeError(w, http.StatusServiceUnavailable, "%v", err)
		return
	}
	n.applyAndRespond(w, r, Command{Op: OpEpoch, Epoch: NewID()})
}

// postNotices takes notices: where agents have no other place for them, the
// group counts them.
func (n *Node) postNotices(w http.ResponseWriter, r *http.Request) {
	all, err := discovery.ReadNotices(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.metrics.notices.Add(float64(len(all)))
	w.WriteHeader(http.StatusNoContent)
}
