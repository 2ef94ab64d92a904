package clock

import (
	"testing"
	"time"
)

// The date of a simulated clock jumps and its rate differs, and Mono goes forward
// all the same.
func TestDrill(t *testing.T) {
	c, err := Parse("rate=4,date=-1h@10ms")
	if err != nil {
		t.Fatal(err)
	}
	real := time.Now()
	before := c.Mono()
	for time.Since(real) < 20*time.Millisecond {
		if now := c.Mono(); now.Before(before) {
			t.Fatalf("back from %v to %v", before, now)
		}
	}
	ran, took := c.Mono().Sub(before), time.Since(real)
	if ran < 70*time.Millisecond || ran > 4*took {
		t.Errorf("%v in %v", ran, took)
	}
	if back := time.Until(c.Date()); back > -59*time.Minute {
		t.Errorf("the date is off by %v", back)
	}
	if d := c.Real(c.Span(time.Second)); d != time.Second {
		t.Errorf("a second there and back is %v", d)
	}
	var machine *Clock
	if off := time.Until(machine.Date()); off < -time.Second || machine.Span(3) != 3 || machine.Real(3) != 3 {
		t.Errorf("the machine's clock is off by %v", off)
	}
	for _, bad := range []string{"rate=", "rate=0", "rate=nan", "rate=11", "date=1h", "date=@1s", "date=1h@-1s", "speed=2"} {
		if _, err := Parse(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
