package faultlab

import (
	"fmt"
	"slices"
	"time"

	"plovershore/internal/faultlab/report"
)

// Budgets of a relay's control, and of the time until a change is applied.
const (
	budgetCPU      = 3.4 // % of a core
	budgetMemoryMB = 256
	budgetKB       = 30.0 // a second
	budgetDelay    = 16 * time.Second
)

// Phases of a scale run, as stored reports have them.
const (
	phaseQuiet   = "quiet"
	phaseControl = "control"
	phaseLoad    = "load"
)

var scalePhases = []string{phaseQuiet, phaseControl, phaseLoad}

// ScalePhase is what one unit of a role cost in one phase of the run.
type ScalePhase struct {
	CPU      float64 `json:"cpu_percent"` // of a core
	MemoryMB float64 `json:"memory_mb"`   // at its end
	KB       float64 `json:"kb_a_second"` // of control: between relay and agent, or agent and nodes
}

// ScaleRole is the cost of one role, each figure for one unit of it.
type ScaleRole struct {
	Name    string                `json:"name"`
	Units   int                   `json:"units"`
	Phases  map[string]ScalePhase `json:"parts"`
	PeakMB  float64               `json:"peak_mb"`  // the largest mean over the units, of samples
	StartMB float64               `json:"start_mb"` // bytes of control until all had their list

	// The same at the target's rate of changes, worked out: quiet, and of what control
	// costs beyond that the part that is not sped up.
	DayCPU float64 `json:"day_cpu_percent"`
	DayKB  float64 `json:"day_kb_a_second"`
}

// ScaleDelay is a distribution in seconds.
type ScaleDelay struct {
	Name    string  `json:"name"`
	Count   int     `json:"count"`
	Missing int     `json:"missing"` // that were never applied
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
	at := func(q float64) float64 { return seconds[min(len(seconds)-1, int(q*float64(len(seconds))))] }
	s.P50, s.P99, s.Max = at(0.5), at(0.99), seconds[len(seconds)-1]
	return s
}

// ScaleResult is the outcome of a scale run, beside its verdict.
type ScaleResult struct {
	SimRelays   int               `json:"hollow"`
	Members     int               `json:"members"`
	ListMB      float64           `json:"list_mb"` // of the complete list, as the service sends it
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

// isRelay reports whether the budgets of a relay's control apply to a role.
func isRelay(name string) bool {
	return name == simRelayRole || name == realRelayRole || name == operatedRelayRole
}

// Figures are those that compare sets side by side.
func (s *ScaleResult) Figures() (all []report.Figure) {
	add := func(name, unit string, value float64) {
		all = append(all, report.Figure{Name: name, Unit: unit, Value: value})
	}
	for _, r := range s.Roles {
		for _, part := range scalePhases {
			if p, ok := r.Phases[part]; ok {
				add(fmt.Sprintf("CPU, %s, %s", r.Name, part), "% of a core", p.CPU)
				add(fmt.Sprintf("bytes, %s, %s", r.Name, part), "KB/s", p.KB)
			}
		}
		add("CPU, "+r.Name+", changes at x 1", "% of a core", r.DayCPU)
		add("peak memory, "+r.Name, "MB", r.PeakMB)
		add("bytes at the start, "+r.Name, "MB", r.StartMB)
	}
	for _, f := range s.Delays {
		add(f.Name+", p50", "s", f.P50)
		add(f.Name+", p99", "s", f.P99)
		add(f.Name+", max", "s", f.Max)
		add(f.Name+", missing", "", float64(f.Missing))
	}
	for _, a := range s.Comparisons {
		add("hollow over real, "+a.Name, "", a.Ratio)
	}
	add("all members registered", "s", s.Register)
	add("all relays have the list", "s", s.Start)
	add("settled after the load", "s", s.Settle)
	return all
}

// compareRoles compares the simulated relays with the real ones of the same load.
func (s *ScaleResult) compareRoles(simulatedName, realName string) {
	var h, r *ScaleRole
	for i := range s.Roles {
		switch s.Roles[i].Name {
		case simulatedName:
			h = &s.Roles[i]
		case realName:
			r = &s.Roles[i]
		}
	}
	if h == nil || r == nil {
		return
	}
	add := func(name string, x, y float64) {
		a := ScaleComparison{Name: name, Simulated: x, Real: y}
		if y > 0 {
			a.Ratio = x / y
		}
		s.Comparisons = append(s.Comparisons, a)
	}
	for _, part := range scalePhases {
		if hp, ok := h.Phases[part]; ok {
			add("CPU, "+part, hp.CPU, r.Phases[part].CPU)
		}
	}
	add("peak memory", h.PeakMB, r.PeakMB)
}
