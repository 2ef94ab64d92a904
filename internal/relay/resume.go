package relay

import (
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// What an earlier process left owed, as the log reads it.

// restore takes up what an earlier process left owed; that which may still be
// withdrawn stays in memory.
func (r *Relay) restore(owed []*wal.Record, stays bool) {
	for _, rec := range owed {
		m := r.newMessage(rec)
		m.heard, m.logged, m.tries = true, true, rec.Attempts
		if rec.Notice != "" {
			m.over = true
			r.drop(m)
			r.notices.Put(discovery.Notice{Message: rec.ID, Outcome: rec.Notice, RetryMS: rec.RetryMS})
			continue
		}
		if rec.Corrupted { // damage took it: whoever handed it in is told
			m.over = true
			r.drop(m)
			r.end(m, discovery.Failed, 0)
			r.log.Error("lost", "message", rec.ID)
			continue
		}
		if m.class < 0 { // the settings have changed: nothing is promised of its effect
			m.over = true
			r.drop(m)
			r.end(m, discovery.Failed, 0)
			continue
		}
		e := r.owedEvent(m)
		e.Recovered, e.NeverSpill = true, stays
		if r.gapUnknown && rec.UnknownOutcomeAt != 0 {
			e.UnknownOutcomeAt = 1 // nobody knows how long ago: its window counts as over
		}
		if rec.InFlightSince != 0 {
			m.far, r.far[rec.ID] = true, m
			e.InFlightEndpoint, e.InFlightSince = r.number(rec.InFlightEndpoint), r.fromLogTime(rec.InFlightSince)
		}
		r.events = append(r.events, e)
		r.log.Info("resumed", "message", rec.ID, "class", rec.Class, "tries", rec.Attempts,
			"may_have_run", rec.UnknownOutcomeAt != 0, "left", time.Duration(e.TimeLeft)*time.Microsecond)
	}
}

// owedEvent tells the policy of a message that the log has had for a while, with
// its state.
func (r *Relay) owedEvent(m *message) policy.Event {
	rec := m.rec
	e := policy.Event{Kind: policy.EventMessage, Message: m.num, Class: m.class, Dest: rec.Dest, Tenant: -1,
		TimeLeft: r.fromLogTime(rec.Deadline) - r.now(), Attempts: rec.Attempts, UnknownOutcomeZone: rec.UnknownOutcomeZone}
	if t, ok := r.cfg.tenants[rec.Tenant]; ok {
		e.Tenant = t
	}
	if rec.UnknownOutcomeAt != 0 {
		e.UnknownOutcomeAt = max(r.fromLogTime(rec.UnknownOutcomeAt), 1)
	}
	m.due = r.overdue.add(r.now() + e.TimeLeft)
	return e
}

// resumeMost is how many messages are read at a time of those that were owed at
// the start: clients are served in between.
const resumeMost = 2000

// resumeNext has the log read more of what was owed at the start.
func (r *Relay) resumeNext() {
	w := r.wal
	w.Do(func() {
		recs := w.Next(resumeMost)
		r.in.Put(happening{resumed: &resumed{w, recs, w.PendingUnread()}})
	})
}

// resume takes up what the log has read.
func (r *Relay) resume(x *resumed) {
	if x.from != r.wal || r.owner.passed {
		return // of a log that was passed on
	}
	r.restore(x.recs, false)
	if x.left < 0 { // one that a client asked for ahead of its turn
		return
	}
	r.fig.unread.Store(int64(x.left))
	if x.left > 0 {
		r.resumeNext()
		return
	}
	r.resuming = false
	if !r.saysNo {
		r.setReady()
	}
}

// lookUp asks the log whether a message that is handed in is owed already, but
// was not read yet since the start, or is spilled. It is admitted once that is
// known.
func (r *Relay) lookUp(q *request) {
	w := r.wal
	w.Do(func() {
		if rec := w.Fetch(q.rec.ID); rec != nil {
			r.in.Put(happening{resumed: &resumed{w, []*wal.Record{rec}, -1}})
		}
		q.owed = w.IsPending(q.rec.ID)
		r.in.Put(happening{put: q, looked: true})
	})
}

// number gives the policy's number of an endpoint by its id, listed or not.
func (r *Relay) number(id string) policy.Endpoint {
	if ep := r.endpoints[id]; ep != nil {
		return ep.num
	}
	r.lastEnd++
	return r.lastEnd
}
