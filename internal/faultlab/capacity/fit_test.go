package capacity

import (
	"math"
	"testing"
)

// newTestMeasurement makes a measurement whose values are f(size). It has one play, that is
// one repetition, for each factor, which multiplies the values of that play.
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

// Values on a straight line give its slope and intercept. If the repetitions of a
// measurement differ, the least and the largest of their slopes are given as well.
func TestFitOfLineGivesSlopeInterceptAndSpread(t *testing.T) {
	m := newTestMeasurement(func(size float64) float64 { return 0.02 * size }, 1, 0.5, 1.5)
	checkNear(t, "slope", m.Slope, 0.02)
	checkNear(t, "least slope", m.SlopeMin, 0.01)
	checkNear(t, "largest slope", m.SlopeMax, 0.03)
	checkNear(t, "exponent", m.Exponent, 1)
	checkNear(t, "at the target by the line", m.AtTarget, 2000)
	checkNear(t, "ratio to the budget", m.Ratio, 2)
	withIntercept := newTestMeasurement(func(size float64) float64 { return 50 + 0.02*size }, 1)
	checkNear(t, "intercept", withIntercept.Intercept, 50)
	checkNear(t, "at the target with intercept", withIntercept.WithBase, 2050)
	if withIntercept.Exponent > 0.9 {
		t.Errorf("line with a positive intercept: exponent %v, want at most 0.9", withIntercept.Exponent)
	}
	if err := m.Check(); err != nil {
		t.Error(err)
	}
}

// Values on a power law give its exponent, and the power law's prediction is exact where
// that of a straight line is not.
func TestFitOfPowerLawGivesExponentAndPrediction(t *testing.T) {
	for _, exponent := range []float64{0.5, 2} {
		m := newTestMeasurement(func(size float64) float64 { return 3 * math.Pow(size, exponent) }, 1)
		checkNear(t, "exponent", m.Exponent, exponent)
		checkNear(t, "exponent of the two largest sizes", m.TopExponent, exponent)
		checkNear(t, "at the target by the power law", m.ByPower, 3*math.Pow(m.Target, exponent))
	}
}

// Each case breaks one property of a valid measurement.
func TestCheckRejectsInvalidMeasurement(t *testing.T) {
	line := func(size float64) float64 { return size }
	for name, invalidate := range map[string]func(*Measurement){
		"value is not a number": func(m *Measurement) { m.Values[1][0] = math.NaN() },
		"value is infinite":     func(m *Measurement) { m.Values[1][0] = math.Inf(1) },
		"value is negative":     func(m *Measurement) { m.Values[1][0] = -1 },
		"size without values":   func(m *Measurement) { m.Values[1] = nil },
		"only one size":         func(m *Measurement) { m.Sizes, m.Values = m.Sizes[:1], m.Values[:1] },
		"exponent too large":    func(m *Measurement) { m.Exponent = 5 },
		"slope is not a number": func(m *Measurement) { m.Slope = math.NaN() },
	} {
		m := newTestMeasurement(line, 1)
		if invalidate(m); m.Check() == nil {
			t.Errorf("%s: Check returned no error", name)
		}
	}
}
