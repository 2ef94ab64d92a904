package registry

import (
	"net/http"

	"plovershore/internal/discovery"
)

// Paths of the HTTP API, beside those of package discovery. Their texts are kept from
// earlier versions.
const (
	MembersPath       = "/v1/members"
	HeartbeatsPath    = "/v1/heartbeats"
	ZonesPath         = "/v1/zones"
	ExpirePath        = "/v1/lapse"         // expire overdue registrations, on behalf of a role's holder
	ConfirmExpiryPath = "/v1/lapse/confirm" // let suspended expirations take place
	SessionsPath      = "/v1/sessions"
	RolesPath         = "/v1/duties"
	OperationsPath    = "/v1/orders" // below it /KIND/NAME, and /KIND/NAME/progress for the role's holder
	StatusPath        = "/v1/status"
	SnapshotPath      = "/v1/snapshot"
)

// Headers of requests and responses.
const (
	EpochHeader    = "Registry-Epoch"
	RevisionHeader = "Registry-Revision"
	StaleHeader    = "Registry-Stale" // true if this node has lost contact with the leader
	RequestHeader  = "Request-Id"     // id of a request, which its response repeats; a second write with the same id changes nothing

	// FenceHeader is set on a write that is made on behalf of a role's holder: the role's
	// name, an equals sign and the holder's token. The write is rejected with 412 unless
	// the token is the role's current one.
	FenceHeader = "Duty-Fence"
)

func (n *Node) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+discovery.ListPath, n.getList)
	mux.HandleFunc("POST "+discovery.NoticePath, n.postNotices)

	mux.HandleFunc("GET "+MembersPath, n.getMembers)
	mux.HandleFunc("POST "+MembersPath, n.leaderOnly(n.postMember))
	mux.HandleFunc("POST "+MembersPath+"/{id}/phase", n.leaderOnly(n.postPhase))
	mux.HandleFunc("DELETE "+MembersPath+"/{id}", n.leaderOnly(n.deleteMember))
	mux.HandleFunc("POST "+HeartbeatsPath, n.leaderOnly(n.postHeartbeats))
	mux.HandleFunc("POST "+ExpirePath, n.leaderOnly(n.postExpire))
	mux.HandleFunc("POST "+ConfirmExpiryPath, n.leaderOnly(n.postConfirmExpiry))
	mux.HandleFunc("GET "+ZonesPath, n.getZones)
	mux.HandleFunc("POST "+ZonesPath, n.leaderOnly(n.postZone))

	mux.HandleFunc("POST "+SessionsPath, n.leaderOnly(n.postSession))
	mux.HandleFunc("POST "+SessionsPath+"/{id}/renew", n.leaderOnly(n.postRenewSession))
	mux.HandleFunc("DELETE "+SessionsPath+"/{id}", n.leaderOnly(n.deleteSession))
	mux.HandleFunc("GET "+RolesPath, n.getRoles)
	mux.HandleFunc("POST "+RolesPath+"/{name}/grant", n.leaderOnly(n.postRole(OpGrant)))
	mux.HandleFunc("POST "+RolesPath+"/{name}/note", n.leaderOnly(n.postRole(OpNote)))
	mux.HandleFunc("POST "+RolesPath+"/{name}/release", n.leaderOnly(n.postRole(OpRelease)))
	mux.HandleFunc("POST "+RolesPath+"/{name}/hold", n.leaderOnly(n.postRole(OpDisable)))

	mux.HandleFunc("GET "+OperationsPath, n.getOperations)
	mux.HandleFunc("PUT "+OperationsPath+"/{kind}/{name}", n.leaderOnly(n.putOperation(OpOperation)))
	mux.HandleFunc("POST "+OperationsPath+"/{kind}/{name}/progress", n.leaderOnly(n.putOperation(OpProgress)))

	mux.HandleFunc("GET "+StatusPath, n.getStatus)
	mux.HandleFunc("GET "+SnapshotPath, n.leaderOnly(n.getSnapshot))
	mux.HandleFunc("PUT "+SnapshotPath, n.leaderOnly(n.putSnapshot))
	return nameRequest(mux)
}

// nameRequest wraps a handler so that each response names the request that it answers. A
// client can then tell it from one to an earlier request on the same connection.
func nameRequest(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(RequestHeader); id != "" && len(id) <= maxIDBytes {
			w.Header().Set(RequestHeader, id)
		}
		handler.ServeHTTP(w, r)
	})
}

// leaderOnly wraps a handler that only the leader may run. Another node redirects to the
// leader, or responds with 503 if it knows of none or has lost contact with it.
func (n *Node) leaderOnly(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		leader, isSelf := n.leader()
		switch {
		case isSelf:
			handler(w, r)
		case leader == "" || leader == n.ownHTTPAddr() || n.isStale():
			writeError(w, http.StatusServiceUnavailable, "%v", ErrNoLeader)
		default:
			http.Redirect(w, r, "http://"+leader+r.URL.RequestURI(), http.StatusTemporaryRedirect)
		}
	}
}

// ownHTTPAddr returns this node's own API address as it stands in the list of peers.
func (n *Node) ownHTTPAddr() string {
	for _, p := range n.cfg.Peers {
		if p.ID == n.cfg.ID {
			return p.HTTP
		}
	}
	return ""
}
