package relay

import (
	"log/slog"
	"time"
)

// clockStepLeast is the least change between the wall clock and the monotonic one
// that counts as a step. The kernel slews both alike, so that a clock that is only
// set right slowly shows no change at all.
const clockStepLeast = 10 * time.Millisecond

// clockWatch notices steps of the machine's wall clock. Nothing is decided by it:
// it is there so that a log tells which times in it can be compared.
type clockWatch struct {
	began  time.Time     // with its monotonic reading
	offset time.Duration // of the wall clock by now, against the monotonic one since began
}

func newClockWatch() clockWatch { return clockWatch{began: time.Now()} }

// look compares the clocks and gives the step since the last look; 0 for none.
func (w *clockWatch) look(now time.Time) time.Duration {
	wall := now.Round(0).Sub(w.began.Round(0)) // Round strips the monotonic reading
	step := wall - now.Sub(w.began) - w.offset
	if step.Abs() < clockStepLeast {
		return 0
	}
	w.offset += step
	return step
}

// watchClock logs and counts a step of the wall clock.
func (r *Relay) watchClock() {
	step := r.clocks.look(time.Now())
	if step == 0 {
		return
	}
	r.fig.clockSteps.Add(1)
	r.log.Warn("the wall clock was stepped", slog.Duration("by", step), slog.Duration("since_start", r.clocks.offset), "held", r.held)
}
