package relay

import (
	"context"
	"slices"
	"time"

	"plovershore/internal/wal"
	"plovershore/policy"
)

// queueNotSent has the loop tell the policy, in its next round, that an attempt was never
// sent. The endpoint may be nil.
func (r *Relay) queueNotSent(m *message, ep *endpoint) {
	e := attemptNotSentEvent{message: m}
	if ep != nil {
		e.endpoint = ep.number
	}
	r.mailbox.Put(e)
}

// addToBatch adds a send to the batch of the policy's call, or to a new batch once that
// one is full: the endpoint's maxBatch and maxBodyBytes limit what a call may carry.
// Two calls of one step are never merged: each has its own result, and the messages of
// one must not wait for those of the other.
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

// startBatch logs the attempts of a batch and then makes its call. It does nothing while
// the client of one of the messages is not acknowledged, since that message may still be
// withdrawn and must not be sent before; handleResponseDone calls startBatch again.
func (r *Relay) startBatch(b *batch) {
	for _, s := range b.sends {
		if !s.message.isAcknowledged {
			return
		}
	}
	c := r.newCall(b.endpoint)
	timeout := r.fillCall(b, c)
	if len(c.messages) == 0 {
		c.cancel(nil)
		return
	}
	b.endpoint.calls[c] = true
	r.callsInFlight++
	r.connPool.prepareCall(b.endpoint)
	r.logAndRun(c, time.Duration(timeout)*time.Microsecond)
}

// newCall creates an empty call to an endpoint. It first limits the idle timeout of the
// connections there to what the observed resets have shown to be safe.
func (r *Relay) newCall(ep *endpoint) *call {
	now := r.clock.now()
	maxIdle := maxIdleTime(&r.cfg.Policy)
	ep.setIdleTimeout(r.cfg, r.idleConns, min(ep.idleResets.maxIdle(maxIdle, now), r.idleResets.maxIdle(maxIdle, now)))
	ctx, cancel := context.WithCancelCause(r.ctx)
	return &call{endpoint: ep, transport: ep.transport, ctx: ctx, cancel: cancel}
}

// fillCall moves the messages that may still be sent from a batch to its call. It returns
// the timeout of the call in µs, which is the longest of its attempts' timeouts, since
// one connection carries them all.
func (r *Relay) fillCall(b *batch, c *call) (timeout policy.Time) {
	now := r.clock.now()
	for _, s := range slices.Clone(b.sends) {
		m := s.message
		if r.isTooLateToSend(m) {
			continue // the message stays in the batch, and the next process recovers it
		}
		m.pendingBatch = nil
		b.remove(m)
		if !canSend(&s, b.endpoint, now) {
			r.queueNotSent(m, b.endpoint)
			continue
		}
		c.messages = append(c.messages, callMessage{message: m, attempt: m.attempts - 1})
		if sendBy := r.clock.processTime(s.sendBy); s.sendBy != 0 && (c.sendBy.IsZero() || sendBy.Before(c.sendBy)) {
			c.sendBy = sendBy
		}
		timeout = max(timeout, s.timeoutAt-now)
		m.call = c
	}
	return timeout
}

// canSend reports whether a send that the policy decided on is still allowed: its time
// limits, the endpoint's state and the message may have changed since that step.
func canSend(s *send, ep *endpoint, now policy.Time) bool {
	isExpired := s.timeoutAt <= now || s.sendBy != 0 && s.sendBy <= now
	isUsable := !ep.isStopped && ep.cell == s.message.record.Dest && ep.retryAfterUntil <= now
	return isUsable && !isExpired && !s.message.isCompleted
}

// callRun is a call whose attempts are being logged. Only the log's goroutine may use its
// fields until the call runs.
type callRun struct {
	call           *call
	timeout        time.Duration
	results        []outcome     // one for each message of the call
	records        []*wal.Record // messages whose attempts could be logged
	messageIndexes []int         // indexes of those messages in call.messages
}

// logAndRun logs the attempts of a call. After the last of them the call runs, on its own
// goroutine, with the messages whose attempts could be logged.
func (r *Relay) logAndRun(c *call, timeout time.Duration) {
	startedAt := r.clock.logTime(r.clock.now())
	run := &callRun{call: c, timeout: timeout, results: make([]outcome, len(c.messages))}
	lastIndex := len(c.messages) - 1
	addr := c.endpoint.hostPort
	for i := range c.messages {
		rec := c.messages[i].message.record
		attempt := &wal.Record{Kind: wal.KindAttempt, ID: rec.ID, At: startedAt, Zone: c.endpoint.zone, Endpoint: c.endpoint.id,
			Process: r.ownership.process, Sync: r.cfg.isNonIdempotent(rec.Class)}
		r.wal.Submit(attempt, func(err error) {
			if err != nil {
				run.results[i] = outcome{kind: policy.NotSent, err: err, isUnlogged: true, isLocalFailure: true}
			} else {
				run.records, run.messageIndexes = append(run.records, rec), append(run.messageIndexes, i)
			}
			if i == lastIndex {
				r.goBackground(func() { r.runCall(run, addr) })
			}
		})
	}
}

// runCall makes a call and posts its results to the loop.
func (r *Relay) runCall(run *callRun, addr string) {
	c := run.call
	if len(run.records) > 0 {
		c.onWritten = func() {
			for _, i := range run.messageIndexes {
				r.metrics.countWritten(c.messages[i].message.class)
			}
		}
		for i, o := range c.run(c.transport, addr, run.records, run.timeout, r.cfg.loadFields) {
			run.results[run.messageIndexes[i]] = o
		}
	}
	c.cancel(nil)
	r.mailbox.Put(callDoneEvent{call: c, results: run.results})
}

// finishCall records the results of a call and finishes the attempts of its messages.
func (r *Relay) finishCall(c *call, results []outcome) {
	delete(c.endpoint.calls, c)
	r.callsInFlight--
	if c.isAbandoned {
		return
	}
	o, now := &results[0], r.clock.now()
	if isReset := o.kind == policy.ConnectionReset; isReset || o.status != 0 {
		c.endpoint.idleResets.record(o.idleTime, isReset, now)
		r.idleResets.record(o.idleTime, isReset, now)
	}
	if o.retryAfter > 0 {
		r.applyRetryAfter(c.endpoint, o.retryAfter)
	}
	if c.endpoint.updateLiveness(o, now) {
		c.endpoint.transport.CloseIdleConnections()
	}
	if c.transport != c.endpoint.transport { // it was replaced during the call, so its connections are not used again
		c.transport.CloseIdleConnections()
	}
	for i := range c.messages {
		cm := &c.messages[i]
		cm.message.call = nil
		r.finishAttempt(cm.message, c.endpoint, cm.attempt, &results[i])
	}
}

// finishAttempt handles the outcome of an attempt: it reports it to the policy, logs it
// and, if the outcome is final, completes the message. The endpoint may be nil.
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
			r.delivered.add(m.record.ID, time.Now())
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

// outcomeRecord returns the log record of an outcome. If another process owns the relay
// now, the record also carries what the policy of that process needs.
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
