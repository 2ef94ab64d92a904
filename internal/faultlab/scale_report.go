package faultlab

import (
	"fmt"
	"slices"
	"time"

	"plovershore/internal/faultlab/report"
)

// Budgets for what control, as opposed to messages, costs a relay, and for the time
// until a change is applied.
const (
	budgetCPU      = 3.4 // % of a core
	budgetMemoryMB = 256
	budgetKB       = 30.0 // KB a second
	budgetDelay    = 16 * time.Second
)

// Phases of a scale run, as stored reports have them.
const (
	phaseIdle    = "quiet"   // neither changes of the list nor messages
	phaseControl = "control" // changes of the list, no messages
	phaseLoad    = "load"    // changes and messages
)

var scalePhases = []string{phaseIdle, phaseControl, phaseLoad}

// ScalePhase is the cost of one unit of a role in one phase of the run.
type ScalePhase struct {
	CPU      float64 `json:"cpu_percent"` // mean, in % of a core
	MemoryMB float64 `json:"memory_mb"`   // at the end of the phase
	KB       float64 `json:"kb_a_second"` // control traffic, between relay and agent or between agent and nodes
}

// ScaleRole is the cost of one role, each figure for one unit of it.
type ScaleRole struct {
	Name    string                `json:"name"`
	Units   int                   `json:"units"` // processes or relays
	Phases  map[string]ScalePhase `json:"parts"`
	PeakMB  float64               `json:"peak_mb"`  // largest sample of the mean over the units
	StartMB float64               `json:"start_mb"` // control traffic until all relays had their list

	// Cost at the real rate of changes, calculated: the cost of the idle phase, plus
	// what the control phase costs beyond it divided by the factor by which its
	// changes were accelerated.
	DayCPU float64 `json:"day_cpu_percent"`
	DayKB  float64 `json:"day_kb_a_second"`
}

// ScaleDelay is the distribution of a delay in seconds.
type ScaleDelay struct {
	Name    string  `json:"name"`
	Count   int     `json:"count"`
	Missing int     `json:"missing"` // changes that were never applied
	P50     float64 `json:"p50_s"`
	P99     float64 `json:"p99_s"`
	Max     float64 `json:"max_s"`
}

func newScaleDelay(name string, seconds []float64, missing int) ScaleDelay {
	s := ScaleDelay{Name: name, Count: len(seconds), Missing: missing}
	if len(seconds) == 0 {
		return s
	}
	slices.Sort(seconds)
	quantile := func(q float64) float64 { return seconds[min(len(seconds)-1, int(q*float64(len(seconds))))] }
	s.P50, s.P99, s.Max = quantile(0.5), quantile(0.99), seconds[len(seconds)-1]
	return s
}

// ScaleResult is the outcome of a scale run, beside its verdict.
type ScaleResult struct {
	SimRelays   int               `json:"hollow"`
	Members     int               `json:"members"`
	ListMB      float64           `json:"list_mb"` // size of the complete list as the service sends it
	Roles       []ScaleRole       `json:"roles"`
	Delays      []ScaleDelay      `json:"force"`
	Changes     int               `json:"changes"`
	Register    float64           `json:"register_s"` // until all members were registered
	Start       float64           `json:"start_s"`    // from the first process of a relay until all had the list
	Settle      float64           `json:"settle_s"`   // after the load, until all had the service's list and nothing was pending
	Rate        float64           `json:"rate"`       // messages a second that the simulated relays accepted, together
	Speed       float64           `json:"speed"`
	Comparisons []ScaleComparison `json:"apart"`
	SimLateP99  time.Duration     `json:"hollow_late_p99_ns"`
	Notes       []string          `json:"notes"`
}

// ScaleComparison compares a simulated relay with a real one at the same load.
type ScaleComparison struct {
	Name      string  `json:"name"`
	Simulated float64 `json:"Hollow,omitempty"`
	Real      float64 `json:"Real,omitempty"`
	Ratio     float64 `json:"ratio"`
}

// isRelay reports whether a role is one of relays, to which the budgets apply.
func isRelay(name string) bool {
	return name == simRelayRole || name == realRelayRole || name == operatedRelayRole
}

// Figures returns the figures by which the compare command sets runs side by side.
func (s *ScaleResult) Figures() (all []report.Figure) {
	add := func(name, unit string, value float64) {
		all = append(all, report.Figure{Name: name, Unit: unit, Value: value})
	}
	for _, role := range s.Roles {
		for _, phase := range scalePhases {
			if cost, ok := role.Phases[phase]; ok {
				add(fmt.Sprintf("CPU, %s, %s", role.Name, phase), "% of a core", cost.CPU)
				add(fmt.Sprintf("bytes, %s, %s", role.Name, phase), "KB/s", cost.KB)
			}
		}
		add("CPU, "+role.Name+", changes at x 1", "% of a core", role.DayCPU)
		add("peak memory, "+role.Name, "MB", role.PeakMB)
		add("bytes at the start, "+role.Name, "MB", role.StartMB)
	}
	for _, delay := range s.Delays {
		add(delay.Name+", p50", "s", delay.P50)
		add(delay.Name+", p99", "s", delay.P99)
		add(delay.Name+", max", "s", delay.Max)
		add(delay.Name+", missing", "", float64(delay.Missing))
	}
	for _, comparison := range s.Comparisons {
		add("hollow over real, "+comparison.Name, "", comparison.Ratio)
	}
	add("all members registered", "s", s.Register)
	add("all relays have the list", "s", s.Start)
	add("settled after the load", "s", s.Settle)
	return all
}

// compareRoles adds comparisons of the simulated relays with the real ones, which have
// the same load.
func (s *ScaleResult) compareRoles(simulatedName, realName string) {
	var simulated, real *ScaleRole
	for i := range s.Roles {
		switch s.Roles[i].Name {
		case simulatedName:
			simulated = &s.Roles[i]
		case realName:
			real = &s.Roles[i]
		}
	}
	if simulated == nil || real == nil {
		return
	}
	add := func(name string, simulatedValue, realValue float64) {
		comparison := ScaleComparison{Name: name, Simulated: simulatedValue, Real: realValue}
		if realValue > 0 {
			comparison.Ratio = simulatedValue / realValue
		}
		s.Comparisons = append(s.Comparisons, comparison)
	}
	for _, phase := range scalePhases {
		if simulatedCost, ok := simulated.Phases[phase]; ok {
			add("CPU, "+phase, simulatedCost.CPU, real.Phases[phase].CPU)
		}
	}
	add("peak memory", simulated.PeakMB, real.PeakMB)
}
