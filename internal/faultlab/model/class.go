package model

import "time"

// Class is a class of message, with the figures that the brief gives for it.
type Class struct {
	Name             string
	Fraction         float64       // of the traffic
	LatencyObjective time.Duration // a message delivered within this keeps its whole weight
	Deadline         time.Duration
	Weight           float64
	LateFraction     float64 // of the weight that is left at the deadline
	NonIdempotent    bool    // must not be repeated once it may have taken effect
	ServiceTime      minMax  // at an upstream with a LatencyFactor of 1
}

// negligible is the fraction of a weight below which it is not halved further.
const negligibleFraction = 0.001

// Classes returns the two classes of the site.
func Classes() []Class {
	const ms = time.Millisecond
	return []Class{
		{Name: "alert-update", Fraction: 0.7, LatencyObjective: 1500 * ms, Deadline: 8 * time.Second,
			Weight: 1, ServiceTime: minMax{90 * ms, 160 * ms}},
		{Name: "copy-order", Fraction: 0.3, LatencyObjective: 2 * time.Second, Deadline: 16 * time.Second,
			Weight: 2, LateFraction: 0.5, NonIdempotent: true, ServiceTime: minMax{230 * ms, 390 * ms}},
	}
}

// Value is the weight of a message that is delivered so long after it was due: it
// halves with each further LatencyObjective, down to LateFraction at the deadline,
// and is 0 after it.
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
