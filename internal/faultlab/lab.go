package faultlab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/faultlab/checker"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
)

// Options say how a scenario is run.
type Options struct {
	Scenario    *scenario.Scenario
	Seed        uint64
	Out         string   // the folder of the report; made where it is missing
	Program     string   // the relay under test
	First       string   // another that each relay runs first, such as an older one; empty for none
	Registry    string   // the list service's, where the scenario has one
	Controller  string   // the wardens', where it has them
	SimRelay    string   // the hollow relays' (this one, run with the word hollow), where it has them
	Args        []string // of it
	Env         []string // added to its environment
	KeepDirs    bool     // of a kept run: the relays' folders too
	MaxLateness time.Duration
	Log         *slog.Logger
	OnStatus    func(*Status) // called each second while the load lasts; may be nil
}

// MaxLateness is the p99 of the lab's own lateness beyond which a run is void.
const MaxLateness = 50 * time.Millisecond

// ErrLate is a run in which the lab itself was late: it proves nothing.
var ErrLate = errors.New("the lab itself was late")

// Result is what a run came to.
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
	Scale   *ScaleReport    `json:"scale,omitempty"` // of a scale scenario
}

// Run plays a scenario to its verdict. ctx ends the load early; the run is then
// finished and judged as far as it went. An error means that it could not be
// run, or that the lab was late (ErrLate, with the result).
func Run(ctx context.Context, o Options) (*Result, error) {
	began := time.Now()
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
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
	rec, err := history.Create(filepath.Join(o.Out, "history.jsonl"))
	if err != nil {
		return nil, err
	}
	whole, stop := context.WithCancel(context.Background())
	defer stop()
	r := &run{opts: o, scenario: o.Scenario, seed: o.Seed, ctx: whole, recorder: rec, linkFaults: map[*link.Link]link.Faults{}, ip: ip,
		plan: planFleet(o.Scenario, o.Seed), lateness: hdrhistogram.New(1, 60_000_000, 3), stop: stop}
	plan := Plan(o.Scenario, o.Seed)
	err = r.play(ctx, plan)
	r.close()
	if err = errors.Join(err, r.failure(), rec.Close()); err != nil {
		return nil, err
	}
	res := &Result{Name: o.Scenario.Name, Seed: o.Seed, Out: o.Out, Took: time.Since(began)}
	for _, s := range plan {
		res.Plan = append(res.Plan, s.String())
	}
	if u, err := process.Measure(os.Getpid()); err == nil {
		res.LabCPU, res.LabRSS = u.CPU, u.RSS
	}
	res.LateP99 = time.Duration(r.lateness.ValueAtQuantile(99)) * time.Microsecond
	res.LateMax = time.Duration(r.lateness.Max()) * time.Microsecond
	if res.Verdict, err = r.check(); err != nil {
		return nil, err
	}
	if !o.KeepDirs {
		for _, x := range r.relays {
			os.RemoveAll(x.dir)
		}
	}
	if res.LateP99 > o.MaxLateness {
		return res, fmt.Errorf("%w: p99 %v from due to done; %v at most", ErrLate, res.LateP99, o.MaxLateness)
	}
	return res, nil
}

// check reads the history back and judges it.
func (r *run) check() (checker.Verdict, error) {
	path := filepath.Join(r.opts.Out, "history.jsonl")
	s := r.scenario
	longest := 0.0
	for _, f := range s.Faults {
		if f.Kind == "delay" {
			longest = max(longest, f.MS)
		}
	}
	j := checker.New(checker.Config{Rules: r.world.Rules, HistoryFile: path,
		MaxLinkDelay: time.Duration((max(s.Upstreams.DelayMS, s.Upstreams.CrossMS) + s.Upstreams.JitterMS + longest) * float64(time.Millisecond)),
		Limits:       checker.Limits{Memory: int64(s.Fleet.MemoryMB) << 20, Disk: int64(s.Fleet.DiskMB) << 20, FDs: s.Fleet.Sockets},
		LogFile:      func(relay string) string { return filepath.Join(r.opts.Out, "logs", relay+".log") }})
	if err := history.Read(path, j.Feed); err != nil {
		return checker.Verdict{}, err
	}
	return j.Finish(), nil
}
