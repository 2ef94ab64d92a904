package policy

import (
	"math"
	"slices"
)

// unansweredThreshold is the fraction of calls without an answer above which messages with a longer
// wait share no call with others.
const unansweredThreshold = 0.04

// startCall makes a call with the message selected for a destination and others that may share it.
func (p *Policy) startCall(dest *destination) {
	endpoint, route := dest.nextEndpoint, dest.nextEndpoint.route
	route.tokens.take(p.now, 1, p.paceRate(route), p.burstSize(route))
	isTrial := endpoint.awaitsRecovery()
	if isTrial {
		route.history.recordRequest(p.now) // no draw: the recovery budget bounds trial calls harder
	} else if p.drawDrop(route) {
		if !dest.nextMessage.isRecovered { // one that an earlier process admitted only has to wait
			p.completeUndelivered(dest.nextMessage)
		}
		return
	}
	call := p.fillCall(dest, isTrial)
	if call.messagesLeft == 0 {
		return
	}
	p.emitSends(call)
	p.spendRecoveryBudget(endpoint)
	if p.settings.Cancellation {
		p.cancelIfStuck(call)
	}
	route.isPaceLimited = false
	p.reserveCall(endpoint)
	streams := p.settings.StreamsPerConnection
	endpoint.connections = max(endpoint.connections, (endpoint.callsInFlight+streams-1)/streams)
}

// fillCall takes messages out of the queue: the selected one, and those after it that may share its
// call.
func (p *Policy) fillCall(dest *destination, isTrial bool) *callState {
	call := &callState{endpoint: dest.nextEndpoint, sentAt: p.now, timeoutBy: math.MaxInt64}
	for _, message := range slices.Clone(dest.queue) {
		if call.messagesLeft >= dest.kind.MaxBatch {
			break
		}
		if message == dest.nextMessage || call.messagesLeft > 0 && !isTrial && p.mayJoinCall(message, call) {
			p.addToCall(message, call)
		}
	}
	return call
}

func (p *Policy) emitSends(call *callState) {
	p.lastCallID++
	for _, message := range call.messages {
		p.emit(Action{
			Kind:     ActionSend,
			Message:  message.id,
			Endpoint: call.endpoint.id,
			Call:     p.lastCallID,
			Deadline: p.attemptTimeout(message, call),
			SendBy:   p.retryBy(message),
		})
	}
}

// mayJoinCall reports whether a message may join a call. A call ends with the earliest time-out of
// its messages, which must leave each the time that it would wait for an answer of its own. Where
// many calls go unanswered, non-idempotent messages share no call with others, since theirs are
// waited for far longer; the price is more calls for as many messages.
func (p *Policy) mayJoinCall(message *messageState, call *callState) bool {
	timeoutBy := min(call.timeoutBy, p.latestTimeout(message))
	if timeoutBy < max(call.minimumWaitUntil, p.minimumWait(message, call.endpoint)) {
		return false
	}
	isNonIdempotent := message.class.Idempotency == NonIdempotent
	isCallNonIdempotent := call.messages[0].class.Idempotency == NonIdempotent
	return p.unansweredFraction < unansweredThreshold || isNonIdempotent == isCallNonIdempotent
}

// addToCall puts a message into a call if every rule allows it. Nothing else does.
func (p *Policy) addToCall(message *messageState, call *callState) {
	if !p.maySend(message, call.endpoint) {
		return
	}
	message.dest.queue = deleteElement(message.dest.queue, message)
	p.markNeedsRefill(message.dest)
	message.call = call
	p.pendingInFlight++
	message.attempts++
	call.messagesLeft++
	call.messages = append(call.messages, message)
	call.timeoutBy = min(call.timeoutBy, p.latestTimeout(message))
	call.minimumWaitUntil = max(call.minimumWaitUntil, p.minimumWait(message, call.endpoint))
}
