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

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/faultlab/simrelay"
	"plovershore/internal/registry/client"
)

const (
	scaleStart        = 150 * time.Second // at most, until all relays have their list
	scaleEnd          = 20 * time.Second  // at most, until a process of hollow relays has written its result
	firstScalePort    = firstPort + 100   // below are the nodes
	connectTimeout    = 1500 * time.Millisecond
	simRelayRole      = "hollow relay"
	realRelayRole     = "real relay"
	operatedRelayRole = "real relay with an operator address"
)

// scaleRun is a scale scenario while it runs.
type scaleRun struct {
	opts         Options
	scenario     *scenario.Scenario
	dir          string
	ip           string
	port         atomic.Int64
	began        time.Time
	down         simrelay.Down
	endpoints    *scaleEndpoints
	group        *benchGroup
	members      *scaleMembers
	watchers     *watcherSet
	roles        []*role
	agents       []*scaleAgent // that hollow relays share
	realRelays   []*realRelay
	simProcesses []*simProcess
	clients      []*scaleClients
	processes    []*process.Process
	meters       []*meter
	files        []*os.File
	folders      []string // beside the run's own, to be removed
	check        *scaleCheck
	report       ScaleReport
	ctx          context.Context // ends when everything is to stop
	stop         context.CancelFunc
	wg           sync.WaitGroup
	phase        atomic.Value // of the run: a string
	isEnding     atomic.Bool  // processes are told to end
	listHash     uint64       // of the service's list at the end

	mu       sync.Mutex
	err      error // the first that keeps the run from being one
	lateness *hdrhistogram.Histogram
}

// runScale plays a scale scenario to its verdict; errors are as Run's.
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
	r := &scaleRun{opts: o, scenario: o.Scenario, dir: dir, ip: ip, began: time.Now(), lateness: hdrhistogram.New(1, 60_000_000, 3)}
	r.port.Store(firstScalePort)
	r.phase.Store(phaseQuiet)
	r.ctx, r.stop = context.WithCancel(ctx)
	r.check = newScaleCheck(dir, r.began.UnixMicro())
	c := &o.Scenario.Scale
	r.report = ScaleReport{SimRelays: c.Relays, Members: c.Members, Speed: c.Speed}
	err = r.play()
	if cause := r.failure(); cause != nil {
		err = cause
	}
	r.close()
	if err != nil {
		return nil, err
	}
	return r.result()
}

func (r *scaleRun) address() string { return net.JoinHostPort(r.ip, fmt.Sprint(r.port.Add(1))) }

func (r *scaleRun) fail(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
		r.stop()
	}
}

func (r *scaleRun) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

func (r *scaleRun) recordLateness(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateness.RecordValue(min(max(1, d.Microseconds()), 60_000_000))
}

func (r *scaleRun) background(f func()) {
	r.wg.Add(1)
	go func() { defer r.wg.Done(); f() }()
}

// play builds everything, runs the parts, and has the hollow relays tell what
// came of them.
func (r *scaleRun) play() error {
	if err := os.MkdirAll(filepath.Join(r.dir, "logs"), 0o755); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	starting, cancel := context.WithTimeout(r.ctx, scaleStart)
	defer cancel()
	if err := r.startService(starting); err != nil {
		return err
	}
	if err := r.startFleet(starting); err != nil {
		return err
	}
	if _, err := r.fetchList(r.ctx); err != nil {
		return err
	}
	if !r.checkLists() {
		return r.ctx.Err() // judged as it is
	}
	r.playPhases()
	r.settle()
	return r.checkResults()
}

// checkLists judges that every relay came to have the list.
func (r *scaleRun) checkLists() bool {
	c := &r.scenario.Scale
	r.check.checked("start")
	have := r.simStatus().Members
	if have[c.Members] < c.Relays {
		r.check.violate("start", "hollow relays", fmt.Sprintf("%d of %d have a list of %d members: by members %v", have[c.Members], c.Relays, c.Members, have),
			r.began.UnixMicro(), time.Now().UnixMicro())
	}
	for _, x := range r.realRelays {
		r.check.checked("start")
		if x.operator == "" {
			continue
		}
		if n := x.members(r.ctx); n != c.Members {
			r.check.violate("start", x.name, fmt.Sprintf("has %d of %d members", n, c.Members), r.began.UnixMicro(), time.Now().UnixMicro())
		}
	}
	return r.check.verdict.Passed()
}

// fetchList is the whole list as the service has it.
func (r *scaleRun) fetchList(ctx context.Context) (*discovery.List, error) {
	c, err := client.New(r.group.http, 1, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	var text []byte
	if _, err := c.Do(ctx, http.MethodGet, discovery.ListPath+"?consistent=1", nil, &text); err != nil {
		return nil, fmt.Errorf("lab: the service's list: %w", err)
	}
	r.report.ListMB = float64(len(text)) / 1e6
	return discovery.Parse(text)
}

// result is the run's, voided where the lab or the hollow relays were late.
func (r *scaleRun) result() (*Result, error) {
	res := &Result{Name: r.scenario.Name, Seed: r.opts.Seed, Out: r.opts.Out, Took: time.Since(r.began), Verdict: r.check.verdict, Scale: &r.report}
	if u, err := process.Measure(os.Getpid()); err == nil {
		res.LabCPU, res.LabRSS = u.CPU, u.RSS
	}
	res.LateP99 = time.Duration(r.lateness.ValueAtQuantile(99)) * time.Microsecond
	res.LateMax = time.Duration(r.lateness.Max()) * time.Microsecond
	most := r.opts.MaxLateness
	if most == 0 {
		most = MaxLateness
	}
	if !r.opts.KeepDirs {
		r.removeData()
	}
	if late := max(res.LateP99, r.report.SimLateP99); late > most {
		return res, fmt.Errorf("%w: p99 %v from due to done, hollow relays %v; %v at most", ErrLate, res.LateP99, r.report.SimLateP99, most)
	}
	return res, nil
}

// removeData removes all but the logs and the report.
func (r *scaleRun) removeData() {
	all, _ := os.ReadDir(r.dir)
	for _, entry := range all {
		if entry.Name() != "logs" {
			os.RemoveAll(filepath.Join(r.dir, entry.Name()))
		}
	}
}

// close ends all processes and what stands between them.
func (r *scaleRun) close() {
	r.stop()
	for _, p := range r.processes {
		p.Kill()
	}
	r.wg.Wait()
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

var errUnexpectedExit = errors.New("lab: a process ended before it was told to")
