package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// fit computes the line, the power law and the predictions of a measurement from its sizes
// and values.
func (m *Measurement) fit() {
	sizes, values := m.points(-1)
	m.Intercept, m.Slope = stat.LinearRegression(sizes, values, nil, false)
	m.SlopeMin, m.SlopeMax = m.Slope, m.Slope
	plays := len(m.Values[0])
	for play := range plays {
		x, y := m.points(play)
		_, slope := stat.LinearRegression(x, y, nil, false)
		m.SlopeMin, m.SlopeMax = min(m.SlopeMin, slope), max(m.SlopeMax, slope)
	}
	factor, exponent := powerLaw(sizes, values)
	m.Exponent = exponent
	m.AtTarget = m.Slope * m.Target
	m.WithBase = m.AtTarget + max(m.Intercept, 0)
	m.ByPower = factor * math.Pow(m.Target, exponent)
	var x, y []float64 // values at the two largest sizes
	top := max(0, len(m.Sizes)-2)
	for i := top; i < len(m.Sizes); i++ {
		for _, v := range m.Values[i] {
			x, y = append(x, m.Sizes[i]), append(y, v)
		}
	}
	_, m.TopExponent = powerLaw(x, y)
	if m.Budget > 0 {
		m.Ratio = m.WithBase / m.Budget
	}
}

// points returns the sizes and values of one play as pairs at equal indexes, or those of
// all plays if play is negative.
func (m *Measurement) points(play int) (sizes, values []float64) {
	for i, size := range m.Sizes {
		for k, v := range m.Values[i] {
			if play < 0 || k == play {
				sizes, values = append(sizes, size), append(values, v)
			}
		}
	}
	return sizes, values
}

// powerLaw fits values = factor x size^exponent by least squares on logarithmic scales. It
// leaves out values of 0, which were too small to be measured, and returns 0, 0 if fewer
// than two different sizes remain.
func powerLaw(sizes, values []float64) (factor, exponent float64) {
	var x, y []float64
	for i := range sizes {
		if values[i] > 0 {
			x, y = append(x, math.Log(sizes[i])), append(y, math.Log(values[i]))
		}
	}
	if len(x) < 2 || slices.Max(x) == slices.Min(x) {
		return 0, 0
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	return math.Exp(a), b
}
