// Package capacity measures what each role of a fleet costs at several sizes, and fits a
// line through the values. The line's slope predicts the cost at a target size that is too
// large for one machine, which can then be compared with a budget.
//
// Every value is measured. The spread over repeated runs is kept, and a cost that does not
// grow linearly shows by the exponent of its fitted power law. The package draws no
// conclusion from the figures.
package capacity

import (
	"fmt"
	"math"
)

// Quantity describes one cost of a role that a job measures.
type Quantity struct {
	Role     string  `json:"role"`
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	SizeUnit string  `json:"size_unit"` // what the sizes count, such as members
	Target   float64 `json:"target"`    // size for which the cost is predicted
	Budget   float64 `json:"budget"`    // allowed cost at the target, in Unit; 0 for no budget
}

// Measurement holds the values of a quantity at several sizes and the line and power law
// fitted to them. A play is one repetition of the measurement at a size.
type Measurement struct {
	Job string `json:"job"`
	Quantity
	Sizes  []float64   `json:"sizes"`
	Values [][]float64 `json:"values"` // indexed by size, then by play
	Slope  float64     `json:"slope"`  // slope of the least squares line through all values
	// SlopeMin and SlopeMax are the extremes of the slopes of lines through single plays.
	SlopeMin    float64 `json:"slope_min"`
	SlopeMax    float64 `json:"slope_max"`
	Intercept   float64 `json:"intercept"`
	Exponent    float64 `json:"exponent"`     // exponent of the power law through all values; 1 for a straight line through 0
	TopExponent float64 `json:"top_exponent"` // exponent of the power law through the values at the two largest sizes
	AtTarget    float64 `json:"at_target"`    // Slope x Target
	WithBase    float64 `json:"with_base"`    // AtTarget plus Intercept, if that is positive
	ByPower     float64 `json:"by_power_law"` // value of the power law at the target
	Ratio       float64 `json:"ratio"`        // WithBase divided by Budget; 0 for no budget
}

// Key identifies the measurement within a Result.
func (m *Measurement) Key() string { return m.Job + ": " + m.Name }

// Result holds the measurements of one run of the selected jobs.
type Result struct {
	Capacity []Measurement `json:"capacity"`
	Notes    []string      `json:"notes,omitempty"` // errors of the jobs that failed
}

// Check returns an error if the measurement cannot be used: if it has fewer than two sizes,
// a size without values, a value that is negative or not finite, or an exponent that is
// too large for any known cost.
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
