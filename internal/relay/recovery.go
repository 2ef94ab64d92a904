package relay

import (
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// What an earlier process left owed, as the log reads it.

// restore takes up what an earlier process left owed; that which may still be
// withdrawn stays in memory.
func (r *Relay) restore(records []*wal.Record, neverSpill bool) {
	for _, rec := range records {
		m := r.newMessage(rec)
		m.isAcknowledged, m.isLogged, m.attempts = true, true, rec.Attempts
		if rec.Notice != "" {
			m.isCompleted = true
			r.forgetMessage(m)
			r.notices.Put(discovery.Notice{Message: rec.ID, Outcome: rec.Notice, RetryMS: rec.RetryMS})
			continue
		}
		if rec.Corrupted { // damage took it: whoever handed it in is told
			m.isCompleted = true
			r.forgetMessage(m)
			r.logCompletion(m, discovery.Failed, 0)
			r.log.Error("lost", "message", rec.ID)
			continue
		}
		if m.class < 0 { // the settings have changed: nothing is promised of its effect
			m.isCompleted = true
			r.forgetMessage(m)
			r.logCompletion(m, discovery.Failed, 0)
			continue
		}
		e := r.recoveredMessageEvent(m)
		e.Recovered, e.NeverSpill = true, neverSpill
		if r.isGapUnknown && rec.UnknownOutcomeAt != 0 {
			e.UnknownOutcomeAt = 1 // nobody knows how long ago: its window counts as over
		}
		if rec.InFlightSince != 0 {
			m.hasRemoteCall, r.remoteCalls[rec.ID] = true, m
			e.InFlightEndpoint, e.InFlightSince = r.endpointNumber(rec.InFlightEndpoint), r.fromLogTime(rec.InFlightSince)
		}
		r.policyEvents = append(r.policyEvents, e)
		r.log.Info("resumed", "message", rec.ID, "class", rec.Class, "tries", rec.Attempts,
			"may_have_run", rec.UnknownOutcomeAt != 0, "left", time.Duration(e.TimeLeft)*time.Microsecond)
	}
}

// recoveredMessageEvent tells the policy of a message that the log has had for a while, with
// its state.
func (r *Relay) recoveredMessageEvent(m *message) policy.Event {
	rec := m.rec
	e := policy.Event{Kind: policy.EventMessage, Message: m.num, Class: m.class, Dest: rec.Dest, Tenant: -1,
		TimeLeft: r.fromLogTime(rec.Deadline) - r.now(), Attempts: rec.Attempts, UnknownOutcomeZone: rec.UnknownOutcomeZone}
	if t, ok := r.cfg.tenants[rec.Tenant]; ok {
		e.Tenant = t
	}
	if rec.UnknownOutcomeAt != 0 {
		e.UnknownOutcomeAt = max(r.fromLogTime(rec.UnknownOutcomeAt), 1)
	}
	m.deadlineSpan = r.overdue.add(r.now() + e.TimeLeft)
	return e
}

// recoveryBatchSize is how many messages are read at a time of those that were owed at
// the start: clients are served in between.
const recoveryBatchSize = 2000

// readNextPending has the log read more of what was owed at the start.
func (r *Relay) readNextPending() {
	w := r.wal
	w.Do(func() {
		recs := w.Next(recoveryBatchSize)
		r.mailbox.Put(happening{resumed: &recoveredEvent{w, recs, w.PendingUnread()}})
	})
}

// restoreRead takes up what the log has read.
func (r *Relay) restoreRead(x *recoveredEvent) {
	if x.log != r.wal || r.ownership.isTransferred {
		return // of a log that was passed on
	}
	r.restore(x.records, false)
	if x.unread < 0 { // one that a client asked for ahead of its turn
		return
	}
	r.metrics.logUnread.Store(int64(x.unread))
	if x.unread > 0 {
		r.readNextPending()
		return
	}
	r.isRecovering = false
	if !r.isDraining {
		r.setReady()
	}
}

// lookUpPending asks the log whether a message that is handed in is owed already, but
// was not read yet since the start, or is spilled. It is admitted once that is
// known.
func (r *Relay) lookUpPending(q *putRequest) {
	w := r.wal
	w.Do(func() {
		if rec := w.Fetch(q.record.ID); rec != nil {
			r.mailbox.Put(happening{resumed: &recoveredEvent{w, []*wal.Record{rec}, -1}})
		}
		q.isPending = w.IsPending(q.record.ID)
		r.mailbox.Put(happening{put: q, looked: true})
	})
}

// endpointNumber gives the policy's number of an endpoint by its id, listed or not.
func (r *Relay) endpointNumber(id string) policy.Endpoint {
	if ep := r.endpoints[id]; ep != nil {
		return ep.number
	}
	r.lastEndpoint++
	return r.lastEndpoint
}
