package faultlab

import (
	"sync"
	"time"

	"plovershore/internal/faultlab/process"
)

// role is a kind of process in a scale run, whose cost is measured.
type role struct {
	name      string
	units     int // processes or relays; the cost of one is the total divided by their number
	processes []*process.Process
	meters    []*meter
	before    usage // at the start of the current phase
	cost      ScaleRole

	mu   sync.Mutex
	peak int64 // largest sample of the memory, in bytes
}

// usage is what a role had used when it was measured: CPU time and traffic in total,
// memory at that time.
type usage struct {
	measuredAt time.Time
	cpu        time.Duration
	rss        int64 // bytes of memory
	bytes      int64 // control traffic
}

// measure returns the role's usage now.
func (r *role) measure() usage {
	u := usage{measuredAt: time.Now()}
	for _, p := range r.processes {
		if used, err := process.Measure(p.PID); err == nil {
			u.cpu, u.rss = u.cpu+used.CPU, u.rss+used.RSS
		}
	}
	for _, m := range r.meters {
		u.bytes += m.bytes.Load()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peak = max(r.peak, u.rss)
	return u
}

// beginPhase starts the measurement of a phase.
func (r *role) beginPhase() { r.before = r.measure() }

// endPhase records what the phase cost.
func (r *role) endPhase(phase string) {
	now, units := r.measure(), float64(r.units)
	seconds := now.measuredAt.Sub(r.before.measuredAt).Seconds()
	r.cost.Phases[phase] = ScalePhase{
		CPU:      100 * (now.cpu - r.before.cpu).Seconds() / seconds / units,
		MemoryMB: float64(now.rss) / (1 << 20) / units,
		KB:       float64(now.bytes-r.before.bytes) / 1e3 / seconds / units,
	}
}

// finalCost returns the role's cost; speed is the factor by which changes were
// accelerated.
func (r *role) finalCost(speed float64) ScaleRole {
	r.cost.Name, r.cost.Units = r.name, r.units
	idle, control := r.cost.Phases[phaseIdle], r.cost.Phases[phaseControl]
	r.cost.DayCPU = idle.CPU + (control.CPU-idle.CPU)/speed
	r.cost.DayKB = idle.KB + (control.KB-idle.KB)/speed
	r.cost.PeakMB = float64(r.peak) / (1 << 20) / float64(r.units)
	return r.cost
}
