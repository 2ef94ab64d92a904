package clock

import (
	"crypto/sha256"
	"os"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Reading is what the clocks of a machine show at one moment. Two readings tell how
// much time lies between them also where different processes took them.
type Reading struct {
	Wall int64 // Unix microseconds; it may be stepped, either way
	Mono int64 // microseconds of the monotonic clock that all processes of the machine share
	Boot Boot  // what Mono counts from
}

// Boot names one run of a machine's kernel, and the time namespace in it, in which
// monotonic readings can be compared. The zero value compares with none.
type Boot [16]byte

// Files of Linux that tell which boot this is (proc_sys_kernel(5), time_namespaces(7)).
const (
	bootFile      = "/proc/sys/kernel/random/boot_id"
	namespaceLink = "/proc/self/ns/time"
)

const (
	clockMonotonic = 1                // CLOCK_MONOTONIC, which package syscall does not name
	pairWithin     = time.Millisecond // two clocks are read together if this is all that lies between
	pairTries      = 100
)

// base is one moment of this process, by its own clock and by the machine's.
type base struct {
	at   time.Time // with its monotonic reading
	mono int64     // microseconds
	boot Boot
}

var machine = sync.OnceValue(readBase)

// readBase pairs the clocks. Where the machine's cannot be read, or not at once with
// the process's, it names no boot.
func readBase() (b base) {
	for range pairTries {
		b.at = time.Now()
		var ts syscall.Timespec
		_, _, failed := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic, uintptr(unsafe.Pointer(&ts)), 0)
		if failed != 0 {
			return b
		}
		b.mono = ts.Nano() / int64(time.Microsecond)
		if time.Since(b.at) < pairWithin {
			b.boot = readBoot()
			return b
		}
	}
	return b
}

func readBoot() (b Boot) {
	id, err := os.ReadFile(bootFile)
	if err != nil || len(id) == 0 {
		return Boot{}
	}
	namespace, err := os.Readlink(namespaceLink)
	if err != nil && !os.IsNotExist(err) { // a kernel from before there were any has no link
		return Boot{}
	}
	sum := sha256.Sum256(append(id, namespace...))
	copy(b[:], sum[:])
	return b
}

// Read reads the machine's clocks.
func Read() Reading {
	m := machine()
	now := time.Now()
	return Reading{Wall: now.UnixMicro(), Mono: m.mono + now.Sub(m.at).Microseconds(), Boot: m.boot}
}

// Since gives the microseconds from an earlier reading to this one. Between two of one
// boot they are exact. Else the wall clock tells, and says a negative number where it
// was set back by more than has passed.
func (r Reading) Since(earlier Reading) (micros int64, exact bool) {
	if r.Boot != (Boot{}) && r.Boot == earlier.Boot && r.Mono >= earlier.Mono {
		return r.Mono - earlier.Mono, true
	}
	return r.Wall - earlier.Wall, false
}
