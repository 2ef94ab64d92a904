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
	Scenario *scenario.Scenario
	Seed     uint64
	Out      string   // the folder of the report; made where it is missing
	Program  string   // the relay under test
	First    string   // another that each relay runs first, such as an older one; empty for none
	Registry string   // the list service's, where the scenario has one
	Warden   string   // the wardens', where it has them
	Hollow   string   // the hollow relays' (this one, run with the word hollow), where it has them
	Args     []string // of it
	Env      []string // added to its environment
	Keep     bool     // of a kept run: the relays' folders too
	Late     time.Duration
	Log      *slog.Logger
	Watch    func(*Status) // called each second while the load lasts; may be nil
}

// LateMost is the p99 of the lab's own lateness beyond which a run is void.
const LateMost = 50 * time.Millisecond

const (
	readyWait   = 30 * time.Second // for all relays, before the clients come
	sampleEvery = 250 * time.Millisecond
	beatEvery   = 10 * time.Millisecond
	settleMost  = 20 * time.Second // after the load, for what is held: the longest deadline, and its slack
	firstPort   = 10000            // under the kernel's own range, on an address that this lab alone has
	lockPort    = 9999
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
	opts    Options
	scen    *scenario.Scenario
	seed    uint64
	ctx     context.Context // ends when everything is to stop
	rec     *history.Recorder
	world   *model.World
	disc    *model.Discovery // the lab's own; nobody asks it where group is set
	group   *group
	clients *model.Clients
	parts   []*model.Upstream
	ends    []*model.Endpoint
	relays  []*relay
	usual   map[*link.Link]link.Faults
	fleet   *fleet
	ip      string
	port    atomic.Int64
	began   time.Time // of the load
	wg      sync.WaitGroup
	served  sync.WaitGroup // endpoints' goroutines

	status status
	mu     sync.Mutex
	lates  *hdrhistogram.Histogram // of the lab's own events, µs
	err    error                   // the first that keeps the run from being one
	stop   context.CancelFunc
}

// Run plays a scenario to its verdict. ctx ends the load early; the run is then
// finished and judged as far as it went. An error means that it could not be
// run, or that the lab was late (ErrLate, with the result).
func Run(ctx context.Context, o Options) (*Result, error) {
	began := time.Now()
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Late == 0 {
		o.Late = LateMost
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	if o.Scenario.Scale.Relays > 0 {
		return runScale(ctx, o)
	}
	ip, lock, err := claim()
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
	r := &run{opts: o, scen: o.Scenario, seed: o.Seed, ctx: whole, rec: rec, usual: map[*link.Link]link.Faults{}, ip: ip,
		fleet: buildFleet(o.Scenario, o.Seed), lates: hdrhistogram.New(1, 60_000_000, 3), stop: stop}
	plan := Plan(o.Scenario, o.Seed)
	err = r.play(ctx, plan)
	r.close()
	if err = errors.Join(err, r.failed(), rec.Close()); err != nil {
		return nil, err
	}
	res := &Result{Name: o.Scenario.Name, Seed: o.Seed, Out: o.Out, Took: time.Since(began)}
	for _, s := range plan {
		res.Plan = append(res.Plan, s.String())
	}
	if u, err := process.Measure(os.Getpid()); err == nil {
		res.LabCPU, res.LabRSS = u.CPU, u.RSS
	}
	res.LateP99 = time.Duration(r.lates.ValueAtQuantile(99)) * time.Microsecond
	res.LateMax = time.Duration(r.lates.Max()) * time.Microsecond
	if res.Verdict, err = r.judge(); err != nil {
		return nil, err
	}
	if !o.Keep {
		for _, x := range r.relays {
			os.RemoveAll(x.dir)
		}
	}
	if res.LateP99 > o.Late {
		return res, fmt.Errorf("%w: p99 %v from due to done; %v at most", ErrLate, res.LateP99, o.Late)
	}
	return res, nil
}

// judge reads the history back and judges it.
func (r *run) judge() (checker.Verdict, error) {
	path := filepath.Join(r.opts.Out, "history.jsonl")
	s := r.scen
	longest := 0.0
	for _, f := range s.Faults {
		if f.Kind == "delay" {
			longest = max(longest, f.MS)
		}
	}
	j := checker.New(checker.Config{Rules: r.world.Rules, HistoryFile: path,
		MaxLinkDelay: time.Duration((max(s.Part.DelayMS, s.Part.CrossMS) + s.Part.JitterMS + longest) * float64(time.Millisecond)),
		Limits:       checker.Limits{Memory: int64(s.Fleet.MemoryMB) << 20, Disk: int64(s.Fleet.DiskMB) << 20, FDs: s.Fleet.Sockets},
		LogFile:      func(relay string) string { return filepath.Join(r.opts.Out, "logs", relay+".log") }})
	if err := history.Read(path, j.Feed); err != nil {
		return checker.Verdict{}, err
	}
	return j.Finish(), nil
}

// claim takes a loopback address that no other lab on this machine has, for as
// long as the listener is open.
func claim() (string, net.Listener, error) {
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

func (r *run) failed() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// late books from due to done of one of the lab's own events.
func (r *run) late(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lates.RecordValue(min(max(1, d.Microseconds()), 60_000_000))
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
	r.rec.Record(history.Event{Kind: history.Run, Text: fmt.Sprintf("%s seed %d", r.scen.Name, r.seed)})
	arriving, cancel := context.WithTimeout(ctx, scenario.Secs(r.scen.Seconds))
	defer cancel()
	stopEarly := context.AfterFunc(r.ctx, cancel)
	defer stopEarly()
	r.began = time.Now()
	r.wg.Add(3)
	go func() { defer r.wg.Done(); r.inject(arriving, plan) }()
	go func() { defer r.wg.Done(); r.beat() }()
	go func() { defer r.wg.Done(); r.sample() }()
	if r.opts.Watch != nil {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.report(arriving) }()
	}
	if r.group != nil {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.group.live(r.ctx) }()
	}
	if r.scen.Peers.Every > 0 {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.badPeers(arriving) }()
	}
	handed := make(chan struct{})
	go func() { defer close(handed); r.clients.Run(r.ctx, arriving, r.seed) }()
	<-arriving.Done()
	<-handed
	// Faults are over: what is still owed has until its time is up.
	for end := time.Now().Add(settleMost); time.Now().Before(end) && r.ctx.Err() == nil && r.world.Ledger.PendingCount(time.Now()) > 0; {
		time.Sleep(20 * time.Millisecond)
	}
	model.Sleep(r.ctx, 700*time.Millisecond) // a notice is overdue only after that
	return nil
}

// build makes partners, discovery and links; nothing runs yet but the stand-ins.
func (r *run) build(ctx context.Context) error {
	s, f := r.scen, r.fleet
	r.world = &model.World{Recorder: r.rec, Ledger: model.NewLedger(), Net: link.NewNet(), Rules: model.StandardRules()}
	ms := func(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
	for cell, p := range f.parts {
		l := model.Limit{RetryAfterFraction: p.tells, RetryAfterMin: ms(400), RetryAfterMax: ms(910), CountsRejected: s.Part.Spends}
		if s.Part.Limits {
			l.Rate = p.rate
		}
		if p.spans {
			l.Window = 2 * time.Second
		}
		r.parts = append(r.parts, model.NewUpstream(cell, p.kind, l, p.pace, p.every, r.world.Rules, r.rec, r.seed))
	}
	var members []model.Member
	for i, e := range f.ends {
		end := &model.Endpoint{ID: fmt.Sprintf("s-%04x%04x", uint16(r.seed*40503), i), Zone: e.zone, Upstream: r.parts[e.cell],
			Servers: e.servers, QueueSize: 2 * e.servers, MaxConns: max(s.Fleet.Relays, int(float64(e.servers)*s.Part.ConnsFactor)), MaxBatch: s.Fleet.Batch, IdleTimeout: 10 * time.Second}
		if f.parts[e.cell].kind != model.Telco {
			end.MaxBatch = 1
		}
		if err := end.Serve(r.ctx, r.world, r.address(), &r.served); err != nil {
			return err
		}
		r.ends = append(r.ends, end)
		members = append(members, model.Member{ID: end.ID, Locality: e.zone, Flavor: f.parts[e.cell].kind, Cell: e.cell, Phase: model.Up, Size: 1})
	}
	r.world.OnDelivered = r.status.delivered
	r.rec.Subscribe(r.status.tap)
	r.disc = model.NewDiscovery(r.world, r.seed)
	addrs := map[string]string{}
	load := model.StandardLoad(s.Load.Rate, f.weights)
	load.Retries, load.LeaverFraction, load.BurstFraction = s.Load.Retries, s.Load.Leavers, s.Load.Clumps
	r.clients = model.NewClients(r.world, load, addrs, r.seed)
	r.clients.OnLateness = r.late
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
		x := &relay{run: r, num: i, name: fmt.Sprintf("n%d", i+1), zone: f.relayZone(i), listen: r.address()}
		r.relays = append(r.relays, x)
		if err := r.wire(ctx, x, members); err != nil {
			return err
		}
		addrs[x.name] = x.door.Addr()
	}
	return nil
}

// wire makes one relay's machine: its folder, agent and links.
func (r *run) wire(ctx context.Context, x *relay, members []model.Member) (err error) {
	if x.dir, err = filepath.Abs(filepath.Join(r.opts.Out, x.name)); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if err := errors.Join(os.RemoveAll(x.dir), os.MkdirAll(x.state(), 0o700)); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if x.log, err = os.Create(filepath.Join(r.opts.Out, "logs", x.name+".log")); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if slices.ContainsFunc(r.scen.Faults, func(f scenario.Fault) bool { return f.Kind == "clock" }) {
		if x.wall, err = wallclock.New(x.dir); err != nil {
			return err
		}
	}
	if x.door, err = r.world.Net.Listen("clients", x.name, r.address(), x.listen, r.seed, nil); err != nil {
		return err
	}
	mine := make([]model.Member, len(members))
	for i, e := range r.ends {
		l, err := r.world.Net.Listen(x.name, e.ID, r.address(), e.Addr(), r.seed+uint64(x.num*1000+i), r.swallowed)
		if err != nil {
			return err
		}
		delay := r.scen.Part.DelayMS
		if e.Zone != x.zone {
			delay = r.scen.Part.CrossMS
		}
		usual := link.Faults{Delay: time.Duration(delay * float64(time.Millisecond)), Jitter: time.Duration(r.scen.Part.JitterMS * float64(time.Millisecond))}
		r.usual[l] = usual
		l.SetFaults(link.ToServer, usual)
		l.SetFaults(link.ToClient, usual)
		x.links = append(x.links, l)
		mine[i] = members[i]
		mine[i].HostPort = l.Addr()
	}
	if r.group == nil {
		x.agent, err = r.disc.NewAgent(x.name, r.ip, mine, r.noticed)
		return err
	}
	if x.agentLog, err = os.Create(filepath.Join(r.opts.Out, "logs", x.name+"-agent.log")); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	t, err := r.group.startAgent(ctx, x, r.noticed)
	if t != nil {
		x.agent = t
	}
	return err
}

// noticed hears of a message's end; its client may hand it in again.
func (r *run) noticed(id, outcome string, retryMS int64) {
	if r.world.Ledger.Complete(id) && outcome == discovery.Returned {
		r.clients.MessageReturned(r.ctx, id, retryMS)
	}
}

// swallowed records a call that a relay wrote whole and that a link never let
// through: the relay cannot know that it did not run.
func (r *run) swallowed(l *link.Link, written []byte, first time.Time) {
	ids, whole := model.ParseCall(written)
	if !whole {
		return // the relay itself saw the connection end before its last byte
	}
	e := history.Event{Kind: history.CallLost, Relay: l.Source, Endpoint: l.Target, Messages: ids, SentAt: r.rec.At(first)}
	for _, x := range r.ends {
		if x.ID == l.Target {
			e.Destination = x.Upstream.Destination
		}
	}
	r.rec.Record(e)
}

// startAll starts every relay and waits until each serves clients.
func (r *run) startAll(ctx context.Context) error {
	for _, x := range r.relays {
		if err := x.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyWait); ; {
		var waiting []string
		for _, x := range r.relays {
			x.mu.Lock()
			if !x.ready {
				waiting = append(waiting, x.name)
			}
			p := x.proc
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
			return fmt.Errorf("lab: not ready after %v: %s; see the logs in %s", readyWait, strings.Join(waiting, ", "), filepath.Join(r.opts.Out, "logs"))
		}
		if !model.Sleep(ctx, 5*time.Millisecond) {
			return fmt.Errorf("lab: stopped before the relays were ready: %w", ctx.Err())
		}
	}
}

// beat measures how late the lab itself is.
func (r *run) beat() {
	for due := time.Now().Add(beatEvery); model.Sleep(r.ctx, time.Until(due)); due = due.Add(beatEvery) {
		r.late(time.Since(due))
		if time.Since(due) > time.Second { // after a standstill: once is enough
			due = time.Now()
		}
	}
}

func (r *run) sample() {
	for model.Sleep(r.ctx, sampleEvery) {
		for _, x := range r.relays {
			x.sample()
		}
	}
}

func (r *run) badPeers(ctx context.Context) {
	d := seeded(r.seed, "peers")
	var wg sync.WaitGroup
	defer wg.Wait()
	for model.Sleep(ctx, scenario.Secs(r.scen.Peers.Every)) {
		x := r.relays[d.IntN(len(r.relays))]
		kind := r.scen.Peers.Kinds[d.IntN(len(r.scen.Peers.Kinds))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			model.ConnectInvalidPeer(r.ctx, r.world, x.name, x.door.Addr(), kind)
		}()
	}
}

// close ends every process, by SIGTERM first, then the stand-ins.
func (r *run) close() {
	var stopped sync.WaitGroup
	for _, x := range r.relays {
		x.mu.Lock()
		p := x.proc
		x.mu.Unlock()
		if p == nil {
			continue
		}
		stopped.Add(1)
		go func() {
			defer stopped.Done()
			x.busy.Lock()
			defer x.busy.Unlock()
			x.stop(r.failed() == nil)
		}()
	}
	stopped.Wait()
	r.stop()
	for _, x := range r.relays {
		if x.agentProc != nil {
			x.agentProc.Kill()
		}
		if t, ok := x.agent.(*tap); ok {
			t.Close()
		}
	}
	if r.group != nil {
		r.group.close()
	}
	r.wg.Wait()
	if r.group != nil {
		r.fail(r.group.effects())
		r.group.closeLinks()
	}
	for _, x := range r.relays {
		if x.door != nil {
			x.door.Close()
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
	if r.disc != nil {
		r.disc.Close()
	}
	r.served.Wait()
}
