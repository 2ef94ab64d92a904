package faultlab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"plovershore/internal/clock/wallclock"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
)

const (
	pingTimeout = time.Second
	pingAnswer  = "+PONG\r\n"
)

// relay is one relay under test, over all of its processes.
type relay struct {
	run       *run
	number    int
	name      string
	zone      string
	listen    string // where it listens
	dir       string // of its machine
	agent     discoveryAgent
	proxy     *link.Link       // its clients connect here
	links     []*link.Link     // to each endpoint
	log       *os.File         // of its processes
	wall      *wallclock.Wall  // of its machine; nil if no fault steps it
	agentProc *process.Process // nil if discovery is the lab's own
	agentLog  *os.File         // the same

	faultMu sync.Mutex // held by the fault that strikes its process

	mu        sync.Mutex
	operator  string // address for operators; empty without controllers
	process   *process.Process
	ready     bool
	shouldRun bool // it is to run
}

// stateDir is the directory of its message log.
func (r *relay) stateDir() string { return filepath.Join(r.dir, "state") }

func (r *relay) configPath() string { return filepath.Join(r.dir, "config.json") }

// currentProcess is its present process; nil before the first.
func (r *relay) currentProcess() *process.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process
}

// operatorAddr is the present process's address for operators.
func (r *relay) operatorAddr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.operator
}

// configure writes its configuration file and returns the endpoint list in it.
func (r *relay) configure() (model.List, error) {
	known := r.agent.Known()
	text, err := json.MarshalIndent(r.config(known), "", " ")
	if err != nil {
		return known, fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	// Renamed into place: a relay may read it at any moment.
	path := r.configPath()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return known, fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return known, fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	return known, nil
}

// config is its configuration, in the form of the deployment page.
func (r *relay) config(known model.List) map[string]any {
	fleet := &r.run.scenario.Fleet
	settings := model.Settings(model.Fleet{
		Relays:      fleet.Relays,
		MaxCalls:    fleet.MaxCalls,
		MaxMessages: fleet.MaxMessages,
		Zones:       fleet.Zones,
		Zone:        r.number % len(fleet.Zones),
		Rank:        r.number,
		MaxBatch:    fleet.MaxBatch,
	}, r.run.world.Rules)
	config := map[string]any{
		"name":      r.name,
		"listen":    r.listen,
		"discovery": r.agent.Addr(),
		"state":     r.stateDir(),
		"seed":      relaySeed(r.run.seed, r.name),
		"limits":    relayLimits(fleet.MemoryMB, fleet.Sockets, fleet.DiskMB),
		"known":     known,
		"operator":  r.operatorAddr(),
		"promise":   fleet.Durability,
		"settings":  settings,
	}
	if fleet.Resident > 0 {
		config["resident"] = fleet.Resident
	}
	return config
}

// relaySeed is the seed in the configuration of a relay.
func relaySeed(seed uint64, name string) string {
	return fmt.Sprintf("%016x", newRandom(seed, "relay "+name).Uint64())
}

// relayLimits is the machine in the configuration of a relay.
func relayLimits(memoryMB, sockets, diskMB int) map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets, "disk_mb": diskMB}
}

// ping reports whether a relay serves clients.
func ping(addr string) bool {
	conn, err := net.DialTimeout("tcp4", addr, pingTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(pingTimeout))
	if _, err := conn.Write(model.RequestBytes("PING")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == pingAnswer
}

// sampleUsage records what the present process uses.
func (r *relay) sampleUsage() {
	p := r.currentProcess()
	usage, err := p.Measure(r.stateDir())
	if err != nil || usage.RSS == 0 {
		return // it is gone
	}
	r.run.recorder.Record(history.Event{Kind: history.UsageSampled, Relay: r.name, PID: p.PID,
		RSS: usage.RSS, FDs: usage.FDs, Disk: usage.Disk, CPU: usage.CPU.Microseconds()})
}

// closeAgent ends its agent's process, and the lab's proxy before it.
func (r *relay) closeAgent() {
	if r.agentProc != nil {
		r.agentProc.Kill()
	}
	if proxy, ok := r.agent.(*agentProxy); ok {
		proxy.Close()
	}
}

// closeLinks closes its links and logs.
func (r *relay) closeLinks() {
	if r.proxy != nil {
		r.proxy.Close()
	}
	for _, l := range r.links {
		l.Close()
	}
	for _, log := range []*os.File{r.log, r.agentLog} {
		if log != nil {
			log.Close()
		}
	}
}
