package faultlab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"plovershore/internal/failover"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/leader"
	"plovershore/internal/rollout"
	"plovershore/internal/zones"
)

// controllerRoles are the roles that each controller may lead.
var controllerRoles = []string{leader.RegistrationExpiry, leader.Counter, rollout.Role, failover.Role, zones.Role}

// logPrecision is the precision of the times in a controller's log.
const logPrecision = time.Millisecond

// controller is one controller with its current process, which a fault may replace. It
// reaches each node of the list service by a link of its own.
type controller struct {
	group  *group
	number int
	name   string
	links  []*link.Link // links to the nodes, in their order
	log    *os.File

	faultMu sync.Mutex // held while a fault affects its process

	mu      sync.Mutex
	process *process.Process
}

// startControllers starts the scenario's controllers, and the server that receives
// their notices.
func (g *group) startControllers() (err error) {
	count := g.run.scenario.Registry.Controllers
	if count == 0 {
		return nil
	}
	if g.notices, err = g.run.newNoticeSink(); err != nil {
		return err
	}
	for i := range count {
		c := &controller{group: g, number: i, name: fmt.Sprint("w", i+1)}
		if c.log, err = os.Create(g.run.logPath(c.name)); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		g.controllers = append(g.controllers, c)
		if err := c.linkNodes(); err != nil {
			return err
		}
		if err := c.start(); err != nil {
			return err
		}
	}
	return nil
}

// linkNodes makes a link to each node.
func (c *controller) linkNodes() error {
	r := c.group.run
	for _, n := range c.group.nodes {
		l, err := r.world.Net.Listen(c.name, n.name, r.address(), n.http, r.seed, nil)
		if err != nil {
			return err
		}
		c.links = append(c.links, l)
	}
	return nil
}

// start starts a new process of the controller.
func (c *controller) start() error {
	r := c.group.run
	settings := &r.scenario.Registry
	var nodes []string
	for _, l := range c.links {
		nodes = append(nodes, l.Addr())
	}
	p, err := process.Start(c.name, r.opts.Controller, []string{
		"--nodes", strings.Join(nodes, ","),
		"--name", c.name,
		"--drill-clock", scenario.RoundRobin(settings.ControllerClocks, c.number),
		"--platform", c.group.notices.Addr(),
		"--ttl", scenario.Seconds(settings.ControllerTTL).String(),
		"--duties", strings.Join(controllerRoles, ","),
	}, nil, c.log)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.process = p
	c.mu.Unlock()
	r.watchServiceProcess(c.name, p)
	return nil
}

func (c *controller) currentProcess() *process.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.process
}

// signal sends a signal to the current process; after SIGKILL it waits until the
// process has ended.
func (c *controller) signal(s syscall.Signal) {
	c.group.run.signalServiceProcess(c.name, c.currentProcess(), s)
}

// setCut cuts the controller off from all nodes in one direction or both, or
// reconnects it.
func (c *controller) setCut(direction string, cut bool) {
	for _, l := range c.links {
		if direction != scenario.DirectionBack {
			l.SetFaults(link.ToServer, link.Faults{Cut: cut})
		}
		if direction != scenario.DirectionForth {
			l.SetFaults(link.ToClient, link.Faults{Cut: cut})
		}
	}
}

func (c *controller) closeLinks() {
	for _, l := range c.links {
		l.Close()
	}
	c.log.Close()
}

// recordRoleSteps records the counter steps of all controllers from their logs: when
// each step was requested and answered, and its outcome. The controllers must have
// ended.
func (g *group) recordRoleSteps() error {
	var errs []error
	for _, c := range g.controllers {
		f, err := os.Open(c.log.Name())
		if err != nil {
			errs = append(errs, err)
			continue
		}
		steps := stepReader{controller: c.name, record: func(e history.Event) { g.run.recorder.Record(e) }}
		errs = append(errs, steps.read(f), f.Close())
	}
	return errors.Join(errs...)
}

// stepReader converts the counter steps in a controller's log to events of the history.
type stepReader struct {
	controller string
	record     func(history.Event)
	requested  *history.Event // step that has no answer yet; nil for none
}

// read reads a log. A step that has no answer before the next request, or before the
// end of the log, gets the outcome history.StepUnanswered.
func (s *stepReader) read(log io.Reader) error {
	var errs []error
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		step, ok, err := parseCounterStep(lines.Text())
		switch {
		case err != nil:
			errs = append(errs, err)
		case !ok:
		case step.outcome != "":
			s.recordAnswer(step.outcome, step.loggedAt.Add(logPrecision).UnixMicro())
		default:
			s.recordAnswer(history.StepUnanswered, 0)
			s.requested = &history.Event{Kind: history.RoleStep, Relay: s.controller, Text: leader.Counter,
				Status: step.count, ValidFor: step.token, SentAt: step.loggedAt.UnixMicro()}
		}
	}
	s.recordAnswer(history.StepUnanswered, 0)
	return errors.Join(append(errs, lines.Err())...)
}

// recordAnswer records the requested step, if there is one, with its outcome and the
// time of its answer.
func (s *stepReader) recordAnswer(outcome string, answeredAt int64) {
	if s.requested == nil {
		return
	}
	s.requested.Phase, s.requested.DueAt = outcome, answeredAt
	s.record(*s.requested)
	s.requested = nil
}
