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
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/faultlab/simrelay"
	"plovershore/internal/registry/client"
)

const (
	scaleStart     = 150 * time.Second // at most, until all relays have their list
	scaleEnd       = 20 * time.Second  // at most, until a process of hollow relays has written its result
	firstScalePort = firstPort + 100   // below are the nodes
	connectTimeout = 1500 * time.Millisecond
	hollowName     = "hollow relay"
	realName       = "real relay"
	operatedName   = "real relay with an operator address"
)

// scaleRun is a scale scenario while it runs.
type scaleRun struct {
	opts    Options
	scen    *scenario.Scenario
	dir     string
	ip      string
	port    atomic.Int64
	began   time.Time
	down    simrelay.Down
	far     *farSide
	group   *benchGroup
	members *scaleMembers
	crowd   *crowd
	roles   []*role
	agents  []*scaleAgent // that hollow relays share
	reals   []*scaleReal
	hollows []*scaleHollow
	clients []*scaleClients
	procs   []*process.Process
	meters  []*meter
	files   []*os.File
	folders []string // beside the run's own, to be removed
	judge   *scaleJudge
	report  ScaleReport
	ctx     context.Context // ends when everything is to stop
	stop    context.CancelFunc
	wg      sync.WaitGroup
	part    atomic.Value // of the run: a string
	ending  atomic.Bool  // processes are told to end
	hash    uint64       // of the service's list at the end

	mu    sync.Mutex
	err   error // the first that keeps the run from being one
	lates *hdrhistogram.Histogram
}

// runScale plays a scale scenario to its verdict; errors are as Run's.
func runScale(ctx context.Context, o Options) (*Result, error) {
	dir, err := filepath.Abs(o.Out)
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	ip, lock, err := claim()
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	raiseDescriptors()
	r := &scaleRun{opts: o, scen: o.Scenario, dir: dir, ip: ip, began: time.Now(), lates: hdrhistogram.New(1, 60_000_000, 3)}
	r.port.Store(firstScalePort)
	r.part.Store(partQuiet)
	r.ctx, r.stop = context.WithCancel(ctx)
	r.judge = newScaleJudge(dir, r.began.UnixMicro())
	c := &o.Scenario.Scale
	r.report = ScaleReport{Hollow: c.Relays, Members: c.Members, Speed: c.Speed}
	err = r.play()
	if cause := r.failed(); cause != nil {
		err = cause
	}
	r.close()
	if err != nil {
		return nil, err
	}
	return r.result()
}

// raiseDescriptors lets this process and those that it starts hold as many
// descriptors as they may.
func raiseDescriptors() {
	var most syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &most) == nil && most.Cur < most.Max {
		most.Cur = most.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &most) // without it, what runs out says so
	}
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

func (r *scaleRun) failed() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

func (r *scaleRun) late(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lates.RecordValue(min(max(1, d.Microseconds()), 60_000_000))
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
	if _, err := r.service(r.ctx); err != nil {
		return err
	}
	if !r.listed() {
		return r.ctx.Err() // judged as it is
	}
	r.playParts()
	r.settle()
	return r.readHollow()
}

// startService starts the endpoints and the list service, with all members
// registered and its plain watchers open.
func (r *scaleRun) startService(ctx context.Context) (err error) {
	c := &r.scen.Scale
	r.down = simrelay.Down{Seed: r.opts.Seed, Fraction: c.Down, For: scenario.Secs(c.DownFor), Origin: r.began.UnixMicro()}
	r.down.Prepare(c.Members)
	if r.far, err = newFarSide(r.ctx); err != nil {
		return err
	}
	r.background(func() { r.far.keepDown(r.ctx, &r.down, c.Members, r.fail) })
	log, err := r.logFile("nodes")
	if err != nil {
		return err
	}
	r.group = &benchGroup{ip: r.ip, dir: r.dir, bin: r.opts.Registry, port: firstPort, logs: log}
	if err := r.group.start(r.scen.Registry.Nodes, 0); err != nil {
		r.group.stop()
		return err
	}
	for _, p := range r.group.procs {
		r.own(p)
	}
	if r.members, err = newScaleMembers(r.scen, r.far, r.group.http, r.late); err != nil {
		return err
	}
	began := time.Now()
	r.background(func() { r.members.beat(r.ctx) })
	if err := r.members.registerAll(ctx, r.members.all(), nil); err != nil {
		return err
	}
	r.report.Register = time.Since(began).Seconds()
	r.crowd = &crowd{}
	if c.Watchers == 0 {
		return nil
	}
	r.crowd.start(r.ctx, r.group.http, c.Watchers, false)
	if err := r.crowd.opensAll(ctx, 0); err != nil {
		return fmt.Errorf("lab: %d of %d watchers of the list service opened: %w", r.crowd.opened.Load(), c.Watchers, err)
	}
	return nil
}

// startFleet starts agents and relays, once the agents have the list.
func (r *scaleRun) startFleet(ctx context.Context) error {
	c := &r.scen.Scale
	ownNodes, err := r.nodeMeters()
	if err != nil {
		return err
	}
	sharedNodes, err := r.nodeMeters()
	if err != nil {
		return err
	}
	var own []*scaleAgent
	for i := range c.Real + c.Agents {
		name, nodes := fmt.Sprintf("n%d-agent", i+1), ownNodes
		if i >= c.Real {
			name, nodes = fmt.Sprintf("shared-agent-%d", i-c.Real+1), sharedNodes
		}
		a, err := r.startAgent(name, nodes)
		if err != nil {
			return err
		}
		if i < c.Real {
			own = append(own, a)
		} else {
			r.agents = append(r.agents, a)
		}
	}
	for _, a := range append(own, r.agents...) {
		for agentMembers(ctx, a) < c.Members {
			if !model.Sleep(ctx, askEvery) {
				return fmt.Errorf("lab: %s has not %d members; see the logs in %s", a.proc.Name, c.Members, filepath.Join(r.dir, "logs"))
			}
		}
	}
	began := time.Now()
	if err := r.startRelays(own); err != nil {
		return err
	}
	r.makeRoles(own, ownNodes, sharedNodes)
	r.background(r.sampleRoles)
	r.awaitLists(ctx)
	r.report.Start = time.Since(began).Seconds()
	for _, x := range r.roles {
		x.told.StartMB = float64(x.measure().bytes) / 1e6 / float64(x.units)
	}
	return r.ctx.Err()
}

// startRelays starts the real relays and the processes of hollow ones.
func (r *scaleRun) startRelays(own []*scaleAgent) error {
	c := &r.scen.Scale
	var doors []string
	for _, a := range r.agents {
		doors = append(doors, a.door.addr())
	}
	for i, a := range own {
		x, err := r.startReal(i, a)
		if err != nil {
			return err
		}
		r.reals = append(r.reals, x)
	}
	for i, first := 0, c.Real; i < c.Processes; i++ {
		relays := c.Relays / c.Processes
		if i < c.Relays%c.Processes {
			relays++
		}
		h, err := r.startHollow(i, first, relays, doors)
		if err != nil {
			return err
		}
		r.hollows, first = append(r.hollows, h), first+relays
	}
	return nil
}

// makeRoles names who is measured.
func (r *scaleRun) makeRoles(own []*scaleAgent, ownNodes, sharedNodes []*meter) {
	c := &r.scen.Scale
	add := func(x *role) {
		if x.units > 0 {
			x.told.Parts = map[string]ScalePart{}
			r.roles = append(r.roles, x)
		}
	}
	hollows := &role{name: hollowName, units: c.Relays}
	for _, h := range r.hollows {
		hollows.procs = append(hollows.procs, h.proc)
	}
	shared := &role{name: fmt.Sprintf("agent of %d hollow relays", c.Relays/c.Agents), units: c.Agents, meters: sharedNodes}
	for _, a := range r.agents {
		hollows.meters = append(hollows.meters, a.door)
		shared.procs = append(shared.procs, a.proc)
	}
	plain, operated := &role{name: realName}, &role{name: operatedName}
	for _, x := range r.reals {
		of := plain
		if x.operator != "" {
			of = operated
		}
		of.units++
		of.procs, of.meters = append(of.procs, x.proc), append(of.meters, x.agent.door)
	}
	alone := &role{name: "agent of one relay", units: c.Real, meters: ownNodes}
	for _, a := range own {
		alone.procs = append(alone.procs, a.proc)
	}
	add(hollows)
	add(plain)
	add(operated)
	add(alone)
	add(shared)
	add(&role{name: fmt.Sprintf("list service's node, %d watchers of all", c.Watchers+c.Real+c.Agents), units: len(r.group.procs), procs: r.group.procs})
	add(&role{name: "lab", units: 1, procs: []*process.Process{{Name: "lab", PID: os.Getpid()}}})
}

// awaitLists waits until every relay has the whole list, or ctx ends.
func (r *scaleRun) awaitLists(ctx context.Context) {
	c := &r.scen.Scale
	for {
		ready := r.hollowStatus().Members[c.Members] == c.Relays
		for _, x := range r.reals {
			ready = ready && (x.operator == "" || x.members(ctx) == c.Members) && ping(x.listen)
		}
		if ready || !model.Sleep(ctx, askEvery) {
			return
		}
	}
}

// listed judges that every relay came to have the list.
func (r *scaleRun) listed() bool {
	c := &r.scen.Scale
	r.judge.judged("start")
	have := r.hollowStatus().Members
	if have[c.Members] < c.Relays {
		r.judge.broken("start", "hollow relays", fmt.Sprintf("%d of %d have a list of %d members: by members %v", have[c.Members], c.Relays, c.Members, have),
			r.began.UnixMicro(), time.Now().UnixMicro())
	}
	for _, x := range r.reals {
		r.judge.judged("start")
		if x.operator == "" {
			continue
		}
		if n := x.members(r.ctx); n != c.Members {
			r.judge.broken("start", x.name, fmt.Sprintf("has %d of %d members", n, c.Members), r.began.UnixMicro(), time.Now().UnixMicro())
		}
	}
	return r.judge.verdict.Passed()
}

// service is the whole list as the service has it.
func (r *scaleRun) service(ctx context.Context) (*discovery.List, error) {
	c, err := client.New(r.group.http, 1, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, groupReady)
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
	res := &Result{Name: r.scen.Name, Seed: r.opts.Seed, Out: r.opts.Out, Took: time.Since(r.began), Verdict: r.judge.verdict, Scale: &r.report}
	if u, err := process.Measure(os.Getpid()); err == nil {
		res.LabCPU, res.LabRSS = u.CPU, u.RSS
	}
	res.LateP99 = time.Duration(r.lates.ValueAtQuantile(99)) * time.Microsecond
	res.LateMax = time.Duration(r.lates.Max()) * time.Microsecond
	most := r.opts.Late
	if most == 0 {
		most = LateMost
	}
	if !r.opts.Keep {
		r.clean()
	}
	if late := max(res.LateP99, r.report.HollowP99); late > most {
		return res, fmt.Errorf("%w: p99 %v from due to done, hollow relays %v; %v at most", ErrLate, res.LateP99, r.report.HollowP99, most)
	}
	return res, nil
}

// clean removes all but the logs and the report.
func (r *scaleRun) clean() {
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
	for _, p := range r.procs {
		p.Kill()
	}
	r.wg.Wait()
	if r.crowd != nil {
		r.crowd.wg.Wait()
	}
	for _, m := range r.meters {
		m.close()
	}
	if r.members != nil {
		r.members.close()
	}
	if r.far != nil {
		r.far.close()
	}
	for _, f := range r.files {
		f.Close()
	}
	for _, folder := range r.folders {
		os.RemoveAll(folder)
	}
}

var errEarly = errors.New("lab: a process ended before it was told to")
