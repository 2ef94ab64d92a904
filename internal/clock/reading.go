package clock

import (
	"crypto/sha256"
	"os"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Reading holds the wall clock and the monotonic clock of a machine at the same
// instant. Readings can be compared even if different processes took them.
type Reading struct {
	Wall int64 // Unix microseconds; the wall clock may be stepped in either direction
	Mono int64 // microseconds of CLOCK_MONOTONIC, which all processes of the machine share
	Boot Boot  // the boot during which Mono is valid
}

// Boot identifies one run of a machine's kernel and a time namespace in it.
// Monotonic readings can be compared only within one Boot. The zero value stands
// for an unknown boot, with which no reading can be compared.
type Boot [16]byte

// Files of Linux that identify the boot (proc_sys_kernel(5), time_namespaces(7)).
const (
	bootFile      = "/proc/sys/kernel/random/boot_id"
	namespaceLink = "/proc/self/ns/time"
)

const (
	clockMonotonic  = 1                // CLOCK_MONOTONIC, which package syscall does not name
	maxPairGap      = time.Millisecond // readings of two clocks count as simultaneous up to this distance
	maxPairAttempts = 100
)

// baseline is one instant as this process's own clock shows it and as the
// machine's monotonic clock shows it.
type baseline struct {
	local time.Time // by the process's clock, with its monotonic reading
	mono  int64     // microseconds of CLOCK_MONOTONIC
	boot  Boot
}

var machineBaseline = sync.OnceValue(readBaseline)

// readBaseline reads both clocks. The boot is left unknown if the machine's clock
// cannot be read, or if the two readings are never within maxPairGap of each other
// in maxPairAttempts attempts.
func readBaseline() baseline {
	var b baseline
	for range maxPairAttempts {
		b.local = time.Now()
		var ts syscall.Timespec
		_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic, uintptr(unsafe.Pointer(&ts)), 0)
		if errno != 0 {
			return b
		}
		b.mono = ts.Nano() / int64(time.Microsecond)
		if time.Since(b.local) < maxPairGap {
			b.boot = readBoot()
			return b
		}
	}
	return b
}

// readBoot returns a hash of the ids of the boot and of the time namespace, or an
// unknown boot if one of them cannot be read.
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
	return Reading{Wall: now.UnixMicro(), Mono: base.mono + now.Sub(base.local).Microseconds(), Boot: base.boot}
}

// Since returns the microseconds from an earlier reading to this one. The result
// is exact between two readings of the same known boot whose monotonic times do not
// go back, for which it comes from the monotonic clock. Otherwise it is the difference
// of the wall clocks, which is negative if the wall clock was set back by more than the
// time that has passed.
func (r Reading) Since(earlier Reading) (micros int64, exact bool) {
	if r.Boot != (Boot{}) && r.Boot == earlier.Boot && r.Mono >= earlier.Mono {
		return r.Mono - earlier.Mono, true
	}
	return r.Wall - earlier.Wall, false
}
