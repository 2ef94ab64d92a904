// Package clocktest steps the wall clock of processes under test, as an operator or a
// time daemon would that of their machine; their monotonic clocks run on. It promises
// that a step is seen by every reading that begins after Step has returned. It needs
// gcc, and Linux on amd64.
package clocktest

import (
	_ "embed"
	"encoding/binary"
	"os"
	"os/exec"
	"path/filepath"
	_ "runtime/cgo" // links a test's own program dynamically, so that it can be a child that loads the library
	"sync/atomic"
	"testing"
	"time"
	"unsafe"
)

//go:embed shim/wallclock.c
var source []byte

// shiftName is the environment variable that names the shift's file to the library.
const shiftName = "WALL_CLOCK_SHIFT"

// Wall is a wall clock that the processes of one machine share.
type Wall struct {
	env   map[string]string
	file  *os.File
	shift time.Duration
}

// New makes a wall clock that shows the right time.
func New(t *testing.T) *Wall {
	t.Helper()
	dir := t.TempDir()
	code, library, shift := filepath.Join(dir, "wallclock.c"), filepath.Join(dir, "wallclock.so"), filepath.Join(dir, "shift")
	if err := os.WriteFile(code, source, 0o600); err != nil {
		t.Fatal(err)
	}
	build := exec.Command("gcc", "-O2", "-fno-stack-protector", "-shared", "-fPIC", "-Wall", "-Werror", "-o", library, code)
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("wall clock: %v\n%s", err, text)
	}
	if err := os.WriteFile(shift, make([]byte, unsafe.Sizeof(atomic.Int64{})), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(shift, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return &Wall{env: map[string]string{"LD_PRELOAD": library, shiftName: shift}, file: f}
}

// Env is what the environment of a process needs for it to go by this clock.
func (w *Wall) Env() map[string]string { return w.env }

// Step sets the clock forward, or back where by is negative.
func (w *Wall) Step(t *testing.T, by time.Duration) {
	t.Helper()
	w.shift += by
	b := binary.NativeEndian.AppendUint64(nil, uint64(w.shift))
	if _, err := w.file.WriteAt(b, 0); err != nil {
		t.Fatal(err)
	}
}
