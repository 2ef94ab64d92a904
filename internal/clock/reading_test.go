package clock

import (
	"testing"
	"time"
)

// The time between two readings agrees with the process's own clock, and a reading
// shows the machine's wall clock.
func TestReadingsAgreeWithProcessAndWallClock(t *testing.T) {
	start, first := time.Now(), Read()
	if first.Boot == (Boot{}) {
		t.Fatal("the boot is unknown")
	}
	if offset := first.Wall - start.UnixMicro(); offset < 0 || offset > 1e6 {
		t.Errorf("the wall clock is off by %d µs", offset)
	}
	time.Sleep(20 * time.Millisecond)
	second, elapsed := Read(), time.Since(start).Microseconds()
	got, exact := second.Since(first)
	if !exact || got < 20e3 || got > elapsed {
		t.Errorf("the readings are %d µs apart, want 20000 to %d µs; exact is %v, want true", got, elapsed, exact)
	}
}

// The time between two readings is measured by the monotonic clock within one
// boot, and by the wall clock otherwise.
func TestTimeBetweenReadingsUsesMonotonicClockOnlyWithinOneBoot(t *testing.T) {
	boot, otherBoot := Boot{1}, Boot{2}
	for _, test := range []struct {
		name           string
		earlier, later Reading
		micros         int64
		exact          bool
	}{
		{"wall clock not stepped", Reading{100, 7, boot}, Reading{150, 57, boot}, 50, true},
		{"wall clock stepped forward", Reading{100, 7, boot}, Reading{900, 57, boot}, 50, true},
		{"wall clock stepped back", Reading{100, 7, boot}, Reading{20, 57, boot}, 50, true},
		{"machine rebooted", Reading{100, 900, boot}, Reading{150, 57, otherBoot}, 50, false},
		{"machine rebooted and wall clock stepped back", Reading{100, 900, boot}, Reading{20, 57, otherBoot}, -80, false},
		{"boots unknown", Reading{100, 7, Boot{}}, Reading{150, 9, Boot{}}, 50, false},
		{"monotonic clock went back", Reading{100, 57, boot}, Reading{150, 7, boot}, 50, false},
	} {
		if micros, exact := test.later.Since(test.earlier); micros != test.micros || exact != test.exact {
			t.Errorf("%s: %d µs, exact %v; want %d, %v", test.name, micros, exact, test.micros, test.exact)
		}
	}
}
