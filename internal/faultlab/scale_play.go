package faultlab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/faultlab/simrelay"
)

// playParts runs the parts one after the other, and measures each.
func (r *scaleRun) playParts() {
	c := &r.scen.Scale
	r.background(r.beat)
	changing, enough := context.WithCancel(r.ctx)
	defer enough()
	r.measured(partQuiet, scenario.Secs(c.Quiet))
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		r.fail(r.members.configure(changing, seeded(r.opts.Seed, "changes"), func() string { return r.part.Load().(string) }))
	}()
	r.measured(partControl, scenario.Secs(c.Control))
	r.load(changing)
	enough()
	<-changed
	r.members.mu.Lock()
	r.report.Changes = len(r.members.changes)
	r.members.mu.Unlock()
}

// measured lets a part go by and books what it cost.
func (r *scaleRun) measured(part string, span time.Duration) {
	r.part.Store(part)
	for _, x := range r.roles {
		x.begin()
	}
	model.Sleep(r.ctx, span)
	for _, x := range r.roles {
		x.end(part)
	}
}

// load is the part with messages, in which a zone lapses.
func (r *scaleRun) load(ctx context.Context) {
	arriving, cancel := context.WithCancel(ctx)
	r.background(func() { r.fail(r.members.lapse(r.ctx)) })
	done := make(chan struct{})
	for i, x := range r.reals {
		k := newScaleClients(r.scen, x.listen, seeded(r.opts.Seed, "clients of "+x.name), r.late)
		r.clients = append(r.clients, k)
		go func() { k.run(arriving, i); done <- struct{}{} }()
	}
	r.signal(func(h *scaleHollow) error { return h.proc.Signal(simrelay.StartTraffic) })
	before := r.hollowStatus().Counts.Accepted
	r.measured(partLoad, scenario.Secs(r.scen.Seconds))
	r.report.Rate = float64(r.hollowStatus().Counts.Accepted-before) / r.scen.Seconds
	cancel()
	r.signal(func(h *scaleHollow) error { return h.proc.Signal(simrelay.StopTraffic) })
	for range r.reals {
		<-done
	}
}

func (r *scaleRun) signal(f func(*scaleHollow) error) {
	for _, h := range r.hollows {
		if err := f(h); err != nil {
			r.fail(err)
		}
	}
}

// beat measures how late the lab itself is.
func (r *scaleRun) beat() {
	for due := time.Now().Add(beatEvery); model.Sleep(r.ctx, time.Until(due)); due = due.Add(beatEvery) {
		r.late(time.Since(due))
		if time.Since(due) > time.Second { // after a standstill: once is enough
			due = time.Now()
		}
	}
}

// sampleRoles books what memory each role holds, and ends a run that would take
// more than half of the machine's.
func (r *scaleRun) sampleRoles() {
	half := machineMemory() / 2
	for model.Sleep(r.ctx, sampleEvery) {
		all := int64(0)
		for _, x := range r.roles {
			all += x.measure().rss
		}
		if half > 0 && all > half {
			r.fail(fmt.Errorf("lab: the run takes %d MB, over half of the machine's memory: fewer relays are wanted", all>>20))
			return
		}
	}
}

// machineMemory is what the machine has; 0 where that cannot be told.
func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	var kb int64
	if n, _ := fmt.Sscanf(string(text), "MemTotal: %d kB", &kb); n != 1 {
		return 0
	}
	return kb << 10
}

// own has a process end with the run, and the run fail where it ends before it is
// told to.
func (r *scaleRun) own(p *process.Process) {
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.background(func() {
		select {
		case <-r.ctx.Done():
		case <-p.Done():
			if _, text := p.Exit(); !r.ending.Load() && r.ctx.Err() == nil {
				r.fail(fmt.Errorf("%w: %s: %s; see the logs in %s", errEarly, p.Name, text, filepath.Join(r.dir, "logs")))
			}
		}
	})
}

// settle waits until every relay has the service's list and owes nothing, and
// judges the lists as they are then.
func (r *scaleRun) settle() {
	if r.ctx.Err() != nil {
		return
	}
	began := time.Now()
	list, err := r.service(r.ctx)
	if err != nil {
		r.fail(err)
		return
	}
	hash := fmt.Sprintf("%016x", simrelay.ListHash(list.Members))
	wait, cancel := context.WithTimeout(r.ctx, scenario.Secs(r.scen.Scale.Settle))
	defer cancel()
	for {
		s := r.hollowStatus()
		ends := s.Counts.InFlight == 0 && s.Counts.Notices >= s.Counts.Returned+s.Counts.Failed
		settled := s.Hashes[hash] == r.scen.Scale.Relays && ends
		for _, x := range r.reals {
			settled = settled && (x.operator == "" || x.members(r.ctx) == len(list.Members))
		}
		if settled || !model.Sleep(wait, askEvery) {
			break
		}
	}
	r.report.Settle = time.Since(began).Seconds()
	r.hash = simrelay.ListHash(list.Members)
	for _, x := range r.reals {
		if x.operator == "" {
			continue
		}
		r.judge.judged("list")
		if n := x.members(r.ctx); n != len(list.Members) {
			r.judge.broken("list", x.name, fmt.Sprintf("has %d members, the service %d", n, len(list.Members)), 0, 0)
		}
	}
}

// readHollow ends the hollow relays, and judges and counts what they tell.
func (r *scaleRun) readHollow() error {
	if err := r.ctx.Err(); err != nil {
		return errors.Join(r.failed(), err)
	}
	r.ending.Store(true)
	r.signal(func(h *scaleHollow) error { return h.proc.Signal(simrelay.Finish) })
	ended, cancel := context.WithTimeout(r.ctx, scaleEnd)
	defer cancel()
	var relays []simrelay.RelayResult
	for _, h := range r.hollows {
		if !h.proc.Wait(ended) {
			return fmt.Errorf("lab: %s wrote no result in %v", h.proc.Name, scaleEnd)
		}
		result, err := simrelay.ReadResult(h.result)
		if err != nil {
			return err
		}
		relays = append(relays, result.Relays...)
		r.report.HollowP99 = max(r.report.HollowP99, result.LateP99)
	}
	for i := range relays {
		r.judge.list(relays[i].Name, relays[i].Hash, r.hash, relays[i].Members)
		r.judge.changes(&relays[i], r.members.changes)
		r.judge.ends(&relays[i])
	}
	r.count(relays)
	return nil
}

// count makes the figures of a run that has ended.
func (r *scaleRun) count(relays []simrelay.RelayResult) {
	for _, x := range r.roles {
		r.report.Roles = append(r.report.Roles, x.finish(r.scen.Scale.Speed))
	}
	r.report.apart(hollowName, realName)
	var control, load []scaleChange
	for _, c := range r.members.changes {
		if c.Phase == partLoad {
			load = append(load, c)
		} else {
			control = append(control, c)
		}
	}
	r.force("a change, control", relays, control)
	r.force("a change, load", relays, load)
	if r.scen.Scale.LapseAt > 0 {
		r.force(fmt.Sprintf("a zone gone (of it %.0f s to live)", r.scen.Registry.TTL), relays, r.members.gone)
		r.force("a zone back", relays, r.members.back)
	}
	all, whole := simrelay.Counts{}, 0
	for i := range relays {
		all.Add(relays[i].Counts)
		whole += relays[i].CompleteLists
	}
	r.note("hollow relays: %d messages offered, %d refused, %d taken on, %d delivered, %d handed back, %d given up, %d calls, %d notices; %d whole lists in %d relays",
		all.Offered, all.Rejected, all.Accepted, all.Delivered, all.Returned, all.Failed, all.Calls, all.Notices, whole, len(relays))
	for i, k := range r.clients {
		r.note("%s: %d messages offered, %d refused, %d taken on, %d not heard of", r.reals[i].name, k.offered.Load(), k.refused.Load(), k.taken.Load(), k.unheard.Load())
	}
	m := r.members
	if len(m.back) > 0 {
		last := slices.MaxFunc(m.back, func(a, b scaleChange) int { return cmp.Compare(a.Answered, b.Answered) })
		first := slices.MinFunc(m.back, func(a, b scaleChange) int { return cmp.Compare(a.Asked, b.Asked) })
		r.note("list service: the zone's %d members were registered again in %.1f s", len(m.back), float64(last.Answered-first.Asked)/1e6)
	}
	r.note("list service: %d changes waited for the answer to the one before, %d batches of heartbeats took over a third of a time to live", m.changesBehind, m.beatsBehind)
	r.note("endpoints of the real relays: %d messages", r.far.delivered.Load())
}

func (r *scaleRun) note(format string, args ...any) {
	r.report.Notes = append(r.report.Notes, fmt.Sprintf(format, args...))
}

// force books how long changes took until the relays had them: each in each
// relay, and each until the last relay had it.
func (r *scaleRun) force(name string, relays []simrelay.RelayResult, changes []scaleChange) {
	if len(changes) == 0 {
		return
	}
	var each, last []float64
	missing, notAll := 0, 0
	slowest, count := map[uint64]float64{}, map[uint64]int{}
	asked := map[uint64]int64{}
	for _, c := range changes {
		asked[c.Key] = c.Asked
	}
	for i := range relays {
		for _, h := range relays[i].Changes {
			at, ours := asked[h.Key]
			if !ours || h.At < at {
				continue
			}
			took := float64(h.At-at) / 1e6
			each = append(each, took)
			slowest[h.Key] = max(slowest[h.Key], took)
			count[h.Key]++
		}
	}
	for _, c := range changes {
		missing += max(0, len(relays)-count[c.Key])
		if count[c.Key] < len(relays) {
			notAll++
			continue
		}
		last = append(last, slowest[c.Key])
	}
	r.report.Force = append(r.report.Force, scaleSpread(name+", each relay", each, missing), scaleSpread(name+", the last relay", last, notAll))
}
