package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// fit works out all of a measurement that follows from its sizes and values.
func (m *Measurement) fit() {
	sizes, values := m.pairs(-1)
	m.Intercept, m.Slope = stat.LinearRegression(sizes, values, nil, false)
	m.SlopeMin, m.SlopeMax = m.Slope, m.Slope
	plays := len(m.Values[0])
	for play := range plays {
		x, y := m.pairs(play)
		_, slope := stat.LinearRegression(x, y, nil, false)
		m.SlopeMin, m.SlopeMax = min(m.SlopeMin, slope), max(m.SlopeMax, slope)
	}
	factor, exponent := powerLaw(sizes, values)
	m.Exponent = exponent
	m.AtTarget = m.Slope * m.Target
	m.WithBase = m.AtTarget + max(m.Intercept, 0)
	m.ByPower = factor * math.Pow(m.Target, exponent)
	if n := len(m.Sizes); n >= 2 {
		m.TopGrowth = math.Log(positive(stat.Mean(m.Values[n-1], nil))/positive(stat.Mean(m.Values[n-2], nil))) / math.Log(m.Sizes[n-1]/m.Sizes[n-2])
	}
	if m.Budget > 0 {
		m.Ratio = m.WithBase / m.Budget
	}
}

// pairs gives sizes and values of one play; of all for a negative play.
func (m *Measurement) pairs(play int) (sizes, values []float64) {
	for i, size := range m.Sizes {
		for k, v := range m.Values[i] {
			if play < 0 || k == play {
				sizes, values = append(sizes, size), append(values, v)
			}
		}
	}
	return sizes, values
}

// powerLaw fits values = factor x size^exponent by least squares on logarithmic
// scales.
func powerLaw(sizes, values []float64) (factor, exponent float64) {
	x, y := make([]float64, len(sizes)), make([]float64, len(values))
	for i := range sizes {
		x[i], y[i] = math.Log(sizes[i]), math.Log(positive(values[i]))
	}
	if slices.Max(x) == slices.Min(x) {
		return 0, 0
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	return math.Exp(a), b
}

// positive keeps a value that was too small to be measured inside the range of
// logarithms.
func positive(v float64) float64 { return max(v, 1e-9) }
