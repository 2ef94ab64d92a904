package relay

import (
	"context"
	"slices"
	"time"

	"plovershore/internal/wal"
	"plovershore/policy"
)

// queueNotSent tells the policy of an attempt that never left this process, in the
// next round of the loop. The endpoint may be nil.
func (r *Relay) queueNotSent(m *message, ep *endpoint) {
	e := attemptNotSentEvent{message: m}
	if ep != nil {
		e.endpoint = ep.number
	}
	r.mailbox.Put(e)
}

// addToBatch puts a send with those that the policy makes in the same call, as many
// as one call to the endpoint may carry. Two calls of one step stay two: each has a
// result of its own, and the messages of one must not wait for those of the other.
func (r *Relay) addToBatch(m *message, a *policy.Action) {
	ep := r.endpoints.byNumber[a.Endpoint]
	if ep == nil {
		r.queueNotSent(m, nil)
		return
	}
	size := batchItemSize(m.record)
	s := send{message: m, timeoutAt: a.Deadline, sendBy: a.SendBy}
	for _, b := range r.step.batches {
		if b.endpoint == ep && b.callNumber == a.Call && len(b.sends) < ep.maxBatch && b.bodyBytes+size <= maxBodyBytes {
			b.sends, b.bodyBytes = append(b.sends, s), b.bodyBytes+size
			m.pendingBatch = b
			return
		}
	}
	b := &batch{endpoint: ep, callNumber: a.Call, sends: []send{s}, bodyBytes: size}
	m.pendingBatch = b
	r.step.batches = append(r.step.batches, b)
}

// startBatch logs the attempts of a batch and then makes its call, unless a client is
// still to be acknowledged: a message that may yet be withdrawn must not go out.
func (r *Relay) startBatch(b *batch) {
	for _, s := range b.sends {
		if !s.message.isAcknowledged {
			return
		}
	}
	c := r.newCall(b.endpoint)
	limit := r.fillCall(b, c)
	if len(c.messages) == 0 {
		c.cancel(nil)
		return
	}
	b.endpoint.calls[c] = true
	r.callsInFlight++
	r.pool.prepareCall(b.endpoint)
	r.logAndRun(c, time.Duration(limit)*time.Microsecond)
}

// newCall makes an empty call to an endpoint, on connections that are not kept idle
// for longer than calls there have shown to be safe.
func (r *Relay) newCall(ep *endpoint) *call {
	now := r.clock.now()
	keep := maxIdleTime(&r.cfg.Policy)
	ep.setIdleTimeout(r.cfg, r.idleConns, min(ep.idleResets.maxIdle(keep, now), r.idle.maxIdle(keep, now)))
	ctx, stop := context.WithCancelCause(r.ctx)
	return &call{endpoint: ep, transport: ep.transport, ctx: ctx, cancel: stop}
}

// fillCall moves what may still be sent from a batch to its call. It returns when
// the last of the attempts times out, in µs from now: one connection carries them all.
func (r *Relay) fillCall(b *batch, c *call) (limit policy.Time) {
	now := r.clock.now()
	for _, s := range slices.Clone(b.sends) {
		m := s.message
		if r.isTooLateToSend(m) {
			continue // it stays in the batch
		}
		m.pendingBatch = nil
		b.remove(m)
		if !canSend(&s, b.endpoint, now) {
			r.queueNotSent(m, b.endpoint)
			continue
		}
		c.messages = append(c.messages, callMessage{message: m, attempt: m.attempts - 1})
		if by := r.clock.processTime(s.sendBy); s.sendBy != 0 && (c.sendBy.IsZero() || by.Before(c.sendBy)) {
			c.sendBy = by
		}
		limit = max(limit, s.timeoutAt-now)
		m.call = c
	}
	return limit
}

// canSend reports whether nothing has happened since the policy's step that rules a
// send out.
func canSend(s *send, ep *endpoint, now policy.Time) bool {
	isExpired := s.timeoutAt <= now || s.sendBy != 0 && s.sendBy <= now
	isUsable := !ep.isStopped && ep.cell == s.message.record.Dest && ep.retryAfterUntil <= now
	return isUsable && !isExpired && !s.message.isCompleted
}

// callRun is a call whose attempts are being logged. Its fields are the log
// goroutine's until the call runs.
type callRun struct {
	call    *call
	limit   time.Duration
	results []outcome     // one for each part
	records []*wal.Record // of the attempts that could be logged
	parts   []int         // their places in the call
}

// logAndRun has the attempts of a call logged. Once the last of them is, the call runs
// with those that could be, on a goroutine of its own.
func (r *Relay) logAndRun(c *call, limit time.Duration) {
	at := r.clock.logTime(r.clock.now())
	run := &callRun{call: c, limit: limit, results: make([]outcome, len(c.messages))}
	last := len(c.messages) - 1
	addr := c.endpoint.hostPort
	for i := range c.messages {
		rec := c.messages[i].message.record
		attempt := &wal.Record{Kind: wal.KindAttempt, ID: rec.ID, At: at, Zone: c.endpoint.zone, Endpoint: c.endpoint.id,
			Process: r.ownership.process, Sync: r.cfg.isNonIdempotent(rec.Class)}
		r.wal.Submit(attempt, func(err error) {
			if err != nil {
				run.results[i] = outcome{kind: policy.NotSent, err: err, isUnlogged: true, isLocalFailure: true}
			} else {
				run.records, run.parts = append(run.records, rec), append(run.parts, i)
			}
			if i == last {
				r.goBackground(func() { r.runCall(run, addr) })
			}
		})
	}
}

// runCall makes a call and tells the loop of its results.
func (r *Relay) runCall(run *callRun, addr string) {
	c := run.call
	if len(run.records) > 0 {
		c.onWritten = func() {
			for _, i := range run.parts {
				r.metrics.countWritten(c.messages[i].message.class)
			}
		}
		for i, o := range c.run(c.transport, addr, run.records, run.limit, r.cfg.loadFields) {
			run.results[run.parts[i]] = o
		}
	}
	c.cancel(nil)
	r.mailbox.Put(callDoneEvent{call: c, results: run.results})
}

// finishCall handles the results of a call.
func (r *Relay) finishCall(c *call, results []outcome) {
	delete(c.endpoint.calls, c)
	r.callsInFlight--
	if c.isAbandoned {
		return
	}
	o, now := &results[0], r.clock.now()
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

// finishAttempt handles the outcome of an attempt: it tells the policy, logs it and,
// where that settles the message, completes it. The endpoint may be nil.
func (r *Relay) finishAttempt(m *message, ep *endpoint, attempt int, o *outcome) {
	e := attemptDoneEvent(m, ep, attempt, o)
	if o.isLocalFailure {
		m.attempts--
		r.metrics.localFailures.Add(1)
	}
	if o.kind != policy.Delivered || o.retryAfter > 0 {
		r.endpoints.checkAvailabilityOfCell(m.record.Dest)
	}
	r.step.add(e)
	if o.kind != policy.Delivered {
		r.log.Info("attempt failed", "message", m.record.ID, "dest", m.record.Dest, "class", m.record.Class, "endpoint", e.Endpoint,
			"attempt", attempt, "outcome", int(o.kind), "status", o.status, "took_ms", o.latency/1000,
			"idle_ms", o.idleTime.Milliseconds(), "age_ms", time.Since(m.receivedAt).Milliseconds(), "err", o.err)
	}
	if !o.isUnlogged {
		r.wal.Submit(r.outcomeRecord(m, o), nil)
	}
	switch {
	case o.isFinal && !m.isCompleted:
		if o.kind == policy.Delivered {
			r.metrics.countDelivered(m.class)
		}
		r.markCompleted(m)
	case m.isCompleted:
		delete(r.messages.byNumber, m.number)
	case r.ownership.isTransferred && !m.isTransferred:
		r.transferMessage(m)
	}
}

func attemptDoneEvent(m *message, ep *endpoint, attempt int, o *outcome) policy.Event {
	e := policy.Event{Kind: policy.EventAttemptDone, Message: m.number, Attempt: attempt, Outcome: o.kind, RetryAfter: o.retryAfter,
		CallsExhausted: o.callsExhausted, LocalFailure: o.isLocalFailure, Final: o.isFinal || m.isCompleted, Latency: o.latency, Load: o.load, NewConnection: o.isNewConnection}
	if ep != nil {
		e.Endpoint = ep.number
	}
	return e
}

// outcomeRecord is the log's record of an outcome. Where another process owns the
// relay, it carries what that one's policy has to know.
func (r *Relay) outcomeRecord(m *message, o *outcome) *wal.Record {
	rec := &wal.Record{Kind: wal.KindOutcome, ID: m.record.ID, MayHaveRun: !o.kind.NeverRan(), LocalFailure: o.isLocalFailure}
	if o.isFinal {
		rec.Kind = wal.KindCompleted
	}
	if r.ownership.isTransferred {
		rec.OutcomeCode, rec.Latency, rec.CallsExhausted = uint8(o.kind), o.latency, o.callsExhausted
		if o.retryAfter > 0 {
			rec.RetryAt = r.clock.logTime(r.clock.now() + o.retryAfter)
		}
	}
	return rec
}
