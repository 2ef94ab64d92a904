package relay

import (
	"errors"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// errDuplicateSubmission is sent to a client that submits an id while an earlier
// submission of the same id has no response yet.
var errDuplicateSubmission = errors.New("id is being handed in already")

// admit responds to a submitted message where the policy is not needed for that, and
// otherwise submits it to the policy, which decides in its next step.
func (r *Relay) admit(q *putRequest) {
	deadline := r.clock.policyTime(q.receivedAt.Add(q.timeLeft))
	q.record.Deadline = r.clock.logTime(deadline)
	existing := r.messages.byID[q.record.ID]
	isTransferred, limit := r.ownership.isTransferred, r.cfg.Policy.MaxMessages
	switch {
	case existing == nil && r.delivered.has(q.record.ID, time.Now()): // its client left before it read the response
		q.respond(responseOK)
	case isTransferred && existing == nil && !q.isPending:
		r.acceptForSuccessor(q)
	case r.shutdown.isRunning() && !isTransferred:
		r.rejectBusy(q, shutdownRetryMS, rejectedStopping)
	case existing != nil && existing.isAcknowledged, existing == nil && q.isPending: // it was accepted before
		q.respond(responseOK)
	case existing != nil:
		r.recordRejection(q, rejectedDuplicate)
		q.respond(errorResponse(errDuplicateSubmission))
	case limit > 0 && r.messages.pending >= limit:
		r.rejectBusy(q, 0, rejectedFull)
	default:
		r.submitToPolicy(q, deadline)
	}
}

// submitToPolicy registers a message and has the policy decide in its next step whether
// it is accepted.
func (r *Relay) submitToPolicy(q *putRequest, deadline policy.Time) {
	m := r.newMessage(q.record)
	m.request, m.receivedAt = q, q.receivedAt
	m.deadlineSpan = r.overdue.add(deadline)
	r.messages.unanswered[q] = m
	r.step.add(policy.Event{Kind: policy.EventMessage, Message: m.number, Class: q.class,
		Dest: q.record.Dest, Tenant: q.tenant, TimeLeft: deadline - r.clock.now()})
}

// handleResponseDone handles the end of a client's wait for its response. If the response was
// sent, the batch, completion or spill that waited for it proceeds. If the client left
// before the response, its message is withdrawn.
func (r *Relay) handleResponseDone(q *putRequest, isSent bool) {
	m := r.messages.unanswered[q]
	if m == nil {
		return
	}
	delete(r.messages.unanswered, q)
	if !isSent {
		r.withdraw(m)
		return
	}
	m.isAcknowledged = true
	if b := m.pendingBatch; b != nil {
		r.startBatch(b)
	}
	if e := m.pendingCompletion; e != nil {
		m.pendingCompletion = nil
		r.logCompletion(m, e.Notice, e.RetryMS)
	}
	r.spillIfReady(m)
}

// rejectUnlogged rejects a message that could not be written to the log.
func (r *Relay) rejectUnlogged(q *putRequest) {
	if m := r.messages.unanswered[q]; m != nil {
		delete(r.messages.unanswered, q)
		r.withdraw(m)
	}
	r.rejectBusy(q, 0, rejectedNotLogged)
}

// rejectBusy rejects a message that was never accepted. Its client may submit it again
// after retryMS milliseconds; 0 gives no time.
func (r *Relay) rejectBusy(q *putRequest, retryMS int64, reason rejection) {
	r.recordRejection(q, reason)
	r.metrics.countUndelivered(q.class, discovery.Returned)
	q.respond(busyResponse(retryMS))
}

// recordRejection logs and counts why a message was not accepted.
func (r *Relay) recordRejection(q *putRequest, reason rejection) {
	r.metrics.rejections[reason].Add(1)
	r.log.Debug("message rejected", "reason", reason, "message", q.record.ID, "class", q.record.Class, "dest", q.record.Dest,
		"left_ms", q.timeLeft.Milliseconds(), "pending", r.messages.pending)
}

// withdraw removes a message whose client was not told that it is accepted, from the log
// and from the policy.
func (r *Relay) withdraw(m *message) {
	r.log.Debug("message withdrawn", "message", m.record.ID, "class", m.record.Class, "dest", m.record.Dest)
	if m.isLogged {
		r.wal.Submit(&wal.Record{Kind: wal.KindCompleted, ID: m.record.ID}, nil)
	}
	m.pendingCompletion = nil
	if !m.isCompleted {
		r.markCompleted(m)
		r.step.add(policy.Event{Kind: policy.EventWithdraw, Message: m.number, Spilled: m.pendingSpill != nil, Dest: m.record.Dest})
	}
	r.removeFromBatch(m)
}

// removeFromBatch cancels the pending send of a message, if it has one.
func (r *Relay) removeFromBatch(m *message) {
	b := m.pendingBatch
	if b == nil {
		return
	}
	m.pendingBatch = nil
	b.remove(m)
	r.queueNotSent(m, b.endpoint)
	r.startBatch(b) // the others may have waited for the acknowledgement of this message only
}

// accept logs a message. Its client gets the response once the log has written it.
func (r *Relay) accept(m *message) {
	q := m.request
	m.request, m.isLogged = nil, true
	r.log.Debug("message accepted", "message", m.record.ID, "class", m.record.Class, "dest", m.record.Dest,
		"left_ms", (r.clock.fromLogTime(m.record.Deadline)-r.clock.now())/1000)
	r.logAccepted(q)
}

// logAccepted logs a message and then responds to its client. If logging fails, the loop
// is told to reject the message.
func (r *Relay) logAccepted(q *putRequest) {
	r.wal.Submit(q.record, func(err error) {
		if err != nil {
			r.mailbox.Put(logRejectedEvent{q})
			return
		}
		q.respond(responseOK)
	})
}

// newMessage creates a message and registers it as pending in this process.
func (r *Relay) newMessage(rec *wal.Record) *message {
	table := &r.messages
	table.lastNumber++
	m := &message{number: table.lastNumber, record: rec, class: indexOf(r.cfg.classes, rec.Class), receivedAt: time.Now()}
	table.byNumber[m.number], table.byID[rec.ID] = m, m
	table.pending++
	return m
}

// markCompleted records that a message was completed without a decision of the policy.
func (r *Relay) markCompleted(m *message) {
	m.isCompleted = true
	r.forgetMessage(m)
}

// forgetMessage drops a message that the policy no longer tracks. While a call or a batch
// still refers to the message, its number stays known.
func (r *Relay) forgetMessage(m *message) {
	if !m.isTransferred {
		r.messages.pending--
	}
	r.clearDeadline(m)
	delete(r.messages.byID, m.record.ID)
	if m.call == nil && m.pendingBatch == nil && !m.hasRemoteCall {
		delete(r.messages.byNumber, m.number)
	}
}

// transferMessage records that the process that now owns the relay is responsible for a
// message.
func (r *Relay) transferMessage(m *message) {
	m.isTransferred = true
	r.messages.pending--
	r.clearDeadline(m)
}

// clearDeadline removes a message from the overdue counter.
func (r *Relay) clearDeadline(m *message) {
	r.overdue.remove(m.deadlineSpan)
	m.deadlineSpan = 0
}
