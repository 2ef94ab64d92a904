package relay

import (
	"context"
	"slices"
	"time"

	"plovershore/internal/wal"
	"plovershore/policy"
)

// Attempts: from what the policy wants sent to the outcomes that it hears.

// reportNotSent tells the policy of an attempt that never left. The loop comes by
// again for it.
func (r *Relay) reportNotSent(m *message, ep *endpoint) {
	u := &unsent{m: m}
	if ep != nil {
		u.ep = ep.num
	}
	r.mailbox.Put(happening{unsent: u})
}

// addToBatch puts a send with those that the policy makes in the same call, as many
// as a call there may carry. Two calls of one step stay two: each has an end of
// its own, and the messages of one must not wait for those of the other.
func (r *Relay) addToBatch(m *message, a *policy.Action) {
	ep := r.endpointsByNumber[a.Endpoint]
	if ep == nil {
		r.reportNotSent(m, nil)
		return
	}
	size := framed(m.rec)
	for _, b := range r.batches {
		if b.ep == ep && b.num == a.Call && len(b.sends) < ep.batch && b.bytes+size <= bodyMost {
			b.sends, b.bytes = append(b.sends, send{m, a.Deadline, a.SendBy}), b.bytes+size
			m.pendingBatch = b
			return
		}
	}
	b := &batch{ep: ep, num: a.Call, sends: []send{{m, a.Deadline, a.SendBy}}, bytes: size}
	m.pendingBatch = b
	r.batches = append(r.batches, b)
}

// startBatch logs the attempts of a batch and then makes its call, unless a client
// has yet to hear of its message: what was not taken on must not go out.
func (r *Relay) startBatch(b *batch) {
	for _, s := range b.sends {
		if !s.m.isAcknowledged {
			return
		}
	}
	ep, now := b.ep, r.now()
	ctx, stop := context.WithCancelCause(r.ctx)
	keep := keepIdle(&r.cfg.Policy)
	ep.reuse(r.cfg, r.idleConns, min(ep.idle.limit(keep, now), r.idle.limit(keep, now)))
	c := &call{ep: ep, conns: ep.conns, ctx: ctx, stop: stop}
	limit := policy.Time(0)
	for _, s := range slices.Clone(b.sends) {
		m := s.m
		if r.isTooLateToSend(m) {
			continue // it stays pending
		}
		m.pendingBatch = nil
		b.remove(m)
		if ep.gone || ep.cell != m.rec.Dest || ep.waitOver > now || s.timeoutAt <= now || s.sendBy != 0 && s.sendBy <= now || m.isCompleted {
			r.reportNotSent(m, ep)
			continue
		}
		c.parts = append(c.parts, part{m: m, attempt: m.attempts - 1})
		if by := r.processTime(s.sendBy); s.sendBy != 0 && (c.by.IsZero() || by.Before(c.by)) {
			c.by = by
		}
		limit = max(limit, s.timeoutAt-now) // one connection: it stands until the last of them gives up
		m.call = c
	}
	if len(c.parts) == 0 {
		stop(nil)
		return
	}
	ep.calls[c] = true
	r.callsInFlight++
	r.pool.use(ep)
	r.logAndRun(c, time.Duration(limit)*time.Microsecond)
}

// logAndRun has the attempts of a call logged. On the log's goroutine, once the
// last of them is, the call is begun with those that could be.
func (r *Relay) logAndRun(c *call, limit time.Duration) {
	addr, at := c.ep.hostPort, r.logTime(r.now())
	results := make([]outcome, len(c.parts))
	var recs []*wal.Record // what could be logged, and so goes out
	var place []int        // its place in the call
	begin := func() {
		if len(recs) > 0 {
			c.wrote = func() {
				for _, i := range place {
					r.metrics.countWritten(c.parts[i].m.class)
				}
			}
			for i, o := range c.run(c.conns, addr, recs, limit, r.cfg.loadFields) {
				results[place[i]] = o
			}
		}
		c.stop(nil)
		r.mailbox.Put(happening{call: c, results: results})
	}
	last := len(c.parts) - 1
	for i := range c.parts {
		rec := c.parts[i].m.rec
		r.wal.Submit(&wal.Record{Kind: wal.KindAttempt, ID: rec.ID, At: at, Zone: c.ep.zone, Endpoint: c.ep.id, Process: r.ownership.process, Sync: r.isNonIdempotent(rec)}, func(err error) {
			if err != nil {
				results[i] = outcome{what: policy.NotSent, err: err, unsaved: true, unmade: true}
			} else {
				recs, place = append(recs, rec), append(place, i)
			}
			if i == last {
				go begin()
			}
		})
	}
}

// finishCall books the end of a call.
func (r *Relay) finishCall(c *call, results []outcome) {
	delete(c.ep.calls, c)
	r.callsInFlight--
	if c.stale {
		return
	}
	o, now := &results[0], r.now()
	if reset := o.what == policy.ConnectionReset; reset || o.status != 0 {
		c.ep.idle.book(o.idle, reset, now)
		r.idle.book(o.idle, reset, now)
	}
	if o.wait > 0 {
		r.applyRetryAfter(c.ep, o.wait)
	}
	if c.ep.suspect(o, now) {
		c.ep.conns.CloseIdleConnections()
	}
	if c.conns != c.ep.conns { // replaced meanwhile: its connection is of no more use
		c.conns.CloseIdleConnections()
	}
	for i := range c.parts {
		p := &c.parts[i]
		p.m.call = nil
		r.finishAttempt(p.m, c.ep, p.attempt, &results[i])
	}
}

// finishAttempt books the end of an attempt.
func (r *Relay) finishAttempt(m *message, ep *endpoint, attempt int, o *outcome) {
	e := policy.Event{Kind: policy.EventAttemptDone, Message: m.num, Attempt: attempt, Outcome: o.what, RetryAfter: o.wait,
		CallsExhausted: o.slots, LocalFailure: o.unmade, Final: o.settled || m.isCompleted, Latency: o.took, Load: o.load, NewConnection: o.fresh}
	if ep != nil {
		e.Endpoint = ep.num
	}
	if o.unmade {
		m.attempts--
		r.metrics.localFailures.Add(1)
	}
	if o.what != policy.Delivered || o.wait > 0 {
		r.checkAvailabilityOfCell(m.rec.Dest)
	}
	r.policyEvents = append(r.policyEvents, e)
	if o.what != policy.Delivered {
		r.log.Info("attempt", "message", m.rec.ID, "dest", m.rec.Dest, "class", m.rec.Class, "endpoint", e.Endpoint,
			"attempt", attempt, "outcome", int(o.what), "status", o.status, "took_ms", o.took/1000,
			"idle_ms", o.idle.Milliseconds(), "age_ms", time.Since(m.receivedAt).Milliseconds(), "err", o.err)
	}
	rec := &wal.Record{Kind: wal.KindOutcome, ID: m.rec.ID, MayHaveRun: !o.what.NeverRan(), LocalFailure: o.unmade}
	if o.settled {
		rec.Kind = wal.KindCompleted
	}
	if r.ownership.isTransferred { // the policy that is to know is another's
		rec.OutcomeCode, rec.Latency, rec.CallsExhausted = uint8(o.what), o.took, o.slots
		if o.wait > 0 {
			rec.RetryAt = r.logTime(r.now() + o.wait)
		}
	}
	if !o.unsaved {
		r.wal.Submit(rec, nil)
	}
	if o.settled && !m.isCompleted {
		if o.what == policy.Delivered {
			r.metrics.countDelivered(m.class)
		}
		m.isCompleted = true
		r.forgetMessage(m)
		return
	}
	if m.isCompleted {
		delete(r.messages, m.num)
	} else if r.ownership.isTransferred && !m.isTransferred {
		m.isTransferred = true
		r.pending--
		r.clearDeadline(m)
	}
}

// isTooLateToSend reports whether a call of a message is no longer begun, since the
// process will not be there for its end. The policy goes on to hold it to be
// out; the next process takes the message up from the log.
func (r *Relay) isTooLateToSend(m *message) bool {
	if r.stoppedAt.IsZero() {
		return false
	}
	last := stopCallsAfter
	if r.isNonIdempotent(m.rec) {
		last = stopUnsafeCallsAfter
	}
	return time.Since(r.stoppedAt) >= last
}

// isNonIdempotent reports whether a message may not have its effect twice.
func (r *Relay) isNonIdempotent(rec *wal.Record) bool {
	i, ok := r.cfg.classes[rec.Class]
	return ok && r.cfg.Policy.Classes[i].Idempotency == policy.NonIdempotent
}
