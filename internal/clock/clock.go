// Package clock is the time source of a process: the machine's clocks, or a
// simulated one whose rate differs from theirs and whose date jumps. Mono never
// goes backwards, whatever happens to the date. With simulated clocks the fault
// lab shows that safety does not depend on time; production uses the machine's.
//
// Reading compares clock readings of different processes.
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
	began time.Time
	rate  float64 // seconds of this clock in a second of the machine's
	jumps []dateJump
}

// dateJump sets the date forward, or back where by is negative, at a time after
// the process began.
type dateJump struct{ by, at time.Duration }

// Bounds of a simulated clock's rate.
const (
	minRate = 0.1
	maxRate = 10
)

// Parse returns the simulated clock that spec describes. "rate=1.1,date=-1h@8s"
// is a clock that runs 10% fast, and whose date is set back an hour 8 s after the
// process began. An empty spec is the machine's clock.
func Parse(spec string) (*Clock, error) {
	if spec == "" {
		return nil, nil
	}
	c := &Clock{began: time.Now(), rate: 1}
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
			c.jumps = append(c.jumps, jump)
		default:
			return nil, fmt.Errorf("clock: %q; rate and date are known", part)
		}
	}
	return c, nil
}

func parseRate(text string) (float64, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || !(rate >= minRate && rate <= maxRate) { // not a number compares with neither
		return 0, fmt.Errorf("clock: rate: %q; a number from %v to %v is wanted", text, minRate, maxRate)
	}
	return rate, nil
}

// parseDateJump parses a jump such as -1h@8s.
func parseDateJump(text string) (dateJump, error) {
	by, at, _ := strings.Cut(text, "@")
	var jump dateJump
	var err error
	if jump.by, err = time.ParseDuration(by); err == nil {
		jump.at, err = time.ParseDuration(at)
	}
	if err != nil || jump.at < 0 {
		return dateJump{}, fmt.Errorf("clock: date: %q; such as -1h@8s is wanted", text)
	}
	return jump, nil
}

// Mono returns the monotonic time, which is only good for differences and
// comparisons with others of the same clock. Jumps of the date do not affect it.
func (c *Clock) Mono() time.Time {
	if c == nil {
		return time.Now()
	}
	return c.began.Add(c.Span(time.Since(c.began)))
}

// Date returns the date and time of day that this clock shows.
func (c *Clock) Date() time.Time {
	if c == nil {
		return time.Now()
	}
	now := c.Mono().Round(0)
	for _, j := range c.jumps {
		if time.Since(c.began) >= j.at {
			now = now.Add(j.by)
		}
	}
	return now
}

// Span converts a duration by the machine's clock to one by this clock.
func (c *Clock) Span(d time.Duration) time.Duration {
	if c == nil {
		return d
	}
	return time.Duration(float64(d) * c.rate)
}

// Real converts a duration by this clock to one by the machine's, for timers.
func (c *Clock) Real(d time.Duration) time.Duration {
	if c == nil {
		return d
	}
	return time.Duration(float64(d) / c.rate)
}
