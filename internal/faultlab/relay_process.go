package faultlab

import (
	"context"
	"syscall"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
)

const (
	upgradeOverlap = time.Second // time for the next process to take over
	respawnDelay   = time.Second // before a crashed process is started again, as a supervisor would wait
	readyInterval  = 10 * time.Millisecond
)

// start starts a new process of the relay on its directory.
func (r *relay) start() error {
	if r.run.scenario.Registry.Controllers > 0 { // each process has an operator address of its own
		addr := r.run.address()
		r.mu.Lock()
		r.operator = addr
		r.mu.Unlock()
	}
	known, err := r.configure()
	if err != nil {
		return err
	}
	p, err := process.Start(r.name, r.nextProgram(), nil, r.environment(), r.log)
	if err != nil {
		return err
	}
	r.run.recorder.Record(history.Event{Kind: history.ProcessStarted, Relay: r.name, PID: p.PID})
	r.agent.Started(known)
	r.mu.Lock()
	r.process, r.ready, r.shouldRun = p, false, true
	r.mu.Unlock()
	r.run.start(func() { r.awaitExit(p) })
	r.run.start(func() { r.awaitReady(p) })
	return nil
}

// nextProgram returns the program under test, or Options.First for the first process.
func (r *relay) nextProgram() string {
	if r.currentProcess() == nil && r.run.opts.First != "" {
		return r.run.opts.First
	}
	return r.run.opts.Program
}

// environment returns the variables that its processes get beside the lab's own
// environment.
func (r *relay) environment() []string {
	env := append([]string{"ROUTER_CONFIG=" + r.configPath()}, r.run.opts.Env...)
	if r.wall != nil {
		for name, value := range r.wall.Env() {
			env = append(env, name+"="+value)
		}
	}
	return env
}

// upgrade starts the next process beside the current one, as the operators do, and ends
// the old one once the next has had time to take over.
func (r *relay) upgrade(ctx context.Context) error {
	old := r.currentProcess()
	if err := r.start(); err != nil {
		return err
	}
	model.Sleep(ctx, upgradeOverlap)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		if !r.run.signal(r.name, old, s) || r.exitsInTime(old) {
			return nil
		}
	}
	return nil
}

// signal records a signal to a process and sends it; false if the process has ended.
func (r *run) signal(name string, p *process.Process, s syscall.Signal) bool {
	r.recorder.Record(history.Event{Kind: history.ProcessSignaled, Relay: name, PID: p.PID, Text: s.String()})
	return p.Signal(s) == nil
}

// exitsInTime reports whether a process that was told to end does so in the time that
// the rules allow.
func (r *relay) exitsInTime(p *process.Process) bool {
	rules := &r.run.world.Rules
	select {
	case <-p.Done():
		return true
	case <-time.After(rules.ShutdownTimeout + rules.Slack):
		return false
	}
}

// awaitExit records the end of one process, and starts the next if it crashed.
func (r *relay) awaitExit(p *process.Process) {
	<-p.Done()
	r.run.recordExit(r.name, p)
	r.mu.Lock()
	crashed := r.shouldRun && r.process == p
	if r.process == p {
		r.ready = false
	}
	r.mu.Unlock()
	if !crashed {
		return
	}
	r.run.clients.RelayDown(r.run.ctx, r.name)
	if model.Sleep(r.run.ctx, respawnDelay) && r.needsRestart(p) {
		r.run.failure.set(r.start())
	}
}

// recordExit records the end of a process.
func (r *run) recordExit(name string, p *process.Process) {
	code, text := p.Exit()
	r.recorder.Record(history.Event{Kind: history.ProcessExited, Relay: name, PID: p.PID, Status: code, Text: text})
}

// needsRestart reports whether the relay is to run and the process p, which ended, has
// no successor.
func (r *relay) needsRestart(p *process.Process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shouldRun && r.process == p
}

// awaitReady waits until process p serves clients, and records that.
func (r *relay) awaitReady(p *process.Process) {
	for !ping(r.listen) {
		select {
		case <-p.Done():
			return
		case <-r.run.ctx.Done():
			return
		case <-time.After(readyInterval):
		}
	}
	r.mu.Lock()
	r.ready = r.process == p
	r.mu.Unlock()
	r.run.recorder.Record(history.Event{Kind: history.ProcessReady, Relay: r.name, PID: p.PID})
	r.run.clients.RelayUp(r.name)
}

// signal sends a signal to the current process and records it; sent is false if the
// process has ended.
func (r *relay) signal(s syscall.Signal) (p *process.Process, sent bool) {
	r.mu.Lock()
	p = r.process
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		r.shouldRun = false
	}
	r.mu.Unlock()
	select {
	case <-p.Done():
		return p, false
	default:
	}
	return p, r.run.signal(r.name, p, s)
}

// shutdown ends the current process, by SIGTERM first if graceful is set, and returns
// when it has ended.
func (r *relay) shutdown(graceful bool) {
	r.run.clients.RelayDown(r.run.ctx, r.name)
	if r.currentProcess().Stopped() {
		r.signal(syscall.SIGCONT)
	}
	if graceful {
		if p, sent := r.signal(syscall.SIGTERM); sent && r.exitsInTime(p) {
			return
		}
	}
	p, _ := r.signal(syscall.SIGKILL)
	p.Kill()
}
