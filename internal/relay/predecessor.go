package relay

import (
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// readHandoffLog handles the new records in the handoff log of the previous process. If
// that process has exited, it then ends the handoff.
func (r *Relay) readHandoffLog() {
	handoff := r.ownership.handoff
	hasExited := handoff.OwnerExited() // checked before reading, so that an exited process's records are all read
	for _, rec := range handoff.Read() {
		r.applyHandoffRecord(rec)
	}
	if !hasExited {
		return
	}
	r.log.Info("previous process exited", "calls", len(r.messages.remoteCalls))
	for _, m := range r.messages.remoteCalls { // their outcomes are unknown
		r.finishRemoteAttempt(m, &wal.Record{Kind: wal.KindOutcome, ID: m.record.ID, MayHaveRun: true, OutcomeCode: uint8(policy.Cancelled)})
	}
	r.adoptSharedDrain() // that process may have been given the last command
	w := r.wal
	owner := &wal.Record{Kind: wal.KindOwner, ID: wal.NoMessage, Process: r.ownership.process, HandoffOffset: handoff.Offset()}
	w.Submit(owner, func(error) { w.FinishHandoff(handoff) })
	r.ownership.handoff = nil
	r.splitLimits()
}

// applyHandoffRecord applies one record of the handoff log: a newly accepted message, the
// outcome of a call or the withdrawal of a message.
func (r *Relay) applyHandoffRecord(rec *wal.Record) {
	m := r.messages.byID[rec.ID]
	switch remoteMessage := r.messages.remoteCalls[rec.ID]; {
	case rec.Kind == wal.KindAccepted && m == nil && r.delivered.has(rec.ID, time.Now()): // its client had submitted it here, too
	case rec.Kind == wal.KindAccepted && m == nil && r.recoverIfNotInMemory(rec.ID): // already pending here: its client had submitted it again
		r.wal.Submit(rec, nil)
	case rec.Kind == wal.KindAccepted && m == nil:
		r.acceptFromPredecessor(rec)
	case remoteMessage != nil && (rec.Kind == wal.KindOutcome || rec.Kind == wal.KindCompleted):
		r.finishRemoteAttempt(remoteMessage, rec)
	case m != nil && rec.Kind == wal.KindCompleted: // its client left before the response
		r.markCompleted(m)
		r.step.add(policy.Event{Kind: policy.EventWithdraw, Message: m.number})
		r.wal.Submit(rec, nil)
	}
}

// acceptFromPredecessor registers and logs a message that the previous process accepted
// after the handoff.
func (r *Relay) acceptFromPredecessor(rec *wal.Record) {
	logRecord := *rec
	rec.HandoffOffset = 0
	r.restoreMessages([]*wal.Record{rec}, true)
	m := r.messages.byID[rec.ID]
	if m == nil { // restoreMessages has completed it
		return
	}
	r.wal.Submit(&logRecord, func(err error) {
		if err != nil {
			r.mailbox.Put(handoffRejectedEvent{m})
		}
	})
}

// finishRemoteAttempt handles the outcome of a call of the previous process.
func (r *Relay) finishRemoteAttempt(m *message, rec *wal.Record) {
	delete(r.messages.remoteCalls, m.record.ID)
	m.hasRemoteCall = false
	isSettled := rec.Kind == wal.KindCompleted
	if isSettled && policy.Outcome(rec.OutcomeCode) == policy.Delivered {
		r.delivered.add(m.record.ID, time.Now())
	}
	e := policy.Event{Kind: policy.EventAttemptDone, Message: m.number, Attempt: m.attempts - 1, Outcome: policy.Outcome(rec.OutcomeCode),
		CallsExhausted: rec.CallsExhausted, Final: isSettled || m.isCompleted, Latency: rec.Latency}
	if rec.RetryAt != 0 {
		e.RetryAfter = max(r.clock.fromLogTime(rec.RetryAt)-r.clock.now(), 1)
	}
	r.step.add(e)
	r.endpoints.checkAvailabilityOfCell(m.record.Dest)
	r.wal.Submit(rec, nil)
	if m.isCompleted {
		delete(r.messages.byNumber, m.number)
	} else if isSettled {
		r.markCompleted(m)
	}
}

// returnUnlogged returns a message to the platform that the previous process accepted but
// that could not be written to the log, for example for lack of space. No attempt of it could be logged either, so it was never
// sent.
func (r *Relay) returnUnlogged(m *message) {
	if m.isCompleted {
		return
	}
	r.markCompleted(m)
	r.metrics.countUndelivered(m.class, discovery.Returned)
	r.step.add(policy.Event{Kind: policy.EventWithdraw, Message: m.number})
	r.notices.Put(discovery.Notice{Message: m.record.ID, Outcome: discovery.Returned, RetryMS: shutdownRetryMS})
}
