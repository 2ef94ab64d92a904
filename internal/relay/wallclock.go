package relay

import (
	"log/slog"
	"time"
)

// minClockStep is the least change between the wall clock and the monotonic one
// that counts as a step. The kernel slews both alike, so that a clock that is only
// set right slowly shows no change at all.
const minClockStep = 10 * time.Millisecond

// clockWatch notices steps of the machine's wall clock. Nothing is decided by it:
// it is there so that a log tells which times in it can be compared.
type clockWatch struct {
	startedAt time.Time     // with its monotonic reading
	offset    time.Duration // of the wall clock by now, against the monotonic one since startedAt
}

func newClockWatch() clockWatch { return clockWatch{startedAt: time.Now()} }

// detectStep compares the clocks and returns the step since the last call; 0 for none.
func (w *clockWatch) detectStep(now time.Time) time.Duration {
	wall := now.Round(0).Sub(w.startedAt.Round(0)) // Round strips the monotonic reading
	step := wall - now.Sub(w.startedAt) - w.offset
	if step.Abs() < minClockStep {
		return 0
	}
	w.offset += step
	return step
}

// checkWallClock logs and counts a step of the wall clock.
func (r *Relay) checkWallClock() {
	step := r.wallClock.detectStep(time.Now())
	if step == 0 {
		return
	}
	r.metrics.clockSteps.Add(1)
	r.log.Warn("wall clock stepped", slog.Duration("by", step), slog.Duration("since_start", r.wallClock.offset), "pending", r.messages.pending)
}
