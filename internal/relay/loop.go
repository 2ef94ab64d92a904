// Package relay is the real relay round package decide: clients, endpoints,
// discovery and the log on one side, the policy on the other. It decides
// nothing; the policy does.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"plovershore/internal/backlog"
	"plovershore/internal/discovery"
	"plovershore/internal/mailbox"
	"plovershore/internal/wal"
	"plovershore/policy"
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
	showLeast  = policy.Time(100e3)      // and are worked out no more often than this
	goneMemory = policy.Time(600e6)      // how long an endpoint that left is remembered at least
	goneSweep  = policy.Time(60e6)       // between two looks for those: a change must not cost a walk over the list
	clockStart = policy.Time(3600e6)     // of the policy's clock: sends of an earlier process lie before it
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
	due     policy.Time // its place among what may be overdue; 0 for none
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
	at policy.Time // the moment it times out
	by policy.Time // no byte of it may go out later; 0 for any time
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
	probed  policy.Endpoint
	result  *outcome
	ok      bool
	stop    bool
	ask     policy.EventKind // of the operators: EvDrain, EvActivate
	refused bool             // discovery turned a call away
	noticed string           // the message whose notice was taken
	unkept  *message         // taken over from the side log, but the log has no room for it
	passed  bool             // the log was passed on, with ok
	resumed *resumed         // messages that were owed at the start
	looked  bool             // put: the log was asked whether it is owed already
	loaded  *loaded          // messages that were spilled
	forgone *policy.Event    // a spilled message is over
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
	ep policy.Endpoint
}

// Relay is one running relay.
type Relay struct {
	cfg        *Config
	log        *slog.Logger
	policy     *policy.Policy
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
	lastEnd    policy.Endpoint
	msgs       map[uint32]*message
	ids        map[string]*message
	waiting    map[*request]*message // whose clients have no answer yet
	endpoints  map[string]*endpoint
	byNum      map[policy.Endpoint]*endpoint
	members    members
	events     []policy.Event
	actions    []policy.Action
	batches    []*batch      // of the step that is being carried out
	timers     []policy.Time // that the policy asked for, earliest first: each one comes, as it counts on
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
	shownAt    policy.Time // when the gauges were last published
	clocks     clockWatch
	overdue    overdue
	lateNow    int // messages overdue when the gauges were last published
	ctx        context.Context
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
		r.events = append(r.events, policy.Event{Kind: policy.EventTimer})
	}
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
		r.wal.Submit(&wal.Record{Kind: wal.KindCompleted, ID: h.noticed}, nil)
	case h.unkept != nil:
		r.unkept(h.unkept)
	case h.passed:
		r.hasPassed(h.ok)
	case h.news != nil:
		kind := policy.ListDelta
		if h.news.Complete {
			kind = policy.ListFull
		}
		r.list(h.news, kind)
	case h.unsent != nil && r.owner.passed: // the next process has it
	case h.unsent != nil:
		m := h.unsent.m
		r.attempted(m, r.byNum[h.unsent.ep], m.tries-1, &outcome{what: policy.NotSent, unsaved: true})
	case h.call != nil:
		r.finished(h.call, h.results)
	case h.ask != 0 && r.stopAt.IsZero(): // a relay that ends is not taken into service again
		r.log.Info("asked by the operators", "drain", h.ask == policy.EventDrain)
		r.events = append(r.events, policy.Event{Kind: h.ask})
	case h.probed != 0:
		r.events = append(r.events, policy.Event{Kind: policy.EventHealthChecked, Endpoint: h.probed,
			Outcome: h.result.what, Latency: h.result.took, Load: h.result.load})
	}
}

// show publishes the gauges.
func (r *Relay) show() {
	r.shownAt = r.now()
	r.fig.members.Store(int64(r.members.listed))
	r.fig.unavailable.Store(int64(r.avoided(r.shownAt)))
	r.fig.pending.Store(int64(r.held - len(r.far))) // those are the other process's until their calls are over
	r.fig.logWaits.Store(r.wal.UnwrittenRecords())
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

// step lets the policy decide on what has happened, and acts.
func (r *Relay) step() {
	events := r.events
	r.events = nil
	fresh := make([]*message, 0, len(events))
	for i := range events {
		if events[i].Kind == policy.EventMessage {
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
		case policy.ActionReject:
			r.ended(a, discovery.Returned)
		case policy.ActionFail:
			r.ended(a, discovery.Failed)
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

// ended carries out a final answer.
func (r *Relay) ended(a *policy.Action, word string) {
	m := r.msgs[a.Message]
	if m == nil || m.over {
		return
	}
	m.over = true
	r.fig.ended(m.class, word)
	ms := (a.Delay + 999) / 1000
	if q := m.req; q != nil { // not taken on: the client hears it at once
		m.req = nil
		delete(r.waiting, q)
		if word == discovery.Returned {
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
func (r *Relay) act(now policy.Time, a *policy.Action) {
	switch a.Kind {
	case policy.ActionSend:
		if m := r.msgs[a.Message]; m != nil {
			m.tries++
			r.gather(m, a)
		}
	case policy.ActionCancel:
		if m := r.msgs[a.Message]; m != nil && a.Attempt == m.tries-1 {
			if m.call != nil {
				m.call.drop(m)
			} else {
				r.takeBack(m)
			}
		}
	case policy.ActionTimer:
		if at, set := slices.BinarySearch(r.timers, now+a.Delay); !set {
			r.timers = slices.Insert(r.timers, at, now+a.Delay)
		}
	case policy.ActionHealthCheck:
		if ep := r.byNum[a.Endpoint]; ep != nil && !ep.gone {
			conns, addr := ep.conns, ep.hostPort
			go func() {
				o := probe(r.ctx, conns, addr)
				r.in.Put(happening{probed: a.Endpoint, result: &o})
			}()
		}
	case policy.ActionCloseIdle:
		if ep := r.byNum[a.Endpoint]; ep != nil && ep.conns != nil {
			ep.conns.CloseIdleConnections()
		}
	case policy.ActionStopAccepting:
		r.saysNo = true
		r.ready.Store(false)
		r.cl.refuse(true)
	case policy.ActionReleaseClients:
		r.cl.closeIdle()
	case policy.ActionAcceptClients:
		r.cl.refuse(false)
		r.saysNo = false
		if !r.resuming {
			r.setReady()
		}
	case policy.ActionSpill:
		r.spill(a)
	case policy.ActionLoad:
		r.ask(a)
	case policy.ActionLog:
		r.log.Info("policy", "says", a.Text)
	}
}
