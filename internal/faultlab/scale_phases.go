package faultlab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/faultlab/simrelay"
)

// playPhases runs the parts one after the other, and measures each.
func (r *scaleRun) playPhases() {
	c := &r.scenario.Scale
	r.background(r.measureLateness)
	changing, enough := context.WithCancel(r.ctx)
	defer enough()
	r.measurePhase(phaseQuiet, scenario.Seconds(c.Quiet))
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		r.fail(r.members.configure(changing, newRandom(r.opts.Seed, "changes"), func() string { return r.phase.Load().(string) }))
	}()
	r.measurePhase(phaseControl, scenario.Seconds(c.Control))
	r.load(changing)
	enough()
	<-changed
	r.members.mu.Lock()
	r.report.Changes = len(r.members.changes)
	r.members.mu.Unlock()
}

// measurePhase lets a part go by and books what it cost.
func (r *scaleRun) measurePhase(phase string, span time.Duration) {
	r.phase.Store(phase)
	for _, x := range r.roles {
		x.beginPhase()
	}
	model.Sleep(r.ctx, span)
	for _, x := range r.roles {
		x.endPhase(phase)
	}
}

// load is the part with messages, in which a zone lapses.
func (r *scaleRun) load(ctx context.Context) {
	arriving, cancel := context.WithCancel(ctx)
	r.background(func() { r.fail(r.members.expireZone(r.ctx)) })
	done := make(chan struct{})
	for i, x := range r.realRelays {
		k := newScaleClients(r.scenario, x.listen, newRandom(r.opts.Seed, "clients of "+x.name), r.recordLateness)
		r.clients = append(r.clients, k)
		go func() { k.run(arriving, i); done <- struct{}{} }()
	}
	r.signal(func(h *simProcess) error { return h.process.Signal(simrelay.StartTraffic) })
	before := r.simStatus().Counts.Accepted
	r.measurePhase(phaseLoad, scenario.Seconds(r.scenario.Seconds))
	r.report.Rate = float64(r.simStatus().Counts.Accepted-before) / r.scenario.Seconds
	cancel()
	r.signal(func(h *simProcess) error { return h.process.Signal(simrelay.StopTraffic) })
	for range r.realRelays {
		<-done
	}
}

func (r *scaleRun) signal(f func(*simProcess) error) {
	for _, h := range r.simProcesses {
		if err := f(h); err != nil {
			r.fail(err)
		}
	}
}

// measureLateness measures how late the lab itself is.
func (r *scaleRun) measureLateness() {
	for due := time.Now().Add(latenessInterval); model.Sleep(r.ctx, time.Until(due)); due = due.Add(latenessInterval) {
		r.recordLateness(time.Since(due))
		if time.Since(due) > time.Second { // after a standstill: once is enough
			due = time.Now()
		}
	}
}

// sampleRoles books what memory each role holds, and ends a run that would take
// more than half of the machine's.
func (r *scaleRun) sampleRoles() {
	half := machineMemory() / 2
	for model.Sleep(r.ctx, sampleInterval) {
		all := int64(0)
		for _, x := range r.roles {
			all += x.measure().rss
		}
		if half > 0 && all > half {
			r.fail(fmt.Errorf("lab: the run takes %d MB, over half of the machine's memory: fewer relays are wanted", all>>20))
			return
		}
	}
}

// machineMemory is what the machine has; 0 where that cannot be told.
func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	var kb int64
	if n, _ := fmt.Sscanf(string(text), "MemTotal: %d kB", &kb); n != 1 {
		return 0
	}
	return kb << 10
}

// watchProcess has a process end with the run, and the run fail where it ends before it is
// told to.
func (r *scaleRun) watchProcess(p *process.Process) {
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.background(func() {
		select {
		case <-r.ctx.Done():
		case <-p.Done():
			if _, text := p.Exit(); !r.isEnding.Load() && r.ctx.Err() == nil {
				r.fail(fmt.Errorf("%w: %s: %s; see the logs in %s", errUnexpectedExit, p.Name, text, filepath.Join(r.dir, "logs")))
			}
		}
	})
}
