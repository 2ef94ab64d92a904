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
		u.ep = ep.number
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
	size := batchItemSize(m.rec)
	for _, b := range r.batches {
		if b.ep == ep && b.num == a.Call && len(b.sends) < ep.maxBatch && b.bytes+size <= maxBodyBytes {
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
	keep := maxIdleTime(&r.cfg.Policy)
	ep.setIdleTimeout(r.cfg, r.idleConns, min(ep.idleResets.maxIdle(keep, now), r.idle.maxIdle(keep, now)))
	c := &call{endpoint: ep, transport: ep.transport, ctx: ctx, cancel: stop}
	limit := policy.Time(0)
	for _, s := range slices.Clone(b.sends) {
		m := s.m
		if r.isTooLateToSend(m) {
			continue // it stays pending
		}
		m.pendingBatch = nil
		b.remove(m)
		if ep.isStopped || ep.cell != m.rec.Dest || ep.retryAfterUntil > now || s.timeoutAt <= now || s.sendBy != 0 && s.sendBy <= now || m.isCompleted {
			r.reportNotSent(m, ep)
			continue
		}
		c.messages = append(c.messages, callMessage{message: m, attempt: m.attempts - 1})
		if by := r.processTime(s.sendBy); s.sendBy != 0 && (c.sendBy.IsZero() || by.Before(c.sendBy)) {
			c.sendBy = by
		}
		limit = max(limit, s.timeoutAt-now) // one connection: it stands until the last of them gives up
		m.call = c
	}
	if len(c.messages) == 0 {
		stop(nil)
		return
	}
	ep.calls[c] = true
	r.callsInFlight++
	r.pool.prepareCall(ep)
	r.logAndRun(c, time.Duration(limit)*time.Microsecond)
}

// logAndRun has the attempts of a call logged. On the log's goroutine, once the
// last of them is, the call is begun with those that could be.
func (r *Relay) logAndRun(c *call, limit time.Duration) {
	addr, at := c.endpoint.hostPort, r.logTime(r.now())
	results := make([]outcome, len(c.messages))
	var recs []*wal.Record // what could be logged, and so goes out
	var place []int        // its place in the call
	begin := func() {
		if len(recs) > 0 {
			c.onWritten = func() {
				for _, i := range place {
					r.metrics.countWritten(c.messages[i].message.class)
				}
			}
			for i, o := range c.run(c.transport, addr, recs, limit, r.cfg.loadFields) {
				results[place[i]] = o
			}
		}
		c.cancel(nil)
		r.mailbox.Put(happening{call: c, results: results})
	}
	last := len(c.messages) - 1
	for i := range c.messages {
		rec := c.messages[i].message.rec
		r.wal.Submit(&wal.Record{Kind: wal.KindAttempt, ID: rec.ID, At: at, Zone: c.endpoint.zone, Endpoint: c.endpoint.id, Process: r.ownership.process, Sync: r.isNonIdempotent(rec)}, func(err error) {
			if err != nil {
				results[i] = outcome{kind: policy.NotSent, err: err, isUnlogged: true, isLocalFailure: true}
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
	delete(c.endpoint.calls, c)
	r.callsInFlight--
	if c.isAbandoned {
		return
	}
	o, now := &results[0], r.now()
	if reset := o.kind == policy.ConnectionReset; reset || o.status != 0 {
		c.endpoint.idleResets.record(o.idleTime, reset, now)
		r.idle.record(o.idleTime, reset, now)
	}
	if o.retryAfter > 0 {
		r.applyRetryAfter(c.endpoint, o.retryAfter)
	}
	if c.endpoint.updateLiveness(o, now) {
		c.endpoint.transport.CloseIdleConnections()
	}
	if c.transport != c.endpoint.transport { // replaced meanwhile: its connection is of no more use
		c.transport.CloseIdleConnections()
	}
	for i := range c.messages {
		p := &c.messages[i]
		p.message.call = nil
		r.finishAttempt(p.message, c.endpoint, p.attempt, &results[i])
	}
}

// finishAttempt books the end of an attempt.
func (r *Relay) finishAttempt(m *message, ep *endpoint, attempt int, o *outcome) {
	e := policy.Event{Kind: policy.EventAttemptDone, Message: m.num, Attempt: attempt, Outcome: o.kind, RetryAfter: o.retryAfter,
		CallsExhausted: o.callsExhausted, LocalFailure: o.isLocalFailure, Final: o.isFinal || m.isCompleted, Latency: o.latency, Load: o.load, NewConnection: o.isNewConnection}
	if ep != nil {
		e.Endpoint = ep.number
	}
	if o.isLocalFailure {
		m.attempts--
		r.metrics.localFailures.Add(1)
	}
	if o.kind != policy.Delivered || o.retryAfter > 0 {
		r.checkAvailabilityOfCell(m.rec.Dest)
	}
	r.policyEvents = append(r.policyEvents, e)
	if o.kind != policy.Delivered {
		r.log.Info("attempt", "message", m.rec.ID, "dest", m.rec.Dest, "class", m.rec.Class, "endpoint", e.Endpoint,
			"attempt", attempt, "outcome", int(o.kind), "status", o.status, "took_ms", o.latency/1000,
			"idle_ms", o.idleTime.Milliseconds(), "age_ms", time.Since(m.receivedAt).Milliseconds(), "err", o.err)
	}
	rec := &wal.Record{Kind: wal.KindOutcome, ID: m.rec.ID, MayHaveRun: !o.kind.NeverRan(), LocalFailure: o.isLocalFailure}
	if o.isFinal {
		rec.Kind = wal.KindCompleted
	}
	if r.ownership.isTransferred { // the policy that is to know is another's
		rec.OutcomeCode, rec.Latency, rec.CallsExhausted = uint8(o.kind), o.latency, o.callsExhausted
		if o.retryAfter > 0 {
			rec.RetryAt = r.logTime(r.now() + o.retryAfter)
		}
	}
	if !o.isUnlogged {
		r.wal.Submit(rec, nil)
	}
	if o.isFinal && !m.isCompleted {
		if o.kind == policy.Delivered {
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
