package relay

import (
	"time"

	"plovershore/internal/backlog"
	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// This file carries out what the policy says of its backlog: which messages the
// log alone is to have, and which are to be loaded again.

const (
	loadBatchSize  = 2000             // messages that are read at a time: the loop goes on in between
	loadRetryDelay = policy.Time(1e6) // after a message could not be read
)

// spillState is what the loop has of spilled messages.
type spillState struct {
	store      backlog.Store
	requested  map[int]int    // messages that the policy wants back, by destination
	reading    []backlog.Item // that are being read from the log
	unreadable []backlog.Item // that could not be read; At is when they are tried again
	isLogged   bool           // this process has logged that it spills
}

// spilledLoadedEvent is what the log has read of spilled messages.
type spilledLoadedEvent struct {
	log     *wal.Log
	items   []backlog.Item
	records []*wal.Record
}

// count is how many messages the log alone has.
func (s *spillState) count() int { return s.store.Len() + len(s.reading) + len(s.unreadable) }

// untilNext is how long the loop may wait for the next message that has to be back.
func (s *spillState) untilNext(now policy.Time) time.Duration {
	wait := time.Hour
	if at, ok := s.store.Next(); ok && len(s.reading) == 0 {
		wait = min(wait, time.Duration(at-now+1)*time.Microsecond)
	}
	for _, x := range s.unreadable {
		wait = min(wait, time.Duration(x.LoadBy-now+1)*time.Microsecond)
	}
	return wait
}

// spill has a message be in the log alone, as soon as it is there and its client
// has heard of it.
func (r *Relay) spill(a *policy.Action) {
	m := r.messages[a.Message]
	if m == nil || m.isCompleted { // it was withdrawn in the turn that spilled it
		r.mailbox.Put(happening{forgone: &policy.Event{Kind: policy.EventWithdraw, Message: a.Message, Spilled: true, Dest: a.Dest}})
		return
	}
	m.pendingSpill = &backlog.Entry{LoadBy: a.Deadline, Flags: flagsOf(a)}
	r.spillIfReady(m)
}

func flagsOf(a *policy.Action) (f backlog.Flags) {
	if a.Recovered {
		f |= backlog.Recovered
	}
	if a.OverQuota {
		f |= backlog.OverQuota
	}
	if a.Ordered {
		f |= backlog.Ordered
	}
	return f
}

// spillIfReady forgets a message that is to be in the log alone, if it can be by now.
func (r *Relay) spillIfReady(m *message) {
	switch {
	case m.pendingSpill == nil || !m.isAcknowledged || m.isCompleted || r.ownership.isTransferred:
		return
	case m.rec.Ref == 0: // its id is that of one whose end is still being told: it can have no record
		m.isCompleted = true
		r.metrics.countUndelivered(m.class, discovery.Failed)
		r.forgetMessage(m)
		r.logCompletion(m, discovery.Failed, 0)
		r.mailbox.Put(happening{forgone: &policy.Event{Kind: policy.EventWithdraw, Message: m.num, Spilled: true, Dest: m.rec.Dest}})
		return
	}
	if !r.spilled.isLogged {
		r.spilled.isLogged = true
		r.log.Info("spilling: more is held than memory is to have", "held", r.pending, "in_memory", len(r.messages))
	}
	m.pendingSpill.Index, m.pendingSpill.Generation = uint32(m.rec.Ref), uint16(m.rec.Ref>>32)
	r.spilled.store.Add(m.rec.Dest, *m.pendingSpill)
	r.clearDeadline(m)
	delete(r.messagesByID, m.rec.ID)
	delete(r.messages, m.num)
	r.metrics.spilled.Store(int64(r.spilled.count()))
}

// requestLoad books that the policy wants spilled messages back.
func (r *Relay) requestLoad(a *policy.Action) {
	if r.spilled.requested == nil {
		r.spilled.requested = map[int]int{}
	}
	r.spilled.requested[a.Dest] += a.Count
}

// loadSpilled has the log read what is due and what is asked for, one slice at a time.
func (r *Relay) loadSpilled() {
	s, now := &r.spilled, r.now()
	if r.ownership.isTransferred || len(s.reading) > 0 || s.count() == 0 {
		return
	}
	s.retryUnreadable(now)
	items := s.store.TakeDue(now, loadBatchSize)
	for _, x := range items {
		s.loadStarted(x.Dest)
	}
	for dest, n := range s.requested {
		if room := loadBatchSize - len(items); room > 0 {
			for _, x := range s.store.Take(dest, min(n, room)) {
				items = append(items, x)
				s.loadStarted(dest)
			}
		}
	}
	if len(items) == 0 {
		return
	}
	s.reading = items
	refs := make([]wal.Ref, len(items))
	for i := range items {
		refs[i] = wal.Ref(items[i].Generation)<<32 | wal.Ref(items[i].Index)
	}
	w := r.wal
	w.Do(func() { r.mailbox.Put(happening{loaded: &spilledLoadedEvent{w, items, w.Read(refs)}}) })
}

// loadStarted books that a message of a destination is on its way back.
func (s *spillState) loadStarted(dest int) {
	if n := s.requested[dest]; n > 1 {
		s.requested[dest] = n - 1
	} else {
		delete(s.requested, dest)
	}
}

// retryUnreadable takes up again what could not be read some time ago.
func (s *spillState) retryUnreadable(now policy.Time) {
	left := s.unreadable[:0]
	for _, x := range s.unreadable {
		if x.LoadBy > now {
			left = append(left, x)
		} else {
			s.store.Add(x.Dest, x.Entry)
		}
	}
	s.unreadable = left
}

// readmitLoaded takes up what the log has read.
func (r *Relay) readmitLoaded(x *spilledLoadedEvent) {
	if x.log != r.wal || r.ownership.isTransferred {
		return // of a log that was passed on
	}
	s := &r.spilled
	s.reading = nil
	for i, rec := range x.records {
		item := x.items[i]
		if rec != nil && rec.ID == "" { // another one instead, and this one again later
			item.LoadBy = r.now() + loadRetryDelay
			s.unreadable = append(s.unreadable, item)
			r.requestLoad(&policy.Action{Dest: item.Dest, Count: 1})
			continue
		}
		r.pending-- // it is counted anew, or over
		if rec == nil {
			r.log.Error("a spilled message is owed no longer", "dest", item.Dest)
			r.policyEvents = append(r.policyEvents, policy.Event{Kind: policy.EventWithdraw, Spilled: true, Dest: item.Dest})
			continue
		}
		r.readmit(rec, item)
	}
	r.metrics.spilled.Store(int64(s.count()))
}

// readmit hands a loaded message to the policy, with its past.
func (r *Relay) readmit(rec *wal.Record, item backlog.Item) {
	m := r.newMessage(rec)
	m.isAcknowledged, m.isLogged, m.attempts = true, true, rec.Attempts
	r.metrics.loaded.Add(1)
	if rec.Corrupted {
		m.isCompleted = true
		r.forgetMessage(m)
		r.logCompletion(m, discovery.Failed, 0)
		r.log.Error("lost", "message", rec.ID)
		r.policyEvents = append(r.policyEvents, policy.Event{Kind: policy.EventWithdraw, Message: m.num, Spilled: true, Dest: item.Dest})
		return
	}
	if rec.InFlightSince != 0 { // its outcome could not be logged: it may have run
		if rec.UnknownOutcomeAt == 0 {
			rec.UnknownOutcomeAt, rec.UnknownOutcomeZone = rec.InFlightSince, rec.InFlightZone
		}
		rec.InFlightSince = 0
		r.wal.Submit(&wal.Record{Kind: wal.KindOutcome, ID: rec.ID, MayHaveRun: true}, nil)
	}
	e := r.recoveredMessageEvent(m)
	e.Spilled, e.Recovered, e.OverQuota = true, item.Flags&backlog.Recovered != 0, item.Flags&backlog.OverQuota != 0
	r.policyEvents = append(r.policyEvents, e)
}

// releaseSpilled leaves what is spilled to the next process.
func (r *Relay) releaseSpilled() {
	r.pending -= r.spilled.count()
	r.spilled = spillState{}
	r.metrics.spilled.Store(0)
}

// isPendingHere reports whether a message that the process before took on is owed here
// already, out of sight of the loop. It waits for the log, which never waits for
// the loop.
func (r *Relay) isPendingHere(id string) bool {
	if !r.isRecovering && r.spilled.count() == 0 {
		return false
	}
	w, owed, found := r.wal, make(chan bool, 1), make(chan *wal.Record, 1)
	w.Do(func() {
		rec := w.Fetch(id)
		found <- rec
		owed <- rec != nil || w.IsPending(id)
	})
	if rec := <-found; rec != nil {
		r.restore([]*wal.Record{rec}, false)
	}
	return <-owed
}
