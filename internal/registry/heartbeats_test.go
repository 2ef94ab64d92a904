package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestMassExpiryIsSuspendedUntilConfirmedOrTimeout checks that a few silent registrations
// expire, and that many that become silent at once expire only after a confirmation, or
// after SuspendFor.
func TestMassExpiryIsSuspendedUntilConfirmedOrTimeout(t *testing.T) {
	cfg := DefaultConfig()
	for name, tt := range map[string]struct {
		silent        int // members of 100 that send no heartbeat from second 5 on
		wantSuspended bool
	}{"a tenth": {10, false}, "a quarter": {25, false}, "half": {50, true}, "all": {100, true}} {
		n := &Node{cfg: &cfg, log: discardLog(), store: newStore()}
		monitor := newHeartbeatMonitor(n)
		var members []Member
		for i := range 100 {
			m := testMember(fmt.Sprint(i), fmt.Sprintf("127.0.0.1:%d", i+1))
			m.TTL = 3 * time.Second
			members = append(members, m)
		}
		start := time.Now()
		monitor.dueMembers(slices.Values(members), start)
		expired := map[string]int64{}
		now := start
		// Member i sends a heartbeat each second, 10*i ms after the full second.
		for ms := 0; ms < 20000; ms += 50 {
			now = start.Add(time.Duration(ms) * time.Millisecond)
			for _, m := range members {
				var i int
				fmt.Sscan(m.ID, &i)
				if (ms-i*10)%1000 < 50 && (ms-i*10)%1000 >= 0 && (ms < 5000 || i >= tt.silent) {
					monitor.mu.Lock()
					monitor.lastHeartbeat[m.ID] = now
					monitor.mu.Unlock()
				}
			}
			for id := range monitor.dueMembers(slices.Values(members), now) {
				expired[id] = 1
				monitor.guard.recordExpiry(now)
				for i, m := range members {
					if m.ID == id {
						members = append(members[:i:i], members[i+1:]...)
						break
					}
				}
			}
		}
		suspended, _ := monitor.suspension()
		if tt.wantSuspended != (suspended > 0) || tt.wantSuspended && len(expired) > 0 || !tt.wantSuspended && len(expired) != tt.silent {
			t.Errorf("%s silent: %d expired, %d suspended", name, len(expired), suspended)
		}
		if !tt.wantSuspended {
			continue
		}
		if monitor.confirmSuspended(); len(monitor.dueMembers(slices.Values(members), now)) != tt.silent {
			t.Errorf("%s silent: not all are due after the confirmation", name)
		}
		monitor.guard.confirmed = false
		if len(monitor.dueMembers(slices.Values(members), now.Add(time.Duration(cfg.ExpiryGuard.SuspendFor)))) == 0 {
			t.Errorf("%s silent: none is due after SuspendFor", name)
		}
	}
}

// TestNewLeaderWaitsFullTimeToLive checks that a new leader expires no registration before
// it has checked it for a full time to live.
func TestNewLeaderWaitsFullTimeToLive(t *testing.T) {
	cfg := DefaultConfig()
	monitor := newHeartbeatMonitor(&Node{cfg: &cfg, log: discardLog(), store: newStore()})
	member := testMember("a", "127.0.0.1:1")
	now := time.Now()
	monitor.dueMembers(slices.Values([]Member{member}), now)
	monitor.dueMembers(slices.Values([]Member{member}), now.Add(member.TTL-time.Millisecond))
	monitor.reset() // another node becomes the leader, and then this one again
	for _, after := range []time.Duration{member.TTL + time.Millisecond, 2*member.TTL - time.Millisecond} {
		if due := monitor.dueMembers(slices.Values([]Member{member}), now.Add(after)); len(due) > 0 {
			t.Errorf("expired %v after the first election", after)
		}
	}
	if due := monitor.dueMembers(slices.Values([]Member{member}), now.Add(3*member.TTL)); len(due) != 1 {
		t.Error("not due after a full time to live without a heartbeat")
	}
}
