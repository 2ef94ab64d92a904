// Package wallclock steps the wall clock of processes as an operator or a time
// daemon steps the clock of a machine. Their monotonic clocks are not affected. A
// step is visible to every clock reading that begins after Step has returned.
//
// The package is for tests and the fault lab. It needs gcc and Linux on amd64, and
// works only on dynamically linked programs, since it preloads a library, the shim.
package wallclock

import (
	_ "embed"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

//go:embed shim/wallclock.c
var shimSource []byte

// Names of the files in the clock's directory, and of the environment variables
// that tell a process where they are.
const (
	sourceFile  = "wallclock.c"
	libraryFile = "wallclock.so"
	shiftFile   = "wallclock.shift"
	preloadEnv  = "LD_PRELOAD"
	shiftEnv    = "WALL_CLOCK_SHIFT"

	shiftBytes = 8
)

// Wall is a wall clock that several processes share. It is made by New and safe
// for concurrent use; its owner calls Close.
type Wall struct {
	env      map[string]string
	shiftOut *os.File

	mu    sync.Mutex
	shift time.Duration
}

// New returns a wall clock that shows the machine's time, with its files in dir. It
// fails if the compiler does, whose output is part of the error, or if a file cannot
// be written.
func New(dir string) (*Wall, error) {
	sourcePath, libraryPath, shiftPath := filepath.Join(dir, sourceFile), filepath.Join(dir, libraryFile), filepath.Join(dir, shiftFile)
	if err := os.WriteFile(sourcePath, shimSource, 0o600); err != nil {
		return nil, fmt.Errorf("wall clock: %w", err)
	}
	build := exec.Command("gcc", "-O2", "-fno-stack-protector", "-shared", "-fPIC", "-Wall", "-Werror", "-o", libraryPath, sourcePath)
	if output, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("wall clock: gcc: %w: %s", err, output)
	}
	if err := os.WriteFile(shiftPath, make([]byte, shiftBytes), 0o600); err != nil {
		return nil, fmt.Errorf("wall clock: %w", err)
	}
	f, err := os.OpenFile(shiftPath, os.O_RDWR, 0)
	if err != nil {
		return nil, fmt.Errorf("wall clock: %w", err)
	}
	return &Wall{env: map[string]string{preloadEnv: libraryPath, shiftEnv: shiftPath}, shiftOut: f}, nil
}

// Env returns the environment variables with which a process runs on this clock.
func (w *Wall) Env() map[string]string { return w.env }

// Step sets the clock forward, or back if by is negative, relative to what it
// shows; so steps add up.
func (w *Wall) Step(by time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shift += by
	if _, err := w.shiftOut.WriteAt(binary.NativeEndian.AppendUint64(nil, uint64(w.shift)), 0); err != nil {
		return fmt.Errorf("wall clock: %w", err)
	}
	return nil
}

// Close closes the file that holds the shift. Processes that are running keep their
// present shift.
func (w *Wall) Close() error { return w.shiftOut.Close() }
