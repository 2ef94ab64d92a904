package checker

import (
	"fmt"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// retryAfter is a wait that a relay was asked for.
type retryAfter struct {
	until    int64
	received history.Event // the response with it
}

// retryAfterRounding is how much earlier than asked a call may come: the header
// has milliseconds.
const retryAfterRounding = time.Millisecond

// extendWait records the Retry-After of a response.
func (r *relay) extendWait(answeredCall *call, received history.Event) {
	if answeredCall.response.RetryAfter <= 0 {
		return
	}
	destination := answeredCall.received.Destination
	if until := answeredCall.response.Time + answeredCall.response.RetryAfter; until > r.waits[destination].until {
		r.waits[destination] = retryAfter{until, received}
	}
}

// checkRetryAfter applies RuleRetryAfter to a call.
func (c *Check) checkRetryAfter(r *relay, e history.Event) {
	wait, ok := r.waits[e.Destination]
	if !ok || e.Kind != history.CallReceived {
		return
	}
	c.recordCheck(RuleRetryAfter)
	knownAt := wait.received.Time + micros(c.config.Rules.RetryAfterSlack)
	if e.SentAt > knownAt && e.SentAt < wait.until-micros(retryAfterRounding) {
		text := fmt.Sprintf("sent to destination %d %.3f s before the end of its Retry-After", e.Destination, seconds(wait.until-e.SentAt))
		c.recordViolation(RuleRetryAfter, r.name, r.name, text, wait.received, e)
	}
}

// endpointChanged takes a change that discovery has for all relays.
func (c *Check) endpointChanged(e history.Event) {
	if e.Phase == model.Up {
		delete(c.announcedChanges, e.Endpoint)
	} else if _, ok := c.announcedChanges[e.Endpoint]; !ok {
		c.announcedChanges[e.Endpoint] = e
	}
}

// changeDelivered takes a change that was written to one relay.
func (c *Check) changeDelivered(e history.Event) {
	r := c.relay(e.Relay)
	if e.Phase == model.Up {
		delete(r.deliveredChanges, e.Endpoint)
		r.lastUpAt[e.Endpoint] = e.Time
	} else if _, ok := r.deliveredChanges[e.Endpoint]; !ok {
		r.deliveredChanges[e.Endpoint] = e
	}
}

// checkDrain applies RuleDrain to a call. A change that was announced counts as
// delivered after Rules.ListDelay, whether or not it arrived; a process that
// starts or continues knows it from then on.
func (c *Check) checkDrain(r *relay, e history.Event) {
	rules := &c.config.Rules
	change, ok := r.deliveredChanges[e.Endpoint]
	// An operator may get the answer to a change later than the relay gets the change.
	if announced, wasAnnounced := c.announcedChanges[e.Endpoint]; wasAnnounced && r.lastUpAt[e.Endpoint] < announced.Time {
		announced.Time += micros(rules.ListDelay)
		if !ok || announced.Time < change.Time {
			change, ok = announced, true
		}
	}
	if !ok {
		return
	}
	c.recordCheck(RuleDrain)
	knownAt := max(change.Time, r.started.Time, r.resumedAt)
	if lateBy := e.SentAt - knownAt - micros(rules.DrainGrace+rules.Slack); lateBy > 0 {
		text := fmt.Sprintf("sent to %s, which is %s, %.3f s after the grace", e.Endpoint, change.Phase, seconds(lateBy))
		c.recordViolation(RuleDrain, r.name, r.name, text, change, e)
	}
}

// outage takes the begin or end of a destination's outage.
func (c *Check) outageChanged(e history.Event) {
	if !e.Active {
		delete(c.outages, e.Destination)
		return
	}
	c.outages[e.Destination] = e
	for _, r := range c.relays {
		r.sawOutage[e.Destination] = e.ConnectionsFail // every relay that tries sees a refused connection
	}
}

// sawFailure records that a relay saw a destination fail during its outage.
func (c *Check) sawFailure(r *relay, destination int) {
	if _, down := c.outages[destination]; down {
		r.sawOutage[destination] = true
	}
}

// overloaded applies RuleRecoveryLoad to a recovering destination that failed:
// relays that saw the outage should have sent little.
func (c *Check) destinationOverloaded(e history.Event) {
	c.recordCheck(RuleRecoveryLoad)
	rules := &c.config.Rules
	total, informed := 0, 0
	for name, calls := range e.Relays {
		total += calls
		if c.relay(name).sawOutage[e.Destination] {
			informed += calls
		}
	}
	if float64(informed) < rules.BlameFraction*float64(total) {
		return
	}
	text := fmt.Sprintf("overloaded while it recovered: %d of %d calls in %s came from relays that had seen it fail", informed, total, rules.OverloadWindow)
	c.recordViolation(RuleRecoveryLoad, fmt.Sprintf("destination %d", e.Destination), "", text, e, e)
}
