package checker

import (
	"fmt"
	"net/http"
	"slices"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// call is one call that reached an endpoint or was lost by a link.
type call struct {
	received        history.Event
	response        history.Event
	responseAtRelay history.Event // when the relay received the response
	closed          history.Event // the first event that ended the call without a response: CallAborted, CallBroken or CallLost
	overlaps        []overlap
}

// overlap is a call that arrived while another call for the same message was in flight.
type overlap struct {
	message string
	call    history.Event
}

// knownNotToRun reports whether the relay knows from the response that this call did
// not execute the message.
func (c *call) knownNotToRun(message string) bool {
	if c.responseAtRelay.Kind == "" {
		return false
	}
	switch c.response.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusGone,
		http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return true
	case http.StatusOK:
		return slices.Contains([]string{model.StateDeferred, model.StateExpired, model.StateNoMore}, c.state(message))
	}
	return false
}

// completes reports whether the relay knows from the response to this call that the
// message is completed: delivered, or expired.
func (c *call) completes(message string) bool {
	if c.responseAtRelay.Kind == "" {
		return false
	}
	if len(c.response.States) > 0 {
		state := c.state(message)
		return state == model.StateAccepted || state == model.StateExpired
	}
	return c.response.Status == http.StatusGone || c.response.Status == http.StatusOK && len(c.received.Messages) == 1
}

// state returns the state of one message in the response to a batch; empty if the
// response has none for it.
func (c *call) state(message string) string {
	if i := slices.Index(c.received.Messages, message); i >= 0 && i < len(c.response.States) {
		return c.response.States[i]
	}
	return ""
}

// inFlight reports whether the relay has not received a response yet and the call
// was not closed.
func (c *call) inFlight() bool { return c.responseAtRelay.Kind == "" && c.closed.Kind == "" }

// feedCall handles an event between a relay and an endpoint.
func (c *Check) feedCall(e history.Event) {
	switch e.Kind {
	case history.CallReceived, history.CallLost:
		c.callReceived(e)
	case history.MessageExecuted:
		c.messageExecuted(e)
	case history.ResponseSent:
		if call := c.calls[e.Call]; call != nil {
			call.response = e
		}
	case history.ResponseReceived:
		c.responseReceived(e)
	case history.CallAborted, history.CallBroken:
		c.callClosed(e)
	}
}

// callReceived handles a call that arrived at an endpoint or was lost by a link, and
// applies the rules for new calls.
func (c *Check) callReceived(e history.Event) {
	received := &call{received: e}
	aborted, wasAborted := c.abortedEarly[e.Call]
	if wasAborted = wasAborted && e.Kind == history.CallReceived; wasAborted { // its sender had closed it before the link delivered it
		delete(c.abortedEarly, e.Call)
		received.closed = aborted
	}
	if e.Kind == history.CallReceived {
		c.calls[e.Call] = received
	} else {
		received.closed = e // a lost call is no longer in flight
		if e.SentAt == 0 {
			e.SentAt = e.Time
		}
	}
	r := c.relay(e.Relay)
	c.checkRetryAfter(r, e)
	c.checkDrain(r, e)
	for _, id := range e.Messages {
		if m := c.touchMessage(id, e.Time); m != nil { // nil if no client submitted it; the endpoint that receives it records an InvalidCall
			c.checkAttempt(m, id, e)
			c.checkEarlierCalls(m, id, e, wasAborted)
			m.calls = append(m.calls, received)
		}
	}
}

// checkAttempt applies the rules that limit the attempts of a message: how many there
// may be, and that there is none after a rejection or a notice.
func (c *Check) checkAttempt(m *message, id string, e history.Event) {
	rules := &c.config.Rules
	c.recordCheck(RuleAttempts)
	if len(m.calls) >= rules.MaxAttempts && !m.forgotten {
		text := fmt.Sprintf("attempt %d; %d at most", len(m.calls)+1, rules.MaxAttempts)
		c.recordViolation(RuleAttempts, id, e.Relay, text, m.calls[0].received, e)
	}
	if m.rejected.Kind != "" {
		c.recordViolation(RuleRejected, id, e.Relay, rejectedButSent, m.rejected, e)
	}
	c.recordCheck(RuleAfterNotice)
	if m.completed.Kind == history.Notice && e.SentAt > m.completed.Time+micros(rules.Slack+c.config.MaxLinkDelay) && !m.forgotten {
		c.recordViolation(RuleAfterNotice, id, e.Relay, "sent after its notice ("+m.completed.Text+")", m.completed, e)
	}
}

// checkEarlierCalls compares a new attempt of a message with the earlier ones. It
// records those still in flight as overlaps, and applies RuleNoRepeat.
func (c *Check) checkEarlierCalls(m *message, id string, e history.Event, wasAborted bool) {
	c.recordCheck(RuleSingleAttempt)
	if m.nonIdempotent {
		c.recordCheck(RuleNoRepeat)
	}
	for _, earlier := range m.calls {
		if earlier.inFlight() && !wasAborted {
			earlier.overlaps = append(earlier.overlaps, overlap{id, e})
		}
		if m.nonIdempotent && !earlier.knownNotToRun(id) && !m.forgotten {
			c.recordViolation(RuleNoRepeat, id, e.Relay, "sent again, though an attempt before may have run", earlier.received, e)
		}
	}
}

// messageExecuted applies RuleRunsOnce. It counts the executions at the endpoints,
// regardless of what the relay knows about them.
func (c *Check) messageExecuted(e history.Event) {
	m := c.touchMessage(e.Message, e.Time)
	if m == nil {
		return
	}
	m.executed = append(m.executed, e)
	if !m.nonIdempotent {
		return
	}
	c.recordCheck(RuleRunsOnce)
	if len(m.executed) > 1 && !m.forgotten {
		c.recordViolation(RuleRunsOnce, e.Message, m.submitted.Relay, "took effect twice", m.executed[0], e)
	}
}

// responseReceived handles a response that a relay has received.
func (c *Check) responseReceived(e history.Event) {
	call := c.calls[e.Call]
	if call == nil {
		return
	}
	call.responseAtRelay = e
	c.checkOverlaps(call, e)
	r := c.relay(call.received.Relay)
	r.extendWait(call, e)
	if call.response.Status != http.StatusOK {
		c.sawFailure(r, call.received.Destination)
	}
	for _, id := range call.received.Messages {
		if m := c.touchMessage(id, e.Time); m != nil && m.completed.Kind == "" && call.completes(id) {
			m.completed = e
		}
	}
}

// callClosed handles a call whose connection ended before the response.
func (c *Check) callClosed(e history.Event) {
	call := c.calls[e.Call]
	if call == nil {
		if e.Kind == history.CallAborted {
			c.abortedEarly[e.Call] = e
		}
		return
	}
	if !call.inFlight() {
		return
	}
	call.closed = e
	c.checkOverlaps(call, e)
	c.sawFailure(c.relay(call.received.Relay), call.received.Destination)
}

// checkOverlaps applies RuleSingleAttempt to the calls that arrived while the finished
// call was in flight. A short overlap is allowed, since the end of a call travels over
// a link: the relay and the lab notice it at slightly different times.
func (c *Check) checkOverlaps(finished *call, e history.Event) {
	grace := micros(c.config.Rules.Slack + 2*c.config.MaxLinkDelay)
	for _, overlap := range finished.overlaps {
		if e.Time-overlap.call.Time > grace {
			c.recordViolation(RuleSingleAttempt, overlap.message, overlap.call.Relay, "a second attempt was in flight beside the first", finished.received, overlap.call)
		}
	}
	finished.overlaps = nil
}
