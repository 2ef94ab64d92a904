// Package clock is the time that a process goes by: the machine's, unless a drill
// has it run fast or slow, or its date jump. It promises that Mono and Elapsed
// only go forward, whatever becomes of the date. It lets the lab show that no
// safety rests on time; nothing in service sets a drill.
package clock

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Clock is a process's time. Nil is the machine's.
type Clock struct {
	began time.Time
	rate  float64 // seconds of this clock in one of the machine's
	jumps []jump
}

// jump is one of the date.
type jump struct{ by, at time.Duration }

const (
	rateLeast = 0.1
	rateMost  = 10
)

// Parse reads a drill, such as "rate=1.1,date=-1h@8s": a clock that runs a tenth
// fast, and whose date is set back an hour 8 s after the process began. Nothing
// is the machine's clock.
func Parse(drill string) (*Clock, error) {
	if drill == "" {
		return nil, nil
	}
	c := &Clock{began: time.Now(), rate: 1}
	for _, part := range strings.Split(drill, ",") {
		key, value, _ := strings.Cut(part, "=")
		switch key {
		case "rate":
			r, err := strconv.ParseFloat(value, 64)
			if err != nil || !(r >= rateLeast && r <= rateMost) {
				return nil, fmt.Errorf("clock: rate: %q; a number from %v to %v is wanted", value, rateLeast, rateMost)
			}
			c.rate = r
		case "date":
			by, at, _ := strings.Cut(value, "@")
			j := jump{}
			var err error
			if j.by, err = time.ParseDuration(by); err == nil {
				j.at, err = time.ParseDuration(at)
			}
			if err != nil || j.at < 0 {
				return nil, fmt.Errorf("clock: date: %q; such as -1h@8s is wanted", value)
			}
			c.jumps = append(c.jumps, j)
		default:
			return nil, fmt.Errorf("clock: %q; rate and date are known", part)
		}
	}
	return c, nil
}

// Mono is a moment that only differences and comparisons with others of this
// clock mean anything of: no jump of the date is in it.
func (c *Clock) Mono() time.Time {
	if c == nil {
		return time.Now()
	}
	return c.began.Add(c.Span(time.Since(c.began)))
}

// Date is what this clock says that it is.
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

// Span is what this clock makes of a span of the machine's.
func (c *Clock) Span(d time.Duration) time.Duration {
	if c == nil {
		return d
	}
	return time.Duration(float64(d) * c.rate)
}

// Real is how long a span of this clock takes on the machine's, for its timers.
func (c *Clock) Real(d time.Duration) time.Duration {
	if c == nil {
		return d
	}
	return time.Duration(float64(d) / c.rate)
}
