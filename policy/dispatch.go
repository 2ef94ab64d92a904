package policy

import (
	"cmp"
	"math"
	"slices"
)

// idleWeightDivisor divides the weight of a message to give the urgency that it has even if it
// loses nothing by waiting.
const idleWeightDivisor = 1000

// dispatch sends messages, those first that lose most by waiting. It examines only the destinations
// that an event or a timer has changed and those that waited for a call slot, so that its cost
// doesn't grow with the number of destinations.
func (p *Policy) dispatch() {
	p.recheckAwaitingSlot()
	p.examineChanged()
	for p.hasFreeSlot() && len(p.awaitingSlot) > 0 {
		p.sendMostUrgent()
	}
	p.updateSaturation()
}

func (p *Policy) hasFreeSlot() bool { return p.callsInFlight < p.settings.MaxCalls }

// recheckAwaitingSlot has the destinations that waited for a call slot examined again once a slot
// is free.
func (p *Policy) recheckAwaitingSlot() {
	if !p.hasFreeSlot() {
		return
	}
	for _, dest := range p.awaitingSlot {
		dest.isAwaitingSlot = false
		p.markChanged(dest)
	}
	p.awaitingSlot = p.awaitingSlot[:0]
}

func (p *Policy) examineChanged() {
	for _, dest := range p.changed {
		dest.isChanged = false
		p.selectNextMessage(dest)
		if dest.nextMessage != nil && !dest.isAwaitingSlot {
			dest.isAwaitingSlot = true
			p.awaitingSlot = append(p.awaitingSlot, dest)
		}
	}
	p.changed = p.changed[:0]
}

// sendMostUrgent makes a call to the destination whose next message loses most by waiting.
func (p *Policy) sendMostUrgent() {
	mostUrgent := 0
	for i, dest := range p.awaitingSlot {
		if dest.nextUrgency > p.awaitingSlot[mostUrgent].nextUrgency {
			mostUrgent = i
		}
	}
	dest := p.awaitingSlot[mostUrgent]
	p.startCall(dest)
	p.selectNextMessage(dest)
	if dest.nextMessage == nil {
		dest.isAwaitingSlot = false
		p.awaitingSlot = slices.Delete(p.awaitingSlot, mostUrgent, mostUrgent+1)
	}
}

// updateSaturation records since when messages wait while every call slot is taken.
func (p *Policy) updateSaturation() {
	if p.hasFreeSlot() || len(p.pending) <= p.pendingInFlight {
		p.saturatedSince = 0
	} else if p.saturatedSince == 0 {
		p.saturatedSince = p.now
	}
}

// markChanged has a destination examined in this step.
func (p *Policy) markChanged(dest *destination) {
	if !dest.isChanged {
		dest.isChanged = true
		p.changed = append(p.changed, dest)
	}
}

// selectNextMessage selects, of the messages of a destination that may be sent now, the one that
// loses most if it waits until the queue is empty; among those that lose nothing, the one whose
// latency objective ends first.
func (p *Policy) selectNextMessage(dest *destination) {
	dest.nextMessage = nil
	if len(dest.queue) == 0 {
		return
	}
	if p.hasOpenRoute(dest) { // otherwise nothing may be sent and sorting is wasted
		p.sortQueue(dest)
		for _, message := range dest.queue {
			if endpoint := p.selectEndpoint(message); endpoint != nil {
				dest.nextMessage, dest.nextEndpoint = message, endpoint
				weight := message.delayCost + message.weight/idleWeightDivisor
				dest.nextUrgency = weight / float64(p.typicalLatency(dest)+1)
				return
			}
		}
	}
	p.scheduleExamination(dest)
}

func (p *Policy) hasOpenRoute(dest *destination) bool {
	return slices.ContainsFunc(dest.routes, func(route *routeState) bool {
		return p.hasCapacity(route) && p.hasPaceToken(route)
	})
}

func (p *Policy) sortQueue(dest *destination) {
	p.updateDelayCosts(dest)
	slices.SortStableFunc(dest.queue, func(a, b *messageState) int {
		return cmp.Or(cmp.Compare(b.delayCost, a.delayCost), cmp.Compare(a.objectiveAt, b.objectiveAt))
	})
}

// scheduleExamination has a destination examined at the next time at which one of its messages may
// become sendable without any event.
func (p *Policy) scheduleExamination(dest *destination) {
	sendAt := p.nextSendTime(dest)
	if sendAt < math.MaxInt64 && (dest.wakeAt <= p.now || sendAt < dest.wakeAt) {
		dest.wakeAt = max(sendAt, p.now+p.settings.Tick)
		p.schedule(dest.wakeAt, func() { p.markChanged(dest) })
	}
}

// nextSendTime is the next time at which a message to a destination may become sendable without any
// event; math.MaxInt64 if there is none.
func (p *Policy) nextSendTime(dest *destination) Time {
	next := Time(math.MaxInt64)
	for _, route := range dest.routes {
		next = min(next, p.nextRouteOpening(route))
	}
	for _, message := range dest.queue {
		if message.hasTimedRule() {
			next = min(next, p.nextEligibility(message))
		}
	}
	return next
}

func (p *Policy) nextRouteOpening(route *routeState) Time {
	next := Time(math.MaxInt64)
	tokenAt := route.tokens.availableAt(p.now, 1, p.paceRate(route), p.burstSize(route))
	routeAt := max(route.backoffUntil, route.retryAfterUntil, tokenAt)
	for _, endpoint := range route.endpoints {
		openAt := max(routeAt, endpoint.backoffUntil)
		if endpoint.isEjected {
			rate, burst := p.recoveryRate(endpoint)
			cost := endpoint.nextCallCost
			openAt = max(openAt, endpoint.recoveryBudget.availableAt(p.now, cost, rate, max(burst, cost)))
		}
		if openAt > p.now {
			next = min(next, openAt)
		}
	}
	return next
}

// hasTimedRule reports whether the class of a message has a rule that expires with time. Most
// classes have none, which saves further checks on the messages of a long queue.
func (message *messageState) hasTimedRule() bool {
	return message.class.Ordered || message.class.Idempotency == NonIdempotent
}

// nextEligibility is the earliest time at which a rule that may keep the message from being sent
// expires: the cooldown of its key, or the rule that a non-idempotent message is no trial call.
// It is math.MaxInt64 if no such rule applies.
func (p *Policy) nextEligibility(message *messageState) Time {
	next := Time(math.MaxInt64)
	if queue := p.orderedQueueOf(message); queue != nil && queue.cooldownUntil > p.now {
		next = queue.cooldownUntil
	}
	// After its latency objective a non-idempotent message may be sent as a trial call to an ejected
	// endpoint.
	if message.class.Idempotency == NonIdempotent && message.objectiveAt >= p.now {
		next = min(next, message.objectiveAt+1)
	}
	return next
}
