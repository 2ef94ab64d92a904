package checker

import (
	"fmt"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/history"
)

// message holds what the history says about one message so far.
type message struct {
	submitted     history.Event
	accepted      history.Event
	completed     history.Event // the first event that completed it: a ResponseReceived or a Notice
	rejected      history.Event
	deadline      int64
	nonIdempotent bool
	calls         []*call
	executed      []history.Event
	lastSeen      int64  // the time of the last event about it
	excuse        string // why RuleCompletion does not apply to it; empty if it applies
	forgotten     bool   // its relay continued from an older copy of its log and may have lost what it knew of the message
}

// feedMessage handles an event between a client and a relay, and calls that no
// submitted message explains.
func (c *Check) feedMessage(e history.Event) {
	switch e.Kind {
	case history.MessageSubmitted:
		c.messages[e.Message] = &message{submitted: e, deadline: e.Time + e.ValidFor, nonIdempotent: c.nonIdempotent[e.Class], lastSeen: e.Time}
	case history.MessageAccepted:
		if m := c.touchMessage(e.Message, e.Time); m != nil {
			m.accepted = e
		}
	case history.MessageRejected:
		c.messageRejected(e)
	case history.ExtraResponse:
		c.recordViolation(RuleSingleAnswer, e.Message, e.Relay, fmt.Sprintf("answered more than once: then came %q", e.Text), c.submission(e.Message), e)
	case history.Notice:
		c.noticeReceived(e)
	case history.InvalidCall:
		subject := e.Message
		if subject == "" {
			subject = e.Relay
		}
		c.recordViolation(RuleValidCall, subject, e.Relay, e.Text+" came to "+e.Endpoint, c.submission(e.Message), e)
	}
}

// touchMessage returns the message with an ID and notes that an event about it was
// recorded now. It returns nil if no client submitted such a message.
func (c *Check) touchMessage(id string, now int64) *message {
	m := c.messages[id]
	if m != nil {
		m.lastSeen = now
	}
	return m
}

// submission returns the event with which a message was submitted, or the zero event
// if none was.
func (c *Check) submission(id string) history.Event {
	if m := c.messages[id]; m != nil {
		return m.submitted
	}
	return history.Event{}
}

func (c *Check) messageRejected(e history.Event) {
	m := c.touchMessage(e.Message, e.Time)
	if m == nil {
		return
	}
	m.rejected = e
	c.recordCheck(RuleRejected)
	if len(m.calls) > 0 {
		c.recordViolation(RuleRejected, e.Message, e.Relay, rejectedButSent, m.calls[0].received, e)
	}
}

const rejectedButSent = "rejected, but sent all the same"

// noticeReceived handles a notice: the final response that a relay sent through
// discovery.
func (c *Check) noticeReceived(e history.Event) {
	m := c.touchMessage(e.Message, e.Time)
	switch {
	case m == nil:
		c.recordViolation(RuleValidCall, e.Message, e.Relay, "a notice of a message that no client submitted", history.Event{}, e)
		return
	case m.completed.Kind != "":
		return // the message is completed already; a repeated notice is allowed
	}
	m.completed = e
	acknowledged := m.accepted.Kind != ""
	if acknowledged && e.Text == discovery.Returned && m.nonIdempotent {
		c.checkReturn(m, e)
	}
}

// checkReturn applies RuleNoRepeat to a message that is handed back to its client,
// which may submit it again.
func (c *Check) checkReturn(m *message, notice history.Event) {
	c.recordCheck(RuleNoRepeat)
	for _, call := range m.calls {
		if !call.knownNotToRun(notice.Message) && !m.forgotten {
			c.recordViolation(RuleNoRepeat, notice.Message, notice.Relay, "handed back, though an attempt before may have run", call.received, notice)
		}
	}
}

// checkCompletion applies RuleCompletion to a message. Only accepted messages without
// an excuse need a final response.
func (c *Check) checkCompletion(id string, m *message) {
	if m.accepted.Kind == "" {
		return
	}
	if m.excuse != "" {
		c.verdict.Excused[m.excuse]++
		return
	}
	rules := &c.config.Rules
	due := c.excusedUntil(c.relay(m.submitted.Relay), m.deadline+micros(rules.CompletionGrace+rules.Slack))
	if due > c.lastTime && m.completed.Kind == "" {
		c.verdict.Excused["time not up at the end of the run"]++
		return
	}
	c.recordCheck(RuleCompletion)
	switch {
	case m.completed.Kind == "":
		text := fmt.Sprintf("accepted, %d attempts, and no final response by %.3f s", len(m.calls), seconds(due))
		c.recordViolation(RuleCompletion, id, m.submitted.Relay, text, m.accepted, history.Event{})
	case m.completed.Time > due:
		text := fmt.Sprintf("its final response came %.3f s late", seconds(m.completed.Time-due))
		c.recordViolation(RuleCompletion, id, m.submitted.Relay, text, m.accepted, m.completed)
	}
}
