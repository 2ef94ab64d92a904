package clock

import (
	"testing"
	"time"
)

// A simulated clock runs at the given rate and its date jumps, while its monotonic
// time never goes backwards. Malformed specifications are rejected.
func TestSimulatedClockFollowsSpecAndMonotonicTimeNeverGoesBack(t *testing.T) {
	c, err := Parse("rate=4,date=-1h@10ms")
	if err != nil {
		t.Fatal(err)
	}
	realStart := time.Now()
	monoStart := c.Monotonic()
	for time.Since(realStart) < 20*time.Millisecond {
		if now := c.Monotonic(); now.Before(monoStart) {
			t.Fatalf("the monotonic time went back from %v to %v", monoStart, now)
		}
	}
	monoElapsed, realElapsed := c.Monotonic().Sub(monoStart), time.Since(realStart)
	if monoElapsed < 70*time.Millisecond || monoElapsed > 4*realElapsed {
		t.Errorf("at rate 4 the clock advanced by %v in %v", monoElapsed, realElapsed)
	}
	if dateOffset := time.Until(c.Date()); dateOffset > -59*time.Minute {
		t.Errorf("after a jump of -1h the date is off by %v", dateOffset)
	}
	if converted := c.ToMachine(c.FromMachine(time.Second)); converted != time.Second {
		t.Errorf("a second converted to this clock and back is %v", converted)
	}
	var machineClock *Clock
	if offset := time.Until(machineClock.Date()); offset < -time.Second || machineClock.FromMachine(3) != 3 || machineClock.ToMachine(3) != 3 {
		t.Errorf("the machine's clock is off by %v, or converts durations", offset)
	}
	for _, spec := range []string{"rate=", "rate=0", "rate=nan", "rate=11", "date=1h", "date=@1s", "date=1h@-1s", "speed=2"} {
		if _, err := Parse(spec); err == nil {
			t.Errorf("%q was accepted", spec)
		}
	}
}
