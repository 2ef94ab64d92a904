package relay

import (
	"time"

	"plovershore/internal/backlog"
	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

const (
	loadBatchSize  = 2000             // messages read at a time, so that the loop handles events in between
	loadRetryDelay = policy.Time(1e6) // delay before a message that could not be read is tried again
)

// spillState tracks the spilled messages: pending messages that are in the log but not in
// memory.
type spillState struct {
	store      backlog.Store
	requested  map[int]int    // number of messages the policy wants loaded, by destination
	reading    []backlog.Item // messages being read from the log now
	unreadable []backlog.Item // messages that could not be read; LoadBy is the time of the next try
	isLogged   bool           // the log line about the first spill was written
}

// count returns the number of spilled messages.
func (s *spillState) count() int { return s.store.Len() + len(s.reading) + len(s.unreadable) }

// untilNext returns how long the loop may wait before a message has to be loaded.
func (s *spillState) untilNext(now policy.Time) time.Duration {
	wait := time.Hour
	if loadBy, ok := s.store.Next(); ok && len(s.reading) == 0 {
		wait = min(wait, time.Duration(loadBy-now+1)*time.Microsecond)
	}
	for _, item := range s.unreadable {
		wait = min(wait, time.Duration(item.LoadBy-now+1)*time.Microsecond)
	}
	return wait
}

// requestLoad records that the policy wants count more messages of a destination loaded.
func (s *spillState) requestLoad(dest, count int) {
	if s.requested == nil {
		s.requested = map[int]int{}
	}
	s.requested[dest] += count
}

// recordLoadStarted reduces the requested number of a destination by one, for a message that
// is being loaded.
func (s *spillState) recordLoadStarted(dest int) {
	if n := s.requested[dest]; n > 1 {
		s.requested[dest] = n - 1
	} else {
		delete(s.requested, dest)
	}
}

// retryUnreadable returns unreadable messages to the store once their delay has passed.
func (s *spillState) retryUnreadable(now policy.Time) {
	remaining := s.unreadable[:0]
	for _, item := range s.unreadable {
		if item.LoadBy > now {
			remaining = append(remaining, item)
		} else {
			s.store.Add(item.Dest, item.Entry)
		}
	}
	s.unreadable = remaining
}

// takeForLoading removes up to loadBatchSize messages from the store for loading: first those that
// are due, then those that the policy requested.
func (s *spillState) takeForLoading(now policy.Time) []backlog.Item {
	s.retryUnreadable(now)
	items := s.store.TakeDue(now, loadBatchSize)
	for _, item := range items {
		s.recordLoadStarted(item.Dest)
	}
	for dest, count := range s.requested {
		remaining := loadBatchSize - len(items)
		if remaining <= 0 {
			break
		}
		for _, item := range s.store.Take(dest, min(count, remaining)) {
			items = append(items, item)
			s.recordLoadStarted(dest)
		}
	}
	return items
}

// spill has a message dropped from memory and kept only in the log. That happens once the
// message is logged and its client is acknowledged.
func (r *Relay) spill(a *policy.Action) {
	m := r.messages.byNumber[a.Message]
	if m == nil || m.isCompleted { // it was withdrawn after the policy decided to spill it
		r.mailbox.Put(spilledWithdrawnEvent{message: a.Message, dest: a.Dest})
		return
	}
	m.pendingSpill = &backlog.Entry{LoadBy: a.Deadline, Flags: backlogFlags(a)}
	r.spillIfReady(m)
}

func backlogFlags(a *policy.Action) (f backlog.Flags) {
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

// spillIfReady spills a message if the policy has asked for that and nothing prevents it
// any more.
func (r *Relay) spillIfReady(m *message) {
	if m.pendingSpill == nil || !m.isAcknowledged || m.isCompleted || r.ownership.isTransferred {
		return
	}
	if m.record.Ref == 0 { // the log has no record of it, because an older message of this id is still being completed
		r.metrics.countUndelivered(m.class, discovery.Failed)
		r.failMessage(m)
		r.mailbox.Put(spilledWithdrawnEvent{message: m.number, dest: m.record.Dest})
		return
	}
	if !r.spilled.isLogged {
		r.spilled.isLogged = true
		r.log.Info("spilling to the log", "pending", r.messages.pending, "in_memory", len(r.messages.byNumber))
	}
	m.pendingSpill.Index, m.pendingSpill.Generation = uint32(m.record.Ref), uint16(m.record.Ref>>32)
	r.spilled.store.Add(m.record.Dest, *m.pendingSpill)
	r.clearDeadline(m)
	delete(r.messages.byID, m.record.ID)
	delete(r.messages.byNumber, m.number)
	r.metrics.spilled.Store(int64(r.spilled.count()))
}

// loadSpilled has the log read the messages that are due or requested, one batch at a
// time.
func (r *Relay) loadSpilled() {
	s := &r.spilled
	if r.ownership.isTransferred || len(s.reading) > 0 || s.count() == 0 {
		return
	}
	items := s.takeForLoading(r.clock.now())
	if len(items) == 0 {
		return
	}
	s.reading = items
	refs := make([]wal.Ref, len(items))
	for i := range items {
		refs[i] = wal.Ref(items[i].Generation)<<32 | wal.Ref(items[i].Index)
	}
	w := r.wal
	w.Do(func() { r.mailbox.Put(spilledLoadedEvent{log: w, items: items, records: w.Read(refs)}) })
}

// readmitLoaded returns the spilled messages that the log has read to the policy.
func (r *Relay) readmitLoaded(e spilledLoadedEvent) {
	if e.log != r.wal || r.ownership.isTransferred {
		return // the messages are from a log that was handed off
	}
	s := &r.spilled
	s.reading = nil
	for i, rec := range e.records {
		item := e.items[i]
		if rec != nil && rec.ID == "" { // unreadable: load another message instead and retry this one later
			item.LoadBy = r.clock.now() + loadRetryDelay
			s.unreadable = append(s.unreadable, item)
			s.requestLoad(item.Dest, 1)
			continue
		}
		r.messages.pending-- // readmit counts it again, unless it is no longer pending
		if rec == nil {
			r.log.Error("spilled message is not pending", "dest", item.Dest)
			r.step.add(policy.Event{Kind: policy.EventWithdraw, Spilled: true, Dest: item.Dest})
			continue
		}
		r.readmit(rec, item)
	}
	r.metrics.spilled.Store(int64(s.count()))
}

// readmit returns a loaded message to the policy, with the state that the log has of it.
func (r *Relay) readmit(rec *wal.Record, item backlog.Item) {
	m := r.newMessage(rec)
	m.isAcknowledged, m.isLogged, m.attempts = true, true, rec.Attempts
	r.metrics.loaded.Add(1)
	if rec.Corrupted {
		r.failMessage(m)
		r.log.Error("message lost to log corruption", "message", rec.ID)
		r.step.add(policy.Event{Kind: policy.EventWithdraw, Message: m.number, Spilled: true, Dest: item.Dest})
		return
	}
	if rec.InFlightSince != 0 { // the outcome of its last attempt could not be logged, so that attempt may have run
		if rec.UnknownOutcomeAt == 0 {
			rec.UnknownOutcomeAt, rec.UnknownOutcomeZone = rec.InFlightSince, rec.InFlightZone
		}
		rec.InFlightSince = 0
		r.wal.Submit(&wal.Record{Kind: wal.KindOutcome, ID: rec.ID, MayHaveRun: true}, nil)
	}
	e := r.recoveredMessageEvent(m)
	e.Spilled, e.Recovered, e.OverQuota = true, item.Flags&backlog.Recovered != 0, item.Flags&backlog.OverQuota != 0
	r.step.add(e)
}

// transferSpilled drops the spilled messages from this process; the next process recovers
// them from the log.
func (r *Relay) transferSpilled() {
	r.messages.pending -= r.spilled.count()
	r.spilled = spillState{}
	r.metrics.spilled.Store(0)
}
