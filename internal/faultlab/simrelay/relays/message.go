package relays

import (
	"fmt"
	"slices"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/simrelay"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// message is a message that the relay has not completed, or whose last attempt has not
// ended.
type message struct {
	number      uint32
	class       int
	record      *wal.Record
	accepted    bool
	durable     bool // its write to the message log has finished
	completed   bool
	attempts    int
	inFlight    *attempt
	pendingSend *policy.Action // attempt that starts once the message is durable
}

// receiveDue makes the messages whose time has come and submits them to the policy.
func (r *relay) receiveDue(now time.Time) {
	a := &r.arrivals
	for !a.nextAt.IsZero() && !a.nextAt.After(now) {
		r.onLateness(now.Sub(a.nextAt))
		a.nextAt = a.nextAt.Add(a.drawGap())
		r.lastNumber++
		m := &message{number: r.lastNumber, class: a.drawClass()}
		m.record = &wal.Record{
			Kind:     wal.KindAccepted,
			ID:       fmt.Sprintf("%s-%08x", r.name, m.number),
			Class:    a.stream.Classes[m.class].Name,
			Dest:     a.random.IntN(a.stream.Destinations),
			Deadline: now.Add(a.stream.Deadline).UnixMicro(),
			Body:     r.body,
		}
		r.messages[m.number] = m
		r.updateCounts(func(c *simrelay.Counts) { c.Offered++ })
		r.events = append(r.events, policy.Event{Kind: policy.EventMessage, Message: m.number, Class: m.class, Dest: m.record.Dest,
			Tenant: -1, TimeLeft: a.stream.Deadline.Microseconds()})
	}
}

// accept counts a message as accepted and writes it to the message log.
func (r *relay) accept(m *message) {
	m.accepted = true
	r.updateCounts(func(c *simrelay.Counts) { c.Accepted++; c.InFlight++ })
	r.wal.Submit(m.record, func(err error) {
		if err != nil {
			r.log.Error("message not logged", "message", m.record.ID, "err", err)
		}
		r.inbox.Put(event{durable: m})
	})
}

// messageLogged marks a message as durable and starts the attempt that waited for that, if
// any.
func (r *relay) messageLogged(m *message) {
	m.durable = true
	if a := m.pendingSend; a != nil {
		m.pendingSend = nil
		r.logAttempt(m, a)
	}
}

// apply carries out an action of the policy that is not a final response.
func (r *relay) apply(action *policy.Action) {
	switch action.Kind {
	case policy.ActionSend:
		r.send(action)
	case policy.ActionCancel:
		m := r.messages[action.Message]
		if m != nil && m.inFlight != nil && m.inFlight.number == action.Attempt {
			r.inFlight.remove(m.inFlight)
			m.inFlight.outcome = policy.Cancelled
			r.finishAttempt(m.inFlight, time.Now())
		}
	case policy.ActionTimer:
		due := r.now() + action.Delay
		if index, found := slices.BinarySearch(r.timers, due); !found {
			r.timers = slices.Insert(r.timers, index, due)
		}
	}
}

// send starts an attempt, or keeps it until the message is durable.
func (r *relay) send(action *policy.Action) {
	m := r.messages[action.Message]
	if m == nil || m.completed {
		return
	}
	m.attempts++
	if !m.durable {
		copied := *action
		m.pendingSend = &copied
		return
	}
	r.logAttempt(m, action)
}

// complete marks an accepted message as completed and counts that with count. A second
// completion is counted as a duplicate instead.
func (r *relay) complete(m *message, count func(*simrelay.Counts)) {
	r.updateCounts(func(c *simrelay.Counts) {
		if m.completed {
			c.DuplicateCompletions++
			return
		}
		c.InFlight--
		count(c)
	})
	m.completed = true
}

// respond carries out a final response: a rejection if the message was not accepted,
// otherwise a completion whose notice goes to discovery.
func (r *relay) respond(action *policy.Action, outcome string) {
	m := r.messages[action.Message]
	if m == nil {
		return
	}
	if !m.accepted { // the client of a rejected message needs no notice
		m.completed = true
		delete(r.messages, m.number)
		r.updateCounts(func(c *simrelay.Counts) { c.Rejected++ })
		return
	}
	notice := discovery.Notice{Message: m.record.ID, Outcome: outcome}
	if outcome == discovery.Failed {
		r.complete(m, func(c *simrelay.Counts) { c.Failed++ })
	} else {
		r.complete(m, func(c *simrelay.Counts) { c.Returned++ })
		notice.RetryMS = ceilMillis(action.Delay)
	}
	if m.inFlight == nil && m.pendingSend == nil {
		delete(r.messages, m.number)
	}
	record := &wal.Record{Kind: wal.KindCompleting, ID: m.record.ID, Notice: outcome, RetryMS: notice.RetryMS}
	r.wal.Submit(record, func(error) { r.notices.Put(notice) })
}

// ceilMillis rounds microseconds up to milliseconds.
func ceilMillis(micros int64) int64 { return (micros + 999) / 1000 }
