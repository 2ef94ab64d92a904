// Package clock is the time source of a process: the machine's clocks, or a
// simulated clock that runs at another rate and whose date jumps. The monotonic
// time never goes backwards, whatever happens to the date. The fault lab runs
// processes on simulated clocks to show that safety does not depend on time;
// production uses the machine's clocks.
//
// A Reading can be compared with readings that other processes took.
package clock

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Clock is the time source of a process. A nil Clock is the machine's; Parse
// makes a simulated one. It is immutable and safe for concurrent use.
type Clock struct {
	start     time.Time
	rate      float64 // seconds that this clock advances in one second of the machine's clock
	dateJumps []dateJump
}

// dateJump sets the date forward by an amount, or back if the amount is negative,
// once a time by the machine's clock has passed since Parse made the clock.
type dateJump struct{ amount, after time.Duration }

// A simulated clock's rate must lie within these bounds.
const (
	minRate = 0.1
	maxRate = 10
)

// Parse returns the simulated clock that spec describes. "rate=1.1,date=-1h@8s"
// is a clock that runs 10% fast, and whose date is set back by an hour 8 s after
// Parse. For an empty spec Parse returns the machine's clock, nil.
func Parse(spec string) (*Clock, error) {
	if spec == "" {
		return nil, nil
	}
	c := &Clock{start: time.Now(), rate: 1}
	for _, part := range strings.Split(spec, ",") {
		key, value, _ := strings.Cut(part, "=")
		switch key {
		case "rate":
			rate, err := parseRate(value)
			if err != nil {
				return nil, err
			}
			c.rate = rate
		case "date":
			jump, err := parseDateJump(value)
			if err != nil {
				return nil, err
			}
			c.dateJumps = append(c.dateJumps, jump)
		default:
			return nil, fmt.Errorf("clock: %q; rate and date are known", part)
		}
	}
	return c, nil
}

func parseRate(text string) (float64, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || !(rate >= minRate && rate <= maxRate) { // written so that NaN is rejected, too
		return 0, fmt.Errorf("clock: rate: %q; a number from %v to %v is wanted", text, minRate, maxRate)
	}
	return rate, nil
}

// parseDateJump parses a jump such as -1h@8s: back by an hour, 8 s after Parse.
func parseDateJump(text string) (dateJump, error) {
	amountText, afterText, _ := strings.Cut(text, "@")
	var jump dateJump
	var err error
	if jump.amount, err = time.ParseDuration(amountText); err == nil {
		jump.after, err = time.ParseDuration(afterText)
	}
	if err != nil || jump.after < 0 {
		return dateJump{}, fmt.Errorf("clock: date: %q; such as -1h@8s is wanted", text)
	}
	return jump, nil
}

// Monotonic returns the monotonic time. Only its difference from, and its order with,
// other monotonic times of the same clock have a meaning. Jumps of the date do
// not affect it.
func (c *Clock) Monotonic() time.Time {
	if c == nil {
		return time.Now()
	}
	return c.start.Add(c.FromMachine(time.Since(c.start)))
}

// Date returns the date and time of day that this clock shows.
func (c *Clock) Date() time.Time {
	if c == nil {
		return time.Now()
	}
	now := c.Monotonic().Round(0)
	for _, jump := range c.dateJumps {
		if time.Since(c.start) >= jump.after {
			now = now.Add(jump.amount)
		}
	}
	return now
}

// FromMachine converts a duration measured by the machine's clock to the duration that
// this clock shows for it.
func (c *Clock) FromMachine(d time.Duration) time.Duration {
	if c == nil {
		return d
	}
	return time.Duration(float64(d) * c.rate)
}

// ToMachine converts a duration by this clock to one by the machine's clock, which is
// what a timer needs.
func (c *Clock) ToMachine(d time.Duration) time.Duration {
	if c == nil {
		return d
	}
	return time.Duration(float64(d) / c.rate)
}
