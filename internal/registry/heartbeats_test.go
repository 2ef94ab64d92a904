package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestMassExpiryIsSuspended checks that a few silent registrations expire, and that many
// that become silent at once expire only after a confirmation, or after SuspendFor.
func TestMassExpiryIsSuspended(t *testing.T) {
	cfg := DefaultConfig()
	for name, x := range map[string]struct {
		silent int // members of 100 that send no heartbeat from second 5 on
		held   bool
	}{"a tenth": {10, false}, "a quarter": {25, false}, "half": {50, true}, "all": {100, true}} {
		n := &Node{cfg: &cfg, log: discardLog(), store: newStore()}
		h := newHeartbeatMonitor(n)
		var members []Member
		for i := range 100 {
			m := testMember(fmt.Sprint(i), fmt.Sprintf("127.0.0.1:%d", i+1))
			m.TTL = 3 * time.Second
			members = append(members, m)
		}
		start := time.Now()
		h.dueMembers(slices.Values(members), start)
		lapsed := map[string]int64{}
		at := start
		// Member i sends a heartbeat each second, 10*i ms after the full second.
		for ms := 0; ms < 20000; ms += 50 {
			at = start.Add(time.Duration(ms) * time.Millisecond)
			for _, m := range members {
				var i int
				fmt.Sscan(m.ID, &i)
				if (ms-i*10)%1000 < 50 && (ms-i*10)%1000 >= 0 && (ms < 5000 || i >= x.silent) {
					h.mu.Lock()
					h.lastHeartbeat[m.ID] = at
					h.mu.Unlock()
				}
			}
			for id := range h.dueMembers(slices.Values(members), at) {
				lapsed[id] = 1
				h.guard.recordExpiry(at)
				for i, m := range members {
					if m.ID == id {
						members = append(members[:i:i], members[i+1:]...)
						break
					}
				}
			}
		}
		held, _ := h.suspension()
		if x.held != (held > 0) || x.held && len(lapsed) > 0 || !x.held && len(lapsed) != x.silent {
			t.Errorf("%s silent: %d expired, %d suspended", name, len(lapsed), held)
		}
		if !x.held {
			continue
		}
		if h.confirmSuspended(); len(h.dueMembers(slices.Values(members), at)) != x.silent {
			t.Errorf("%s silent: not all are due after the confirmation", name)
		}
		h.guard.confirmed = false
		if len(h.dueMembers(slices.Values(members), at.Add(time.Duration(cfg.ExpiryGuard.SuspendFor)))) == 0 {
			t.Errorf("%s silent: none is due after SuspendFor", name)
		}
	}
}

// TestNewLeaderWaitsFullTimeToLive checks that a new leader expires no registration before
// it has checked it for a full time to live.
func TestNewLeaderWaitsFullTimeToLive(t *testing.T) {
	cfg := DefaultConfig()
	h := newHeartbeatMonitor(&Node{cfg: &cfg, log: discardLog(), store: newStore()})
	m := testMember("a", "127.0.0.1:1")
	now := time.Now()
	h.dueMembers(slices.Values([]Member{m}), now)
	h.dueMembers(slices.Values([]Member{m}), now.Add(m.TTL-time.Millisecond))
	h.reset() // another node becomes the leader, and then this one again
	for _, after := range []time.Duration{m.TTL + time.Millisecond, 2*m.TTL - time.Millisecond} {
		if due := h.dueMembers(slices.Values([]Member{m}), now.Add(after)); len(due) > 0 {
			t.Errorf("expired %v after the first election", after)
		}
	}
	if due := h.dueMembers(slices.Values([]Member{m}), now.Add(3*m.TTL)); len(due) != 1 {
		t.Error("not due after a full time to live without a heartbeat")
	}
}
