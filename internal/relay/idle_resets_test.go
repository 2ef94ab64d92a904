package relay

import (
	"testing"
	"time"

	"plovershore/policy"
)

// Where calls on connections idle for long are reset, no connection idle for so long is
// used, shorter ones still are, and after a while longer ones are tried again.
func TestIdleLimitFollowsResets(t *testing.T) {
	const keep, second = 9 * time.Second, policy.Time(1e6)
	w := &idleResetTracker{}
	now := 100 * second
	for range 20 {
		w.record(10*time.Millisecond, true, now) // in use just before: its age is not the cause
		w.record(100*time.Millisecond, false, now)
		w.record(400*time.Millisecond, false, now)
	}
	if got := w.maxIdle(keep, now); got != keep {
		t.Errorf("with no reset on an idle connection: %v", got)
	}
	w.record(300*time.Millisecond, true, now)
	w.record(5*time.Second, true, now)
	if got := w.maxIdle(keep, now); got != 256*time.Millisecond {
		t.Errorf("after a reset on one idle for 300 ms: %v", got)
	}
	if got := w.maxIdle(200*time.Millisecond, now); got != 200*time.Millisecond {
		t.Errorf("more than the settings allow: %v", got)
	}
	if got := w.maxIdle(keep, now+60*second); got != keep {
		t.Errorf("a minute later: %v", got)
	}
	w.record(100*time.Hour, true, now) // beyond the last step
}
