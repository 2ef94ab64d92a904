package policy

import (
	"cmp"
	"math"
	"slices"
)

// idleWeightDivisor gives the urgency of a message that loses nothing by waiting, as a part of its
// weight.
const idleWeightDivisor = 1000

// dispatch sends the messages that lose most by waiting. It examines the destinations that an event
// or a timer has changed and those that only waited for a call slot: its cost must not grow with
// the list.
func (p *Policy) dispatch() {
	p.recheckAwaitingSlot()
	p.examineChanged()
	for p.hasFreeSlot() && len(p.awaitingSlot) > 0 {
		p.sendMostUrgent()
	}
	p.updateSaturation()
}

func (p *Policy) hasFreeSlot() bool { return p.callsInFlight < p.settings.MaxCalls }

// recheckAwaitingSlot has the choices that waited for a slot made anew once there is one.
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
	most := 0
	for i, dest := range p.awaitingSlot {
		if dest.nextUrgency > p.awaitingSlot[most].nextUrgency {
			most = i
		}
	}
	dest := p.awaitingSlot[most]
	p.startCall(dest)
	p.selectNextMessage(dest)
	if dest.nextMessage == nil {
		dest.isAwaitingSlot = false
		p.awaitingSlot = slices.Delete(p.awaitingSlot, most, most+1)
	}
}

// updateSaturation notes since when messages wait with every call slot taken.
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

// selectNextMessage finds the message of a destination that loses most if it waits for the queue;
// among those that lose nothing, the one whose latency objective ends first.
func (p *Policy) selectNextMessage(dest *destination) {
	dest.nextMessage = nil
	if len(dest.queue) == 0 {
		return
	}
	if p.hasOpenRoute(dest) { // else sorting would cost more than the work there is
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

// scheduleExamination has a destination examined when time alone may let something go there.
func (p *Policy) scheduleExamination(dest *destination) {
	at := p.nextSendTime(dest)
	if at < math.MaxInt64 && (dest.wakeAt <= p.now || at < dest.wakeAt) {
		dest.wakeAt = max(at, p.now+p.settings.Tick)
		p.schedule(dest.wakeAt, func() { p.markChanged(dest) })
	}
}

// nextSendTime is the next moment at which time alone may let something go to a destination; the
// last moment of all where there is none.
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
		at := max(routeAt, endpoint.backoffUntil)
		if endpoint.isEjected {
			rate, burst := p.recoveryRate(endpoint)
			cost := endpoint.nextCallCost
			at = max(at, endpoint.recoveryBudget.availableAt(p.now, cost, rate, max(burst, cost)))
		}
		if at > p.now {
			next = min(next, at)
		}
	}
	return next
}

// hasTimedRule reports whether the class has a rule that ends with time: most have none, which
// saves a long queue the rest.
func (message *messageState) hasTimedRule() bool {
	return message.class.Ordered || message.class.Idempotency == NonIdempotent
}

// nextEligibility is when a rule of a message's class ends that may keep it from being sent.
func (p *Policy) nextEligibility(message *messageState) Time {
	next := Time(math.MaxInt64)
	if queue := p.orderedQueueOf(message); queue != nil && queue.cooldownUntil > p.now {
		next = queue.cooldownUntil
	}
	// Once it is late, a non-idempotent message may go to an ejected endpoint.
	if message.class.Idempotency == NonIdempotent && message.objectiveAt >= p.now {
		next = min(next, message.objectiveAt+1)
	}
	return next
}
