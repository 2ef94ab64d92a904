package relay

import (
	"context"
	"slices"
	"time"

	"plovershore/internal/wal"
	"plovershore/policy"
)

// Attempts: from what the policy wants sent to the outcomes that it hears.

// notSent tells the policy of an attempt that never left. The loop comes by
// again for it.
func (r *Relay) notSent(m *message, ep *endpoint) {
	u := &unsent{m: m}
	if ep != nil {
		u.ep = ep.num
	}
	r.in.Put(happening{unsent: u})
}

// gather puts a send with those that the policy makes in the same call, as many
// as a call there may carry. Two calls of one step stay two: each has an end of
// its own, and the messages of one must not wait for those of the other.
func (r *Relay) gather(m *message, a *policy.Action) {
	ep := r.byNum[a.Endpoint]
	if ep == nil {
		r.notSent(m, nil)
		return
	}
	size := framed(m.rec)
	for _, b := range r.batches {
		if b.ep == ep && b.num == a.Call && len(b.sends) < ep.batch && b.bytes+size <= bodyMost {
			b.sends, b.bytes = append(b.sends, send{m, a.Deadline, a.SendBy}), b.bytes+size
			m.pending = b
			return
		}
	}
	b := &batch{ep: ep, num: a.Call, sends: []send{{m, a.Deadline, a.SendBy}}, bytes: size}
	m.pending = b
	r.batches = append(r.batches, b)
}

// launch logs the attempts of a batch and then makes its call, unless a client
// has yet to hear of its message: what was not taken on must not go out.
func (r *Relay) launch(b *batch) {
	for _, s := range b.sends {
		if !s.m.heard {
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
		if r.shelve(m) {
			continue // it stays pending
		}
		m.pending = nil
		b.remove(m)
		if ep.gone || ep.cell != m.rec.Dest || ep.waitOver > now || s.at <= now || s.by != 0 && s.by <= now || m.over {
			r.notSent(m, ep)
			continue
		}
		c.parts = append(c.parts, part{m: m, attempt: m.tries - 1})
		if by := r.moment(s.by); s.by != 0 && (c.by.IsZero() || by.Before(c.by)) {
			c.by = by
		}
		limit = max(limit, s.at-now) // one connection: it stands until the last of them gives up
		m.call = c
	}
	if len(c.parts) == 0 {
		stop(nil)
		return
	}
	ep.calls[c] = true
	r.calls++
	r.pool.use(ep)
	r.sendOff(c, time.Duration(limit)*time.Microsecond)
}

// sendOff has the attempts of a call logged. On the log's goroutine, once the
// last of them is, the call is begun with those that could be.
func (r *Relay) sendOff(c *call, limit time.Duration) {
	addr, at := c.ep.hostPort, r.logTime(r.now())
	results := make([]outcome, len(c.parts))
	var recs []*wal.Record // what could be logged, and so goes out
	var place []int        // its place in the call
	begin := func() {
		if len(recs) > 0 {
			c.wrote = func() {
				for _, i := range place {
					r.fig.written(c.parts[i].m.class)
				}
			}
			for i, o := range c.run(c.conns, addr, recs, limit, r.cfg.loads) {
				results[place[i]] = o
			}
		}
		c.stop(nil)
		r.in.Put(happening{call: c, results: results})
	}
	last := len(c.parts) - 1
	for i := range c.parts {
		rec := c.parts[i].m.rec
		r.wal.Submit(&wal.Record{Kind: wal.KindAttempt, ID: rec.ID, At: at, Zone: c.ep.zone, Endpoint: c.ep.id, Process: r.owner.by, Sync: r.unsafe(rec)}, func(err error) {
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

// finished books the end of a call.
func (r *Relay) finished(c *call, results []outcome) {
	delete(c.ep.calls, c)
	r.calls--
	if c.stale {
		return
	}
	o, now := &results[0], r.now()
	if reset := o.what == policy.ConnectionReset; reset || o.status != 0 {
		c.ep.idle.book(o.idle, reset, now)
		r.idle.book(o.idle, reset, now)
	}
	if o.wait > 0 {
		r.toldWait(c.ep, o.wait)
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
		r.attempted(p.m, c.ep, p.attempt, &results[i])
	}
}

// attempted books the end of an attempt.
func (r *Relay) attempted(m *message, ep *endpoint, attempt int, o *outcome) {
	e := policy.Event{Kind: policy.EventAttemptDone, Message: m.num, Attempt: attempt, Outcome: o.what, RetryAfter: o.wait,
		CallsExhausted: o.slots, LocalFailure: o.unmade, Final: o.settled || m.over, Latency: o.took, Load: o.load, NewConnection: o.fresh}
	if ep != nil {
		e.Endpoint = ep.num
	}
	if o.unmade {
		m.tries--
		r.fig.unmade.Add(1)
	}
	if o.what != policy.Delivered || o.wait > 0 {
		r.doubtCell(m.rec.Dest)
	}
	r.events = append(r.events, e)
	if o.what != policy.Delivered {
		r.log.Info("attempt", "message", m.rec.ID, "dest", m.rec.Dest, "class", m.rec.Class, "endpoint", e.Endpoint,
			"attempt", attempt, "outcome", int(o.what), "status", o.status, "took_ms", o.took/1000,
			"idle_ms", o.idle.Milliseconds(), "age_ms", time.Since(m.taken).Milliseconds(), "err", o.err)
	}
	rec := &wal.Record{Kind: wal.KindOutcome, ID: m.rec.ID, MayHaveRun: !o.what.NeverRan(), LocalFailure: o.unmade}
	if o.settled {
		rec.Kind = wal.KindCompleted
	}
	if r.owner.passed { // the policy that is to know is another's
		rec.OutcomeCode, rec.Latency, rec.CallsExhausted = uint8(o.what), o.took, o.slots
		if o.wait > 0 {
			rec.RetryAt = r.logTime(r.now() + o.wait)
		}
	}
	if !o.unsaved {
		r.wal.Submit(rec, nil)
	}
	if o.settled && !m.over {
		if o.what == policy.Delivered {
			r.fig.delivered(m.class)
		}
		m.over = true
		r.drop(m)
		return
	}
	if m.over {
		delete(r.msgs, m.num)
	} else if r.owner.passed && !m.away {
		m.away = true
		r.held--
		r.forgetDue(m)
	}
}

// shelve reports whether a call of a message is no longer begun, since the
// process will not be there for its end. The policy goes on to hold it to be
// out; the next process takes the message up from the log.
func (r *Relay) shelve(m *message) bool {
	if r.stopAt.IsZero() {
		return false
	}
	last := stopSends
	if r.unsafe(m.rec) {
		last = stopUnsafe
	}
	return time.Since(r.stopAt) >= last
}

// unsafe reports whether a message may not have its effect twice.
func (r *Relay) unsafe(rec *wal.Record) bool {
	i, ok := r.cfg.classes[rec.Class]
	return ok && r.cfg.Policy.Classes[i].Idempotency == policy.NonIdempotent
}
