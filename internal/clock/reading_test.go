package clock

import (
	"testing"
	"time"
)

// Two readings of a process agree with its own clock, and with the wall clock.
func TestRead(t *testing.T) {
	began, first := time.Now(), Read()
	if first.Boot == (Boot{}) {
		t.Fatal("the boot is not known")
	}
	if off := first.Wall - began.UnixMicro(); off < 0 || off > 1e6 {
		t.Errorf("the wall clock is off by %d µs", off)
	}
	time.Sleep(20 * time.Millisecond)
	second, took := Read(), time.Since(began).Microseconds()
	got, exact := second.Since(first)
	if !exact || got < 20e3 || got > took {
		t.Errorf("%d µs of %d, exact %v", got, took, exact)
	}
}

// The time between two readings is the monotonic clock's within one boot, and the
// wall clock's otherwise.
func TestSince(t *testing.T) {
	boot, other := Boot{1}, Boot{2}
	for _, x := range []struct {
		what           string
		earlier, later Reading
		micros         int64
		exact          bool
	}{
		{"no step", Reading{100, 7, boot}, Reading{150, 57, boot}, 50, true},
		{"forward", Reading{100, 7, boot}, Reading{900, 57, boot}, 50, true},
		{"back", Reading{100, 7, boot}, Reading{20, 57, boot}, 50, true},
		{"booted since", Reading{100, 900, boot}, Reading{150, 57, other}, 50, false},
		{"booted since, and set back", Reading{100, 900, boot}, Reading{20, 57, other}, -80, false},
		{"no boot is known", Reading{100, 7, Boot{}}, Reading{150, 9, Boot{}}, 50, false},
		{"the monotonic clock went back", Reading{100, 57, boot}, Reading{150, 7, boot}, 50, false},
	} {
		if micros, exact := x.later.Since(x.earlier); micros != x.micros || exact != x.exact {
			t.Errorf("%s: %d µs, exact %v; want %d, %v", x.what, micros, exact, x.micros, x.exact)
		}
	}
}
