package clock

import (
	"crypto/sha256"
	"os"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Reading is the wall clock and the monotonic clock of a machine at one moment.
// Readings can be compared even if different processes took them.
type Reading struct {
	Wall int64 // Unix microseconds; it may be stepped in either direction
	Mono int64 // microseconds of CLOCK_MONOTONIC, which all processes of the machine share
	Boot Boot  // the boot during which Mono is valid
}

// Boot identifies one run of a machine's kernel, and the time namespace in it,
// within which monotonic readings can be compared. The zero value is unknown, and
// compares with none.
type Boot [16]byte

// Files of Linux that identify the boot (proc_sys_kernel(5), time_namespaces(7)).
const (
	bootFile      = "/proc/sys/kernel/random/boot_id"
	namespaceLink = "/proc/self/ns/time"
)

const (
	clockMonotonic  = 1                // CLOCK_MONOTONIC, which package syscall does not name
	maxPairGap      = time.Millisecond // between the readings of two clocks that count as one moment
	maxPairAttempts = 100
)

// baseline is one moment by this process's own clock and by the machine's.
type baseline struct {
	at   time.Time // with its monotonic reading
	mono int64     // microseconds
	boot Boot
}

var machineBaseline = sync.OnceValue(readBaseline)

// readBaseline reads both clocks. If the machine's cannot be read, or not within
// maxPairGap of the process's, the boot is left unknown.
func readBaseline() baseline {
	var b baseline
	for range maxPairAttempts {
		b.at = time.Now()
		var ts syscall.Timespec
		_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic, uintptr(unsafe.Pointer(&ts)), 0)
		if errno != 0 {
			return b
		}
		b.mono = ts.Nano() / int64(time.Microsecond)
		if time.Since(b.at) < maxPairGap {
			b.boot = readBoot()
			return b
		}
	}
	return b
}

// readBoot hashes what identifies the boot and the time namespace.
func readBoot() Boot {
	id, err := os.ReadFile(bootFile)
	if err != nil || len(id) == 0 {
		return Boot{}
	}
	namespace, err := os.Readlink(namespaceLink)
	if err != nil && !os.IsNotExist(err) { // kernels older than time namespaces have no link
		return Boot{}
	}
	sum := sha256.Sum256(append(id, namespace...))
	return Boot(sum[:len(Boot{})])
}

// Read reads the machine's clocks. It is safe for concurrent use.
func Read() Reading {
	base := machineBaseline()
	now := time.Now()
	return Reading{Wall: now.UnixMicro(), Mono: base.mono + now.Sub(base.at).Microseconds(), Boot: base.boot}
}

// Since returns the microseconds from an earlier reading to this one. They are
// exact between two readings of one boot. Otherwise they are the difference of the
// wall clocks, which is negative if the wall clock was set back by more than has
// passed.
func (r Reading) Since(earlier Reading) (micros int64, exact bool) {
	if r.Boot != (Boot{}) && r.Boot == earlier.Boot && r.Mono >= earlier.Mono {
		return r.Mono - earlier.Mono, true
	}
	return r.Wall - earlier.Wall, false
}
