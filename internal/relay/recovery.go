package relay

import (
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// recoveryBatchSize is how many pending messages are read at a time after a start, so
// that clients are served in between.
const recoveryBatchSize = 2000

// restoreMessages registers messages that an earlier process left pending and reports them to the
// policy. neverSpill keeps them in memory; it is set for messages that may still be
// withdrawn.
func (r *Relay) restoreMessages(records []*wal.Record, neverSpill bool) {
	for _, rec := range records {
		m := r.newMessage(rec)
		m.isAcknowledged, m.isLogged, m.attempts = true, true, rec.Attempts
		if r.completeRecovered(m) {
			continue
		}
		e := r.recoveredMessageEvent(m)
		e.Recovered, e.NeverSpill = true, neverSpill
		if r.recovery.isDowntimeUnknown && rec.UnknownOutcomeAt != 0 {
			e.UnknownOutcomeAt = 1 // the earliest time, so that its deduplication window counts as over, since its age is unknown
		}
		if rec.InFlightSince != 0 {
			m.hasRemoteCall, r.messages.remoteCalls[rec.ID] = true, m
			e.InFlightEndpoint, e.InFlightSince = r.endpoints.numberOf(rec.InFlightEndpoint), r.clock.fromLogTime(rec.InFlightSince)
		}
		r.step.add(e)
		r.log.Info("message recovered", "message", rec.ID, "class", rec.Class, "attempts", rec.Attempts,
			"may_have_run", rec.UnknownOutcomeAt != 0, "left", time.Duration(e.TimeLeft)*time.Microsecond)
	}
}

// completeRecovered completes a recovered message that needs no decision of the policy. It
// reports whether the message was completed.
func (r *Relay) completeRecovered(m *message) bool {
	rec := m.record
	switch {
	case rec.Notice != "": // it is completed already, but the platform has not accepted the notice
		r.markCompleted(m)
		r.notices.Put(discovery.Notice{Message: rec.ID, Outcome: rec.Notice, RetryMS: rec.RetryMS})
	case rec.Corrupted: // the notice tells its client of the loss
		r.failMessage(m)
		r.log.Error("message lost to log corruption", "message", rec.ID)
	case m.class < 0: // its class is no longer in the settings, so whether it may be retried is unknown
		r.failMessage(m)
	default:
		return false
	}
	return true
}

// recoveredMessageEvent returns the policy's event of a message that was read from the
// log, with the state that the log has of it, and adds the message to the overdue counter.
func (r *Relay) recoveredMessageEvent(m *message) policy.Event {
	rec := m.record
	e := policy.Event{Kind: policy.EventMessage, Message: m.number, Class: m.class, Dest: rec.Dest, Tenant: -1,
		TimeLeft: r.clock.fromLogTime(rec.Deadline) - r.clock.now(), Attempts: rec.Attempts, UnknownOutcomeZone: rec.UnknownOutcomeZone}
	if tenant, ok := r.cfg.tenants[rec.Tenant]; ok {
		e.Tenant = tenant
	}
	if rec.UnknownOutcomeAt != 0 {
		e.UnknownOutcomeAt = max(r.clock.fromLogTime(rec.UnknownOutcomeAt), 1)
	}
	m.deadlineSpan = r.overdue.add(r.clock.now() + e.TimeLeft)
	return e
}

// readNextPending has the log read the next batch of messages that were pending at the
// start.
func (r *Relay) readNextPending() {
	w := r.wal
	w.Do(func() {
		records := w.Next(recoveryBatchSize)
		r.mailbox.Put(recoveredEvent{log: w, records: records, unread: w.PendingUnread()})
	})
}

// handleRecovered recovers messages that the log has read and requests the next batch. After
// the last batch the relay becomes ready.
func (r *Relay) handleRecovered(e recoveredEvent) {
	if e.log != r.wal || r.ownership.isTransferred {
		return // the messages are from a log that was handed off
	}
	r.restoreMessages(e.records, false)
	if e.unread < 0 { // checkPendingInLog read it ahead of its turn
		return
	}
	r.metrics.logUnread.Store(int64(e.unread))
	if e.unread > 0 {
		r.readNextPending()
		return
	}
	r.recovery.isRunning = false
	r.setReadyUnlessDrained()
}

// checkPendingInLog asks the log whether a submitted message is already pending but not in
// memory, because it was not read yet since the start or is spilled. The submission is
// handled again once the log has answered.
func (r *Relay) checkPendingInLog(q *putRequest) {
	w := r.wal
	w.Do(func() {
		if rec := w.Fetch(q.record.ID); rec != nil {
			r.mailbox.Put(recoveredEvent{log: w, records: []*wal.Record{rec}, unread: -1})
		}
		q.isPending = w.IsPending(q.record.ID)
		r.mailbox.Put(submitEvent{request: q, isLogChecked: true})
	})
}

// recoverIfNotInMemory reports whether a message that the previous process accepted is
// already pending here but not in memory. It recovers the message if it was not read yet
// since the start. It blocks the loop until the log has answered; this cannot deadlock,
// since the log never waits for the loop.
func (r *Relay) recoverIfNotInMemory(id string) bool {
	if !r.recovery.isRunning && r.spilled.count() == 0 {
		return false
	}
	var rec *wal.Record
	var isPending bool
	done := make(chan struct{})
	w := r.wal
	w.Do(func() {
		defer close(done)
		rec = w.Fetch(id)
		isPending = rec != nil || w.IsPending(id)
	})
	<-done
	if rec != nil {
		r.restoreMessages([]*wal.Record{rec}, false)
	}
	return isPending
}
