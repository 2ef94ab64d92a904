// Package faultlab runs many processes of the relay on this machine, with upstreams,
// discovery, clients and links of its own around them, injects the faults of a
// scenario, and has package checker report which rules were violated.
//
// The schedule of faults depends on scenario and seed alone. A run in which the lab
// itself was late is void. No process outlives the lab.
//
// A run reaches the relays only over their protocols: the lab's process runs no code of
// the relay but small packages that both use, such as discovery, which has the form of the
// endpoint list and of notices. Benchmarks may run more of it: BenchWAL measures package
// wal, the relay's message log, in the lab's process.
package faultlab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"plovershore/internal/faultlab/checker"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
)

// HistoryFile is the name of a run's history in the folder of its report.
const HistoryFile = "history.jsonl"

// logsDir is the folder of the processes' logs in that of the report.
const logsDir = "logs"

// Options select a scenario and how it is run.
type Options struct {
	Scenario    *scenario.Scenario
	Seed        uint64
	Out         string        // the folder of the report; made if it is missing
	Program     string        // the relay under test
	First       string        // program of the first process of each relay, such as an older release; empty for Program
	Registry    string        // the list service's program, if the scenario has one
	Controller  string        // the controllers' program, if the scenario has them
	SimRelay    string        // a program that runs simulated relays by SimRelayCommand, if the scenario has them
	Env         []string      // added to the relays' environment
	RetainDirs  bool          // keep the relays' directories after the run
	MaxLateness time.Duration // p99 of the lab's own lateness above which a run is void; 0 for the constant MaxLateness
	OnStatus    func(*Status) // called each second while the load lasts; may be nil
}

// SimRelayCommand is the first argument with which Options.SimRelay is run to simulate
// relays. The path of their configuration follows it.
const SimRelayCommand = "simrelay"

// MaxLateness is the default of Options.MaxLateness: a run is void if the p99 of the lab's
// own lateness is above it.
const MaxLateness = 50 * time.Millisecond

// ErrLate reports a run in which the lab itself was so late that the run proves
// nothing.
var ErrLate = errors.New("the lab itself was late")

// Result is the outcome of a run.
type Result struct {
	Name    string          `json:"name"`
	Seed    uint64          `json:"seed"`
	Out     string          `json:"-"`
	Plan    []string        `json:"plan"`
	Verdict checker.Verdict `json:"verdict"`
	LateP99 time.Duration   `json:"late_p99_ns"`
	LateMax time.Duration   `json:"late_max_ns"`
	LabCPU  time.Duration   `json:"lab_cpu_ns"`
	LabRSS  int64           `json:"lab_rss_bytes"`
	Took    time.Duration   `json:"took_ns"`
	Scale   *ScaleResult    `json:"scale,omitempty"` // set for a scale scenario alone
}

// Run runs a scenario and checks its history. ctx ends the load early; the run is then
// finished and checked as far as it went, but a run of a scale scenario ends with an error
// and no result. Otherwise an error means that the scenario could not be run, or that the
// lab was late (ErrLate, with the result).
func Run(ctx context.Context, o Options) (*Result, error) {
	startedAt := time.Now()
	if o.MaxLateness == 0 {
		o.MaxLateness = MaxLateness
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	if o.Scenario.Scale.Relays > 0 {
		return runScale(ctx, o)
	}
	ip, lock, err := claimAddress()
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	recorder, err := history.Create(filepath.Join(o.Out, HistoryFile))
	if err != nil {
		return nil, err
	}
	r := newRun(o, ip, recorder)
	defer r.stop()
	plan := Plan(o.Scenario, o.Seed)
	err = r.execute(ctx, plan)
	r.close()
	if err = errors.Join(err, r.failure.get(), recorder.Close()); err != nil {
		return nil, err
	}
	return r.result(startedAt, plan)
}

// newRun returns a run that has not begun.
func newRun(o Options, ip string, recorder *history.Recorder) *run {
	r := &run{
		opts:       o,
		scenario:   o.Scenario,
		seed:       o.Seed,
		recorder:   recorder,
		linkFaults: map[*link.Link]link.Faults{},
		ip:         ip,
		plan:       planFleet(o.Scenario, o.Seed),
		lateness:   newLateness(),
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.failure.stop = r.stop
	return r
}

// result checks the history of a run that has ended and returns its result, with
// ErrLate if the lab was late.
func (r *run) result(startedAt time.Time, plan []Step) (*Result, error) {
	result := &Result{Name: r.scenario.Name, Seed: r.seed, Out: r.opts.Out, Took: time.Since(startedAt)}
	for _, step := range plan {
		result.Plan = append(result.Plan, step.String())
	}
	result.measureLab(r.lateness)
	var err error
	if result.Verdict, err = r.check(); err != nil {
		return nil, err
	}
	if !r.opts.RetainDirs {
		for _, relay := range r.relays {
			os.RemoveAll(relay.dir)
		}
	}
	if result.LateP99 > r.opts.MaxLateness {
		return result, fmt.Errorf("%w: p99 %v from due to done; %v at most", ErrLate, result.LateP99, r.opts.MaxLateness)
	}
	return result, nil
}

// measureLab adds the resources that the lab itself used, and how late it was.
func (result *Result) measureLab(l *lateness) {
	if usage, err := process.Measure(os.Getpid()); err == nil {
		result.LabCPU, result.LabRSS = usage.CPU, usage.RSS
	}
	result.LateP99, result.LateMax = l.p99(), l.max()
}

// check reads the history back and checks it.
func (r *run) check() (checker.Verdict, error) {
	path := filepath.Join(r.opts.Out, HistoryFile)
	fleet := &r.scenario.Fleet
	check := checker.New(checker.Config{
		Rules:        r.world.Rules,
		Limits:       checker.Limits{Memory: int64(fleet.MemoryMB) << 20, Disk: int64(fleet.DiskMB) << 20, FDs: fleet.Sockets},
		MaxLinkDelay: r.maxLinkDelay(),
		HistoryFile:  path,
		LogFile:      func(relay string) string { return r.logPath(relay) },
	})
	if err := history.Read(path, check.Feed); err != nil {
		return checker.Verdict{}, err
	}
	return check.Finish(), nil
}

// maxLinkDelay returns the longest delay that a link adds in this scenario.
func (r *run) maxLinkDelay() time.Duration {
	faultMS := 0.0
	for _, fault := range r.scenario.Faults {
		if fault.Kind == scenario.FaultDelay {
			faultMS = max(faultMS, fault.MS)
		}
	}
	upstreams := &r.scenario.Upstreams
	return millis(max(upstreams.DelayMS, upstreams.CrossMS) + upstreams.JitterMS + faultMS)
}

// logPath returns the path of the file for a process's output.
func (r *run) logPath(name string) string {
	return filepath.Join(r.opts.Out, logsDir, name+".log")
}

// millis converts milliseconds to a duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
