package relay

import (
	"encoding/json"
	"fmt"
	"runtime/debug"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// During an upgrade two processes of one relay run over one state folder. At
// each moment one of them is the owner: it holds the lock, its policy decides,
// it alone sends. This file passes the ownership on, takes it over and, where
// the new process dies, takes it back.

const (
	ownershipCheckInterval = 50 * time.Millisecond // how often the owner looks whether another wants to take over
	lockPollInterval       = 5 * time.Millisecond  // how often that other tries
	handoffPollInterval    = 10 * time.Millisecond // how often a side log is read: a told wait binds 100 ms later
	handoffRetryDelay      = 2 * time.Second       // after the log could not be passed on
)

// ownership is what a process knows of who owns the relay.
type ownership struct {
	lock, successorLock *wal.Lock
	isTransferred       bool            // the other process owns it, or is just taking over
	isUnlocked          bool            // the lock has been let go
	handoff             *wal.HandoffLog // of the process that owned it before, while that lives
	nextCheck           time.Time
	process             int   // this process, as in the log
	isSharing           bool  // what may be used is split with another process
	err                 error // what this process cannot go on without
	stopLog             chan struct{}
}

// acquire returns with the lock, or with false once stop is closed.
func (o *ownership) acquire(dir string, stop <-chan struct{}) (bool, error) {
	var err error
	if o.lock, err = wal.OpenLock(dir, wal.LockName); err != nil {
		return false, err
	}
	if o.successorLock, err = wal.OpenLock(dir, wal.SuccessorLockName); err != nil {
		o.lock.Close()
		return false, err
	}
	tick := time.NewTicker(lockPollInterval)
	defer tick.Stop()
	for isNext := false; ; {
		got, err := o.lock.TryLock()
		if got && isNext {
			err = o.successorLock.Unlock()
		}
		if got || err != nil {
			return err == nil, err
		}
		if !isNext {
			if isNext, err = o.successorLock.TryLock(); err != nil {
				return false, err
			}
		}
		select {
		case <-stop:
			o.close()
			return false, nil
		case <-tick.C:
		}
	}
}

func (o *ownership) close() {
	o.lock.Close()
	o.successorLock.Close()
}

// pollInterval is how long the loop may wait at most.
func (o *ownership) pollInterval() time.Duration {
	if o.handoff != nil {
		return handoffPollInterval
	}
	return ownershipCheckInterval
}

// openLog takes up the log: what is owed, what the process before left of its
// policy's memory, and its calls, if it lives.
func (r *Relay) openLog() (pending int, err error) {
	if f, err := wal.ClearFence(r.cfg.StateDir); err != nil {
		return 0, err
	} else if f != nil {
		r.log.Warn("what this folder held was moved: beginning empty", "to", f.To, "at", f.At)
	}
	w, err := wal.Open(wal.Options{Dir: r.cfg.StateDir, Limit: int64(r.cfg.Limits.DiskMB) << 20, Durability: r.cfg.Durability, FS: r.cfg.FS, Log: r.log,
		OnFailure: func(err error) { r.mailbox.Put(happening{failed: err}) }})
	if err != nil {
		return 0, err
	}
	r.wal, r.ownership.handoff, r.ownership.process, r.ownership.stopLog = w, w.Handoff, w.Process, make(chan struct{})
	r.remoteCalls = map[string]*message{}
	r.alignLogTime()
	r.isGapUnknown = w.ClockSetBack > 0 && w.Handoff == nil // where the process before lives on no time has passed unseen
	if w.ClockSetBack > 0 {
		r.log.Warn("the clock was set back while no process ran: how long that was is not known", "by", w.ClockSetBack)
	}
	if w.PolicySnapshot != nil {
		r.importPolicy(w.PolicySnapshot)
	}
	pending = w.PendingUnread()
	for _, d := range w.Recovery.Corruptions {
		r.metrics.logDamaged.Add(1)
		r.metrics.logAffected.Add(int64(d.Affected))
	}
	r.metrics.logLost.Add(int64(len(w.Recovery.LostIDs)))
	recs := w.Next(recoveryBatchSize)
	r.isRecovering = w.PendingUnread() > 0
	r.metrics.logUnread.Store(int64(w.PendingUnread()))
	go w.Run(r.ownership.stopLog)
	r.restore(recs, false)
	if r.isRecovering {
		r.readNextPending()
	}
	return pending, nil
}

// closeLog ends the log's goroutine, once all is written.
func (r *Relay) closeLog() {
	if r.ownership.stopLog != nil {
		close(r.ownership.stopLog)
		<-r.wal.Done()
		r.ownership.stopLog = nil
	}
}

// splitLimits splits what two processes may use together.
func (r *Relay) splitLimits() {
	if two := r.ownership.handoff != nil || r.ownership.isTransferred; two != r.ownership.isSharing {
		r.ownership.isSharing = two
		limit := debug.SetMemoryLimit(-1)
		if two {
			r.clients.divideCapacity(2)
			debug.SetMemoryLimit(limit / 2)
		} else {
			r.clients.divideCapacity(1)
			debug.SetMemoryLimit(limit * 2)
		}
	}
}

// policyHandoff is the body of the record that passes the log on.
type policyHandoff struct {
	Now    policy.Time                `json:"Now"`  // of the policy's clock
	Wall   int64                      `json:"Wall"` // the same moment by the log's time
	IDs    map[policy.Endpoint]string `json:"IDs"`  // by the numbers in the memory
	Memory policy.Snapshot            `json:"Memory"`
}

// importPolicy gives the policy what that of the process before had learned.
func (r *Relay) importPolicy(text []byte) {
	var l policyHandoff
	if err := json.Unmarshal(text, &l); err != nil {
		r.log.Error("the policy's memory cannot be read", "err", err)
		return
	}
	for i := range l.Memory.Routes {
		eps := l.Memory.Routes[i].Endpoints
		for j := range eps {
			num := policy.Endpoint(0) // of none
			if ep := r.endpoints[l.IDs[eps[j].Endpoint]]; ep != nil {
				num = ep.number
			}
			eps[j].Endpoint = num
		}
	}
	r.policy.Restore(l.Memory, r.fromLogTime(l.Wall)-l.Now)
	r.checkAvailabilityOfAll()
}

// checkOwnership sees whether another process wants to take over, or whether the
// one that did has died.
func (r *Relay) checkOwnership() error {
	if r.ownership.err != nil {
		return r.ownership.err
	}
	if time.Now().Before(r.ownership.nextCheck) {
		return nil
	}
	r.ownership.nextCheck = time.Now().Add(ownershipCheckInterval)
	isWanted, err := r.ownership.successorLock.HeldByOther()
	if err != nil {
		r.log.Error("upgrade", "err", err)
		return nil
	}
	switch {
	case !r.ownership.isTransferred && r.ownership.handoff == nil && isWanted:
		r.handOff()
	case r.ownership.isUnlocked && !isWanted:
		// The next process lets go of that lock only once it holds the other.
		got, err := r.ownership.lock.TryLock()
		if got {
			r.log.Warn("the next process is gone")
			return r.reclaim()
		}
		if err != nil {
			r.log.Error("upgrade", "err", err)
		}
	}
	return nil
}

// handOff ends this process's ownership. From here on no call is begun and
// nothing is decided. What has a call out stays here until that is over; all
// else is the next process's, which finds it in the log.
func (r *Relay) handOff() {
	r.log.Info("passing on", "held", r.pending, "calls", r.callsInFlight)
	text, err := json.Marshal(r.exportPolicy())
	if err != nil {
		r.log.Error("the policy's memory is not passed on", "err", err)
		text = []byte("{}")
	}
	r.ownership.isTransferred, r.isRecovering = true, false
	r.metrics.logUnread.Store(0)
	r.releaseSpilled()
	for _, m := range r.messages {
		if e := m.pendingCompletion; e != nil { // its client hears of it this moment
			m.pendingCompletion = nil
			r.logCompletion(m, e.Notice, e.RetryMS)
		}
		m.pendingBatch = nil
		if m.call == nil && !m.isCompleted {
			m.isTransferred = true
			r.pending--
			r.clearDeadline(m)
		}
	}
	for _, ep := range r.endpoints {
		if ep.transport != nil {
			ep.transport.CloseIdleConnections()
		}
	}
	r.splitLimits()
	lock := r.ownership.lock
	r.wal.Submit(&wal.Record{Kind: wal.KindHandoff, ID: wal.NoMessage, Body: text}, func(err error) {
		if err == nil {
			err = lock.Unlock()
		}
		if err != nil {
			r.log.Error("not passed on", "err", err)
		}
		r.mailbox.Put(happening{passed: true, ok: err == nil})
	})
}

func (r *Relay) exportPolicy() policyHandoff {
	l := policyHandoff{Now: r.now(), IDs: map[policy.Endpoint]string{}, Memory: r.policy.Snapshot()}
	l.Wall = r.logTime(l.Now)
	for id, ep := range r.endpoints {
		l.IDs[ep.number] = id
	}
	return l
}

// finishHandoff: the log is the next process's, or it stays here.
func (r *Relay) finishHandoff(ok bool) {
	if r.ownership.isUnlocked = ok; ok {
		return
	}
	r.ownership.nextCheck = time.Now().Add(handoffRetryDelay)
	r.ownership.err = r.reclaim()
}

// acceptForSuccessor takes a message on for the process that owns the relay now: once
// it is in the side log, that one knows of it.
func (r *Relay) acceptForSuccessor(q *putRequest) {
	m := &message{rec: q.record, class: q.class, isLogged: true, isTransferred: true}
	r.messagesByID[q.record.ID], r.unanswered[q] = m, m
	r.wal.Submit(q.record, func(err error) {
		if err != nil {
			r.mailbox.Put(happening{lost: q})
			return
		}
		q.respond(responseOK)
	})
}

// readHandoffLog reads what the process before tells in its side log.
func (r *Relay) readHandoffLog() {
	s := r.ownership.handoff
	hasExited := s.OwnerExited() // first: nothing can come after it
	for _, rec := range s.Read() {
		r.applyHandoffRecord(rec)
	}
	if !hasExited {
		return
	}
	r.log.Info("the process before is gone", "calls", len(r.remoteCalls))
	for _, m := range r.remoteCalls { // nobody saw how these ended
		r.finishRemoteAttempt(m, &wal.Record{Kind: wal.KindOutcome, ID: m.rec.ID, MayHaveRun: true, OutcomeCode: uint8(policy.Cancelled)})
	}
	w := r.wal
	w.Submit(&wal.Record{Kind: wal.KindOwner, ID: wal.NoMessage, Process: r.ownership.process, HandoffOffset: s.Offset()}, func(error) { w.FinishHandoff(s) })
	r.ownership.handoff = nil
	r.splitLimits()
}

// applyHandoffRecord books a record of the side log.
func (r *Relay) applyHandoffRecord(rec *wal.Record) {
	m := r.messagesByID[rec.ID]
	switch remote := r.remoteCalls[rec.ID]; {
	case rec.Kind == wal.KindAccepted && m == nil && r.isPendingHere(rec.ID): // its client handed it in again
		r.wal.Submit(rec, nil)
	case rec.Kind == wal.KindAccepted && m == nil:
		side := *rec
		rec.HandoffOffset = 0
		r.restore([]*wal.Record{rec}, true)
		m = r.messagesByID[rec.ID]
		if m == nil { // ended in the same breath
			return
		}
		r.wal.Submit(&side, func(err error) {
			if err != nil {
				r.mailbox.Put(happening{unkept: m})
			}
		})
	case remote != nil && (rec.Kind == wal.KindOutcome || rec.Kind == wal.KindCompleted):
		r.finishRemoteAttempt(remote, rec)
	case m != nil && rec.Kind == wal.KindCompleted: // its client left before it heard
		m.isCompleted = true
		r.forgetMessage(m)
		r.policyEvents = append(r.policyEvents, policy.Event{Kind: policy.EventWithdraw, Message: m.num})
		r.wal.Submit(rec, nil)
	}
}

// finishRemoteAttempt books the end of a call that the process before had out.
func (r *Relay) finishRemoteAttempt(m *message, rec *wal.Record) {
	delete(r.remoteCalls, m.rec.ID)
	m.hasRemoteCall = false
	settled := rec.Kind == wal.KindCompleted
	e := policy.Event{Kind: policy.EventAttemptDone, Message: m.num, Attempt: m.attempts - 1, Outcome: policy.Outcome(rec.OutcomeCode), CallsExhausted: rec.CallsExhausted,
		Final: settled || m.isCompleted, Latency: rec.Latency}
	if rec.RetryAt != 0 {
		e.RetryAfter = max(r.fromLogTime(rec.RetryAt)-r.now(), 1)
	}
	r.policyEvents = append(r.policyEvents, e)
	r.checkAvailabilityOfCell(m.rec.Dest)
	r.wal.Submit(rec, nil)
	if m.isCompleted {
		delete(r.messages, m.num)
	} else if settled {
		m.isCompleted = true
		r.forgetMessage(m)
	}
}

// returnUnlogged: a message that the process before took on cannot be logged, so that
// no attempt of it can either. It was never sent.
func (r *Relay) returnUnlogged(m *message) {
	if m.isCompleted {
		return
	}
	m.isCompleted = true
	r.forgetMessage(m)
	r.metrics.countUndelivered(m.class, discovery.Returned)
	r.policyEvents = append(r.policyEvents, policy.Event{Kind: policy.EventWithdraw, Message: m.num})
	r.notices.Put(discovery.Notice{Message: m.rec.ID, Outcome: discovery.Returned, RetryMS: shutdownRetryMS})
}

// reclaim takes the ownership back as at a start, with this process's calls
// given up: the log tells what is owed, since the other process may have done
// anything in between.
func (r *Relay) reclaim() error {
	old := r.exportPolicy()
	r.closeLog() // and with it the side log, which is then folded in
	for _, ep := range r.endpoints {
		for c := range ep.calls {
			c.isAbandoned = true
			c.cancel(errCancelled)
		}
	}
	decider, err := policy.New(r.cfg.Policy, r.cfg.Seed+1)
	if err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	r.policy = decider
	r.messages, r.messagesByID, r.unanswered = map[uint32]*message{}, map[string]*message{}, map[*putRequest]*message{}
	r.releaseSpilled()
	r.pending, r.overdue, r.pendingNotices = 0, overdueCounter{}, nil
	r.ownership.isTransferred, r.ownership.isUnlocked = false, false
	e := policy.Event{Kind: policy.EventListUpdate, ListUpdate: policy.ListFull}
	for _, ep := range r.endpoints {
		if ep.isListed {
			e.Entries = append(e.Entries, ep.policyEntry)
		}
	}
	r.policyEvents, r.timers = []policy.Event{e}, nil
	r.stepPolicy()
	r.policy.Restore(old.Memory, 0)
	r.checkAvailabilityOfAll()
	var pending int
	if _, err := retryWhile(r.log, "log", nil, reopenTimeout, isDiskTrouble, func() (err error) {
		pending, err = r.openLog()
		return err
	}); err != nil {
		return fmt.Errorf("not taken back: %w", err)
	}
	r.splitLimits()
	r.log.Info("taken back", "owed", pending)
	r.stepPolicy()
	return nil
}
