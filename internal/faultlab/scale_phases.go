package faultlab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/faultlab/simrelay"
)

// runPhases runs the phases one after the other, and measures each.
func (r *scaleRun) runPhases() {
	c := &r.scenario.Scale
	r.start(func() { r.lateness.measure(r.ctx) })
	changesCtx, stopChanges := context.WithCancel(r.ctx)
	defer stopChanges()
	r.measurePhase(phaseIdle, scenario.Seconds(c.Quiet))
	changesDone := make(chan struct{})
	go func() {
		defer close(changesDone)
		r.failure.set(r.members.makeChanges(changesCtx, newRandom(r.opts.Seed, "changes"), func() string { return r.phase.Load().(string) }))
	}()
	r.measurePhase(phaseControl, scenario.Seconds(c.Control))
	r.runLoadPhase(changesCtx)
	stopChanges()
	<-changesDone
	r.members.mu.Lock()
	r.results.Changes = len(r.members.changes)
	r.members.mu.Unlock()
}

// measurePhase waits for the length of one phase and measures what the phase costs each
// role.
func (r *scaleRun) measurePhase(phase string, span time.Duration) {
	r.phase.Store(phase)
	for _, role := range r.roles {
		role.beginPhase()
	}
	model.Sleep(r.ctx, span)
	for _, role := range r.roles {
		role.endPhase(phase)
	}
}

// runLoadPhase runs the phase with messages, in which a zone's registrations expire.
func (r *scaleRun) runLoadPhase(ctx context.Context) {
	loadCtx, cancel := context.WithCancel(ctx)
	r.start(func() { r.failure.set(r.members.expireZone(r.ctx)) })
	var submitting sync.WaitGroup
	for i, relay := range r.realRelays {
		clients := newScaleClients(r.scenario, relay.listen, newRandom(r.opts.Seed, "clients of "+relay.name), r.lateness.record)
		r.clients = append(r.clients, clients)
		submitting.Add(1)
		go func() { defer submitting.Done(); clients.run(loadCtx, i) }()
	}
	r.forEachSimProcess(func(p *simProcess) error { return p.process.Signal(simrelay.StartTraffic) })
	before := r.simStatus().Counts.Accepted
	r.measurePhase(phaseLoad, scenario.Seconds(r.scenario.Seconds))
	r.results.Rate = float64(r.simStatus().Counts.Accepted-before) / r.scenario.Seconds
	cancel()
	r.forEachSimProcess(func(p *simProcess) error { return p.process.Signal(simrelay.StopTraffic) })
	submitting.Wait()
}

// forEachSimProcess calls f for each process of simulated relays; an error fails the
// run.
func (r *scaleRun) forEachSimProcess(f func(*simProcess) error) {
	for _, simulated := range r.simProcesses {
		if err := f(simulated); err != nil {
			r.failure.set(err)
		}
	}
}

// sampleRoles records how much memory each role uses, and fails a run that uses more
// than half of the machine's memory.
func (r *scaleRun) sampleRoles() {
	half := machineMemory() / 2
	for model.Sleep(r.ctx, sampleInterval) {
		totalRSS := int64(0)
		for _, role := range r.roles {
			totalRSS += role.measure().rss
		}
		if half > 0 && totalRSS > half {
			r.failure.set(fmt.Errorf("lab: the run uses %d MB, over half of the machine's memory; use fewer relays", totalRSS>>20))
			return
		}
	}
}

// machineMemory returns the size of the machine's memory in bytes; 0 if it is not
// known.
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

// watchProcess has close kill the process, and fails the run if the process ends
// earlier.
func (r *scaleRun) watchProcess(p *process.Process) {
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.start(func() {
		select {
		case <-r.ctx.Done():
		case <-p.Done():
			if _, text := p.Exit(); !r.isFinishing.Load() && r.ctx.Err() == nil {
				r.failure.set(fmt.Errorf("%w: %s: %s; see the logs in %s", errUnexpectedExit, p.Name, text, filepath.Join(r.dir, logsDir)))
			}
		}
	})
}
