package faultlab

import (
	"slices"
)

// Spread is a figure over several takes, in milliseconds unless it says otherwise.
type Spread struct {
	Name               string
	N                  int
	P50, P90, P99, Max float64
}

func newSpread(name string, v []float64) Spread {
	slices.Sort(v)
	at := func(q float64) float64 {
		if len(v) == 0 {
			return 0
		}
		return v[min(len(v)-1, int(q*float64(len(v))))]
	}
	return Spread{name, len(v), at(0.5), at(0.9), at(0.99), at(1)}
}
