package registry

import (
	"iter"
	"net/http"
	"slices"
	"sync"
	"time"
)

// A registration that was not heard of for its time to live lapses. The leader
// alone hears and decides. What looks like a fault of the network, since many
// fall silent within one time to live, is held back.
const (
	memberCheckInterval  = 200 * time.Millisecond
	sessionCheckInterval = 50 * time.Millisecond // a duty waits for its next holder meanwhile
	silentFraction       = 0.6                   // of a time to live, after which a registration counts as silent: two of three heartbeats are missing
)

// heartbeatMonitor is what a leader has heard of registrations.
type heartbeatMonitor struct {
	node *Node

	mu                sync.Mutex
	lastHeartbeat     map[string]time.Time
	sessionHeartbeats SessionHeartbeats
	leaseDurations    LeaseDurations
	expiringSessions  []string    // of them, not committed yet
	recentExpirations []time.Time // of the last largest time to live
	suspendedSince    time.Time   // zero for not held
	suspended         int
	confirmed         bool
}

func newHeartbeatMonitor(n *Node) *heartbeatMonitor {
	return &heartbeatMonitor{node: n, lastHeartbeat: map[string]time.Time{}, sessionHeartbeats: SessionHeartbeats{}, leaseDurations: LeaseDurations{}}
}

// reset forgets everything: a new leader gives each registration a whole time
// to live from its own beginning.
func (h *heartbeatMonitor) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.lastHeartbeat)
	clear(h.sessionHeartbeats)
	clear(h.leaseDurations)
	h.recentExpirations, h.suspendedSince, h.suspended, h.confirmed = nil, time.Time{}, 0, false
}

// recordMember books that a registration was heard of.
func (h *heartbeatMonitor) recordMember(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastHeartbeat[id] = h.node.cfg.Clock.Mono()
}

// recordSession books that a warden's session was heard of; false where its end is on
// its way already.
func (h *heartbeatMonitor) recordSession(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Contains(h.expiringSessions, id) {
		return false
	}
	h.sessionHeartbeats.Record(id, h.node.uptime())
	return true
}

// expireSessions ends those that were not heard of for a whole time to live.
func (h *heartbeatMonitor) expireSessions() {
	h.mu.Lock()
	now, duties := h.node.uptime(), h.node.store.roles()
	h.leaseDurations.Observe(duties, now)
	ids := h.sessionHeartbeats.Overdue(h.node.store.sessions(), now)
	lasted := h.leaseDurations.OfSessions(duties, ids, now)
	h.expiringSessions = ids
	h.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	defer func() {
		h.mu.Lock()
		h.expiringSessions = nil
		h.mu.Unlock()
	}()
	if _, err := h.node.apply(Command{Request: NewID(), Op: OpSessionEnd, EndedSessions: ids, LeaseDurations: lasted, Failed: true}); err != nil {
		h.node.log.Warn("sessions not ended", "count", len(ids), "err", err)
		return
	}
	h.node.log.Info("sessions ended: not heard of", "sessions", ids)
}

// confirmSuspended has what is held back lapse.
func (h *heartbeatMonitor) confirmSuspended() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed = h.suspended > 0
	return h.suspended
}

// suspension tells how many lapses are held back, and since when.
func (h *heartbeatMonitor) suspension() (int, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.suspended, h.suspendedSince
}

// expireMembers lapses what is due, under the fence of the duty that asks for it, if any.
func (h *heartbeatMonitor) expireMembers(now time.Time, fence Command) (n int, a Result, err error) {
	due := h.dueMembers(h.node.store.eachMember(), now)
	if len(due) == 0 && fence.Role == "" {
		return 0, Result{Status: http.StatusOK}, nil
	}
	a, err = h.node.apply(Command{Request: NewID(), Op: OpExpire, Expired: due, Role: fence.Role, Token: fence.Token})
	if err != nil || a.Status != http.StatusOK || len(due) == 0 {
		return 0, a, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range due {
		delete(h.lastHeartbeat, id)
		h.recentExpirations = append(h.recentExpirations, now)
	}
	h.node.log.Info("registrations lapsed", "members", due)
	return len(due), a, nil
}

// dueMembers gives what is to lapse now, by id with its Since: nothing, where too much
// has fallen silent at once.
func (h *heartbeatMonitor) dueMembers(members iter.Seq[Member], now time.Time) map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	due, silent, living := map[string]int64{}, 0, 0
	longest := time.Duration(0)
	for m := range members {
		if m.TTL <= 0 {
			continue
		}
		living++
		longest = max(longest, m.TTL)
		at, ok := h.lastHeartbeat[m.ID]
		if !ok {
			h.lastHeartbeat[m.ID] = now // not heard of since this node leads
			continue
		}
		if quiet := now.Sub(at); quiet > m.TTL {
			due[m.ID] = m.Since
			silent++
		} else if quiet > time.Duration(float64(m.TTL)*silentFraction) {
			silent++
		}
	}
	for len(h.recentExpirations) > 0 && now.Sub(h.recentExpirations[0]) > longest {
		h.recentExpirations = h.recentExpirations[1:]
	}
	cfg := &h.node.cfg.ExpiryGuard
	lost, all := silent+len(h.recentExpirations), living+len(h.recentExpirations)
	if lost <= max(cfg.Minimum, int(cfg.Fraction*float64(all))) {
		if h.suspended > 0 {
			h.node.log.Info("lapses are no longer held back")
		}
		h.suspended, h.suspendedSince, h.confirmed = 0, time.Time{}, false
		return due
	}
	if h.suspendedSince.IsZero() {
		h.suspendedSince = now
		h.node.log.Error("too many registrations fall silent at once: their lapse is held back", "silent", silent, "of", living,
			"until", now.Add(time.Duration(cfg.SuspendFor)))
	}
	h.suspended = len(due)
	if h.confirmed || now.Sub(h.suspendedSince) >= time.Duration(cfg.SuspendFor) {
		return due
	}
	return nil
}
