package relay

import (
	"log/slog"
	"time"
)

// minClockStep is the smallest change between the wall clock and the monotonic clock
// that counts as a step. The kernel slews both clocks alike, so a gradual correction
// shows no change.
const minClockStep = 10 * time.Millisecond

// clockWatch detects steps of the machine's wall clock. No decision depends on it; it
// lets a reader of the log tell which times in the log can be compared.
type clockWatch struct {
	startedAt time.Time     // includes the monotonic reading
	totalStep time.Duration // sum of the wall clock's steps since startedAt
}

func newClockWatch() clockWatch { return clockWatch{startedAt: time.Now()} }

// detectStep returns the wall clock's step since the last step that it returned, or 0 if
// that is less than minClockStep. A smaller change is carried over: it is included in
// what the next calls measure.
func (w *clockWatch) detectStep(now time.Time) time.Duration {
	wallElapsed := now.Round(0).Sub(w.startedAt.Round(0)) // Round strips the monotonic reading
	step := wallElapsed - now.Sub(w.startedAt) - w.totalStep
	if step.Abs() < minClockStep {
		return 0
	}
	w.totalStep += step
	return step
}

// checkWallClock logs and counts a step of the wall clock, if there was one.
func (r *Relay) checkWallClock() {
	step := r.wallClock.detectStep(time.Now())
	if step == 0 {
		return
	}
	r.metrics.clockSteps.Add(1)
	r.log.Warn("wall clock stepped", slog.Duration("by", step), slog.Duration("since_start", r.wallClock.totalStep), "pending", r.messages.pending)
}
