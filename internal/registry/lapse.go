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
	lapseEvery   = 200 * time.Millisecond
	sessionEvery = 50 * time.Millisecond // a duty waits for its next holder meanwhile
	silentPart   = 0.6                   // of a time to live, after which a registration counts as silent: two of three heartbeats are missing
)

// hearts is what a leader has heard of registrations.
type hearts struct {
	node *Node

	mu        sync.Mutex
	heard     map[string]time.Time
	sessions  SessionHeartbeats
	tenures   LeaseDurations
	ending    []string    // of them, not committed yet
	lapsed    []time.Time // of the last largest time to live
	heldSince time.Time   // zero for not held
	held      int
	confirmed bool
}

func newHearts(n *Node) *hearts {
	return &hearts{node: n, heard: map[string]time.Time{}, sessions: SessionHeartbeats{}, tenures: LeaseDurations{}}
}

// reset forgets everything: a new leader gives each registration a whole time
// to live from its own beginning.
func (h *hearts) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.heard)
	clear(h.sessions)
	clear(h.tenures)
	h.lapsed, h.heldSince, h.held, h.confirmed = nil, time.Time{}, 0, false
}

// beat books that a registration was heard of.
func (h *hearts) beat(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[id] = h.node.cfg.Clock.Mono()
}

// session books that a warden's session was heard of; false where its end is on
// its way already.
func (h *hearts) session(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Contains(h.ending, id) {
		return false
	}
	h.sessions.Record(id, h.node.uptime())
	return true
}

// lookSessions ends those that were not heard of for a whole time to live.
func (h *hearts) lookSessions() {
	h.mu.Lock()
	now, duties := h.node.uptime(), h.node.store.eachDuty()
	h.tenures.Observe(duties, now)
	ids := h.sessions.Overdue(h.node.store.sessions(), now)
	lasted := h.tenures.OfSessions(duties, ids, now)
	h.ending = ids
	h.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	defer func() {
		h.mu.Lock()
		h.ending = nil
		h.mu.Unlock()
	}()
	if _, err := h.node.apply(Command{Request: NewID(), Op: OpSessionEnd, EndedSessions: ids, LeaseDurations: lasted, Failed: true}); err != nil {
		h.node.log.Warn("sessions not ended", "count", len(ids), "err", err)
		return
	}
	h.node.log.Info("sessions ended: not heard of", "sessions", ids)
}

// confirm has what is held back lapse.
func (h *hearts) confirm() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed = h.held > 0
	return h.held
}

// holding tells how many lapses are held back, and since when.
func (h *hearts) holding() (int, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held, h.heldSince
}

// look lapses what is due, under the fence of the duty that asks for it, if any.
func (h *hearts) look(now time.Time, fence Command) (n int, a Result, err error) {
	due := h.due(h.node.store.eachMember(), now)
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
		delete(h.heard, id)
		h.lapsed = append(h.lapsed, now)
	}
	h.node.log.Info("registrations lapsed", "members", due)
	return len(due), a, nil
}

// due gives what is to lapse now, by id with its Since: nothing, where too much
// has fallen silent at once.
func (h *hearts) due(members iter.Seq[Member], now time.Time) map[string]int64 {
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
		at, ok := h.heard[m.ID]
		if !ok {
			h.heard[m.ID] = now // not heard of since this node leads
			continue
		}
		if quiet := now.Sub(at); quiet > m.TTL {
			due[m.ID] = m.Since
			silent++
		} else if quiet > time.Duration(float64(m.TTL)*silentPart) {
			silent++
		}
	}
	for len(h.lapsed) > 0 && now.Sub(h.lapsed[0]) > longest {
		h.lapsed = h.lapsed[1:]
	}
	cfg := &h.node.cfg.ExpiryGuard
	lost, all := silent+len(h.lapsed), living+len(h.lapsed)
	if lost <= max(cfg.Minimum, int(cfg.Fraction*float64(all))) {
		if h.held > 0 {
			h.node.log.Info("lapses are no longer held back")
		}
		h.held, h.heldSince, h.confirmed = 0, time.Time{}, false
		return due
	}
	if h.heldSince.IsZero() {
		h.heldSince = now
		h.node.log.Error("too many registrations fall silent at once: their lapse is held back", "silent", silent, "of", living,
			"until", now.Add(time.Duration(cfg.SuspendFor)))
	}
	h.held = len(due)
	if h.confirmed || now.Sub(h.heldSince) >= time.Duration(cfg.SuspendFor) {
		return due
	}
	return nil
}
