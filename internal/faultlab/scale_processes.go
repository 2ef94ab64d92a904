package faultlab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/faultlab/simrelay"
	"plovershore/internal/registry/agent"
)

const (
	scaleMaxCalls    = 200  // calls in flight of one relay; 267 messages a second need 60
	scaleMaxMessages = 4000 // messages in flight of one relay
	scaleSockets     = 2048
	scaleDiskMB      = 64
	scaleBody        = 200 // bytes of a message's body
	pollInterval     = 50 * time.Millisecond
	memoryFolder     = "/dev/shm" // a file system in memory
)

// scaleAgent is an agent of the list service, with a meter before it.
type scaleAgent struct {
	process *process.Process
	addr    string
	meter   *meter // counts the traffic between relays and agent
}

// realRelay is a relay that runs the program under test.
type realRelay struct {
	name     string
	process  *process.Process
	listen   string
	operator string // operator address; empty for none
	agent    *scaleAgent
}

// simProcess is a process of simulated relays.
type simProcess struct {
	process *process.Process
	relays  int
	result  string // path of its result file
	status  *statusReader
}

// statusReader reads the output of a process of simulated relays. It is safe for
// concurrent use.
type statusReader struct {
	log io.Writer

	mu      sync.Mutex
	partial []byte
	last    simrelay.Status
}

// Write handles output: lines of status are parsed, all others go to the log.
func (s *statusReader) Write(text []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partial = append(s.partial, text...)
	for {
		line, remaining, isComplete := bytes.Cut(s.partial, []byte{'\n'})
		if !isComplete {
			return len(text), nil
		}
		var status simrelay.Status
		if bytes.HasPrefix(line, []byte("{")) && json.Unmarshal(line, &status) == nil {
			s.last = status
		} else {
			fmt.Fprintf(s.log, "%s\n", line)
		}
		s.partial = bytes.Clone(remaining)
	}
}

func (s *statusReader) status() simrelay.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// logFile creates the file for a process's output; the run closes it.
func (r *scaleRun) logFile(name string) (*os.File, error) {
	f, err := os.Create(filepath.Join(r.dir, logsDir, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	r.files = append(r.files, f)
	return f, nil
}

// startAgent starts one agent, with a meter before it.
func (r *scaleRun) startAgent(name string, nodes []*meter) (*scaleAgent, error) {
	log, err := r.logFile(name)
	if err != nil {
		return nil, err
	}
	var addrs []string
	for _, n := range nodes {
		addrs = append(addrs, n.addr())
	}
	folder := filepath.Join(r.dir, name)
	if r.scenario.Scale.AgentsInMemory {
		if folder, err = os.MkdirTemp(memoryFolder, "faultlab-"+name+"-"); err != nil {
			return nil, fmt.Errorf("lab: %w", err)
		}
		r.folders = append(r.folders, folder)
	}
	a := &scaleAgent{addr: r.address()}
	if a.process, err = process.Start(name, r.opts.Registry, []string{"agent", "--listen", a.addr, "--folder", folder,
		"--nodes", strings.Join(addrs, ","), "--fleet", fmt.Sprint(r.scenario.Scale.Fleet)}, nil, log); err != nil {
		return nil, err
	}
	r.watchProcess(a.process)
	if a.meter, err = newMeter(r.address(), a.addr); err != nil {
		return nil, err
	}
	r.meters = append(r.meters, a.meter)
	return a, nil
}

// nodeMeters makes a meter before each node.
func (r *scaleRun) nodeMeters() (meters []*meter, err error) {
	for _, addr := range r.group.http {
		m, err := newMeter(r.address(), addr)
		if err != nil {
			return nil, err
		}
		meters, r.meters = append(meters, m), append(r.meters, m)
	}
	return meters, nil
}

// agentMembers returns the length of an agent's list; -1 if the agent does not answer.
func agentMembers(ctx context.Context, a *scaleAgent) int {
	var s agent.Status
	if getJSON(ctx, "http://"+a.addr+"/v1/status", &s) != nil {
		return -1
	}
	return s.Members
}

func getJSON(ctx context.Context, url string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// settings returns the settings of one relay of the fleet, in the form that the wire
// page describes.
func (r *scaleRun) settings(number int) map[string]any {
	return model.Settings(model.Fleet{Relays: r.scenario.Scale.Fleet, MaxCalls: scaleMaxCalls, MaxMessages: scaleMaxMessages, Zones: r.scenario.Fleet.Zones,
		Zone: number % len(r.scenario.Fleet.Zones), Rank: number, MaxBatch: 1}, model.StandardRules())
}

// startRealRelay starts one relay as a process of its own.
func (r *scaleRun) startRealRelay(number int, a *scaleAgent) (*realRelay, error) {
	relay := &realRelay{name: fmt.Sprintf("n%d", number+1), listen: r.address(), agent: a}
	if number%2 == 1 {
		relay.operator = r.address()
	}
	state := filepath.Join(r.dir, relay.name)
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	text, err := json.Marshal(map[string]any{"name": relay.name, "listen": relay.listen, "discovery": a.meter.addr(), "state": state, "operator": relay.operator,
		"seed":   relaySeed(r.opts.Seed, relay.name),
		"limits": relayLimits(budgetMemoryMB, scaleSockets, scaleDiskMB), "settings": r.settings(number)})
	if err != nil {
		return nil, fmt.Errorf("lab: configuration of %s: %w", relay.name, err)
	}
	path := filepath.Join(r.dir, relay.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, fmt.Errorf("lab: configuration of %s: %w", relay.name, err)
	}
	log, err := r.logFile(relay.name)
	if err != nil {
		return nil, err
	}
	if relay.process, err = process.Start(relay.name, r.opts.Program, nil, append([]string{"ROUTER_CONFIG=" + path}, r.opts.Env...), log); err != nil {
		return nil, err
	}
	r.watchProcess(relay.process)
	return relay, nil
}

// members returns the length of the list of a relay that has an operator address; -1 if
// the relay does not answer.
func (r *realRelay) members(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.operator+"/v1/metrics", nil)
	if err != nil {
		return -1
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if members, ok := parseMembersMetric(lines.Text()); ok {
			return members
		}
	}
	return -1
}

// startSimProcess starts one process of simulated relays; first is the number of its
// first relay.
func (r *scaleRun) startSimProcess(number, first, relays int, agents []string) (*simProcess, error) {
	name := fmt.Sprintf("simrelay-%d", number+1)
	config := simrelay.Config{Folder: filepath.Join(r.dir, name), First: first, Discovery: agents, Fleet: r.scenario.Scale.Fleet, Seed: r.opts.Seed,
		Zones: r.scenario.Fleet.Zones, Flavors: []string{model.Telco, model.Newsagent}, DiskMB: scaleDiskMB, Result: filepath.Join(r.dir, name+".result"),
		Stream: simrelay.Stream{Rate: r.scenario.Scale.Rate, Deadline: scenario.Seconds(r.scenario.Scale.Deadline), Body: scaleBody, ConnectTimeout: connectTimeout,
			Down: r.down, Destinations: r.scenario.Scale.Members}}
	for _, class := range model.Classes() {
		config.Stream.Classes = append(config.Stream.Classes, simrelay.StreamClass{Name: class.Name, Fraction: class.Fraction, ServiceTime: class.ServiceTime})
	}
	for i := range relays {
		text, err := json.Marshal(r.settings(first + i))
		if err != nil {
			return nil, fmt.Errorf("lab: configuration of %s: %w", name, err)
		}
		config.Settings = append(config.Settings, text)
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, fmt.Errorf("lab: configuration of %s: %w", name, err)
	}
	path := filepath.Join(r.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, fmt.Errorf("lab: configuration of %s: %w", name, err)
	}
	log, err := r.logFile(name)
	if err != nil {
		return nil, err
	}
	started := &simProcess{relays: relays, result: config.Result, status: &statusReader{log: log}}
	if started.process, err = process.Start(name, r.opts.SimRelay, []string{SimRelayCommand, path}, nil, started.status); err != nil {
		return nil, err
	}
	r.watchProcess(started.process)
	return started, nil
}

// simStatus adds up the last status of all processes of simulated relays.
func (r *scaleRun) simStatus() simrelay.Status {
	total := simrelay.Status{Hashes: map[string]int{}, Members: map[int]int{}}
	for _, simulated := range r.simProcesses {
		status := simulated.status.status()
		for hash, count := range status.Hashes {
			total.Hashes[hash] += count
		}
		for members, count := range status.Members {
			total.Members[members] += count
		}
		total.Relays += status.Relays
		total.Counts.Add(status.Counts)
		total.LateP99, total.LateMax = max(total.LateP99, status.LateP99), max(total.LateMax, status.LateMax)
	}
	return total
}
