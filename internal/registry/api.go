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
	bodyMost     = 64 << 10
	snapshotMost = 256 << 20
	retrySecs    = "1"
	idMost       = 200
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

// problem is an answer other than 2xx.
type problem struct {
	Error   string `json:"error"`
	Changed int64  `json:"changed,omitempty"` // 409: the member's last change, as it holds
	Token   int64  `json:"token,omitempty"`   // 412: the duty's present one
}

func (n *Node) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+discovery.ListPath, n.getList)
	mux.HandleFunc("POST "+discovery.NoticePath, n.postReports)
	mux.HandleFunc("GET "+MembersPath, n.getMembers)
	mux.HandleFunc("POST "+MembersPath, n.leaderOnly(n.postMember))
	mux.HandleFunc("POST "+MembersPath+"/{id}/phase", n.leaderOnly(n.postPhase))
	mux.HandleFunc("DELETE "+MembersPath+"/{id}", n.leaderOnly(n.deleteMember))
	mux.HandleFunc("POST "+HeartbeatsPath, n.leaderOnly(n.postBeats))
	mux.HandleFunc("POST "+ConfirmExpiryPath, n.leaderOnly(n.postConfirm))
	mux.HandleFunc("GET "+ZonesPath, n.getZones)
	mux.HandleFunc("POST "+ZonesPath, n.leaderOnly(n.postZone))
	n.dutyRoutes(mux)
	n.orderRoutes(mux)
	mux.HandleFunc("GET "+StatusPath, n.getStatus)
	mux.HandleFunc("GET "+SnapshotPath, n.leaderOnly(n.getSnapshot))
	mux.HandleFunc("PUT "+SnapshotPath, n.leaderOnly(n.putSnapshot))
	return mux
}

func say(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v) // a client that is gone hears nothing: its request is asked again
}

func refuse(w http.ResponseWriter, status int, format string, args ...any) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retrySecs)
	}
	say(w, status, problem{Error: fmt.Sprintf(format, args...)})
}

// leaderOnly sends a call on to the leader, or refuses it where there is none.
func (n *Node) leaderOnly(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		leader, self := n.leader()
		switch {
		case self:
			f(w, r)
		case leader == "" || leader == n.ownAddr() || n.stale():
			refuse(w, http.StatusServiceUnavailable, "%v", ErrNoLeader)
		default:
			http.Redirect(w, r, "http://"+leader+r.URL.RequestURI(), http.StatusTemporaryRedirect)
		}
	}
}

// ownAddr is this node's own address, as its peers are told.
func (n *Node) ownAddr() string {
	for _, p := range n.cfg.Peers {
		if p.ID == n.cfg.ID {
			return p.HTTP
		}
	}
	return ""
}

// read reads a body of JSON into v, or answers 413 or 400.
func read(w http.ResponseWriter, r *http.Request, v any) bool {
	text, err := io.ReadAll(io.LimitReader(r.Body, bodyMost+1))
	if err != nil {
		refuse(w, http.StatusBadRequest, "body: %v", err)
		return false
	}
	if len(text) > bodyMost {
		refuse(w, http.StatusRequestEntityTooLarge, "body: over %d bytes", bodyMost)
		return false
	}
	if err := json.Unmarshal(text, v); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			refuse(w, http.StatusBadRequest, "%s: wrong type %s", te.Field, te.Value)
		} else {
			refuse(w, http.StatusBadRequest, "body: %v", err)
		}
		return false
	}
	return true
}

// settle has a command applied and answers as it came out.
func (n *Node) settle(w http.ResponseWriter, r *http.Request, c Command) (Result, bool) {
	if c.Request = r.Header.Get(RequestHeader); len(c.Request) > idMost {
		refuse(w, http.StatusBadRequest, "%s: over %d bytes", RequestHeader, idMost)
		return Result{}, false
	}
	if err := fence(r, &c); err != nil {
		refuse(w, http.StatusBadRequest, "%v", err)
		return Result{}, false
	}
	a, err := n.apply(c)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "%v", err)
		return a, false
	}
	if a.Status != http.StatusOK {
		say(w, a.Status, problem{a.Error, a.Changed, a.Token})
		return a, false
	}
	w.Header().Set(RevisionHeader, strconv.FormatInt(a.Revision, 10))
	say(w, http.StatusOK, a)
	return a, true
}

func (n *Node) postMember(w http.ResponseWriter, r *http.Request) {
	var x Registration
	if !read(w, r, &x) {
		return
	}
	if x.Size == 0 {
		x.Size = 1
	}
	m := discovery.Member{ID: x.ID, HostPort: x.Address, Locality: x.Zone, Flavor: x.Flavor, Cell: x.Cell, Phase: discovery.Up, Size: x.Size}
	switch err := m.Validate(); {
	case x.ID == "" || len(x.ID) > idMost:
		refuse(w, http.StatusBadRequest, "id: 1 to %d bytes are wanted", idMost)
		return
	case err != nil:
		refuse(w, http.StatusBadRequest, "address: %v", err)
		return
	case x.Cell < 0 || x.Cell > math.MaxUint16:
		refuse(w, http.StatusBadRequest, "cell: %d; from 0 to %d", x.Cell, math.MaxUint16)
		return
	case x.TTLMS < 0 || x.TTLMS > 0 && x.TTLMS < 500:
		refuse(w, http.StatusBadRequest, "ttl_ms: %d; 0, or 500 at least", x.TTLMS)
		return
	}
	ttl := time.Duration(x.TTLMS) * time.Millisecond
	if _, ok := n.settle(w, r, Command{Op: OpAdd, IfChanged: x.IfChanged, Member: Member{Member: m, TTL: ttl, Holder: x.Holder}}); ok {
		n.hearts.beat(x.ID)
	}
}

func (n *Node) postPhase(w http.ResponseWriter, r *http.Request) {
	var x struct {
		Phase  string `json:"phase"`
		Holder string `json:"holder"`
		If     int64  `json:"if"`
	}
	if !read(w, r, &x) {
		return
	}
	if x.Phase != discovery.Up && x.Phase != discovery.Draining {
		refuse(w, http.StatusBadRequest, "phase: %q; %s and %s are allowed", x.Phase, discovery.Up, discovery.Draining)
		return
	}
	n.settle(w, r, Command{Op: OpPhase, ID: r.PathValue("id"), Phase: x.Phase, Holder: x.Holder, IfChanged: x.If})
}

func (n *Node) deleteMember(w http.ResponseWriter, r *http.Request) {
	at, err := strconv.ParseInt("0"+r.URL.Query().Get("if"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "if: a revision is wanted")
		return
	}
	n.settle(w, r, Command{Op: OpRemove, ID: r.PathValue("id"), Holder: r.URL.Query().Get("holder"), IfChanged: at})
}

// postBeats hears several registrations at once, and names those that it does
// not know as theirs: these have to register again.
func (n *Node) postBeats(w http.ResponseWriter, r *http.Request) {
	var all []Heartbeat
	if !read(w, r, &all) {
		return
	}
	known, unknown := n.store.sortBeats(all)
	for _, id := range known {
		n.hearts.beat(id)
	}
	if unknown == nil {
		unknown = []string{}
	}
	say(w, http.StatusOK, map[string][]string{"unknown": unknown})
}

func (n *Node) postConfirm(w http.ResponseWriter, _ *http.Request) {
	say(w, http.StatusOK, map[string]int{"lapses": n.hearts.confirm()})
}

// mark puts on an answer which list it is of.
func (n *Node) mark(w http.ResponseWriter, epoch string, revision int64) {
	w.Header().Set(EpochHeader, epoch)
	w.Header().Set(RevisionHeader, strconv.FormatInt(revision, 10))
	if n.stale() {
		w.Header().Set(StaleHeader, "true")
	}
}

// linear waits until this node's copy holds every change that was answered
// before the call, which only a leader can tell.
func (n *Node) linear() error {
	if n.raft.State() != raft.Leader {
		return raft.ErrNotLeader
	}
	if err := n.await(n.raft.VerifyLeader()); err != nil {
		return err
	}
	return n.await(n.raft.Barrier(applyWait))
}

func (n *Node) getList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Get("watch") == "1" {
		n.getWatch(w, r)
		return
	}
	if q.Get("consistent") == "1" {
		n.leaderOnly(func(w http.ResponseWriter, r *http.Request) {
			if err := n.linear(); err != nil {
				refuse(w, http.StatusServiceUnavailable, "%v", err)
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
	n.mark(w, epoch, revision)
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}

func (n *Node) getMembers(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("consistent") == "1" {
		if _, self := n.leader(); !self {
			n.leaderOnly(n.getMembers)(w, r)
			return
		}
		if err := n.linear(); err != nil {
			refuse(w, http.StatusServiceUnavailable, "%v", err)
			return
		}
	}
	members, epoch, revision := n.store.members()
	n.mark(w, epoch, revision)
	if members == nil {
		members = []Member{}
	}
	say(w, http.StatusOK, members)
}

// getZones tells of the zones, as this node has them.
func (n *Node) getZones(w http.ResponseWriter, _ *http.Request) {
	epoch, revision, _ := n.store.position()
	n.mark(w, epoch, revision)
	say(w, http.StatusOK, n.store.zones())
}

// postZone puts a zone into a region; without one, out of any.
func (n *Node) postZone(w http.ResponseWriter, r *http.Request) {
	var z Zone
	if !read(w, r, &z) {
		return
	}
	if z.Name == "" || len(z.Name) > idMost || len(z.Region) > idMost {
		refuse(w, http.StatusBadRequest, "name: 1 to %d bytes are wanted, and no more for a region", idMost)
		return
	}
	n.settle(w, r, Command{Op: OpZone, Zone: z.Name, Region: z.Region})
}

func (n *Node) getStatus(w http.ResponseWriter, _ *http.Request) {
	epoch, revision, members := n.store.position()
	leader, _ := n.leader()
	held, since := n.hearts.holding()
	say(w, http.StatusOK, Status{ID: n.cfg.ID, RaftRole: n.raft.State().String(), Leader: leader, Term: n.raft.CurrentTerm(), Epoch: epoch,
		Revision: revision, Members: members, Watchers: n.watchers.Load(), Stale: n.stale(), Applied: n.raft.AppliedIndex(), SuspendedExpirations: held, SuspendedSince: since})
}

// getSnapshot gives the state as a leader has it, to be kept as a backup.
func (n *Node) getSnapshot(w http.ResponseWriter, _ *http.Request) {
	if err := n.linear(); err != nil {
		refuse(w, http.StatusServiceUnavailable, "%v", err)
		return
	}
	s, err := n.store.Snapshot()
	if err != nil {
		refuse(w, http.StatusInternalServerError, "%v", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(s.(snapshot))
}

// putSnapshot has the whole group go on from a backup, in a new epoch, at a
// revision beyond the one that it had: no client takes it for one that is behind.
func (n *Node) putSnapshot(w http.ResponseWriter, r *http.Request) {
	state, err := ReadState(io.LimitReader(r.Body, snapshotMost))
	if err != nil {
		refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	_, revision, _ := n.store.position()
	state.Revision = max(state.Revision, revision)
	tokens, dutyRev := n.store.tokens() // nor do these go back
	state.LastToken, state.RoleRevision = max(state.LastToken, tokens), max(state.RoleRevision, dutyRev)
	text, err := json.Marshal(state)
	if err != nil {
		refuse(w, http.StatusInternalServerError, "%v", err)
		return
	}
	meta := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(text)), Index: n.raft.LastIndex(), Term: n.raft.CurrentTerm()}
	if err := n.raft.Restore(meta, bytes.NewReader(text), 10*time.Second); err != nil {
		refuse(w, http.StatusServiceUnavailable, "%v", err)
		return
	}
	n.settle(w, r, Command{Op: OpEpoch, Epoch: NewID()})
}

// postReports takes notices: where agents have no other place for them, the
// group counts them.
func (n *Node) postReports(w http.ResponseWriter, r *http.Request) {
	all, err := discovery.ReadNotices(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.figs.notices.Add(float64(len(all)))
	w.WriteHeader(http.StatusNoContent)
}
