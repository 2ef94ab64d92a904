package policy

import (
	"cmp"
	"slices"
)

// Waiting times for calls that are overdue, in parts of the usual bound.
const (
	// nonIdempotentWaitFactor lengthens the wait for a message without a retry.
	nonIdempotentWaitFactor = 4
	// stuckManyDivisor shortens it again while too many call slots hang.
	stuckManyDivisor = 2
	// maxOverdueFraction is the part of the call slots that may be overdue, and minOverdue the
	// least number of calls that counts as too many.
	maxOverdueFraction = 0.33
	minOverdue         = 2
)

// cancelIfStuck cancels a call that has been in flight for its expected bound while every call slot
// was taken and messages waited for as long; until then it schedules itself anew. A time-out at the
// latency objective is right for a slot that nobody wants, not for the last one. The rule is for
// calls that hang here and there where others are answered, and for many slow ones at once; the
// price is that work nearly done is done again.
//
// A non-idempotent message, which has no retry, is given longer. It also has the longest time-out,
// so its call is cancelled without such pressure too once a call sent as much later was answered:
// it would take a place in the window, and one of few connections, until its deadline.
func (p *Policy) cancelIfStuck(call *callState) {
	wait := p.expectedLatencyBound(call.endpoint) + 1
	nextCheck := p.now + wait // a later call may have been answered by then
	waitsFrom := max(call.sentAt, cmp.Or(p.saturatedSince, p.now))
	if call.hasNonIdempotent() {
		wait *= nonIdempotentWaitFactor
		if p.hasManyOverdueCalls() {
			wait /= stuckManyDivisor
		}
		// A pause or a slow spell would hold up what was sent later, too.
		if call.endpoint.lastSuccessSentAt > call.sentAt+wait {
			waitsFrom = call.sentAt
		}
	}
	cancelAt := waitsFrom + wait
	if call.messagesLeft > 0 && cancelAt > p.now {
		p.schedule(min(cancelAt, nextCheck), func() { p.cancelIfStuck(call) })
		return
	}
	for _, message := range call.messages {
		if message.call == call {
			p.emit(Action{Kind: ActionCancel, Message: message.id, Attempt: message.attempts - 1})
		}
	}
}

func (call *callState) hasNonIdempotent() bool {
	return slices.ContainsFunc(call.messages, func(message *messageState) bool {
		return message.class.Idempotency == NonIdempotent
	})
}

func (p *Policy) hasManyOverdueCalls() bool {
	return p.countOverdueCalls() >= max(minOverdue, int(maxOverdueFraction*float64(p.settings.MaxCalls)))
}

// countOverdueCalls counts the calls in flight for longer than calls there usually take.
func (p *Policy) countOverdueCalls() (count int) {
	for _, message := range p.pending {
		call := message.call
		if call == nil || call.messages[0] != message { // each call counts once
			continue
		}
		if p.now-call.sentAt > p.expectedLatencyBound(call.endpoint) {
			count++
		}
	}
	return count
}
