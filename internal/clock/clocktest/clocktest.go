// Package clocktest is package wallclock for tests.
package clocktest

import (
	_ "runtime/cgo" // links a test's own program dynamically, so that it can be a child that loads the library
	"testing"
	"time"

	"plovershore/internal/clock/wallclock"
)

// Wall is a wall clock that a test steps.
type Wall struct{ wall *wallclock.Wall }

// New makes a wall clock that shows the right time.
func New(t *testing.T) *Wall {
	t.Helper()
	w, err := wallclock.New(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.Close() })
	return &Wall{w}
}

// Env is what the environment of a process needs for it to go by this clock.
func (w *Wall) Env() map[string]string { return w.wall.Env() }

// Step sets the clock forward, or back where by is negative.
func (w *Wall) Step(t *testing.T, by time.Duration) {
	t.Helper()
	if err := w.wall.Step(by); err != nil {
		t.Fatal(err)
	}
}
