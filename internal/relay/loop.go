// Package relay is the real relay round package decide: clients, endpoints,
// discovery and the log on one side, the policy on the other. It decides
// nothing; the policy does.
package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"troutusher/decide"
	"troutusher/internal/backlog"
	"troutusher/internal/discovery"
	"troutusher/internal/mailbox"
	"troutusher/internal/wal"
)

// Figures of a planned end. A relay has 3.7 s from SIGTERM until it is killed.
const (
	stopListen = 1000 * time.Millisecond // new connections still come for a while
	stopUnsafe = 1200 * time.Millisecond // no unsafe call begins after this: cut short, it would be lost
	stopSends  = 2200 * time.Millisecond // no call at all
	stopCalls  = 3300 * time.Millisecond // what is out by then stays open in the log
	stopRetry  = 400                     // ms after which a client may come again, to another relay
	firstList  = 1500 * time.Millisecond // how long the start waits for discovery
	showEvery  = 250 * time.Millisecond  // gauges are this old at most
	showLeast  = decide.Time(100e3)      // and are worked out no more often than this
	goneMemory = decide.Time(600e6)      // how long an endpoint that left is remembered at least
	goneSweep  = decide.Time(60e6)       // between two looks for those: a change must not cost a walk over the list
	clockStart = decide.Time(3600e6)     // of the policy's clock: sends of an earlier process lie before it
)

// message is what the loop knows of a message from when it is handed in until
// it is over and its last call is back.
type message struct {
	num     uint32
	class   int // its place in the settings; -1 where they name it no longer
	rec     *wal.Record
	req     *request // until it is answered
	heard   bool     // its client knows that it is taken on
	logged  bool     // the log has it, or will
	over    bool     // the policy has ended it, or was told so
	away    bool     // another process of this relay holds it
	far     bool     // another process of this relay has its call out
	tries   int
	pending *batch         // a send that waits for clients to have heard
	ending  *wal.Record    // its end, likewise
	spill   *backlog.Entry // the log alone is to have it, likewise
	call    *call
	taken   time.Time   // when its request came, or when this process took it up
	due     decide.Time // its place among what may be overdue; 0 for none
}

// batch is what one step sends to one endpoint as one call. It goes out once
// the clients of all its messages have heard that these are taken on.
type batch struct {
	ep    *endpoint
	num   uint32 // of the call, as the policy has it
	sends []send
	bytes int // that its body takes up at most
}

type send struct {
	m  *message
	at decide.Time // the moment it times out
	by decide.Time // no byte of it may go out later; 0 for any time
}

func (b *batch) remove(m *message) {
	b.sends = slices.DeleteFunc(b.sends, func(s send) bool { return s.m == m })
}

// happening is something that the loop is told.
type happening struct {
	put     *request
	said    *request // with ok
	lost    *request // the log could not take it
	news    *discovery.List
	call    *call // with results, one for each of its parts
	results []outcome
	unsent  *unsent
	probed  decide.Endpoint
	result  *outcome
	ok      bool
	stop    bool
	ask     decide.EventKind // of the operators: EvDrain, EvActivate
	refused bool             // discovery turned a call away
	noticed string           // the message whose notice was taken
	unkept  *message         // taken over from the side log, but the log has no room for it
	passed  bool             // the log was passed on, with ok
	resumed *resumed         // messages that were owed at the start
	looked  bool             // put: the log was asked whether it is owed already
	loaded  *loaded          // messages that were spilled
	forgone *decide.Event    // a spilled message is over
	failed  error            // of the log, for good
}

// resumed is what the log has read of what was owed at the start.
type resumed struct {
	from *wal.Log
	recs []*wal.Record
	left int
}

// unsent is an attempt that never left.
type unsent struct {
	m  *message
	ep decide.Endpoint
}

// Relay is one running relay.
type Relay struct {
	cfg        *Config
	log        *slog.Logger
	policy     *decide.Policy
	in         *mailbox.Mailbox[happening]
	wal        *wal.Log
	spills     spills
	resuming   bool  // messages that were owed at the start are still being read
	gapUnknown bool  // how long no process ran before this one
	logOffset  int64 // µs from the policy's clock to the log's time
	failed     error // the log can keep nothing more: this process ends
	notices    *discovery.Notices
	endings    []*ending // that the log may not have yet
	began      time.Time
	lastNum    uint32
	lastEnd    decide.Endpoint
	msgs       map[uint32]*message
	ids        map[string]*message
	waiting    map[*request]*message // whose clients have no answer yet
	endpoints  map[string]*endpoint
	byNum      map[decide.Endpoint]*endpoint
	members    members
	events     []decide.Event
	actions    []decide.Action
	batches    []*batch      // of the step that is being carried out
	timers     []decide.Time // that the policy asked for, earliest first: each one comes, as it counts on
	held       int
	calls      int
	stopAt     time.Time
	idleConns  int
	pool       pool      // the connections to all endpoints
	idle       idleWatch // of all endpoints together
	owner      owner
	far        map[string]*message // whose calls another process has out
	early      []happening         // that came before the loop ran
	cl         *clients
	ready      *atomic.Bool // as readyz says
	fig        *figures
	saysNo     bool        // the policy has this process refuse clients
	shownAt    decide.Time // when the gauges were last published
	clocks     clockWatch
	overdue    overdue
	lateNow    int // messages overdue when the gauges were last published
	ctx        context.Context
}

func (r *Relay) now() decide.Time { return clockStart + time.Since(r.began).Microseconds() }

// at turns a moment of the process's into one of the policy's clock.
func (r *Relay) at(t time.Time) decide.Time { return clockStart + t.Sub(r.began).Microseconds() }

// moment turns a moment of the policy's clock into one of the process's.
func (r *Relay) moment(t decide.Time) time.Time {
	return r.began.Add(time.Duration(t-clockStart) * time.Microsecond)
}

// logTime turns a moment of the policy's clock into one of the log's time, which
// outlives the process.
func (r *Relay) logTime(t decide.Time) int64 { return t + r.logOffset }

func (r *Relay) fromLogTime(us int64) decide.Time { return us - r.logOffset }

const (
	alignWithin = decide.Time(1e3) // between two readings of the policy's clock round one of the log's
	alignTries  = 100
)

// alignLogTime fits the policy's clock to the log's. Both run with real time.
func (r *Relay) alignLogTime() {
	for range alignTries {
		before, logged := r.now(), r.wal.Time()
		r.logOffset = logged - before
		if r.now()-before < alignWithin {
			return
		}
	}
}

// Run serves until stop is closed and the end is made, or something fails that
// a relay cannot go on without. What moved gives is discovery's new address.
func Run(cfg *Config, log *slog.Logger, stop <-chan struct{}, moved <-chan string) error {
	policy, err := decide.New(cfg.Policy, cfg.Seed)
	if err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &Relay{cfg: cfg, log: log, policy: policy, in: mailbox.New[happening](), began: time.Now(), clocks: newClockWatch(), ctx: ctx,
		msgs: map[uint32]*message{}, ids: map[string]*message{}, waiting: map[*request]*message{},
		endpoints: map[string]*endpoint{}, byNum: map[decide.Endpoint]*endpoint{}}
	r.fig = newFigures(cfg.Policy.Classes)
	r.fig.waits.Store("waits for the list of endpoints")
	r.ready = &atomic.Bool{}
	if cfg.Operator != "" {
		op, err := startOperator(cfg, log, r.fig, r.ready, func(k decide.EventKind) { r.in.Put(happening{ask: k}) })
		if err != nil {
			return err
		}
		defer op.close()
	}
	_, conns := cfg.budget()
	r.idleConns = max(2, (conns-cfg.Policy.Slots)/40)
	r.pool.most = conns
	r.notices = discovery.NewNotices(cfg.Discovery, log, func(id string) { r.in.Put(happening{noticed: id}) })
	go r.notices.Run(ctx)
	disc := discovery.NewWatch(cfg.Discovery, cfg.Policy.Relays, log, func(l *discovery.List) { r.in.Put(happening{news: l}) })
	disc.Known = cfg.Known
	disc.Refused = func() { r.in.Put(happening{refused: true}) }
	go disc.Run(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case addr := <-moved:
				log.Info("discovery has moved", "to", addr)
				disc.Move(addr)
				r.notices.Move(addr)
			}
		}
	}()

	r.firstList(firstList)
	r.step() // the list alone
	r.cl = newClients(cfg, log, func(q *request) { r.in.Put(happening{put: q}) },
		func(q *request, ok bool) { r.in.Put(happening{said: q, ok: ok}) })
	r.fig.waits.Store("waits for the process that owns the log")
	if ok, err := r.ownPatiently(stop); err != nil || !ok {
		return err
	}
	defer r.owner.close()
	r.fig.waits.Store("reads what is owed")
	r.takeNews() // the wait may have been long: what drains since must not be sent to
	r.step()
	owed, ok, err := r.openLogPatiently(stop)
	if err != nil || !ok {
		return err
	}
	defer func() { r.closeLog() }()
	r.share()
	r.step()
	ln, ok, err := listenPatiently(log, stop, func() (*net.TCPListener, error) { return listen(ctx, cfg.Listen) })
	if err != nil || !ok {
		return err
	}
	defer ln.Close()
	go r.cl.serve(ln)
	for _, h := range r.early {
		r.in.Put(h)
	}
	r.early = nil
	go func() {
		<-stop
		r.in.Put(happening{stop: true})
	}()
	r.show()
	if !r.resuming {
		r.setReady()
	}
	log.Info("ready", "name", cfg.Name, "listen", ln.Addr().String(), "endpoints", len(r.endpoints), "owed", owed)
	return r.loop(ln)
}

// firstList waits a while for the whole list: the one in the configuration may
// be old, and an endpoint that drained since must not be sent to. Where
// discovery is silent, or turns calls away, the old one has to do.
func (r *Relay) firstList(most time.Duration) {
	limit := time.NewTimer(most)
	defer limit.Stop()
	if r.cfg.Known != nil {
		r.list(r.cfg.Known, decide.ListCached)
	}
	for told := false; !told; {
		select {
		case <-r.in.Ready():
			told = r.takeNews()
		case <-limit.C:
			r.log.Warn("discovery is silent: the list in the configuration is used")
			return
		}
	}
}

// takeNews takes in what discovery has said so far, and leaves all else for the
// loop. It reports whether the list is as good as it can be had now.
func (r *Relay) takeNews() (told bool) {
	for _, h := range r.in.TakeAll(nil) {
		switch {
		case h.news != nil:
			r.take(h)
			told = true
		case h.refused:
			told = told || r.cfg.Known != nil
		default:
			r.early = append(r.early, h)
		}
	}
	return told
}

// restore takes up what an earlier process left owed; that which may still be
// withdrawn stays in memory.
func (r *Relay) restore(owed []*wal.Record, stays bool) {
	for _, rec := range owed {
		m := r.newMessage(rec)
		m.heard, m.logged, m.tries = true, true, rec.Tries
		if rec.Notice != "" {
			m.over = true
			r.drop(m)
			r.notices.Put(discovery.Notice{Message: rec.ID, Outcome: rec.Notice, RetryMS: rec.RetryMS})
			continue
		}
		if rec.Lost { // damage took it: whoever handed it in is told
			m.over = true
			r.drop(m)
			r.end(m, discovery.GivenUp, 0)
			r.log.Error("lost", "message", rec.ID)
			continue
		}
		if m.class < 0 { // the settings have changed: nothing is promised of its effect
			m.over = true
			r.drop(m)
			r.end(m, discovery.GivenUp, 0)
			continue
		}
		e := r.owedEvent(m)
		e.Kept, e.Stays = true, stays
		if r.gapUnknown && rec.Doubt != 0 {
			e.DoubtAt = 1 // nobody knows how long ago: its window counts as over
		}
		if rec.Out != 0 {
			m.far, r.far[rec.ID] = true, m
			e.Out, e.OutAt = r.number(rec.OutTo), r.fromLogTime(rec.Out)
		}
		r.events = append(r.events, e)
		r.log.Info("resumed", "message", rec.ID, "class", rec.Class, "tries", rec.Tries,
			"may_have_run", rec.Doubt != 0, "left", time.Duration(e.Left)*time.Microsecond)
	}
}

// owedEvent tells the policy of a message that the log has had for a while, with
// its state.
func (r *Relay) owedEvent(m *message) decide.Event {
	rec := m.rec
	e := decide.Event{Kind: decide.EvMessage, Message: m.num, Class: m.class, Dest: rec.Dest, Tenant: -1,
		Left: r.fromLogTime(rec.Deadline) - r.now(), Tries: rec.Tries, DoubtIn: rec.DoubtIn}
	if t, ok := r.cfg.tenants[rec.Tenant]; ok {
		e.Tenant = t
	}
	if rec.Doubt != 0 {
		e.DoubtAt = max(r.fromLogTime(rec.Doubt), 1)
	}
	m.due = r.overdue.add(r.now() + e.Left)
	return e
}

// resumeMost is how many messages are read at a time of those that were owed at
// the start: clients are served in between.
const resumeMost = 2000

// resumeNext has the log read more of what was owed at the start.
func (r *Relay) resumeNext() {
	w := r.wal
	w.Do(func() {
		recs := w.Next(resumeMost)
		r.in.Put(happening{resumed: &resumed{w, recs, w.Owed()}})
	})
}

// resume takes up what the log has read.
func (r *Relay) resume(x *resumed) {
	if x.from != r.wal || r.owner.passed {
		return // of a log that was passed on
	}
	r.restore(x.recs, false)
	if x.left < 0 { // one that a client asked for ahead of its turn
		return
	}
	r.fig.unread.Store(int64(x.left))
	if x.left > 0 {
		r.resumeNext()
		return
	}
	r.resuming = false
	if !r.saysNo {
		r.setReady()
	}
}

// lookUp asks the log whether a message that is handed in is owed already, but
// was not read yet since the start, or is spilled. It is admitted once that is
// known.
func (r *Relay) lookUp(q *request) {
	w := r.wal
	w.Do(func() {
		if rec := w.Fetch(q.rec.ID); rec != nil {
			r.in.Put(happening{resumed: &resumed{w, []*wal.Record{rec}, -1}})
		}
		q.owed = w.Owes(q.rec.ID)
		r.in.Put(happening{put: q, looked: true})
	})
}

// logFailed ends this process: what it took on is kept, but no more can be.
func (r *Relay) logFailed(err error) {
	r.log.Error("the log can keep nothing more: ending", "err", err)
	if r.failed == nil {
		r.failed = err
		r.ready.Store(false)
		r.in.Put(happening{stop: true})
	}
}

func (r *Relay) setReady() {
	r.fig.waits.Store("")
	r.ready.Store(true)
}

// unsafe reports whether a message may not have its effect twice.
func (r *Relay) unsafe(rec *wal.Record) bool {
	i, ok := r.cfg.classes[rec.Class]
	return ok && r.cfg.Policy.Classes[i].Repeat == decide.Unsafe
}

// number gives the policy's number of an endpoint by its id, listed or not.
func (r *Relay) number(id string) decide.Endpoint {
	if ep := r.endpoints[id]; ep != nil {
		return ep.num
	}
	r.lastEnd++
	return r.lastEnd
}

func (r *Relay) newMessage(rec *wal.Record) *message {
	r.lastNum++
	m := &message{num: r.lastNum, rec: rec, class: place(r.cfg.classes, rec.Class), taken: time.Now()}
	r.msgs[m.num], r.ids[rec.ID] = m, m
	r.held++
	return m
}

// loop is the one goroutine that the policy belongs to: it drains what has
// happened, steps the policy, and carries out what it says.
func (r *Relay) loop(ln *net.TCPListener) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	listening := true
	var got []happening
	for {
		wait := time.Hour
		if len(r.timers) > 0 {
			wait = time.Duration(r.timers[0]-r.now()+1) * time.Microsecond
		}
		if !r.stopAt.IsZero() {
			wait = min(wait, 20*time.Millisecond)
		}
		if r.cfg.Operator != "" { // what is avoided changes by time alone, too
			wait = min(wait, showEvery)
		}
		wait = min(wait, r.owner.every(), r.spills.wait(r.now()))
		timer.Reset(max(wait, 0))
		select {
		case <-r.in.Ready():
		case <-timer.C:
		}
		got = r.in.TakeAll(got)
		r.watchClock()
		if r.owner.side != nil { // after the mailbox: what was taken on there before is known here
			r.follow()
		}
		for i := range got {
			if got[i].stop && r.stopAt.IsZero() {
				r.stopAt = time.Now()
				r.log.Info("stopping", "held", r.held, "calls", r.calls)
				if r.owner.passed { // the next process has the address, too
					listening = false
					r.cl.stopListening(ln)
				}
				r.cl.closeIdle()
			}
			r.take(got[i])
		}
		if r.owner.passed { // nothing is decided here any more
			r.events, r.timers = nil, nil
		}
		r.ring()
		if len(r.events) > 0 {
			r.step()
		}
		r.load()
		r.sweepEndings()
		if r.cfg.Operator != "" && r.now()-r.shownAt >= showLeast {
			r.show()
		}
		if err := r.lookRound(); err != nil {
			return err
		}
		if r.stopAt.IsZero() {
			continue
		}
		gone := time.Since(r.stopAt)
		if listening && gone >= stopListen {
			listening = false
			r.cl.stopListening(ln)
		}
		// An end with a connection open would reset it, with the answer on it.
		idle := len(r.waiting) == 0 && r.calls == 0 && (r.held == 0 || gone >= stopSends) && r.cl.count() == 0
		if !listening && idle || gone >= stopCalls {
			r.log.Info("stopped", "held", r.held, "calls", r.calls)
			return r.failed
		}
	}
}

// ring tells the policy of the timers that have come.
func (r *Relay) ring() {
	n, now := 0, r.now()
	for n < len(r.timers) && r.timers[n] <= now {
		n++
	}
	if n > 0 {
		r.timers = slices.Delete(r.timers, 0, n)
		r.events = append(r.events, decide.Event{Kind: decide.EvTimer})
	}
}

// shelve reports whether a call of a message is no longer begun, since the
// process will not be there for its end. The policy goes on to hold it to be
// out; the next process takes the message up from the log.
func (r *Relay) shelve(m *message) bool {
	if r.stopAt.IsZero() {
		return false
	}
	last := stopSends
	if r.unsafe(m.rec) {
		last = stopUnsafe
	}
	return time.Since(r.stopAt) >= last
}

// take books one happening and says it in the policy's words.
func (r *Relay) take(h happening) {
	switch {
	case h.put != nil && (r.resuming || r.spills.count() > 0) && !h.looked && !r.owner.passed && r.ids[h.put.rec.ID] == nil:
		r.lookUp(h.put)
	case h.put != nil:
		r.admit(h.put)
	case h.resumed != nil:
		r.resume(h.resumed)
	case h.loaded != nil:
		r.back(h.loaded)
	case h.forgone != nil:
		r.events = append(r.events, *h.forgone)
	case h.failed != nil:
		r.logFailed(h.failed)
	case h.said != nil:
		r.said(h.said, h.ok)
	case h.lost != nil:
		r.lost(h.lost)
	case h.noticed != "":
		r.wal.Submit(&wal.Record{Kind: wal.End, ID: h.noticed}, nil)
	case h.unkept != nil:
		r.unkept(h.unkept)
	case h.passed:
		r.hasPassed(h.ok)
	case h.news != nil:
		kind := decide.ListChange
		if h.news.Complete {
			kind = decide.ListFull
		}
		r.list(h.news, kind)
	case h.unsent != nil && r.owner.passed: // the next process has it
	case h.unsent != nil:
		m := h.unsent.m
		r.attempted(m, r.byNum[h.unsent.ep], m.tries-1, &outcome{what: decide.NotSent, unsaved: true})
	case h.call != nil:
		r.finished(h.call, h.results)
	case h.ask != 0 && r.stopAt.IsZero(): // a relay that ends is not taken into service again
		r.log.Info("asked by the operators", "drain", h.ask == decide.EvDrain)
		r.events = append(r.events, decide.Event{Kind: h.ask})
	case h.probed != 0:
		r.events = append(r.events, decide.Event{Kind: decide.EvProbed, Endpoint: h.probed,
			Outcome: h.result.what, Took: h.result.took, Load: h.result.load})
	}
}

// admit shows a message to the policy. Whether it is taken on shows in the
// step: what the policy ends there is refused with no further ado.
func (r *Relay) admit(q *request) {
	end := r.at(q.at.Add(q.left))
	q.rec.Deadline = r.logTime(end)
	switch old := r.ids[q.rec.ID]; {
	case r.owner.passed && old == nil && !q.owed:
		r.takeOnFor(q)
		return
	case !r.stopAt.IsZero() && !r.owner.passed:
		r.turnAway(q, stopRetry, refusedStopping)
		return
	case old != nil && old.heard, old == nil && q.owed: // it is ours already
		q.answer(replyOK)
		return
	case old != nil:
		r.refused(q, refusedTwice)
		q.answer(fault(errors.New("id is being handed in already")))
		return
	case r.cfg.Policy.MaxHeld > 0 && r.held >= r.cfg.Policy.MaxHeld:
		r.turnAway(q, 0, refusedFull)
		return
	}
	m := r.newMessage(q.rec)
	m.req, m.taken = q, q.at
	m.due = r.overdue.add(end)
	r.waiting[q] = m
	r.events = append(r.events, decide.Event{Kind: decide.EvMessage, Message: m.num, Class: q.class,
		Dest: q.rec.Dest, Tenant: q.tenant, Left: end - r.now()})
}

// said: the client has its answer, or left before it.
func (r *Relay) said(q *request, ok bool) {
	m := r.waiting[q]
	if m == nil {
		return
	}
	delete(r.waiting, q)
	if !ok {
		r.withdraw(m)
		return
	}
	m.heard = true
	if b := m.pending; b != nil {
		r.launch(b)
	}
	if e := m.ending; e != nil {
		m.ending = nil
		r.end(m, e.Notice, e.RetryMS)
	}
	r.letGo(m)
}

// lost: the log has no room for the message, so it is not taken on.
func (r *Relay) lost(q *request) {
	if m := r.waiting[q]; m != nil {
		delete(r.waiting, q)
		r.withdraw(m)
	}
	r.turnAway(q, 0, refusedLog)
}

// turnAway refuses what was never taken on.
func (r *Relay) turnAway(q *request, ms int64, why refusal) {
	r.refused(q, why)
	r.fig.ended(q.class, discovery.HandedBack)
	q.answer(busy(ms))
}

// refused logs and counts why a request was not taken on.
func (r *Relay) refused(q *request, why refusal) {
	r.fig.refused[why].Add(1)
	r.log.Debug("refused", "message", q.rec.ID, "class", q.rec.Class, "dest", q.rec.Dest, "why", why, "left_ms", q.left.Milliseconds(), "held", r.held)
}

// withdraw: nobody wants the message any more, and nobody was told it is ours.
func (r *Relay) withdraw(m *message) {
	r.log.Debug("withdrawn", "message", m.rec.ID, "class", m.rec.Class, "dest", m.rec.Dest)
	if m.logged {
		r.wal.Submit(&wal.Record{Kind: wal.End, ID: m.rec.ID}, nil)
	}
	m.ending = nil
	if !m.over {
		m.over = true
		r.drop(m)
		r.events = append(r.events, decide.Event{Kind: decide.EvWithdraw, Message: m.num, Spilled: m.spill != nil, Dest: m.rec.Dest})
	}
	r.takeBack(m)
}

// takeBack lets a message out of the batch that it waits in.
func (r *Relay) takeBack(m *message) {
	b := m.pending
	if b == nil {
		return
	}
	m.pending = nil
	b.remove(m)
	r.notSent(m, b.ep)
	r.launch(b) // it may have been the last one waited for
}

// drop: the policy holds the message no longer.
func (r *Relay) drop(m *message) {
	if !m.away {
		r.held--
	}
	r.forgetDue(m)
	delete(r.ids, m.rec.ID)
	if m.call == nil && m.pending == nil && !m.far {
		delete(r.msgs, m.num)
	}
}

// forgetDue takes a message out of the count of what may be overdue.
func (r *Relay) forgetDue(m *message) {
	r.overdue.remove(m.due)
	m.due = 0
}

// list books news of the list.
func (r *Relay) list(l *discovery.List, kind decide.ListNews) {
	e := decide.Event{Kind: decide.EvList, List: kind}
	seen := map[string]bool{}
	for i := range l.Members {
		x := &l.Members[i]
		if x.Check() != nil {
			continue // in the configuration's list; discovery's is checked already
		}
		seen[x.ID] = true
		e.Entries = append(e.Entries, r.member(x))
	}
	if kind != decide.ListChange {
		for id, ep := range r.endpoints {
			if !seen[id] {
				r.setListed(ep, false)
				r.leave(ep)
			}
		}
	}
	r.events = append(r.events, e)
	r.forgetGone()
}

func (r *Relay) member(x *discovery.Member) decide.Entry {
	ep := r.endpoints[x.ID]
	if ep == nil {
		r.lastEnd++
		ep = &endpoint{id: x.ID, num: r.lastEnd, calls: map[*call]bool{}}
		r.endpoints[x.ID], r.byNum[ep.num] = ep, ep
	}
	if x.Phase != discovery.Removed && (ep.hostPort != x.HostPort || ep.cell != x.Cell) {
		// It moved under its old name: nothing more goes to the old place.
		r.leave(ep)
		ep.conns = newConns(r.cfg, r.idleConns, keepIdle(&r.cfg.Policy))
		ep.hostPort = x.HostPort
		r.setCell(ep, x.Cell)
	}
	r.setListed(ep, x.Phase != discovery.Removed)
	r.doubt(ep)
	entry := decide.Entry{Endpoint: ep.num, Zone: place(r.cfg.zones, x.Locality), Kind: place(r.cfg.kinds, x.Flavor),
		Dest: x.Cell, State: decide.Ready, Rate: x.Size}
	ep.zone, ep.batch = entry.Zone, 1
	if entry.Kind >= 0 {
		ep.batch = max(r.cfg.Policy.Kinds[entry.Kind].Batch, 1)
	}
	defer func() { ep.entry = entry }()
	switch x.Phase {
	case discovery.Up:
		ep.gone = false
	case discovery.Draining:
		entry.State = decide.Draining
		r.leave(ep)
	case discovery.Removed:
		entry.State, entry.Dest = decide.Gone, ep.cell
		r.leave(ep)
	}
	return entry
}

// leave lets nothing new go to an endpoint; a call that still waits for a
// connection there would begin it too late.
func (r *Relay) leave(ep *endpoint) {
	if !ep.gone {
		ep.gone, ep.goneAt = true, r.now()
	}
	for c := range ep.calls {
		c.holdBack(errDrained)
	}
	if ep.conns != nil {
		ep.conns.CloseIdleConnections()
	}
}

// toldWait lets nothing new go to an endpoint, and to those that share its
// limit, before a wait is over. The policy begins no call in that time, but one
// that it began before may still wait for its connection or its clients.
func (r *Relay) toldWait(ep *endpoint, wait decide.Time) {
	kinds, kind := r.cfg.Policy.Kinds, ep.entry.Kind
	sharing := r.members.byCell[ep.cell]
	if kind >= 0 && kind < len(kinds) && kinds[kind].Apart {
		sharing = []*endpoint{ep}
	}
	for _, x := range sharing {
		x.waitOver = max(x.waitOver, r.now()+wait)
		for c := range x.calls {
			c.holdBack(errToldWait)
		}
	}
}

// show publishes the gauges.
func (r *Relay) show() {
	r.shownAt = r.now()
	r.fig.members.Store(int64(r.members.listed))
	r.fig.unavailable.Store(int64(r.avoided(r.shownAt)))
	r.fig.pending.Store(int64(r.held - len(r.far))) // those are the other process's until their calls are over
	r.fig.logWaits.Store(r.wal.Waiting())
	r.showOverdue()
}

// showOverdue publishes how many messages are held past their time, and logs where
// there are some for the first time or none any more.
func (r *Relay) showOverdue() {
	n := r.overdue.count(r.shownAt)
	if (n > 0) != (r.lateNow > 0) {
		r.log.Warn("messages are held past their time", "count", n, "held", r.held)
	}
	r.lateNow = n
	r.fig.overdue.Store(int64(n))
}

func place(at map[string]int, name string) int {
	if i, ok := at[name]; ok {
		return i
	}
	return -1
}

// step lets the policy decide on what has happened, and acts.
func (r *Relay) step() {
	events := r.events
	r.events = nil
	fresh := make([]*message, 0, len(events))
	for i := range events {
		if events[i].Kind == decide.EvMessage {
			if m := r.msgs[events[i].Message]; m != nil && m.req != nil {
				fresh = append(fresh, m)
			}
		}
	}
	now := r.now()
	r.actions = r.policy.Step(now, events, r.actions[:0])
	// First the ends, so that what was never taken on is not logged; then the
	// log, so that no send comes before it.
	for i := range r.actions {
		switch a := &r.actions[i]; a.Kind {
		case decide.ActRefuse:
			r.ended(a, discovery.HandedBack)
		case decide.ActFail:
			r.ended(a, discovery.GivenUp)
		}
	}
	for _, m := range fresh {
		if m.req != nil && !m.over {
			r.takeOn(m)
		}
	}
	for i := range r.actions {
		r.act(now, &r.actions[i])
	}
	batches := r.batches
	r.batches = nil
	for _, b := range batches {
		r.launch(b)
	}
}

// takeOn logs a message; its client hears of it once that is done.
func (r *Relay) takeOn(m *message) {
	q := m.req
	m.req, m.logged = nil, true
	r.log.Debug("taken on", "message", m.rec.ID, "class", m.rec.Class, "dest", m.rec.Dest, "left_ms", (r.fromLogTime(m.rec.Deadline)-r.now())/1000)
	r.wal.Submit(m.rec, func(err error) {
		if err != nil {
			r.in.Put(happening{lost: q})
			return
		}
		q.answer(replyOK)
	})
}

// ended carries out a final answer.
func (r *Relay) ended(a *decide.Action, word string) {
	m := r.msgs[a.Message]
	if m == nil || m.over {
		return
	}
	m.over = true
	r.fig.ended(m.class, word)
	ms := (a.After + 999) / 1000
	if q := m.req; q != nil { // not taken on: the client hears it at once
		m.req = nil
		delete(r.waiting, q)
		if word == discovery.HandedBack {
			r.refused(q, refusedPolicy)
			q.answer(busy(ms))
		} else {
			r.refused(q, refusedHopeless)
			q.answer(fault(errors.New("given up")))
		}
		r.drop(m)
		return
	}
	r.drop(m)
	r.log.Info("ended", "message", m.rec.ID, "class", m.rec.Class, "dest", m.rec.Dest, "outcome", word, "tries", m.tries,
		"left_ms", (r.fromLogTime(m.rec.Deadline)-r.now())/1000, "age_ms", time.Since(m.taken).Milliseconds())
	if !m.heard {
		m.ending = &wal.Record{Notice: word, RetryMS: ms}
		return
	}
	r.end(m, word, ms)
}

// act carries out what is no final answer.
func (r *Relay) act(now decide.Time, a *decide.Action) {
	switch a.Kind {
	case decide.ActSend:
		if m := r.msgs[a.Message]; m != nil {
			m.tries++
			r.gather(m, a)
		}
	case decide.ActCancel:
		if m := r.msgs[a.Message]; m != nil && a.Attempt == m.tries-1 {
			if m.call != nil {
				m.call.drop(m)
			} else {
				r.takeBack(m)
			}
		}
	case decide.ActTimer:
		if at, set := slices.BinarySearch(r.timers, now+a.After); !set {
			r.timers = slices.Insert(r.timers, at, now+a.After)
		}
	case decide.ActProbe:
		if ep := r.byNum[a.Endpoint]; ep != nil && !ep.gone {
			conns, addr := ep.conns, ep.hostPort
			go func() {
				o := probe(r.ctx, conns, addr)
				r.in.Put(happening{probed: a.Endpoint, result: &o})
			}()
		}
	case decide.ActClose:
		if ep := r.byNum[a.Endpoint]; ep != nil && ep.conns != nil {
			ep.conns.CloseIdleConnections()
		}
	case decide.ActSayNo:
		r.saysNo = true
		r.ready.Store(false)
		r.cl.refuse(true)
	case decide.ActRelease:
		r.cl.closeIdle()
	case decide.ActSayYes:
		r.cl.refuse(false)
		r.saysNo = false
		if !r.resuming {
			r.setReady()
		}
	case decide.ActSpill:
		r.spill(a)
	case decide.ActLoad:
		r.ask(a)
	case decide.ActLog:
		r.log.Info("policy", "says", a.Text)
	}
}

// notSent tells the policy of an attempt that never left. The loop comes by
// again for it.
func (r *Relay) notSent(m *message, ep *endpoint) {
	u := &unsent{m: m}
	if ep != nil {
		u.ep = ep.num
	}
	r.in.Put(happening{unsent: u})
}

// gather puts a send with those that the policy makes in the same call, as many
// as a call there may carry. Two calls of one step stay two: each has an end of
// its own, and the messages of one must not wait for those of the other.
func (r *Relay) gather(m *message, a *decide.Action) {
	ep := r.byNum[a.Endpoint]
	if ep == nil {
		r.notSent(m, nil)
		return
	}
	size := framed(m.rec)
	for _, b := range r.batches {
		if b.ep == ep && b.num == a.Call && len(b.sends) < ep.batch && b.bytes+size <= bodyMost {
			b.sends, b.bytes = append(b.sends, send{m, a.At, a.By}), b.bytes+size
			m.pending = b
			return
		}
	}
	b := &batch{ep: ep, num: a.Call, sends: []send{{m, a.At, a.By}}, bytes: size}
	m.pending = b
	r.batches = append(r.batches, b)
}

// launch logs the attempts of a batch and then makes its call, unless a client
// has yet to hear of its message: what was not taken on must not go out.
func (r *Relay) launch(b *batch) {
	for _, s := range b.sends {
		if !s.m.heard {
			return
		}
	}
	ep, now := b.ep, r.now()
	ctx, stop := context.WithCancelCause(r.ctx)
	keep := keepIdle(&r.cfg.Policy)
	ep.reuse(r.cfg, r.idleConns, min(ep.idle.limit(keep, now), r.idle.limit(keep, now)))
	c := &call{ep: ep, conns: ep.conns, ctx: ctx, stop: stop}
	limit := decide.Time(0)
	for _, s := range slices.Clone(b.sends) {
		m := s.m
		if r.shelve(m) {
			continue // it stays pending
		}
		m.pending = nil
		b.remove(m)
		if ep.gone || ep.cell != m.rec.Dest || ep.waitOver > now || s.at <= now || s.by != 0 && s.by <= now || m.over {
			r.notSent(m, ep)
			continue
		}
		c.parts = append(c.parts, part{m: m, attempt: m.tries - 1})
		if by := r.moment(s.by); s.by != 0 && (c.by.IsZero() || by.Before(c.by)) {
			c.by = by
		}
		limit = max(limit, s.at-now) // one connection: it stands until the last of them gives up
		m.call = c
	}
	if len(c.parts) == 0 {
		stop(nil)
		return
	}
	ep.calls[c] = true
	r.calls++
	r.pool.use(ep)
	r.sendOff(c, time.Duration(limit)*time.Microsecond)
}

// sendOff has the attempts of a call logged. On the log's goroutine, once the
// last of them is, the call is begun with those that could be.
func (r *Relay) sendOff(c *call, limit time.Duration) {
	addr, at := c.ep.hostPort, r.logTime(r.now())
	results := make([]outcome, len(c.parts))
	var recs []*wal.Record // what could be logged, and so goes out
	var place []int        // its place in the call
	begin := func() {
		if len(recs) > 0 {
			c.wrote = func() {
				for _, i := range place {
					r.fig.written(c.parts[i].m.class)
				}
			}
			for i, o := range c.run(c.conns, addr, recs, limit, r.cfg.loads) {
				results[place[i]] = o
			}
		}
		c.stop(nil)
		r.in.Put(happening{call: c, results: results})
	}
	last := len(c.parts) - 1
	for i := range c.parts {
		rec := c.parts[i].m.rec
		r.wal.Submit(&wal.Record{Kind: wal.Attempt, ID: rec.ID, At: at, Zone: c.ep.zone, To: c.ep.id, By: r.owner.by, Sync: r.unsafe(rec)}, func(err error) {
			if err != nil {
				results[i] = outcome{what: decide.NotSent, err: err, unsaved: true, unmade: true}
			} else {
				recs, place = append(recs, rec), append(place, i)
			}
			if i == last {
				go begin()
			}
		})
	}
}

// finished books the end of a call.
func (r *Relay) finished(c *call, results []outcome) {
	delete(c.ep.calls, c)
	r.calls--
	if c.stale {
		return
	}
	o, now := &results[0], r.now()
	if reset := o.what == decide.Reset; reset || o.status != 0 {
		c.ep.idle.book(o.idle, reset, now)
		r.idle.book(o.idle, reset, now)
	}
	if o.wait > 0 {
		r.toldWait(c.ep, o.wait)
	}
	if c.ep.suspect(o, now) {
		c.ep.conns.CloseIdleConnections()
	}
	if c.conns != c.ep.conns { // replaced meanwhile: its connection is of no more use
		c.conns.CloseIdleConnections()
	}
	for i := range c.parts {
		p := &c.parts[i]
		p.m.call = nil
		r.attempted(p.m, c.ep, p.attempt, &results[i])
	}
}

// attempted books the end of an attempt.
func (r *Relay) attempted(m *message, ep *endpoint, attempt int, o *outcome) {
	e := decide.Event{Kind: decide.EvOutcome, Message: m.num, Attempt: attempt, Outcome: o.what, Wait: o.wait,
		Slots: o.slots, Unmade: o.unmade, Settled: o.settled || m.over, Took: o.took, Load: o.load, Fresh: o.fresh}
	if ep != nil {
		e.Endpoint = ep.num
	}
	if o.unmade {
		m.tries--
		r.fig.unmade.Add(1)
	}
	if o.what != decide.Delivered || o.wait > 0 {
		r.doubtCell(m.rec.Dest)
	}
	r.events = append(r.events, e)
	if o.what != decide.Delivered {
		r.log.Info("attempt", "message", m.rec.ID, "dest", m.rec.Dest, "class", m.rec.Class, "endpoint", e.Endpoint,
			"attempt", attempt, "outcome", int(o.what), "status", o.status, "took_ms", o.took/1000,
			"idle_ms", o.idle.Milliseconds(), "age_ms", time.Since(m.taken).Milliseconds(), "err", o.err)
	}
	rec := &wal.Record{Kind: wal.Outcome, ID: m.rec.ID, Ran: !o.what.NeverRan(), Unmade: o.unmade}
	if o.settled {
		rec.Kind = wal.End
	}
	if r.owner.passed { // the policy that is to know is another's
		rec.What, rec.Took, rec.Slots = uint8(o.what), o.took, o.slots
		if o.wait > 0 {
			rec.Wait = r.logTime(r.now() + o.wait)
		}
	}
	if !o.unsaved {
		r.wal.Submit(rec, nil)
	}
	if o.settled && !m.over {
		if o.what == decide.Delivered {
			r.fig.delivered(m.class)
		}
		m.over = true
		r.drop(m)
		return
	}
	if m.over {
		delete(r.msgs, m.num)
	} else if r.owner.passed && !m.away {
		m.away = true
		r.held--
		r.forgetDue(m)
	}
}
