// Package wallclock steps the wall clock of processes, as an operator or a time daemon
// would that of their machine; their monotonic clocks run on. It promises that a step is
// seen by every reading that begins after Step has returned. It is for tests and the lab,
// needs gcc and Linux on amd64, and works on programs that are linked dynamically.
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
var source []byte

// Names of files, and of the environment variables that tell a process of them.
const (
	codeName    = "wallclock.c"
	libraryName = "wallclock.so"
	shiftName   = "wallclock.shift"
	preloadEnv  = "LD_PRELOAD"
	shiftEnv    = "WALL_CLOCK_SHIFT"

	shiftBytes = 8
)

// Wall is a wall clock that the processes of one machine share.
type Wall struct {
	env  map[string]string
	file *os.File

	mu    sync.Mutex
	shift time.Duration
}

// New makes a wall clock that shows the right time, with its files in a folder. An error
// is that of the compiler, with what it printed, or of the file system.
func New(dir string) (*Wall, error) {
	code, library, shift := filepath.Join(dir, codeName), filepath.Join(dir, libraryName), filepath.Join(dir, shiftName)
	if err := os.WriteFile(code, source, 0o600); err != nil {
		return nil, fmt.Errorf("wall clock: %w", err)
	}
	build := exec.Command("gcc", "-O2", "-fno-stack-protector", "-shared", "-fPIC", "-Wall", "-Werror", "-o", library, code)
	if text, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("wall clock: gcc: %w: %s", err, text)
	}
	if err := os.WriteFile(shift, make([]byte, shiftBytes), 0o600); err != nil {
		return nil, fmt.Errorf("wall clock: %w", err)
	}
	f, err := os.OpenFile(shift, os.O_RDWR, 0)
	if err != nil {
		return nil, fmt.Errorf("wall clock: %w", err)
	}
	return &Wall{env: map[string]string{preloadEnv: library, shiftEnv: shift}, file: f}, nil
}

// Env is what the environment of a process needs for it to go by this clock.
func (w *Wall) Env() map[string]string { return w.env }

// Step sets the clock forward, or back where by is negative.
func (w *Wall) Step(by time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shift += by
	if _, err := w.file.WriteAt(binary.NativeEndian.AppendUint64(nil, uint64(w.shift)), 0); err != nil {
		return fmt.Errorf("wall clock: %w", err)
	}
	return nil
}

// Close lets go of the files; processes that run keep the shift that they have.
func (w *Wall) Close() error { return w.file.Close() }
