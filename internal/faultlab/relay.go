package faultlab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"plovershore/internal/clock/wallclock"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
)

// relay is one relay under test, over all of its processes.
type relay struct {
	run      *run
	number   int
	name     string
	zone     string
	listen   string
	operator string // empty where the scenario has no wardens
	dir      string // of its machine
	agent    discoveryAgent
	proxy    *link.Link   // its clients come through here
	links    []*link.Link // to each endpoint
	log      *os.File
	wall     *wallclock.Wall // of its machine; nil where no fault steps it

	agentProcess *process.Process // where the list service is of real processes
	agentLog     *os.File

	busy sync.Mutex // held by the fault that has its process

	mu       sync.Mutex
	process  *process.Process
	ready    bool
	isWanted bool // it is to run
}

func (r *relay) stateDir() string { return filepath.Join(r.dir, "state") }

// configure writes what the relay is told, and gives the list in it.
func (r *relay) configure() (model.List, error) {
	s, known := r.run.scenario, r.agent.Known()
	fields := map[string]any{
		"name": r.name, "listen": r.listen, "discovery": r.agent.Addr(), "state": r.stateDir(),
		"seed":   fmt.Sprintf("%016x", newRandom(r.run.seed, "relay "+r.name).Uint64()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": s.Fleet.MemoryMB, "sockets": s.Fleet.Sockets, "disk_mb": s.Fleet.DiskMB},
		"known":  known, "operator": r.operator, "promise": s.Fleet.Durability,
		"settings": model.Settings(model.Fleet{Relays: s.Fleet.Relays, MaxCalls: s.Fleet.MaxCalls, MaxMessages: s.Fleet.MaxMessages, Zones: s.Fleet.Zones,
			Zone: r.number % len(s.Fleet.Zones), Rank: r.number, MaxBatch: s.Fleet.MaxBatch}, r.run.world.Rules),
	}
	if s.Fleet.Resident > 0 {
		fields["resident"] = s.Fleet.Resident
	}
	text, err := json.MarshalIndent(fields, "", " ")
	if err != nil {
		return known, fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	// Renamed into place: a relay reads it at any moment.
	path := filepath.Join(r.dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return known, fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return known, fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	return known, nil
}

// start runs a new process of the relay, with what its folder holds.
func (r *relay) start() error {
	if r.run.scenario.Registry.Controllers > 0 { // each process has its own
		addr := r.run.address()
		r.mu.Lock()
		r.operator = addr
		r.mu.Unlock()
	}
	known, err := r.configure()
	if err != nil {
		return err
	}
	o := r.run.opts
	env := append([]string{"ROUTER_CONFIG=" + filepath.Join(r.dir, "config.json")}, o.Env...)
	if r.wall != nil {
		for name, value := range r.wall.Env() {
			env = append(env, name+"="+value)
		}
	}
	program := o.Program
	if r.mu.Lock(); r.process == nil && o.First != "" {
		program = o.First
	}
	r.mu.Unlock()
	p, err := process.Start(r.name, program, o.Args, env, r.log)
	if err != nil {
		return err
	}
	r.run.recorder.Record(history.Event{Kind: history.ProcessStarted, Relay: r.name, PID: p.PID})
	r.agent.Started(known)
	r.mu.Lock()
	r.process, r.ready, r.isWanted = p, false, true
	r.mu.Unlock()
	r.run.wg.Add(2)
	go r.watch(p)
	go r.awaitReady(p)
	return nil
}

// upgrade starts the next process beside the present one, as the operators do,
// and ends that once the next one has had time to take over.
func (r *relay) upgrade(ctx context.Context) error {
	r.mu.Lock()
	old := r.process
	r.mu.Unlock()
	if err := r.start(); err != nil {
		return err
	}
	model.Sleep(ctx, time.Second)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		r.run.recorder.Record(history.Event{Kind: history.ProcessSignaled, Relay: r.name, PID: old.PID, Text: s.String()})
		if old.Signal(s) != nil {
			return nil
		}
		select {
		case <-old.Done():
			return nil
		case <-time.After(r.run.world.Rules.ShutdownTimeout + r.run.world.Rules.Slack):
		}
	}
	return nil
}

// watch records the end of one process.
func (r *relay) watch(p *process.Process) {
	defer r.run.wg.Done()
	<-p.Done()
	code, text := p.Exit()
	r.run.recorder.Record(history.Event{Kind: history.ProcessExited, Relay: r.name, PID: p.PID, Status: code, Text: text})
	r.mu.Lock()
	crashed := r.isWanted && r.process == p
	if r.process == p {
		r.ready = false
	}
	r.mu.Unlock()
	if !crashed {
		return
	}
	r.run.clients.RelayDown(r.run.ctx, r.name)
	if model.Sleep(r.run.ctx, time.Second) { // as a supervisor would
		r.mu.Lock()
		again := r.isWanted && r.process == p
		r.mu.Unlock()
		if again {
			r.run.fail(r.start())
		}
	}
}

// awaitReady waits for the first +PONG of one process.
func (r *relay) awaitReady(p *process.Process) {
	defer r.run.wg.Done()
	for {
		if ping(r.listen) {
			r.mu.Lock()
			r.ready = r.process == p
			r.mu.Unlock()
			r.run.recorder.Record(history.Event{Kind: history.ProcessReady, Relay: r.name, PID: p.PID})
			r.run.clients.RelayUp(r.name)
			return
		}
		select {
		case <-p.Done():
			return
		case <-r.run.ctx.Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// ping asks a relay whether it serves clients.
func ping(addr string) bool {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// signal sends one to the present process and records it.
func (r *relay) signal(s syscall.Signal) (*process.Process, bool) {
	r.mu.Lock()
	p := r.process
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		r.isWanted = false
	}
	r.mu.Unlock()
	select {
	case <-p.Done():
		return p, false
	default:
	}
	r.run.recorder.Record(history.Event{Kind: history.ProcessSignaled, Relay: r.name, PID: p.PID, Text: s.String()})
	return p, p.Signal(s) == nil
}

// stop ends the present process, by SIGTERM first where it is asked for, and
// returns when it is gone.
func (r *relay) stop(term bool) {
	r.run.clients.RelayDown(r.run.ctx, r.name)
	r.mu.Lock()
	stands := r.process.Stopped()
	r.mu.Unlock()
	if stands {
		r.signal(syscall.SIGCONT)
	}
	if term {
		p, sent := r.signal(syscall.SIGTERM)
		if sent {
			select {
			case <-p.Done():
				return
			case <-time.After(r.run.world.Rules.ShutdownTimeout + r.run.world.Rules.Slack):
			}
		}
	}
	p, _ := r.signal(syscall.SIGKILL)
	p.Kill()
}

// sampleUsage records what the present process holds.
func (r *relay) sampleUsage() {
	r.mu.Lock()
	p := r.process
	r.mu.Unlock()
	u, err := p.Measure(r.stateDir())
	if err != nil || u.RSS == 0 {
		return // it is gone
	}
	r.run.recorder.Record(history.Event{Kind: history.UsageSampled, Relay: r.name, PID: p.PID, RSS: u.RSS, FDs: u.FDs, Disk: u.Disk, CPU: u.CPU.Microseconds()})
}
