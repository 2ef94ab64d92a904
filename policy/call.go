package policy

import (
	"math"
	"slices"
)

// unansweredThreshold is the fraction of unanswered calls from which on non-idempotent messages,
// for which a call waits longer, share calls only with each other.
const unansweredThreshold = 0.04

// startCall starts a call with the destination's selected message and others that may share it,
// unless adaptive throttling drops the message.
func (p *Policy) startCall(dest *destination) {
	endpoint, route := dest.nextEndpoint, dest.nextEndpoint.route
	route.tokens.take(p.now, 1, p.paceRate(route), p.burstSize(route))
	isTrial := endpoint.awaitsRecovery()
	if isTrial {
		route.history.recordRequest(p.now) // no throttling: the recovery budget limits trial calls more
	} else if p.drawDrop(route) {
		if !dest.nextMessage.isRecovered { // a message that an earlier process admitted stays queued
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

// fillCall takes the messages of a new call out of the queue: the selected one, and those behind it
// that may share its call.
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

// mayJoinCall reports whether a message may join a call. A call ends at the earliest time-out of
// its messages, which must leave each message its minimumWait: the time in which an answer nearly
// always comes, or all the time that the message has. Where many calls go unanswered,
// non-idempotent messages share calls only with each other, since their calls are waited for far
// longer; the price is more calls for the same number of messages.
func (p *Policy) mayJoinCall(message *messageState, call *callState) bool {
	timeoutBy := min(call.timeoutBy, p.latestTimeout(message))
	if timeoutBy < max(call.minimumWaitUntil, p.minimumWait(message, call.endpoint)) {
		return false
	}
	isNonIdempotent := message.class.Idempotency == NonIdempotent
	isCallNonIdempotent := call.messages[0].class.Idempotency == NonIdempotent
	return p.unansweredFraction < unansweredThreshold || isNonIdempotent == isCallNonIdempotent
}

// addToCall adds a message to a call if every rule allows it. Every send of a message passes
// through here.
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
