package checker

import (
	"fmt"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// retryAfter is the wait that a destination demanded of a relay.
type retryAfter struct {
	until    int64
	received history.Event // when the relay received the response with the Retry-After
}

// retryAfterRounding is how much before the end of a Retry-After a call is allowed,
// since the header is rounded to milliseconds.
const retryAfterRounding = time.Millisecond

// extendWait records the Retry-After of a response, unless the relay has to wait
// longer for that destination already.
func (r *relay) extendWait(answeredCall *call, received history.Event) {
	if answeredCall.response.RetryAfter <= 0 {
		return
	}
	destination := answeredCall.received.Destination
	if until := answeredCall.response.Time + answeredCall.response.RetryAfter; until > r.waits[destination].until {
		r.waits[destination] = retryAfter{until, received}
	}
}

// checkRetryAfter applies RuleRetryAfter to a call. Calls that were sent within
// Rules.RetryAfterSlack after the relay received the Retry-After are allowed.
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

// endpointChanged handles a change of an endpoint's phase that discovery has accepted,
// which counts as announced to all relays from then on.
func (c *Check) endpointChanged(e history.Event) {
	if e.Phase == model.Up {
		delete(c.announcedChanges, e.Endpoint)
	} else if _, ok := c.announcedChanges[e.Endpoint]; !ok {
		c.announcedChanges[e.Endpoint] = e
	}
}

// changeDelivered handles a change of an endpoint's phase that was written to one
// relay.
func (c *Check) changeDelivered(e history.Event) {
	r := c.relay(e.Relay)
	if e.Phase == model.Up {
		delete(r.deliveredChanges, e.Endpoint)
		r.lastUpAt[e.Endpoint] = e.Time
	} else if _, ok := r.deliveredChanges[e.Endpoint]; !ok {
		r.deliveredChanges[e.Endpoint] = e
	}
}

// checkDrain applies RuleDrain to a call. An announced change counts as delivered
// after Rules.ListDelay, whether or not it arrived. A process that starts or resumes
// after that counts as having learned of it at its start or resumption.
func (c *Check) checkDrain(r *relay, e history.Event) {
	rules := &c.config.Rules
	change, ok := r.deliveredChanges[e.Endpoint]
	// An announcement is recorded when the operator gets the answer to the change, which
	// may be later than the relay receives the change. So a relay that heard of the
	// endpoint being up after the drain was announced need not wait for the announcement.
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

// outageChanged handles the begin or end of a destination's outage.
func (c *Check) outageChanged(e history.Event) {
	if !e.Active {
		delete(c.outages, e.Destination)
		return
	}
	c.outages[e.Destination] = e
	for _, r := range c.relays {
		r.sawOutage[e.Destination] = e.ConnectionsFail // if connections fail, every relay that tries sees it, though no call reaches an endpoint
	}
}

// sawFailure records that a call of a relay failed at a destination; it has an effect
// only during an outage of the destination.
func (c *Check) sawFailure(r *relay, destination int) {
	if _, down := c.outages[destination]; down {
		r.sawOutage[destination] = true
	}
}

// destinationOverloaded applies RuleRecoveryLoad to a destination that was overloaded
// while it recovered. The rule is violated if at least Rules.BlameFraction of the
// calls came from relays that saw the outage, and so should have sent little.
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
