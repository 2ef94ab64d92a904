package policy

import "math"

// latencyGain is the divisor that gives the weight of a new sample.
const latencyGain = 8

// latencyEstimate is a smoothed mean and mean deviation of the time to an answer, in microseconds,
// computed as TCP estimates its round-trip time. The zero value has no samples.
type latencyEstimate struct {
	mean, deviation float64
	samples         int
}

func (l *latencyEstimate) add(sample float64) {
	l.samples++
	if l.samples == 1 {
		l.mean, l.deviation = sample, sample/2
		return
	}
	l.deviation += (math.Abs(sample-l.mean) - l.deviation) / latencyGain
	l.mean += (sample - l.mean) / latencyGain
}

// bound is the time within which nearly all answers come.
func (l *latencyEstimate) bound() float64 {
	return latencyBoundMeans*l.mean + latencyBoundDeviations*l.deviation
}
