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
	ownerLook   = 50 * time.Millisecond // how often the owner looks whether another wants to take over
	ownerWait   = 5 * time.Millisecond  // how often that other tries
	ownerFollow = 10 * time.Millisecond // how often a side log is read: a told wait binds 100 ms later
	ownerRetry  = 2 * time.Second       // after the log could not be passed on
)

// owner is what a process knows of who owns the relay.
type owner struct {
	lock, next *wal.Lock
	passed     bool            // the other process owns it, or is just taking over
	freed      bool            // the lock has been let go
	side       *wal.HandoffLog // of the process that owned it before, while that lives
	lookAt     time.Time
	by         int   // this process, as in the log
	shared     bool  // what may be used is split with another process
	failed     error // what this process cannot go on without
	walStop    chan struct{}
}

// wait returns with the lock, or with false once stop is closed.
func (o *owner) wait(dir string, stop <-chan struct{}) (bool, error) {
	var err error
	if o.lock, err = wal.OpenLock(dir, wal.LockName); err != nil {
		return false, err
	}
	if o.next, err = wal.OpenLock(dir, wal.SuccessorLockName); err != nil {
		o.lock.Close()
		return false, err
	}
	tick := time.NewTicker(ownerWait)
	defer tick.Stop()
	for wish := false; ; {
		got, err := o.lock.TryLock()
		if got && wish {
			err = o.next.Unlock()
		}
		if got || err != nil {
			return err == nil, err
		}
		if !wish {
			if wish, err = o.next.TryLock(); err != nil {
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

func (o *owner) close() {
	o.lock.Close()
	o.next.Close()
}

// every is how long the loop may wait at most.
func (o *owner) every() time.Duration {
	if o.side != nil {
		return ownerFollow
	}
	return ownerLook
}

// openLog takes up the log: what is owed, what the process before left of its
// policy's memory, and its calls, if it lives.
func (r *Relay) openLog() (owed int, err error) {
	if f, err := wal.ClearFence(r.cfg.StateDir); err != nil {
		return 0, err
	} else if f != nil {
		r.log.Warn("what this folder held was moved: beginning empty", "to", f.To, "at", f.At)
	}
	w, err := wal.Open(wal.Options{Dir: r.cfg.StateDir, Limit: int64(r.cfg.Limits.DiskMB) << 20, Durability: r.cfg.Durability, FS: r.cfg.FS, Log: r.log,
		OnFailure: func(err error) { r.in.Put(happening{failed: err}) }})
	if err != nil {
		return 0, err
	}
	r.wal, r.owner.side, r.owner.by, r.owner.walStop = w, w.Handoff, w.Process, make(chan struct{})
	r.far = map[string]*message{}
	r.alignLogTime()
	r.gapUnknown = w.ClockSetBack > 0 && w.Handoff == nil // where the process before lives on no time has passed unseen
	if w.ClockSetBack > 0 {
		r.log.Warn("the clock was set back while no process ran: how long that was is not known", "by", w.ClockSetBack)
	}
	if w.PolicySnapshot != nil {
		r.recall(w.PolicySnapshot)
	}
	owed = w.PendingUnread()
	for _, d := range w.Recovery.Corruptions {
		r.fig.damaged.Add(1)
		r.fig.concerned.Add(int64(d.Affected))
	}
	r.fig.lost.Add(int64(len(w.Recovery.LostIDs)))
	recs := w.Next(resumeMost)
	r.resuming = w.PendingUnread() > 0
	r.fig.unread.Store(int64(w.PendingUnread()))
	go w.Run(r.owner.walStop)
	r.restore(recs, false)
	if r.resuming {
		r.resumeNext()
	}
	return owed, nil
}

// closeLog ends the log's goroutine, once all is written.
func (r *Relay) closeLog() {
	if r.owner.walStop != nil {
		close(r.owner.walStop)
		<-r.wal.Done()
		r.owner.walStop = nil
	}
}

// share splits what two processes may use together.
func (r *Relay) share() {
	if two := r.owner.side != nil || r.owner.passed; two != r.owner.shared {
		r.owner.shared = two
		limit := debug.SetMemoryLimit(-1)
		if two {
			r.cl.share(2)
			debug.SetMemoryLimit(limit / 2)
		} else {
			r.cl.share(1)
			debug.SetMemoryLimit(limit * 2)
		}
	}
}

// legacy is the body of the record that passes the log on.
type legacy struct {
	Now    policy.Time                `json:"Now"`  // of the policy's clock
	Wall   int64                      `json:"Wall"` // the same moment by the log's time
	IDs    map[policy.Endpoint]string `json:"IDs"`  // by the numbers in the memory
	Memory policy.Snapshot            `json:"Memory"`
}

// recall gives the policy what that of the process before had learned.
func (r *Relay) recall(text []byte) {
	var l legacy
	if err := json.Unmarshal(text, &l); err != nil {
		r.log.Error("the policy's memory cannot be read", "err", err)
		return
	}
	for i := range l.Memory.Routes {
		eps := l.Memory.Routes[i].Endpoints
		for j := range eps {
			num := policy.Endpoint(0) // of none
			if ep := r.endpoints[l.IDs[eps[j].Endpoint]]; ep != nil {
				num = ep.num
			}
			eps[j].Endpoint = num
		}
	}
	r.policy.Restore(l.Memory, r.fromLogTime(l.Wall)-l.Now)
	r.doubtAll()
}

// lookRound sees whether another process wants to take over, or whether the
// one that did has died.
func (r *Relay) lookRound() error {
	if r.owner.failed != nil {
		return r.owner.failed
	}
	if time.Now().Before(r.owner.lookAt) {
		return nil
	}
	r.owner.lookAt = time.Now().Add(ownerLook)
	wished, err := r.owner.next.HeldByOther()
	if err != nil {
		r.log.Error("upgrade", "err", err)
		return nil
	}
	switch {
	case !r.owner.passed && r.owner.side == nil && wished:
		r.passOn()
	case r.owner.freed && !wished:
		// The next process lets go of that lock only once it holds the other.
		got, err := r.owner.lock.TryLock()
		if got {
			r.log.Warn("the next process is gone")
			return r.takeOver()
		}
		if err != nil {
			r.log.Error("upgrade", "err", err)
		}
	}
	return nil
}

// passOn ends this process's ownership. From here on no call is begun and
// nothing is decided. What has a call out stays here until that is over; all
// else is the next process's, which finds it in the log.
func (r *Relay) passOn() {
	r.log.Info("passing on", "held", r.held, "calls", r.calls)
	text, err := json.Marshal(r.legacy())
	if err != nil {
		r.log.Error("the policy's memory is not passed on", "err", err)
		text = []byte("{}")
	}
	r.owner.passed, r.resuming = true, false
	r.fig.unread.Store(0)
	r.forgetSpilled()
	for _, m := range r.msgs {
		if e := m.ending; e != nil { // its client hears of it this moment
			m.ending = nil
			r.end(m, e.Notice, e.RetryMS)
		}
		m.pending = nil
		if m.call == nil && !m.over {
			m.away = true
			r.held--
			r.forgetDue(m)
		}
	}
	for _, ep := range r.endpoints {
		if ep.conns != nil {
			ep.conns.CloseIdleConnections()
		}
	}
	r.share()
	lock := r.owner.lock
	r.wal.Submit(&wal.Record{Kind: wal.KindHandoff, ID: wal.NoMessage, Body: text}, func(err error) {
		if err == nil {
			err = lock.Unlock()
		}
		if err != nil {
			r.log.Error("not passed on", "err", err)
		}
		r.in.Put(happening{passed: true, ok: err == nil})
	})
}

func (r *Relay) legacy() legacy {
	l := legacy{Now: r.now(), IDs: map[policy.Endpoint]string{}, Memory: r.policy.Snapshot()}
	l.Wall = r.logTime(l.Now)
	for id, ep := range r.endpoints {
		l.IDs[ep.num] = id
	}
	return l
}

// hasPassed: the log is the next process's, or it stays here.
func (r *Relay) hasPassed(ok bool) {
	if r.owner.freed = ok; ok {
		return
	}
	r.owner.lookAt = time.Now().Add(ownerRetry)
	r.owner.failed = r.takeOver()
}

// takeOnFor takes a message on for the process that owns the relay now: once
// it is in the side log, that one knows of it.
func (r *Relay) takeOnFor(q *request) {
	m := &message{rec: q.rec, class: q.class, logged: true, away: true}
	r.ids[q.rec.ID], r.waiting[q] = m, m
	r.wal.Submit(q.rec, func(err error) {
		if err != nil {
			r.in.Put(happening{lost: q})
			return
		}
		q.answer(replyOK)
	})
}

// follow reads what the process before tells in its side log.
func (r *Relay) follow() {
	s := r.owner.side
	dead := s.OwnerExited() // first: nothing can come after it
	for _, rec := range s.Read() {
		r.heard(rec)
	}
	if !dead {
		return
	}
	r.log.Info("the process before is gone", "calls", len(r.far))
	for _, m := range r.far { // nobody saw how these ended
		r.cameBack(m, &wal.Record{Kind: wal.KindOutcome, ID: m.rec.ID, MayHaveRun: true, OutcomeCode: uint8(policy.Cancelled)})
	}
	w := r.wal
	w.Submit(&wal.Record{Kind: wal.KindOwner, ID: wal.NoMessage, Process: r.owner.by, HandoffOffset: s.Offset()}, func(error) { w.FinishHandoff(s) })
	r.owner.side = nil
	r.share()
}

// heard books a record of the side log.
func (r *Relay) heard(rec *wal.Record) {
	m := r.ids[rec.ID]
	switch far := r.far[rec.ID]; {
	case rec.Kind == wal.KindAccepted && m == nil && r.isOurs(rec.ID): // its client handed it in again
		r.wal.Submit(rec, nil)
	case rec.Kind == wal.KindAccepted && m == nil:
		side := *rec
		rec.HandoffOffset = 0
		r.restore([]*wal.Record{rec}, true)
		m = r.ids[rec.ID]
		if m == nil { // ended in the same breath
			return
		}
		r.wal.Submit(&side, func(err error) {
			if err != nil {
				r.in.Put(happening{unkept: m})
			}
		})
	case far != nil && (rec.Kind == wal.KindOutcome || rec.Kind == wal.KindCompleted):
		r.cameBack(far, rec)
	case m != nil && rec.Kind == wal.KindCompleted: // its client left before it heard
		m.over = true
		r.drop(m)
		r.events = append(r.events, policy.Event{Kind: policy.EventWithdraw, Message: m.num})
		r.wal.Submit(rec, nil)
	}
}

// cameBack books the end of a call that the process before had out.
func (r *Relay) cameBack(m *message, rec *wal.Record) {
	delete(r.far, m.rec.ID)
	m.far = false
	settled := rec.Kind == wal.KindCompleted
	e := policy.Event{Kind: policy.EventAttemptDone, Message: m.num, Attempt: m.tries - 1, Outcome: policy.Outcome(rec.OutcomeCode), CallsExhausted: rec.CallsExhausted,
		Final: settled || m.over, Latency: rec.Latency}
	if rec.RetryAt != 0 {
		e.RetryAfter = max(r.fromLogTime(rec.RetryAt)-r.now(), 1)
	}
	r.events = append(r.events, e)
	r.doubtCell(m.rec.Dest)
	r.wal.Submit(rec, nil)
	if m.over {
		delete(r.msgs, m.num)
	} else if settled {
		m.over = true
		r.drop(m)
	}
}

// unkept: a message that the process before took on cannot be logged, so that
// no attempt of it can either. It was never sent.
func (r *Relay) unkept(m *message) {
	if m.over {
		return
	}
	m.over = true
	r.drop(m)
	r.fig.ended(m.class, discovery.Returned)
	r.events = append(r.events, policy.Event{Kind: policy.EventWithdraw, Message: m.num})
	r.notices.Put(discovery.Notice{Message: m.rec.ID, Outcome: discovery.Returned, RetryMS: stopRetry})
}

// takeOver takes the ownership back as at a start, with this process's calls
// given up: the log tells what is owed, since the other process may have done
// anything in between.
func (r *Relay) takeOver() error {
	old := r.legacy()
	r.closeLog() // and with it the side log, which is then folded in
	for _, ep := range r.endpoints {
		for c := range ep.calls {
			c.stale = true
			c.stop(errCancelled)
		}
	}
	decider, err := policy.New(r.cfg.Policy, r.cfg.Seed+1)
	if err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	r.policy = decider
	r.msgs, r.ids, r.waiting = map[uint32]*message{}, map[string]*message{}, map[*request]*message{}
	r.forgetSpilled()
	r.held, r.overdue, r.endings = 0, overdue{}, nil
	r.owner.passed, r.owner.freed = false, false
	e := policy.Event{Kind: policy.EventListUpdate, ListUpdate: policy.ListFull}
	for _, ep := range r.endpoints {
		if ep.listed {
			e.Entries = append(e.Entries, ep.entry)
		}
	}
	r.events, r.timers = []policy.Event{e}, nil
	r.step()
	r.policy.Restore(old.Memory, 0)
	r.doubtAll()
	var owed int
	if _, err := patiently(r.log, "log", nil, reopenPatience, isDiskTrouble, func() (err error) {
		owed, err = r.openLog()
		return err
	}); err != nil {
		return fmt.Errorf("not taken back: %w", err)
	}
	r.share()
	r.log.Info("taken back", "owed", owed)
	r.step()
	return nil
}
