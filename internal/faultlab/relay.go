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

// relay is one relay under test with its current process, which a fault may replace.
type relay struct {
	run       *run
	number    int
	name      string
	zone      string
	listen    string // address on which its processes listen for clients
	dir       string // directory that stands for its machine's disk
	agent     discoveryAgent
	proxy     *link.Link       // link to the address in listen, through which clients connect
	links     []*link.Link     // links to the endpoints, by number
	log       *os.File         // output of its processes
	wall      *wallclock.Wall  // wall clock of its machine; nil if the scenario steps no clock
	agentProc *process.Process // process of a real agent; nil if the agent is the lab's own
	agentLog  *os.File         // output of agentProc; nil without it

	faultMu sync.Mutex // held while a fault affects its process

	mu        sync.Mutex
	operator  string // address for operators; empty without controllers
	process   *process.Process
	ready     bool // the current process serves clients
	shouldRun bool // false once the lab has told the process to end
}

// stateDir returns the directory of its message log.
func (r *relay) stateDir() string { return filepath.Join(r.dir, "state") }

func (r *relay) configPath() string { return filepath.Join(r.dir, "config.json") }

// currentProcess returns its current process; nil before the first.
func (r *relay) currentProcess() *process.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process
}

// operatorAddr returns the current process's address for operators.
func (r *relay) operatorAddr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.operator
}

// configure writes the configuration file and returns the endpoint list in it.
func (r *relay) configure() (model.List, error) {
	known := r.agent.Known()
	text, err := json.MarshalIndent(r.config(known), "", " ")
	if err != nil {
		return known, fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	// The file is renamed into place, since a relay may read it at any time.
	path := r.configPath()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return known, fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return known, fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	return known, nil
}

// config returns the relay's configuration, in the form that the deployment page
// describes.
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

// relaySeed returns the seed for a relay's configuration.
func relaySeed(seed uint64, name string) string {
	return fmt.Sprintf("%016x", newRandom(seed, "relay "+name).Uint64())
}

// relayLimits returns the limits for a relay's configuration, which describe its
// machine.
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

// sampleUsage records what resources the current process uses.
func (r *relay) sampleUsage() {
	p := r.currentProcess()
	usage, err := p.Measure(r.stateDir())
	if err != nil || usage.RSS == 0 {
		return // the process has ended
	}
	r.run.recorder.Record(history.Event{Kind: history.UsageSampled, Relay: r.name, PID: p.PID,
		RSS: usage.RSS, FDs: usage.FDs, Disk: usage.Disk, CPU: usage.CPU.Microseconds()})
}

// closeAgent ends the agent's process and the lab's proxy before it, if the agent is a
// real one.
func (r *relay) closeAgent() {
	if r.agentProc != nil {
		r.agentProc.Kill()
	}
	if proxy, ok := r.agent.(*agentProxy); ok {
		proxy.Close()
	}
}

// closeLinks closes the relay's links and logs.
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
