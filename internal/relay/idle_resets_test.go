package relay

import (
	"testing"
	"time"

	"plovershore/policy"
)

// If calls on long-idle connections are reset, connections idle for that long must no longer
// be used, those idle for a shorter time still are, and after a minute longer idle times are
// tried again.
func TestIdleLimitFollowsResets(t *testing.T) {
	const keep, second = 9 * time.Second, policy.Time(1e6)
	w := &idleResetTracker{}
	now := 100 * second
	for range 20 {
		w.record(10*time.Millisecond, true, now) // idle only for a moment, so the idle time is not the cause of the reset
		w.record(100*time.Millisecond, false, now)
		w.record(400*time.Millisecond, false, now)
	}
	if got := w.maxIdle(keep, now); got != keep {
		t.Errorf("limit without a reset on an idle connection: %v", got)
	}
	w.record(300*time.Millisecond, true, now)
	w.record(5*time.Second, true, now)
	if got := w.maxIdle(keep, now); got != 256*time.Millisecond {
		t.Errorf("limit after resets on connections idle for 300 ms and 5 s: %v", got)
	}
	if got := w.maxIdle(200*time.Millisecond, now); got != 200*time.Millisecond {
		t.Errorf("limit above the one of the settings: %v", got)
	}
	if got := w.maxIdle(keep, now+60*second); got != keep {
		t.Errorf("limit a minute later: %v", got)
	}
	w.record(100*time.Hour, true, now) // longer than the last idle-time step of the tracker; must not panic
}
