package faultlab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/checker"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/faultlab/simrelay"
	"plovershore/internal/registry/client"
)

const (
	scaleStartTimeout  = 150 * time.Second       // from the start of the service until all relays have their list
	scaleResultTimeout = 20 * time.Second        // for all processes of simulated relays to write their results
	firstScalePort     = firstPort + 100         // lower ports are for the list service's nodes
	connectTimeout     = 1500 * time.Millisecond // of a simulated relay, to an endpoint
	// Names of roles in stored reports.
	simRelayRole      = "hollow relay"
	realRelayRole     = "real relay"
	operatedRelayRole = "real relay with an operator address"
)

// scaleRun is the state of one run of a scale scenario.
type scaleRun struct {
	opts      Options
	scenario  *scenario.Scenario
	dir       string
	ip        string
	port      atomic.Int64 // last port that was used
	startedAt time.Time
	ctx       context.Context // ends when everything is to stop
	stop      context.CancelFunc
	failure   failure
	lateness  *lateness
	check     *scaleCheck
	results   ScaleResult

	phase       atomic.Value // current phase, one of scalePhases
	isFinishing atomic.Bool  // set once the processes are told to end
	listHash    uint64       // hash of the service's list at the end of the run

	down         simrelay.Down
	endpoints    *scaleEndpoints
	group        *benchGroup
	members      *scaleMembers
	watchers     *watcherSet
	roles        []*role
	agents       []*scaleAgent // agents that simulated relays share
	realRelays   []*realRelay
	simProcesses []*simProcess
	clients      []*scaleClients // clients of the real relays

	mu        sync.Mutex
	processes []*process.Process // all processes that were started

	meters     []*meter
	files      []*os.File
	folders    []string       // folders outside dir, which close removes
	background sync.WaitGroup // all goroutines that end with ctx
}

// runScale runs a scale scenario and checks it; its errors are those of Run.
func runScale(ctx context.Context, o Options) (*Result, error) {
	dir, err := filepath.Abs(o.Out)
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	ip, lock, err := claimAddress()
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	raiseDescriptorLimit()
	r := &scaleRun{opts: o, scenario: o.Scenario, dir: dir, ip: ip, startedAt: time.Now(), lateness: newLateness()}
	r.port.Store(firstScalePort)
	r.phase.Store(phaseIdle)
	r.ctx, r.stop = context.WithCancel(ctx)
	r.failure.stop = r.stop
	r.check = newScaleCheck(dir, r.startedAt.UnixMicro())
	c := &o.Scenario.Scale
	r.results = ScaleResult{SimRelays: c.Relays, Members: c.Members, Speed: c.Speed}
	err = r.execute()
	if cause := r.failure.get(); cause != nil {
		err = cause
	}
	r.close()
	if err != nil {
		return nil, err
	}
	return r.result()
}

// address returns an address that no other process uses.
func (r *scaleRun) address() string { return net.JoinHostPort(r.ip, fmt.Sprint(r.port.Add(1))) }

// start runs work in a goroutine that close waits for.
func (r *scaleRun) start(work func()) {
	r.background.Add(1)
	go func() { defer r.background.Done(); work() }()
}

// execute builds everything, runs the phases, and checks the simulated relays' results.
func (r *scaleRun) execute() error {
	if err := os.MkdirAll(filepath.Join(r.dir, logsDir), 0o755); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	startCtx, cancel := context.WithTimeout(r.ctx, scaleStartTimeout)
	defer cancel()
	if err := r.startService(startCtx); err != nil {
		return err
	}
	if err := r.startFleet(startCtx); err != nil {
		return err
	}
	if _, err := r.fetchList(r.ctx); err != nil {
		return err
	}
	if !r.checkLists() {
		return r.ctx.Err() // the verdict holds the violation
	}
	r.runPhases()
	r.settle()
	return r.checkResults()
}

// checkLists checks that every simulated relay, and every real one that has an operator
// address, has a list of all members. It reports whether no rule is violated.
func (r *scaleRun) checkLists() bool {
	c := &r.scenario.Scale
	r.check.countCheck(checker.RuleStart)
	relaysByMembers := r.simStatus().Members
	if relaysByMembers[c.Members] < c.Relays {
		r.check.addViolation(checker.RuleStart, "simulated relays", fmt.Sprintf("%d of %d have a list of %d members: by members %v", relaysByMembers[c.Members], c.Relays, c.Members, relaysByMembers),
			r.startedAt.UnixMicro(), time.Now().UnixMicro())
	}
	for _, relay := range r.realRelays {
		r.check.countCheck(checker.RuleStart)
		if relay.operator == "" {
			continue
		}
		if n := relay.members(r.ctx); n != c.Members {
			r.check.addViolation(checker.RuleStart, relay.name, fmt.Sprintf("has %d of %d members", n, c.Members), r.startedAt.UnixMicro(), time.Now().UnixMicro())
		}
	}
	return r.check.verdict.OK()
}

// fetchList reads the complete list from the service, and records its size.
func (r *scaleRun) fetchList(ctx context.Context) (*discovery.List, error) {
	c, err := client.New(r.group.http, 1, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	var text []byte
	if _, err := c.Do(ctx, http.MethodGet, discovery.ListPath+consistentQuery, nil, &text); err != nil {
		return nil, fmt.Errorf("lab: reading the service's list: %w", err)
	}
	r.results.ListMB = float64(len(text)) / 1e6
	return discovery.Parse(text)
}

// result returns the run's result, with ErrLate if the lab or the simulated relays were
// late.
func (r *scaleRun) result() (*Result, error) {
	result := &Result{Name: r.scenario.Name, Seed: r.opts.Seed, Out: r.opts.Out, Took: time.Since(r.startedAt), Verdict: r.check.verdict, Scale: &r.results}
	result.measureLab(r.lateness)
	if !r.opts.RetainDirs {
		r.removeData()
	}
	if limit := r.opts.MaxLateness; max(result.LateP99, r.results.SimLateP99) > limit {
		return result, fmt.Errorf("%w: p99 %v from due to done, simulated relays %v; %v at most", ErrLate, result.LateP99, r.results.SimLateP99, limit)
	}
	return result, nil
}

// removeData removes everything but the logs.
func (r *scaleRun) removeData() {
	entries, _ := os.ReadDir(r.dir)
	for _, entry := range entries {
		if entry.Name() != logsDir {
			os.RemoveAll(filepath.Join(r.dir, entry.Name()))
		}
	}
}

// close ends all processes and the proxies, endpoints and goroutines of the run.
func (r *scaleRun) close() {
	r.stop()
	for _, p := range r.processes {
		p.Kill()
	}
	r.background.Wait()
	if r.watchers != nil {
		r.watchers.wait()
	}
	for _, m := range r.meters {
		m.close()
	}
	if r.members != nil {
		r.members.close()
	}
	if r.endpoints != nil {
		r.endpoints.close()
	}
	for _, f := range r.files {
		f.Close()
	}
	for _, folder := range r.folders {
		os.RemoveAll(folder)
	}
}

// errUnexpectedExit reports a process that ended before the lab told it to.
var errUnexpectedExit = errors.New("lab: a process ended before it was told to")
