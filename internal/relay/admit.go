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
func (r *Relay) admit(q *request) {
	end := r.at(q.at.Add(q.left))
	q.rec.Deadline = r.logTime(end)
	switch old := r.ids[q.rec.ID]; {
	case r.owner.passed && old == nil && !q.owed:
		r.takeOnFor(q)
		return
	case !r.stopAt.IsZero() && !r.owner.passed:
		r.turnAway(q, stopRetry, refusedStopping)
		return
	case old != nil && old.heard, old == nil && q.owed: // it is ours already
		q.answer(replyOK)
		return
	case old != nil:
		r.refused(q, refusedTwice)
		q.answer(fault(errors.New("id is being handed in already")))
		return
	case r.cfg.Policy.MaxMessages > 0 && r.held >= r.cfg.Policy.MaxMessages:
		r.turnAway(q, 0, refusedFull)
		return
	}
	m := r.newMessage(q.rec)
	m.req, m.taken = q, q.at
	m.due = r.overdue.add(end)
	r.waiting[q] = m
	r.events = append(r.events, policy.Event{Kind: policy.EventMessage, Message: m.num, Class: q.class,
		Dest: q.rec.Dest, Tenant: q.tenant, TimeLeft: end - r.now()})
}

// said: the client has its answer, or left before it.
func (r *Relay) said(q *request, ok bool) {
	m := r.waiting[q]
	if m == nil {
		return
	}
	delete(r.waiting, q)
	if !ok {
		r.withdraw(m)
		return
	}
	m.heard = true
	if b := m.pending; b != nil {
		r.launch(b)
	}
	if e := m.ending; e != nil {
		m.ending = nil
		r.end(m, e.Notice, e.RetryMS)
	}
	r.letGo(m)
}

// lost: the log has no room for the message, so it is not taken on.
func (r *Relay) lost(q *request) {
	if m := r.waiting[q]; m != nil {
		delete(r.waiting, q)
		r.withdraw(m)
	}
	r.turnAway(q, 0, refusedLog)
}

// turnAway refuses what was never taken on.
func (r *Relay) turnAway(q *request, ms int64, why refusal) {
	r.refused(q, why)
	r.fig.ended(q.class, discovery.Returned)
	q.answer(busy(ms))
}

// refused logs and counts why a request was not taken on.
func (r *Relay) refused(q *request, why refusal) {
	r.fig.refused[why].Add(1)
	r.log.Debug("refused", "message", q.rec.ID, "class", q.rec.Class, "dest", q.rec.Dest, "why", why, "left_ms", q.left.Milliseconds(), "held", r.held)
}

// withdraw: nobody wants the message any more, and nobody was told it is ours.
func (r *Relay) withdraw(m *message) {
	r.log.Debug("withdrawn", "message", m.rec.ID, "class", m.rec.Class, "dest", m.rec.Dest)
	if m.logged {
		r.wal.Submit(&wal.Record{Kind: wal.KindCompleted, ID: m.rec.ID}, nil)
	}
	m.ending = nil
	if !m.over {
		m.over = true
		r.drop(m)
		r.events = append(r.events, policy.Event{Kind: policy.EventWithdraw, Message: m.num, Spilled: m.spill != nil, Dest: m.rec.Dest})
	}
	r.takeBack(m)
}

// takeBack lets a message out of the batch that it waits in.
func (r *Relay) takeBack(m *message) {
	b := m.pending
	if b == nil {
		return
	}
	m.pending = nil
	b.remove(m)
	r.notSent(m, b.ep)
	r.launch(b) // it may have been the last one waited for
}

// takeOn logs a message; its client hears of it once that is done.
func (r *Relay) takeOn(m *message) {
	q := m.req
	m.req, m.logged = nil, true
	r.log.Debug("taken on", "message", m.rec.ID, "class", m.rec.Class, "dest", m.rec.Dest, "left_ms", (r.fromLogTime(m.rec.Deadline)-r.now())/1000)
	r.wal.Submit(m.rec, func(err error) {
		if err != nil {
			r.in.Put(happening{lost: q})
			return
		}
		q.answer(replyOK)
	})
}

func (r *Relay) newMessage(rec *wal.Record) *message {
	r.lastNum++
	m := &message{num: r.lastNum, rec: rec, class: place(r.cfg.classes, rec.Class), taken: time.Now()}
	r.msgs[m.num], r.ids[rec.ID] = m, m
	r.held++
	return m
}

// drop: the policy holds the message no longer.
func (r *Relay) drop(m *message) {
	if !m.away {
		r.held--
	}
	r.forgetDue(m)
	delete(r.ids, m.rec.ID)
	if m.call == nil && m.pending == nil && !m.far {
		delete(r.msgs, m.num)
	}
}

// forgetDue takes a message out of the count of what may be overdue.
func (r *Relay) forgetDue(m *message) {
	r.overdue.remove(m.due)
	m.due = 0
}
