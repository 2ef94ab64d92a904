package registry

import (
	"iter"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	memberCheckInterval = 200 * time.Millisecond

	// sessionCheckInterval is shorter than memberCheckInterval, since the roles of an
	// expired session can't be granted to others before the check.
	sessionCheckInterval = 50 * time.Millisecond

	// silentFraction is the part of its time to live after which a registration without
	// a heartbeat counts as silent. Usually three heartbeats are sent in a time to live,
	// so one is missing then and the next is almost due.
	silentFraction = 0.6
)

// heartbeatMonitor records the heartbeats of registrations and sessions on the leader.
// Only the leader decides what expires. It is safe for concurrent use.
type heartbeatMonitor struct {
	node *Node

	mu                sync.Mutex
	lastHeartbeat     map[string]time.Time // time of each member's last heartbeat, keyed by member id
	guard             massExpiryGuard
	sessionHeartbeats SessionHeartbeats
	leaseDurations    LeaseDurations
	expiringSessions  []string // ids of sessions whose expiry is being committed
}

func newHeartbeatMonitor(n *Node) *heartbeatMonitor {
	return &heartbeatMonitor{
		node:              n,
		lastHeartbeat:     map[string]time.Time{},
		guard:             massExpiryGuard{cfg: &n.cfg.ExpiryGuard, log: n.log},
		sessionHeartbeats: SessionHeartbeats{},
		leaseDurations:    LeaseDurations{},
	}
}

// reset drops all heartbeats. A new leader gives each registration and each session a
// full time to live from when it became leader.
func (h *heartbeatMonitor) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.lastHeartbeat)
	clear(h.sessionHeartbeats)
	clear(h.leaseDurations)
	h.guard.reset()
}

// recordMember records a heartbeat of a registration.
func (h *heartbeatMonitor) recordMember(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastHeartbeat[id] = h.node.cfg.Clock.Monotonic()
}

// recordSession records a heartbeat of a session. It returns false if a command that
// ends the session is being committed.
func (h *heartbeatMonitor) recordSession(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Contains(h.expiringSessions, id) {
		return false
	}
	h.sessionHeartbeats.Record(id, h.node.uptime())
	return true
}

// expireSessions ends the sessions whose time to live has passed without a heartbeat.
func (h *heartbeatMonitor) expireSessions() {
	overdue, leaseDurations := h.beginSessionExpiry()
	if len(overdue) == 0 {
		return
	}
	defer h.finishSessionExpiry()
	_, err := h.node.apply(Command{Request: NewID(), Op: OpSessionEnd, EndedSessions: overdue, LeaseDurations: leaseDurations, Failed: true})
	if err != nil {
		h.node.log.Warn("session expiry failed", "count", len(overdue), "err", err)
		return
	}
	h.node.log.Info("sessions expired", "sessions", overdue)
}

// beginSessionExpiry returns the overdue sessions, and how long they held their roles.
// Until finishSessionExpiry they can't be renewed.
func (h *heartbeatMonitor) beginSessionExpiry() (overdue []string, leaseDurations map[string]int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, roles := h.node.uptime(), h.node.store.roles()
	h.leaseDurations.Observe(roles, now)
	h.expiringSessions = h.sessionHeartbeats.Overdue(h.node.store.sessions(), now)
	return h.expiringSessions, h.leaseDurations.OfSessions(roles, h.expiringSessions, now)
}

func (h *heartbeatMonitor) finishSessionExpiry() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expiringSessions = nil
}

// expireMembers removes the registrations that are due, and returns how many. With a
// fence it applies a command even if none is due, so that an outdated token is rejected.
func (h *heartbeatMonitor) expireMembers(now time.Time, fence fence) (expired int, result Result, err error) {
	due := h.dueMembers(h.node.store.eachMember(), now)
	if len(due) == 0 && fence.role == "" {
		return 0, succeeded(), nil
	}
	result, err = h.node.apply(Command{Request: NewID(), Op: OpExpire, Expired: due, Role: fence.role, Token: fence.token})
	if err != nil || result.Status != http.StatusOK || len(due) == 0 {
		return 0, result, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range due {
		delete(h.lastHeartbeat, id)
		h.guard.recordExpiry(now)
	}
	h.node.log.Info("registrations expired", "members", due)
	return len(due), result, nil
}

// dueMembers returns the Since of each registration to expire now, keyed by member id. It
// returns none while the guard suspends expirations.
func (h *heartbeatMonitor) dueMembers(members iter.Seq[Member], now time.Time) map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	due := map[string]int64{}
	silence := silenceCount{}
	for m := range members {
		if m.TTL <= 0 {
			continue
		}
		silence.expiring++
		silence.longestTTL = max(silence.longestTTL, m.TTL)
		last, ok := h.lastHeartbeat[m.ID]
		if !ok {
			h.lastHeartbeat[m.ID] = now // its time to live begins when this leader first checks it
			continue
		}
		switch silentFor := now.Sub(last); {
		case silentFor > m.TTL:
			due[m.ID] = m.Since
			silence.silent++
		case silentFor > time.Duration(float64(m.TTL)*silentFraction):
			silence.silent++
		}
	}
	silence.due = len(due)
	if !h.guard.allowsExpiry(silence, now) {
		return nil
	}
	return due
}

// confirmSuspended lets the suspended expirations take place at the next check, and
// returns their number.
func (h *heartbeatMonitor) confirmSuspended() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.guard.confirmed = h.guard.suspended > 0
	return h.guard.suspended
}

// suspension returns how many expirations are suspended, and since when.
func (h *heartbeatMonitor) suspension() (count int, since time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.guard.suspended, h.guard.suspendedSince
}
