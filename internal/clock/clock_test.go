package clock

import (
	"testing"
	"time"
)

// A simulated clock runs at the given rate and its date jumps, while its monotonic
// time never goes backwards. Malformed specifications are rejected.
func TestDrill(t *testing.T) {
	c, err := Parse("rate=4,date=-1h@10ms")
	if err != nil {
		t.Fatal(err)
	}
	real := time.Now()
	before := c.Mono()
	for time.Since(real) < 20*time.Millisecond {
		if now := c.Mono(); now.Before(before) {
			t.Fatalf("the monotonic time went back from %v to %v", before, now)
		}
	}
	ran, took := c.Mono().Sub(before), time.Since(real)
	if ran < 70*time.Millisecond || ran > 4*took {
		t.Errorf("at rate 4 the clock advanced by %v in %v", ran, took)
	}
	if back := time.Until(c.Date()); back > -59*time.Minute {
		t.Errorf("after a jump of -1h the date is off by %v", back)
	}
	if d := c.Real(c.Span(time.Second)); d != time.Second {
		t.Errorf("a second converted to this clock and back is %v", d)
	}
	var machine *Clock
	if off := time.Until(machine.Date()); off < -time.Second || machine.Span(3) != 3 || machine.Real(3) != 3 {
		t.Errorf("the machine's clock is off by %v, or converts durations", off)
	}
	for _, bad := range []string{"rate=", "rate=0", "rate=nan", "rate=11", "date=1h", "date=@1s", "date=1h@-1s", "speed=2"} {
		if _, err := Parse(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
