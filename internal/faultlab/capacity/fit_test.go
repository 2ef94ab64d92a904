package capacity

import (
	"math"
	"testing"
)

// measured makes a measurement of a function, with one play for each factor.
func newTestMeasurement(f func(size float64) float64, factors ...float64) *Measurement {
	m := &Measurement{Job: "test", Quantity: Quantity{Name: "cost", Target: 100_000, Budget: 1000}, Sizes: []float64{100, 1000, 10_000, 31_000}}
	for _, size := range m.Sizes {
		var plays []float64
		for _, factor := range factors {
			plays = append(plays, factor*f(size))
		}
		m.Values = append(m.Values, plays)
	}
	m.fit()
	return m
}

func checkNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6*max(1, math.Abs(want)) {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// A straight line gives its own slope and base, and the spread of its plays.
func TestFitOfLineGivesSlopeInterceptAndSpread(t *testing.T) {
	m := newTestMeasurement(func(size float64) float64 { return 0.02 * size }, 1, 0.5, 1.5)
	checkNear(t, "slope", m.Slope, 0.02)
	checkNear(t, "least slope", m.SlopeMin, 0.01)
	checkNear(t, "largest slope", m.SlopeMax, 0.03)
	checkNear(t, "exponent", m.Exponent, 1)
	checkNear(t, "at the target", m.AtTarget, 2000)
	checkNear(t, "ratio", m.Ratio, 2)
	base := newTestMeasurement(func(size float64) float64 { return 50 + 0.02*size }, 1)
	checkNear(t, "base", base.Intercept, 50)
	checkNear(t, "with its base", base.WithBase, 2050)
	if base.Exponent > 0.9 {
		t.Errorf("a line with a base has exponent %v", base.Exponent)
	}
	if err := m.Check(); err != nil {
		t.Error(err)
	}
}

// A curve shows by its exponent, and the power law leads where the line does not.
func TestFitOfPowerLawGivesExponentAndPrediction(t *testing.T) {
	for _, exponent := range []float64{0.5, 2} {
		m := newTestMeasurement(func(size float64) float64 { return 3 * math.Pow(size, exponent) }, 1)
		checkNear(t, "exponent", m.Exponent, exponent)
		checkNear(t, "exponent at the top", m.TopExponent, exponent)
		checkNear(t, "by the power law", m.ByPower, 3*math.Pow(m.Target, exponent))
	}
}

// What cannot be a measurement is told.
func TestCheckRejectsInvalidMeasurement(t *testing.T) {
	line := func(size float64) float64 { return size }
	for name, invalidate := range map[string]func(*Measurement){
		"not a number": func(m *Measurement) { m.Values[1][0] = math.NaN() },
		"no end":       func(m *Measurement) { m.Values[1][0] = math.Inf(1) },
		"negative":     func(m *Measurement) { m.Values[1][0] = -1 },
		"no play":      func(m *Measurement) { m.Values[1] = nil },
		"one size":     func(m *Measurement) { m.Sizes, m.Values = m.Sizes[:1], m.Values[:1] },
		"exponent":     func(m *Measurement) { m.Exponent = 5 },
		"slope":        func(m *Measurement) { m.Slope = math.NaN() },
	} {
		m := newTestMeasurement(line, 1)
		if invalidate(m); m.Check() == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
