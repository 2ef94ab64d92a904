package model

import "time"

// Class describes a class of messages, with the figures that the site's brief gives
// for it.
type Class struct {
	Name             string
	Fraction         float64       // fraction of all messages that are of this class
	LatencyObjective time.Duration // a message delivered within this time has its whole Weight
	Deadline         time.Duration // a message delivered later has no value
	Weight           float64       // value of a message delivered in time
	LateFraction     float64       // fraction of Weight that a message has at least until its deadline
	NonIdempotent    bool          // must not be repeated once it may have taken effect
	ServiceTime      minMax        // range of service times at an upstream with a LatencyFactor of 1
}

// negligibleFraction is the fraction of a weight below which it is not halved further.
const negligibleFraction = 0.001

// Classes returns the two classes of messages of the simulated site.
func Classes() []Class {
	const ms = time.Millisecond
	return []Class{
		{Name: "alert-update", Fraction: 0.7, LatencyObjective: 1500 * ms, Deadline: 8 * time.Second,
			Weight: 1, ServiceTime: minMax{90 * ms, 160 * ms}},
		{Name: "copy-order", Fraction: 0.3, LatencyObjective: 2 * time.Second, Deadline: 16 * time.Second,
			Weight: 2, LateFraction: 0.5, NonIdempotent: true, ServiceTime: minMax{230 * ms, 390 * ms}},
	}
}

// Value returns the value of a message that is delivered the given time after it was
// due. It is Weight within LatencyObjective and halves with each further
// LatencyObjective that has begun, but is at least LateFraction of Weight until the
// deadline. It is 0 after the deadline.
func (c *Class) Value(after time.Duration) float64 {
	if after > c.Deadline {
		return 0
	}
	weight := c.Weight
	for after > c.LatencyObjective && weight > c.Weight*negligibleFraction {
		weight /= 2
		after -= c.LatencyObjective
	}
	return max(weight, c.Weight*c.LateFraction)
}
