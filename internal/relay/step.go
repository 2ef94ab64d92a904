package relay

import (
	"errors"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// policyStep holds the events for the policy's next step, and the actions and batches of
// the step that is being carried out.
type policyStep struct {
	events  []policy.Event
	actions []policy.Action
	batches []*batch
}

// add appends an event to those of the next step.
func (s *policyStep) add(e policy.Event) { s.events = append(s.events, e) }

// stepPolicy passes the collected events to the policy and carries out its actions. Final
// responses come first, so that a rejected message is not logged. Then the accepted
// messages are logged, before the attempts to send them. Then all other actions follow.
func (r *Relay) stepPolicy() {
	events := r.step.events
	r.step.events = nil
	submitted := r.submittedMessages(events)
	now := r.clock.now()
	r.step.actions = r.policy.Step(now, events, r.step.actions[:0])
	for i := range r.step.actions {
		switch a := &r.step.actions[i]; a.Kind {
		case policy.ActionReject:
			r.completeMessage(a, discovery.Returned)
		case policy.ActionFail:
			r.completeMessage(a, discovery.Failed)
		}
	}
	for _, m := range submitted {
		if m.request != nil && !m.isCompleted {
			r.accept(m)
		}
	}
	for i := range r.step.actions {
		r.applyAction(now, &r.step.actions[i])
	}
	batches := r.step.batches
	r.step.batches = nil
	for _, b := range batches {
		r.startBatch(b)
	}
}

// submittedMessages returns the messages of these events whose clients wait for a response.
func (r *Relay) submittedMessages(events []policy.Event) []*message {
	submitted := make([]*message, 0, len(events))
	for i := range events {
		if events[i].Kind != policy.EventMessage {
			continue
		}
		if m := r.messages.byNumber[events[i].Message]; m != nil && m.request != nil {
			submitted = append(submitted, m)
		}
	}
	return submitted
}

// completeMessage carries out the policy's decision to return a message or to fail it.
func (r *Relay) completeMessage(a *policy.Action, result string) {
	m := r.messages.byNumber[a.Message]
	if m == nil || m.isCompleted {
		return
	}
	m.isCompleted = true
	r.metrics.countUndelivered(m.class, result)
	retryMS := (a.Delay + 999) / 1000
	if m.request != nil {
		r.rejectSubmitted(m, result, retryMS)
		return
	}
	r.forgetMessage(m)
	r.log.Info("message completed", "message", m.record.ID, "class", m.record.Class, "dest", m.record.Dest, "outcome", result, "attempts", m.attempts,
		"left_ms", (r.clock.fromLogTime(m.record.Deadline)-r.clock.now())/1000, "age_ms", time.Since(m.receivedAt).Milliseconds())
	if !m.isAcknowledged {
		m.pendingCompletion = &wal.Record{Notice: result, RetryMS: retryMS}
		return
	}
	r.logCompletion(m, result, retryMS)
}

// rejectSubmitted rejects a message of which the client does not have a response yet.
func (r *Relay) rejectSubmitted(m *message, result string, retryMS int64) {
	q := m.request
	m.request = nil
	delete(r.messages.unanswered, q)
	if result == discovery.Returned {
		r.recordRejection(q, rejectedPolicy)
		q.respond(busyResponse(retryMS))
	} else {
		r.recordRejection(q, rejectedUndeliverable)
		q.respond(errorResponse(errGivenUp))
	}
	r.forgetMessage(m)
}

// errGivenUp is sent to the client of a message that can't be delivered before its
// deadline.
var errGivenUp = errors.New("given up")

// applyAction carries out an action that does not complete a message.
func (r *Relay) applyAction(now policy.Time, a *policy.Action) {
	switch a.Kind {
	case policy.ActionSend:
		if m := r.messages.byNumber[a.Message]; m != nil {
			m.attempts++
			r.addToBatch(m, a)
		}
	case policy.ActionCancel:
		r.cancelAttempt(a)
	case policy.ActionTimer:
		r.timers.add(now + a.Delay)
	case policy.ActionHealthCheck:
		r.startHealthCheck(a.Endpoint)
	case policy.ActionCloseIdle:
		if ep := r.endpoints.byNumber[a.Endpoint]; ep != nil && ep.transport != nil {
			ep.transport.CloseIdleConnections()
		}
	case policy.ActionSpill:
		r.spill(a)
	case policy.ActionLoad:
		r.spilled.requestLoad(a.Dest, a.Count)
	case policy.ActionLog:
		r.log.Info("policy", "text", a.Text)
	}
}

// cancelAttempt cancels an attempt if it is the message's newest; older ones have ended.
func (r *Relay) cancelAttempt(a *policy.Action) {
	m := r.messages.byNumber[a.Message]
	switch {
	case m == nil || a.Attempt != m.attempts-1:
	case m.call != nil:
		m.call.dropMessage(m)
	default:
		r.removeFromBatch(m)
	}
}

// startHealthCheck checks an endpoint on a new goroutine, which ends when the relay's
// context is done at the latest.
func (r *Relay) startHealthCheck(number policy.Endpoint) {
	ep := r.endpoints.byNumber[number]
	if ep == nil || ep.isStopped {
		return
	}
	transport, addr := ep.transport, ep.hostPort
	go func() {
		r.mailbox.Put(healthCheckDoneEvent{endpoint: number, result: checkHealth(r.ctx, transport, addr)})
	}()
}
