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
	const configuredLimit, second = 9 * time.Second, policy.Time(1e6)
	tracker := &idleResetTracker{}
	now := 100 * second
	for range 20 {
		tracker.record(10*time.Millisecond, true, now) // idle only for a moment, so the idle time is not the cause of the reset
		tracker.record(100*time.Millisecond, false, now)
		tracker.record(400*time.Millisecond, false, now)
	}
	if got := tracker.maxIdle(configuredLimit, now); got != configuredLimit {
		t.Errorf("limit without a reset on an idle connection: %v", got)
	}
	tracker.record(300*time.Millisecond, true, now)
	tracker.record(5*time.Second, true, now)
	if got := tracker.maxIdle(configuredLimit, now); got != 256*time.Millisecond {
		t.Errorf("limit after resets on connections idle for 300 ms and 5 s: %v", got)
	}
	if got := tracker.maxIdle(200*time.Millisecond, now); got != 200*time.Millisecond {
		t.Errorf("limit above the one of the settings: %v", got)
	}
	if got := tracker.maxIdle(configuredLimit, now+60*second); got != configuredLimit {
		t.Errorf("limit a minute later: %v", got)
	}
	tracker.record(100*time.Hour, true, now) // far longer than the idle time at which the last bucket starts; must not panic
}
