// Package clocktest gives tests a wall clock that they can step. It is built on
// package wallclock.
package clocktest

import (
	_ "runtime/cgo" // links the test binary dynamically, so that a child process that runs it loads the library that package wallclock preloads
	"testing"
	"time"

	"plovershore/internal/clock/wallclock"
)

// Wall is a wall clock that a test steps. It is closed when the test ends.
type Wall struct{ wall *wallclock.Wall }

// New returns a wall clock that shows the machine's time.
func New(t *testing.T) *Wall {
	t.Helper()
	w, err := wallclock.New(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.Close() })
	return &Wall{w}
}

// Env returns the environment variables with which a process runs on this clock.
func (w *Wall) Env() map[string]string { return w.wall.Env() }

// Step sets the clock forward, or back if by is negative.
func (w *Wall) Step(t *testing.T, by time.Duration) {
	t.Helper()
	if err := w.wall.Step(by); err != nil {
		t.Fatal(err)
	}
}
