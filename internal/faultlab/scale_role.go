package faultlab

import (
	"sync"
	"time"

	"plovershore/internal/faultlab/process"
)

// role is a kind of process of a scale run.
type role struct {
	name      string
	units     int
	processes []*process.Process
	meters    []*meter
	before    usage
	cost      ScaleRole

	mu   sync.Mutex
	peak int64
}

// usage is what a role has spent and holds at one moment.
type usage struct {
	at    time.Time
	cpu   time.Duration
	rss   int64
	bytes int64
}

func (r *role) measure() usage {
	u := usage{at: time.Now()}
	for _, p := range r.processes {
		if x, err := process.Measure(p.PID); err == nil {
			u.cpu, u.rss = u.cpu+x.CPU, u.rss+x.RSS
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

// beginPhase starts a part, end books it.
func (r *role) beginPhase() { r.before = r.measure() }

func (r *role) endPhase(phase string) {
	now, units := r.measure(), float64(r.units)
	spent := now.at.Sub(r.before.at).Seconds()
	r.cost.Phases[phase] = ScalePhase{CPU: 100 * (now.cpu - r.before.cpu).Seconds() / spent / units, MemoryMB: float64(now.rss) / (1 << 20) / units,
		KB: float64(now.bytes-r.before.bytes) / 1e3 / spent / units}
}

func (r *role) finish(speed float64) ScaleRole {
	r.cost.Name, r.cost.Units = r.name, r.units
	quiet, control := r.cost.Phases[phaseQuiet], r.cost.Phases[phaseControl]
	r.cost.DayCPU = quiet.CPU + (control.CPU-quiet.CPU)/speed
	r.cost.DayKB = quiet.KB + (control.KB-quiet.KB)/speed
	r.cost.PeakMB = float64(r.peak) / (1 << 20) / float64(r.units)
	return r.cost
}
