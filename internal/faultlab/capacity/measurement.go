// Package capacity measures what each role of a fleet costs at several sizes, and
// fits a slope, so that the cost at a size that no machine here can hold can be
// computed and compared with its budget.
//
// Every value comes from a run. The spread over repeated runs is kept, and a cost
// that does not grow linearly shows by the exponent of its power law. What follows
// from the figures is left to their readers.
package capacity

import (
	"fmt"
	"math"
)

// Quantity is one figure of a role, before it is measured.
type Quantity struct {
	Role     string  `json:"role"`
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	SizeUnit string  `json:"size_unit"` // what a size counts
	Target   float64 `json:"target"`    // the size that is planned for
	Budget   float64 `json:"budget"`    // at the target, in Unit; 0 where none is set
}

// Measurement is a quantity at several sizes, each measured once a play.
type Measurement struct {
	Job string `json:"job"`
	Quantity
	Sizes       []float64   `json:"sizes"`
	Values      [][]float64 `json:"values"` // by size, then by play
	Slope       float64     `json:"slope"`  // of the least squares line through all values
	SlopeMin    float64     `json:"slope_min"`
	SlopeMax    float64     `json:"slope_max"` // over lines through one play each
	Intercept   float64     `json:"intercept"`
	Exponent    float64     `json:"exponent"` // of the power law through all values; 1 for a straight line from 0
	TopExponent float64     `json:"top_exponent"`
	AtTarget    float64     `json:"at_target"`    // slope x target
	WithBase    float64     `json:"with_base"`    // the same and the intercept, where that is above 0
	ByPower     float64     `json:"by_power_law"` // the power law at the target
	Ratio       float64     `json:"ratio"`        // of the value with its base to the budget; 0 where none is set
}

// Key names the measurement among all of a run.
func (m *Measurement) Key() string { return m.Job + ": " + m.Name }

// Result is one run of jobs, as a file holds it.
type Result struct {
	Capacity []Measurement `json:"capacity"`
	Notes    []string      `json:"notes,omitempty"` // jobs that could not be run, each with its error
}

// Check returns why a measurement cannot be used: a value that is not
// finite or less than nothing, or an exponent outside of any known cost.
func (m *Measurement) Check() error {
	const maxExponent = 3.5
	if len(m.Sizes) < 2 || len(m.Values) != len(m.Sizes) {
		return fmt.Errorf("%s: %s: %d sizes, %d rows of values", m.Job, m.Name, len(m.Sizes), len(m.Values))
	}
	for i, plays := range m.Values {
		if len(plays) == 0 {
			return fmt.Errorf("%s: %s: no value at %v", m.Job, m.Name, m.Sizes[i])
		}
		for _, v := range plays {
			if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				return fmt.Errorf("%s: %s: %v at %v", m.Job, m.Name, v, m.Sizes[i])
			}
		}
	}
	for _, v := range []float64{m.Slope, m.SlopeMin, m.SlopeMax, m.Intercept, m.Exponent, m.TopExponent, m.AtTarget, m.WithBase, m.ByPower, m.Ratio} {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("%s: %s: the fit is not finite", m.Job, m.Name)
		}
	}
	if math.Abs(m.Exponent) > maxExponent {
		return fmt.Errorf("%s: %s: exponent %.2f", m.Job, m.Name, m.Exponent)
	}
	return nil
}
