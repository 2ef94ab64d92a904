package registry

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"plovershore/internal/discovery"
)

// minMemberTTL is the shortest time to live of a registration.
const minMemberTTL = 500 * time.Millisecond

// Registration is the body of a request that registers a member.
type Registration struct {
	ID        string  `json:"id"`
	Address   string  `json:"address"` // host:port
	Zone      string  `json:"zone"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Size      float64 `json:"size,omitempty"`   // 0 means 1
	TTLMS     int64   `json:"ttl_ms,omitempty"` // 0 means that it never expires
	Holder    string  `json:"holder,omitempty"`
	IfChanged int64   `json:"if,omitempty"` // if set, rejected unless it is the revision of the member's last change
}

// member validates the registration and returns it as a Member. Errors name the JSON key.
func (r *Registration) member() (Member, error) {
	size := r.Size
	if size == 0 {
		size = 1
	}
	m := discovery.Member{ID: r.ID, HostPort: r.Address, Locality: r.Zone, Flavor: r.Flavor, Cell: r.Cell, Phase: discovery.Up, Size: size}
	ttl := time.Duration(r.TTLMS) * time.Millisecond
	if r.ID == "" || len(r.ID) > maxIDBytes {
		return Member{}, fmt.Errorf("id: 1 to %d bytes are wanted", maxIDBytes)
	}
	if err := m.Validate(); err != nil {
		return Member{}, fmt.Errorf("address: %w", err)
	}
	if r.Cell < 0 || r.Cell > math.MaxUint16 {
		return Member{}, fmt.Errorf("cell: %d; from 0 to %d", r.Cell, math.MaxUint16)
	}
	if r.TTLMS < 0 || r.TTLMS > 0 && r.TTLMS < minMemberTTL.Milliseconds() {
		return Member{}, fmt.Errorf("ttl_ms: %d; 0, or %d at least", r.TTLMS, minMemberTTL.Milliseconds())
	}
	return Member{Member: m, TTL: ttl, Holder: r.Holder}, nil
}

func (n *Node) postMember(w http.ResponseWriter, r *http.Request) {
	var body Registration
	if !decodeBody(w, r, &body) {
		return
	}
	m, err := body.member()
	if err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	if n.applyAndRespond(w, r, Command{Op: OpAdd, IfChanged: body.IfChanged, Member: m}) {
		n.heartbeats.recordMember(body.ID)
	}
}

func (n *Node) postPhase(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Phase     string `json:"phase"`
		Holder    string `json:"holder"`
		IfChanged int64  `json:"if"`
	}
	if !decodeBody(w, r, &body) {
		return
	}
	if body.Phase != discovery.Up && body.Phase != discovery.Draining {
		writeError(w, http.StatusBadRequest, "phase: %q; %s and %s are allowed", body.Phase, discovery.Up, discovery.Draining)
		return
	}
	n.applyAndRespond(w, r, Command{Op: OpPhase, ID: r.PathValue("id"), Phase: body.Phase, Holder: body.Holder, IfChanged: body.IfChanged})
}

func (n *Node) deleteMember(w http.ResponseWriter, r *http.Request) {
	ifChanged, err := queryInt(r, "if")
	if err != nil {
		writeError(w, http.StatusBadRequest, "if: a revision is wanted")
		return
	}
	n.applyAndRespond(w, r, Command{Op: OpRemove, ID: r.PathValue("id"), Holder: r.URL.Query().Get("holder"), IfChanged: ifChanged})
}

func (n *Node) getMembers(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("consistent") == "1" {
		n.leaderOnly(n.getMembersConsistent)(w, r)
		return
	}
	n.writeMembers(w)
}

func (n *Node) getMembersConsistent(w http.ResponseWriter, _ *http.Request) {
	if err := n.catchUp(); err != nil {
		writeError(w, http.StatusServiceUnavailable, "%v", err)
		return
	}
	n.writeMembers(w)
}

func (n *Node) writeMembers(w http.ResponseWriter) {
	members, epoch, revision := n.store.members()
	if members == nil {
		members = []Member{} // [] in JSON, not null
	}
	n.setListHeaders(w, epoch, revision)
	writeJSON(w, http.StatusOK, members)
}

// Heartbeat renews one registration.
type Heartbeat struct {
	ID     string `json:"id"`
	Holder string `json:"holder"`
}

// postHeartbeats records the heartbeats of several registrations, and responds with the
// ids of those that the sender doesn't hold and so has to register again.
func (n *Node) postHeartbeats(w http.ResponseWriter, r *http.Request) {
	var heartbeats []Heartbeat
	if !decodeBody(w, r, &heartbeats) {
		return
	}
	known, unknown := n.store.partitionHeartbeats(heartbeats)
	for _, id := range known {
		n.heartbeats.recordMember(id)
	}
	if unknown == nil {
		unknown = []string{} // [] in JSON, not null
	}
	writeJSON(w, http.StatusOK, struct {
		Unknown []string `json:"unknown"`
	}{unknown})
}

// postExpire expires the registrations that are due, on behalf of a role's holder.
func (n *Node) postExpire(w http.ResponseWriter, r *http.Request) {
	fence, err := readFence(r)
	if err != nil || fence.role == "" {
		writeError(w, http.StatusBadRequest, "%s: NAME=TOKEN is wanted", FenceHeader)
		return
	}
	expired, result, err := n.heartbeats.expireMembers(n.cfg.Clock.Monotonic(), fence)
	switch {
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, "%v", err)
	case result.Status != http.StatusOK:
		writeRejected(w, result)
	default:
		writeJSON(w, http.StatusOK, struct {
			Expired int `json:"lapsed"`
		}{expired})
	}
}

func (n *Node) postConfirmExpiry(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Suspended int `json:"lapses"`
	}{n.heartbeats.confirmSuspended()})
}
