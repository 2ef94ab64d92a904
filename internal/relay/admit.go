package relay

import (
	"errors"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// How messages come to be held, and how the loop lets go of them.

// admit shows a message to the policy. Whether it is taken on shows in the
// step: what the policy ends there is refused with no further ado.
func (r *Relay) admit(q *putRequest) {
	end := r.policyTime(q.receivedAt.Add(q.timeLeft))
	q.record.Deadline = r.logTime(end)
	switch old := r.messagesByID[q.record.ID]; {
	case r.ownership.isTransferred && old == nil && !q.isPending:
		r.acceptForSuccessor(q)
		return
	case !r.stoppedAt.IsZero() && !r.ownership.isTransferred:
		r.rejectBusy(q, shutdownRetryMS, rejectedStopping)
		return
	case old != nil && old.isAcknowledged, old == nil && q.isPending: // it is ours already
		q.respond(responseOK)
		return
	case old != nil:
		r.recordRejection(q, rejectedDuplicate)
		q.respond(errorResponse(errors.New("id is being handed in already")))
		return
	case r.cfg.Policy.MaxMessages > 0 && r.pending >= r.cfg.Policy.MaxMessages:
		r.rejectBusy(q, 0, rejectedFull)
		return
	}
	m := r.newMessage(q.record)
	m.req, m.receivedAt = q, q.receivedAt
	m.deadlineSpan = r.overdue.add(end)
	r.unanswered[q] = m
	r.policyEvents = append(r.policyEvents, policy.Event{Kind: policy.EventMessage, Message: m.num, Class: q.class,
		Dest: q.record.Dest, Tenant: q.tenant, TimeLeft: end - r.now()})
}

// acknowledge: the client has its answer, or left before it.
func (r *Relay) acknowledge(q *putRequest, ok bool) {
	m := r.unanswered[q]
	if m == nil {
		return
	}
	delete(r.unanswered, q)
	if !ok {
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

// rejectUnlogged: the log has no room for the message, so it is not taken on.
func (r *Relay) rejectUnlogged(q *putRequest) {
	if m := r.unanswered[q]; m != nil {
		delete(r.unanswered, q)
		r.withdraw(m)
	}
	r.rejectBusy(q, 0, rejectedLog)
}

// rejectBusy refuses what was never taken on.
func (r *Relay) rejectBusy(q *putRequest, ms int64, why rejection) {
	r.recordRejection(q, why)
	r.metrics.countUndelivered(q.class, discovery.Returned)
	q.respond(busyResponse(ms))
}

// recordRejection logs and counts why a request was not taken on.
func (r *Relay) recordRejection(q *putRequest, why rejection) {
	r.metrics.rejections[why].Add(1)
	r.log.Debug("refused", "message", q.record.ID, "class", q.record.Class, "dest", q.record.Dest, "why", why, "left_ms", q.timeLeft.Milliseconds(), "held", r.pending)
}

// withdraw: nobody wants the message any more, and nobody was told it is ours.
func (r *Relay) withdraw(m *message) {
	r.log.Debug("withdrawn", "message", m.rec.ID, "class", m.rec.Class, "dest", m.rec.Dest)
	if m.isLogged {
		r.wal.Submit(&wal.Record{Kind: wal.KindCompleted, ID: m.rec.ID}, nil)
	}
	m.pendingCompletion = nil
	if !m.isCompleted {
		m.isCompleted = true
		r.forgetMessage(m)
		r.policyEvents = append(r.policyEvents, policy.Event{Kind: policy.EventWithdraw, Message: m.num, Spilled: m.pendingSpill != nil, Dest: m.rec.Dest})
	}
	r.removeFromBatch(m)
}

// removeFromBatch lets a message out of the batch that it waits in.
func (r *Relay) removeFromBatch(m *message) {
	b := m.pendingBatch
	if b == nil {
		return
	}
	m.pendingBatch = nil
	b.remove(m)
	r.reportNotSent(m, b.ep)
	r.startBatch(b) // it may have been the last one waited for
}

// accept logs a message; its client hears of it once that is done.
func (r *Relay) accept(m *message) {
	q := m.req
	m.req, m.isLogged = nil, true
	r.log.Debug("taken on", "message", m.rec.ID, "class", m.rec.Class, "dest", m.rec.Dest, "left_ms", (r.fromLogTime(m.rec.Deadline)-r.now())/1000)
	r.wal.Submit(m.rec, func(err error) {
		if err != nil {
			r.mailbox.Put(happening{lost: q})
			return
		}
		q.respond(responseOK)
	})
}

func (r *Relay) newMessage(rec *wal.Record) *message {
	r.lastMessage++
	m := &message{num: r.lastMessage, rec: rec, class: indexOf(r.cfg.classes, rec.Class), receivedAt: time.Now()}
	r.messages[m.num], r.messagesByID[rec.ID] = m, m
	r.pending++
	return m
}

// forgetMessage: the policy holds the message no longer.
func (r *Relay) forgetMessage(m *message) {
	if !m.isTransferred {
		r.pending--
	}
	r.clearDeadline(m)
	delete(r.messagesByID, m.rec.ID)
	if m.call == nil && m.pendingBatch == nil && !m.hasRemoteCall {
		delete(r.messages, m.num)
	}
}

// clearDeadline takes a message out of the count of what may be overdue.
func (r *Relay) clearDeadline(m *message) {
	r.overdue.remove(m.deadlineSpan)
	m.deadlineSpan = 0
}
