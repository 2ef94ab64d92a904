package clock

import (
	"testing"
	"time"
)

// The time between two readings agrees with the process's own clock, and a reading
// shows the machine's wall clock.
func TestRead(t *testing.T) {
	began, first := time.Now(), Read()
	if first.Boot == (Boot{}) {
		t.Fatal("the boot is unknown")
	}
	if off := first.Wall - began.UnixMicro(); off < 0 || off > 1e6 {
		t.Errorf("the wall clock is off by %d µs", off)
	}
	time.Sleep(20 * time.Millisecond)
	second, took := Read(), time.Since(began).Microseconds()
	got, exact := second.Since(first)
	if !exact || got < 20e3 || got > took {
		t.Errorf("the readings are %d µs apart, want 20000 to %d µs; exact is %v, want true", got, took, exact)
	}
}

// The time between two readings is measured by the monotonic clock within one
// boot, and by the wall clock otherwise.
func TestSince(t *testing.T) {
	boot, other := Boot{1}, Boot{2}
	for _, x := range []struct {
		what           string
		earlier, later Reading
		micros         int64
		exact          bool
	}{
		{"wall clock not stepped", Reading{100, 7, boot}, Reading{150, 57, boot}, 50, true},
		{"wall clock stepped forward", Reading{100, 7, boot}, Reading{900, 57, boot}, 50, true},
		{"wall clock stepped back", Reading{100, 7, boot}, Reading{20, 57, boot}, 50, true},
		{"machine rebooted", Reading{100, 900, boot}, Reading{150, 57, other}, 50, false},
		{"machine rebooted and wall clock stepped back", Reading{100, 900, boot}, Reading{20, 57, other}, -80, false},
		{"boots unknown", Reading{100, 7, Boot{}}, Reading{150, 9, Boot{}}, 50, false},
		{"monotonic clock went back", Reading{100, 57, boot}, Reading{150, 7, boot}, 50, false},
	} {
		if micros, exact := x.later.Since(x.earlier); micros != x.micros || exact != x.exact {
			t.Errorf("%s: %d µs, exact %v; want %d, %v", x.what, micros, exact, x.micros, x.exact)
		}
	}
}
