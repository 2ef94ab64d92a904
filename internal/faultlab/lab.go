// Package faultlab runs many processes of the relay on this machine, with partners,
// discovery, clients and links of its own around them, breaks what the
// scenario's schedule says, and has the judge say which promises were kept. It
// promises that a schedule is a function of scenario and seed, that a run in
// which the lab itself was late is void, and that no process outlives it. It
// knows the protocol alone: nothing of the relay's code is linked in.
package faultlab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/clock/wallclock"
	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/checker"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/model"
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

const (
	readyTimeout     = 30 * time.Second // for all relays, before the clients come
	sampleInterval   = 250 * time.Millisecond
	latenessInterval = 10 * time.Millisecond
	settleTimeout    = 20 * time.Second // after the load, for what is held: the longest deadline, and its slack
	firstPort        = 10000            // under the kernel's own range, on an address that this lab alone has
	lockPort         = 9999
)

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

// run is one scenario while it runs.
type run struct {
	opts       Options
	scenario   *scenario.Scenario
	seed       uint64
	ctx        context.Context // ends when everything is to stop
	recorder   *history.Recorder
	world      *model.World
	discovery  *model.Discovery // the lab's own; nobody asks it where group is set
	group      *group
	clients    *model.Clients
	upstreams  []*model.Upstream
	endpoints  []*model.Endpoint
	relays     []*relay
	linkFaults map[*link.Link]link.Faults
	plan       *fleetPlan
	ip         string
	port       atomic.Int64
	began      time.Time // of the load
	wg         sync.WaitGroup
	served     sync.WaitGroup // endpoints' goroutines

	status   statusCounter
	mu       sync.Mutex
	lateness *hdrhistogram.Histogram // of the lab's own events, µs
	err      error                   // the first that keeps the run from being one
	stop     context.CancelFunc
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

// claimAddress takes a loopback address that no other lab on this machine has, for as
// long as the listener is open.
func claimAddress() (string, net.Listener, error) {
	start := os.Getpid()
	for i := range 1000 {
		n := start + i
		ip := fmt.Sprintf("127.%d.%d.1", 64+n/200%60, 1+n%200)
		if ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, lockPort)); err == nil {
			return ip, ln, nil
		}
	}
	return "", nil, errors.New("lab: no loopback address is free")
}

// address gives one more address that no other process uses.
func (r *run) address() string {
	return fmt.Sprintf("%s:%d", r.ip, firstPort+r.port.Add(1))
}

// fail notes the first error that keeps the run from being one, and stops it.
func (r *run) fail(err error) {
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

func (r *run) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// recordLateness books from due to done of one of the lab's own events.
func (r *run) recordLateness(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateness.RecordValue(min(max(1, d.Microseconds()), 60_000_000))
}

// play sets everything up, runs the load with its faults, and lets what is held
// come to its end.
func (r *run) play(ctx context.Context, plan []Step) error {
	if err := r.build(ctx); err != nil {
		return err
	}
	if err := r.startAll(ctx); err != nil {
		return err
	}
	r.recorder.Record(history.Event{Kind: history.Run, Text: fmt.Sprintf("%s seed %d", r.scenario.Name, r.seed)})
	arriving, cancel := context.WithTimeout(ctx, scenario.Seconds(r.scenario.Seconds))
	defer cancel()
	stopEarly := context.AfterFunc(r.ctx, cancel)
	defer stopEarly()
	r.began = time.Now()
	r.wg.Add(3)
	go func() { defer r.wg.Done(); r.inject(arriving, plan) }()
	go func() { defer r.wg.Done(); r.measureLateness() }()
	go func() { defer r.wg.Done(); r.sampleUsage() }()
	if r.opts.OnStatus != nil {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.watchStatus(arriving) }()
	}
	if r.group != nil {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.group.serve(r.ctx) }()
	}
	if r.scenario.InvalidPeers.Every > 0 {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.connectInvalidPeers(arriving) }()
	}
	handed := make(chan struct{})
	go func() { defer close(handed); r.clients.Run(r.ctx, arriving, r.seed) }()
	<-arriving.Done()
	<-handed
	// Faults are over: what is still owed has until its time is up.
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && r.ctx.Err() == nil && r.world.Ledger.PendingCount(time.Now()) > 0; {
		time.Sleep(20 * time.Millisecond)
	}
	model.Sleep(r.ctx, 700*time.Millisecond) // a notice is overdue only after that
	return nil
}

// build makes partners, discovery and links; nothing runs yet but the stand-ins.
func (r *run) build(ctx context.Context) error {
	s, f := r.scenario, r.plan
	r.world = &model.World{Recorder: r.recorder, Ledger: model.NewLedger(), Net: link.NewNet(), Rules: model.StandardRules()}
	ms := func(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
	for cell, p := range f.upstreams {
		l := model.Limit{RetryAfterFraction: p.retryAfterFraction, RetryAfterMin: ms(400), RetryAfterMax: ms(910), CountsRejected: s.Upstreams.CountsRejected}
		if s.Upstreams.Limits {
			l.Rate = p.rate
		}
		if p.hasWindow {
			l.Window = 2 * time.Second
		}
		r.upstreams = append(r.upstreams, model.NewUpstream(cell, p.kind, l, p.latencyFactor, p.loadReportInterval, r.world.Rules, r.recorder, r.seed))
	}
	var members []model.Member
	for i, e := range f.endpoints {
		end := &model.Endpoint{ID: fmt.Sprintf("s-%04x%04x", uint16(r.seed*40503), i), Zone: e.zone, Upstream: r.upstreams[e.destination],
			Servers: e.servers, QueueSize: 2 * e.servers, MaxConns: max(s.Fleet.Relays, int(float64(e.servers)*s.Upstreams.ConnsFactor)), MaxBatch: s.Fleet.MaxBatch, IdleTimeout: 10 * time.Second}
		if f.upstreams[e.destination].kind != model.Telco {
			end.MaxBatch = 1
		}
		if err := end.Serve(r.ctx, r.world, r.address(), &r.served); err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, end)
		members = append(members, model.Member{ID: end.ID, Locality: e.zone, Flavor: f.upstreams[e.destination].kind, Cell: e.destination, Phase: model.Up, Size: 1})
	}
	r.world.OnDelivered = r.status.recordDelivery
	r.recorder.Subscribe(r.status.observe)
	r.discovery = model.NewDiscovery(r.world, r.seed)
	addrs := map[string]string{}
	load := model.StandardLoad(s.Load.Rate, f.weights)
	load.Retries, load.LeaverFraction, load.BurstFraction = s.Load.Retries, s.Load.LeaverFraction, s.Load.BurstFraction
	r.clients = model.NewClients(r.world, load, addrs, r.seed)
	r.clients.OnLateness = r.recordLateness
	if err := os.MkdirAll(filepath.Join(r.opts.Out, "logs"), 0o755); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if s.Registry.Nodes > 0 {
		var err error
		if r.group, err = r.newGroup(ctx); err != nil {
			return err
		}
	}
	for i := range s.Fleet.Relays {
		x := &relay{run: r, number: i, name: fmt.Sprintf("n%d", i+1), zone: f.relayZone(i), listen: r.address()}
		r.relays = append(r.relays, x)
		if err := r.connect(ctx, x, members); err != nil {
			return err
		}
		addrs[x.name] = x.proxy.Addr()
	}
	return nil
}

// connect makes one relay's machine: its folder, agent and links.
func (r *run) connect(ctx context.Context, x *relay, members []model.Member) (err error) {
	if x.dir, err = filepath.Abs(filepath.Join(r.opts.Out, x.name)); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if err := errors.Join(os.RemoveAll(x.dir), os.MkdirAll(x.stateDir(), 0o700)); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if x.log, err = os.Create(filepath.Join(r.opts.Out, "logs", x.name+".log")); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if slices.ContainsFunc(r.scenario.Faults, func(f scenario.Fault) bool { return f.Kind == "clock" }) {
		if x.wall, err = wallclock.New(x.dir); err != nil {
			return err
		}
	}
	if x.proxy, err = r.world.Net.Listen("clients", x.name, r.address(), x.listen, r.seed, nil); err != nil {
		return err
	}
	mine := make([]model.Member, len(members))
	for i, e := range r.endpoints {
		l, err := r.world.Net.Listen(x.name, e.ID, r.address(), e.Addr(), r.seed+uint64(x.number*1000+i), r.recordLostCall)
		if err != nil {
			return err
		}
		delay := r.scenario.Upstreams.DelayMS
		if e.Zone != x.zone {
			delay = r.scenario.Upstreams.CrossMS
		}
		usual := link.Faults{Delay: time.Duration(delay * float64(time.Millisecond)), Jitter: time.Duration(r.scenario.Upstreams.JitterMS * float64(time.Millisecond))}
		r.linkFaults[l] = usual
		l.SetFaults(link.ToServer, usual)
		l.SetFaults(link.ToClient, usual)
		x.links = append(x.links, l)
		mine[i] = members[i]
		mine[i].HostPort = l.Addr()
	}
	if r.group == nil {
		x.agent, err = r.discovery.NewAgent(x.name, r.ip, mine, r.onNotice)
		return err
	}
	if x.agentLog, err = os.Create(filepath.Join(r.opts.Out, "logs", x.name+"-agent.log")); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	t, err := r.group.startAgent(ctx, x, r.onNotice)
	if t != nil {
		x.agent = t
	}
	return err
}

// onNotice hears of a message's end; its client may hand it in again.
func (r *run) onNotice(id, outcome string, retryMS int64) {
	if r.world.Ledger.Complete(id) && outcome == discovery.Returned {
		r.clients.MessageReturned(r.ctx, id, retryMS)
	}
}

// recordLostCall records a call that a relay wrote whole and that a link never let
// through: the relay cannot know that it did not run.
func (r *run) recordLostCall(l *link.Link, written []byte, first time.Time) {
	ids, whole := model.ParseCall(written)
	if !whole {
		return // the relay itself saw the connection end before its last byte
	}
	e := history.Event{Kind: history.CallLost, Relay: l.Source, Endpoint: l.Target, Messages: ids, SentAt: r.recorder.At(first)}
	for _, x := range r.endpoints {
		if x.ID == l.Target {
			e.Destination = x.Upstream.Destination
		}
	}
	r.recorder.Record(e)
}

// startAll starts every relay and waits until each serves clients.
func (r *run) startAll(ctx context.Context) error {
	for _, x := range r.relays {
		if err := x.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyTimeout); ; {
		var waiting []string
		for _, x := range r.relays {
			x.mu.Lock()
			if !x.ready {
				waiting = append(waiting, x.name)
			}
			p := x.process
			x.mu.Unlock()
			select {
			case <-p.Done():
				_, text := p.Exit()
				return fmt.Errorf("lab: %s did not start: %s; see %s", x.name, text, x.log.Name())
			default:
			}
		}
		if len(waiting) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("lab: not ready after %v: %s; see the logs in %s", readyTimeout, strings.Join(waiting, ", "), filepath.Join(r.opts.Out, "logs"))
		}
		if !model.Sleep(ctx, 5*time.Millisecond) {
			return fmt.Errorf("lab: stopped before the relays were ready: %w", ctx.Err())
		}
	}
}

// measureLateness measures how late the lab itself is.
func (r *run) measureLateness() {
	for due := time.Now().Add(latenessInterval); model.Sleep(r.ctx, time.Until(due)); due = due.Add(latenessInterval) {
		r.recordLateness(time.Since(due))
		if time.Since(due) > time.Second { // after a standstill: once is enough
			due = time.Now()
		}
	}
}

func (r *run) sampleUsage() {
	for model.Sleep(r.ctx, sampleInterval) {
		for _, x := range r.relays {
			x.sampleUsage()
		}
	}
}

func (r *run) connectInvalidPeers(ctx context.Context) {
	d := newRandom(r.seed, "peers")
	var wg sync.WaitGroup
	defer wg.Wait()
	for model.Sleep(ctx, scenario.Seconds(r.scenario.InvalidPeers.Every)) {
		x := r.relays[d.IntN(len(r.relays))]
		kind := r.scenario.InvalidPeers.Kinds[d.IntN(len(r.scenario.InvalidPeers.Kinds))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			model.ConnectInvalidPeer(r.ctx, r.world, x.name, x.proxy.Addr(), kind)
		}()
	}
}

// close ends every process, by SIGTERM first, then the stand-ins.
func (r *run) close() {
	var stopped sync.WaitGroup
	for _, x := range r.relays {
		x.mu.Lock()
		p := x.process
		x.mu.Unlock()
		if p == nil {
			continue
		}
		stopped.Add(1)
		go func() {
			defer stopped.Done()
			x.busy.Lock()
			defer x.busy.Unlock()
			x.stop(r.failure() == nil)
		}()
	}
	stopped.Wait()
	r.stop()
	for _, x := range r.relays {
		if x.agentProcess != nil {
			x.agentProcess.Kill()
		}
		if t, ok := x.agent.(*agentProxy); ok {
			t.Close()
		}
	}
	if r.group != nil {
		r.group.close()
	}
	r.wg.Wait()
	if r.group != nil {
		r.fail(r.group.recordRoleSteps())
		r.group.closeLinks()
	}
	for _, x := range r.relays {
		if x.proxy != nil {
			x.proxy.Close()
		}
		for _, l := range x.links {
			l.Close()
		}
		if x.log != nil {
			x.log.Close()
		}
		if x.agentLog != nil {
			x.agentLog.Close()
		}
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
	r.served.Wait()
}
