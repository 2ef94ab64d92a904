package faultlab

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"plovershore/internal/failover"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/leader"
	"plovershore/internal/rollout"
	"plovershore/internal/zones"
)

// controller is one warden, over all of its processes. It asks each node through a
// link of its own.
type controller struct {
	group   *group
	num     int
	name    string
	links   []*link.Link
	logPath string // of its log
	log     *os.File
	busy    sync.Mutex

	mu      sync.Mutex
	process *process.Process
}

func (g *group) startControllers() (err error) {
	r := g.run
	if r.scenario.Registry.Controllers == 0 {
		return nil
	}
	if g.platform, err = r.newPlatform(); err != nil {
		return err
	}
	for i := range r.scenario.Registry.Controllers {
		w := &controller{group: g, num: i, name: fmt.Sprint("w", i+1), logPath: filepath.Join(r.opts.Out, "logs", fmt.Sprintf("w%d.log", i+1))}
		for _, n := range g.nodes {
			l, err := r.world.Net.Listen(w.name, n.name, r.address(), n.http, r.seed, nil)
			if err != nil {
				return err
			}
			w.links = append(w.links, l)
		}
		if w.log, err = os.Create(w.logPath); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		g.controllers = append(g.controllers, w)
		if err := w.start(); err != nil {
			return err
		}
	}
	return nil
}

func (w *controller) start() error {
	r := w.group.run
	var nodes []string
	for _, l := range w.links {
		nodes = append(nodes, l.Addr())
	}
	p, err := process.Start(w.name, r.opts.Controller, []string{"--nodes", strings.Join(nodes, ","), "--name", w.name,
		"--drill-clock", scenario.RoundRobin(r.scenario.Registry.ControllerClocks, w.num), "--platform", w.group.platform.Addr(),
		"--ttl", scenario.Seconds(r.scenario.Registry.ControllerTTL).String(), "--duties", strings.Join([]string{leader.RegistrationExpiry, leader.Counter, rollout.Role, failover.Role, zones.Role}, ",")}, nil, w.log)
	if err != nil {
		return err
	}
	r.recorder.Record(history.Event{Kind: history.ProcessStarted, Relay: w.name, PID: p.PID, Text: "node"})
	w.mu.Lock()
	w.process = p
	w.mu.Unlock()
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		<-p.Done()
		code, text := p.Exit()
		r.recorder.Record(history.Event{Kind: history.ProcessExited, Relay: w.name, PID: p.PID, Status: code, Text: text})
	}()
	return nil
}

func (w *controller) signal(s syscall.Signal) {
	w.mu.Lock()
	p := w.process
	w.mu.Unlock()
	w.group.run.recorder.Record(history.Event{Kind: history.ProcessSignaled, Relay: w.name, PID: p.PID, Text: s.String()})
	if s == syscall.SIGKILL {
		p.Kill()
		return
	}
	p.Signal(s)
}

func (w *controller) setCut(way string, on bool) {
	for _, l := range w.links {
		if way != "back" {
			l.SetFaults(link.ToServer, link.Faults{Cut: on})
		}
		if way != "forth" {
			l.SetFaults(link.ToClient, link.Faults{Cut: on})
		}
	}
}

// recordRoleSteps puts what the wardens counted into the history, once they have ended:
// each step with when it was asked for, when it was answered, and how.
func (g *group) recordRoleSteps() error {
	var errs []error
	for _, w := range g.controllers {
		f, err := os.Open(w.logPath)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		var asked *history.Event
		tell := func(phase string, at int64) {
			if asked != nil {
				asked.Phase, asked.DueAt = phase, at
				g.run.recorder.Record(*asked)
			}
			asked = nil
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			step, ok, err := parseCounterStep(lines.Text())
			if err != nil {
				errs = append(errs, err)
			}
			if !ok || err != nil {
				continue
			}
			if step.outcome != "" {
				// The log cuts its times to the millisecond.
				tell(step.outcome, step.at.UnixMicro()+1000)
				continue
			}
			tell(history.StepUnanswered, 0)
			asked = &history.Event{Kind: history.RoleStep, Relay: w.name, Text: leader.Counter, Status: step.count, ValidFor: step.token, SentAt: step.at.UnixMicro()}
		}
		tell(history.StepUnanswered, 0)
		errs = append(errs, lines.Err(), f.Close())
	}
	return errors.Join(errs...)
}
