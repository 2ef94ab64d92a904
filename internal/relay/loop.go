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
	closeListenerAfter           = 1000 * time.Millisecond // new connections still come for a while
	stopUnsafeCallsAfter         = 1200 * time.Millisecond // no unsafe call begins after this: cut short, it would be lost
	stopCallsAfter               = 2200 * time.Millisecond // no call at all
	abandonCallsAfter            = 3300 * time.Millisecond // what is out by then stays open in the log
	shutdownRetryMS              = 400                     // ms after which a client may come again, to another relay
	firstListTimeout             = 1500 * time.Millisecond // how long the start waits for discovery
	metricsMaxAge                = 250 * time.Millisecond  // gauges are this old at most
	metricsMinInterval           = policy.Time(100e3)      // and are worked out no more often than this
	removedEndpointRetention     = policy.Time(600e6)      // how long an endpoint that left is remembered at least
	removedEndpointSweepInterval = policy.Time(60e6)       // between two looks for those: a change must not cost a walk over the list
	policyClockOrigin            = policy.Time(3600e6)     // of the policy's clock: sends of an earlier process lie before it
)

// message is what the loop knows of a message from when it is handed in until
// it is over and its last call is back.
type message struct {
	num               uint32
	class             int // its place in the settings; -1 where they name it no longer
	rec               *wal.Record
	req               *putRequest // until it is answered
	isAcknowledged    bool        // its client knows that it is taken on
	isLogged          bool        // the log has it, or will
	isCompleted       bool        // the policy has ended it, or was told so
	isTransferred     bool        // another process of this relay holds it
	hasRemoteCall     bool        // another process of this relay has its call out
	attempts          int
	pendingBatch      *batch         // a send that waits for clients to have heard
	pendingCompletion *wal.Record    // its end, likewise
	pendingSpill      *backlog.Entry // the log alone is to have it, likewise
	call              *call
	receivedAt        time.Time   // when its request came, or when this process took it up
	deadlineSpan      policy.Time // its place among what may be overdue; 0 for none
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
	m         *message
	timeoutAt policy.Time // the moment it times out
	sendBy    policy.Time // no byte of it may go out later; 0 for any time
}

func (b *batch) remove(m *message) {
	b.sends = slices.DeleteFunc(b.sends, func(s send) bool { return s.m == m })
}

// happening is something that the loop is told.
type happening struct {
	put     *putRequest
	said    *putRequest // with ok
	lost    *putRequest // the log could not take it
	news    *discovery.List
	call    *call // with results, one for each of its parts
	results []outcome
	unsent  *unsent
	probed  policy.Endpoint
	result  *outcome
	ok      bool
	stop    bool
	ask     policy.EventKind    // of the operators: EvDrain, EvActivate
	refused bool                // discovery turned a call away
	noticed string              // the message whose notice was taken
	unkept  *message            // taken over from the side log, but the log has no room for it
	passed  bool                // the log was passed on, with ok
	resumed *recoveredEvent     // messages that were owed at the start
	looked  bool                // put: the log was asked whether it is owed already
	loaded  *spilledLoadedEvent // messages that were spilled
	forgone *policy.Event       // a spilled message is over
	failed  error               // of the log, for good
}

// recoveredEvent is what the log has read of what was owed at the start.
type recoveredEvent struct {
	log     *wal.Log
	records []*wal.Record
	unread  int
}

// unsent is an attempt that never left.
type unsent struct {
	m  *message
	ep policy.Endpoint
}

// Relay is one running relay.
type Relay struct {
	cfg                *Config
	log                *slog.Logger
	policy             *policy.Policy
	mailbox            *mailbox.Mailbox[happening]
	wal                *wal.Log
	spilled            spillState
	isRecovering       bool  // messages that were owed at the start are still being read
	isGapUnknown       bool  // how long no process ran before this one
	logOffset          int64 // µs from the policy's clock to the log's time
	logErr             error // the log can keep nothing more: this process ends
	notices            *discovery.Notices
	pendingNotices     []*completionNotice // that the log may not have yet
	startedAt          time.Time
	lastMessage        uint32
	lastEndpoint       policy.Endpoint
	messages           map[uint32]*message
	messagesByID       map[string]*message
	unanswered         map[*putRequest]*message // whose clients have no answer yet
	endpoints          map[string]*endpoint
	endpointsByNumber  map[policy.Endpoint]*endpoint
	members            members
	policyEvents       []policy.Event
	actions            []policy.Action
	batches            []*batch      // of the step that is being carried out
	timers             []policy.Time // that the policy asked for, earliest first: each one comes, as it counts on
	pending            int
	callsInFlight      int
	stoppedAt          time.Time
	idleConns          int
	pool               connectionPool   // the connections to all endpoints
	idle               idleResetTracker // of all endpoints together
	ownership          ownership
	remoteCalls        map[string]*message // whose calls another process has out
	deferredEvents     []happening         // that came before the loop ran
	clients            *clientServer
	ready              *atomic.Bool // as readyz says
	metrics            *metrics
	isDraining         bool        // the policy has this process refuse clients
	metricsPublishedAt policy.Time // when the gauges were last published
	wallClock          clockWatch
	overdue            overdueCounter
	overdueCount       int // messages overdue when the gauges were last published
	ctx                context.Context
}

// handleLogFailure ends this process: what it took on is kept, but no more can be.
func (r *Relay) handleLogFailure(err error) {
	r.log.Error("the log can keep nothing more: ending", "err", err)
	if r.logErr == nil {
		r.logErr = err
		r.ready.Store(false)
		r.mailbox.Put(happening{stop: true})
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
		if !r.stoppedAt.IsZero() {
			wait = min(wait, 20*time.Millisecond)
		}
		if r.cfg.Operator != "" { // what is avoided changes by time alone, too
			wait = min(wait, metricsMaxAge)
		}
		wait = min(wait, r.ownership.pollInterval(), r.spilled.untilNext(r.now()))
		timer.Reset(max(wait, 0))
		select {
		case <-r.mailbox.Ready():
		case <-timer.C:
		}
		got = r.mailbox.TakeAll(got)
		r.checkWallClock()
		if r.ownership.handoff != nil { // after the mailbox: what was taken on there before is known here
			r.readHandoffLog()
		}
		for i := range got {
			if got[i].stop && r.stoppedAt.IsZero() {
				r.stoppedAt = time.Now()
				r.log.Info("stopping", "held", r.pending, "calls", r.callsInFlight)
				if r.ownership.isTransferred { // the next process has the address, too
					listening = false
					r.clients.stopListening(ln)
				}
				r.clients.drainConnections()
			}
			r.take(got[i])
		}
		if r.ownership.isTransferred { // nothing is decided here any more
			r.policyEvents, r.timers = nil, nil
		}
		r.fireTimers()
		if len(r.policyEvents) > 0 {
			r.stepPolicy()
		}
		r.loadSpilled()
		r.sendDueNotices()
		if r.cfg.Operator != "" && r.now()-r.metricsPublishedAt >= metricsMinInterval {
			r.publishMetrics()
		}
		if err := r.checkOwnership(); err != nil {
			return err
		}
		if r.stoppedAt.IsZero() {
			continue
		}
		gone := time.Since(r.stoppedAt)
		if listening && gone >= closeListenerAfter {
			listening = false
			r.clients.stopListening(ln)
		}
		// An end with a connection open would reset it, with the answer on it.
		idle := len(r.unanswered) == 0 && r.callsInFlight == 0 && (r.pending == 0 || gone >= stopCallsAfter) && r.clients.connectionCount() == 0
		if !listening && idle || gone >= abandonCallsAfter {
			r.log.Info("stopped", "held", r.pending, "calls", r.callsInFlight)
			return r.logErr
		}
	}
}

// fireTimers tells the policy of the timers that have come.
func (r *Relay) fireTimers() {
	n, now := 0, r.now()
	for n < len(r.timers) && r.timers[n] <= now {
		n++
	}
	if n > 0 {
		r.timers = slices.Delete(r.timers, 0, n)
		r.policyEvents = append(r.policyEvents, policy.Event{Kind: policy.EventTimer})
	}
}

// take books one happening and says it in the policy's words.
func (r *Relay) take(h happening) {
	switch {
	case h.put != nil && (r.isRecovering || r.spilled.count() > 0) && !h.looked && !r.ownership.isTransferred && r.messagesByID[h.put.record.ID] == nil:
		r.lookUpPending(h.put)
	case h.put != nil:
		r.admit(h.put)
	case h.resumed != nil:
		r.restoreRead(h.resumed)
	case h.loaded != nil:
		r.readmitLoaded(h.loaded)
	case h.forgone != nil:
		r.policyEvents = append(r.policyEvents, *h.forgone)
	case h.failed != nil:
		r.handleLogFailure(h.failed)
	case h.said != nil:
		r.acknowledge(h.said, h.ok)
	case h.lost != nil:
		r.rejectUnlogged(h.lost)
	case h.noticed != "":
		r.wal.Submit(&wal.Record{Kind: wal.KindCompleted, ID: h.noticed}, nil)
	case h.unkept != nil:
		r.returnUnlogged(h.unkept)
	case h.passed:
		r.finishHandoff(h.ok)
	case h.news != nil:
		kind := policy.ListDelta
		if h.news.Complete {
			kind = policy.ListFull
		}
		r.updateList(h.news, kind)
	case h.unsent != nil && r.ownership.isTransferred: // the next process has it
	case h.unsent != nil:
		m := h.unsent.m
		r.finishAttempt(m, r.endpointsByNumber[h.unsent.ep], m.attempts-1, &outcome{kind: policy.NotSent, isUnlogged: true})
	case h.call != nil:
		r.finishCall(h.call, h.results)
	case h.ask != 0 && r.stoppedAt.IsZero(): // a relay that ends is not taken into service again
		r.log.Info("asked by the operators", "drain", h.ask == policy.EventDrain)
		r.policyEvents = append(r.policyEvents, policy.Event{Kind: h.ask})
	case h.probed != 0:
		r.policyEvents = append(r.policyEvents, policy.Event{Kind: policy.EventHealthChecked, Endpoint: h.probed,
			Outcome: h.result.kind, Latency: h.result.latency, Load: h.result.load})
	}
}

// publishMetrics publishes the gauges.
func (r *Relay) publishMetrics() {
	r.metricsPublishedAt = r.now()
	r.metrics.members.Store(int64(r.members.listed))
	r.metrics.unavailable.Store(int64(r.countUnavailable(r.metricsPublishedAt)))
	r.metrics.pending.Store(int64(r.pending - len(r.remoteCalls))) // those are the other process's until their calls are over
	r.metrics.logWaiting.Store(r.wal.UnwrittenRecords())
	r.publishOverdue()
}

// publishOverdue publishes how many messages are held past their time, and logs where
// there are some for the first time or none any more.
func (r *Relay) publishOverdue() {
	n := r.overdue.count(r.metricsPublishedAt)
	if (n > 0) != (r.overdueCount > 0) {
		r.log.Warn("messages are held past their time", "count", n, "held", r.pending)
	}
	r.overdueCount = n
	r.metrics.overdue.Store(int64(n))
}

// stepPolicy lets the policy decide on what has happened, and acts.
func (r *Relay) stepPolicy() {
	events := r.policyEvents
	r.policyEvents = nil
	fresh := make([]*message, 0, len(events))
	for i := range events {
		if events[i].Kind == policy.EventMessage {
			if m := r.messages[events[i].Message]; m != nil && m.req != nil {
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
			r.complete(a, discovery.Returned)
		case policy.ActionFail:
			r.complete(a, discovery.Failed)
		}
	}
	for _, m := range fresh {
		if m.req != nil && !m.isCompleted {
			r.accept(m)
		}
	}
	for i := range r.actions {
		r.apply(now, &r.actions[i])
	}
	batches := r.batches
	r.batches = nil
	for _, b := range batches {
		r.startBatch(b)
	}
}

// complete carries out a final answer.
func (r *Relay) complete(a *policy.Action, outcome string) {
	m := r.messages[a.Message]
	if m == nil || m.isCompleted {
		return
	}
	m.isCompleted = true
	r.metrics.countUndelivered(m.class, outcome)
	ms := (a.Delay + 999) / 1000
	if q := m.req; q != nil { // not taken on: the client hears it at once
		m.req = nil
		delete(r.unanswered, q)
		if outcome == discovery.Returned {
			r.recordRejection(q, rejectedPolicy)
			q.respond(busyResponse(ms))
		} else {
			r.recordRejection(q, rejectedExpired)
			q.respond(errorResponse(errors.New("given up")))
		}
		r.forgetMessage(m)
		return
	}
	r.forgetMessage(m)
	r.log.Info("ended", "message", m.rec.ID, "class", m.rec.Class, "dest", m.rec.Dest, "outcome", outcome, "tries", m.attempts,
		"left_ms", (r.fromLogTime(m.rec.Deadline)-r.now())/1000, "age_ms", time.Since(m.receivedAt).Milliseconds())
	if !m.isAcknowledged {
		m.pendingCompletion = &wal.Record{Notice: outcome, RetryMS: ms}
		return
	}
	r.logCompletion(m, outcome, ms)
}

// apply carries out what is no final answer.
func (r *Relay) apply(now policy.Time, a *policy.Action) {
	switch a.Kind {
	case policy.ActionSend:
		if m := r.messages[a.Message]; m != nil {
			m.attempts++
			r.addToBatch(m, a)
		}
	case policy.ActionCancel:
		if m := r.messages[a.Message]; m != nil && a.Attempt == m.attempts-1 {
			if m.call != nil {
				m.call.dropMessage(m)
			} else {
				r.removeFromBatch(m)
			}
		}
	case policy.ActionTimer:
		if at, set := slices.BinarySearch(r.timers, now+a.Delay); !set {
			r.timers = slices.Insert(r.timers, at, now+a.Delay)
		}
	case policy.ActionHealthCheck:
		if ep := r.endpointsByNumber[a.Endpoint]; ep != nil && !ep.isStopped {
			conns, addr := ep.transport, ep.hostPort
			go func() {
				o := checkHealth(r.ctx, conns, addr)
				r.mailbox.Put(happening{probed: a.Endpoint, result: &o})
			}()
		}
	case policy.ActionCloseIdle:
		if ep := r.endpointsByNumber[a.Endpoint]; ep != nil && ep.transport != nil {
			ep.transport.CloseIdleConnections()
		}
	case policy.ActionStopAccepting:
		r.isDraining = true
		r.ready.Store(false)
		r.clients.setDraining(true)
	case policy.ActionReleaseClients:
		r.clients.drainConnections()
	case policy.ActionAcceptClients:
		r.clients.setDraining(false)
		r.isDraining = false
		if !r.isRecovering {
			r.setReady()
		}
	case policy.ActionSpill:
		r.spill(a)
	case policy.ActionLoad:
		r.requestLoad(a)
	case policy.ActionLog:
		r.log.Info("policy", "says", a.Text)
	}
}
