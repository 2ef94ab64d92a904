package policy

import (
	"cmp"
	"slices"
)

// Rules for how long an overdue call is waited for, which is a multiple of the expected latency
// bound.
const (
	// nonIdempotentWaitFactor multiplies the wait for a call with a non-idempotent message, which has
	// no retry.
	nonIdempotentWaitFactor = 4
	// manyOverdueDivisor divides that longer wait while too many calls are overdue.
	manyOverdueDivisor = 2
	// maxOverdueFraction is the fraction of the call slots from which on overdue calls are too many,
	// and minOverdue is the least number of calls that is too many.
	maxOverdueFraction = 0.33
	minOverdue         = 2
)

// cancelIfStuck cancels a call that has been in flight for its expected latency bound while, for as
// long, every call slot was taken and messages waited. Until then it reschedules itself. The normal
// time-out, at the latency objective, is right for a slot that no message needs, but too late for
// the last free slot. The rule covers single calls that hang where others are answered, and many
// slow calls at once; its price is that nearly finished work is repeated.
//
// A call with a non-idempotent message, which has no retry, is waited for longer. It also has the
// longest time-out, and would hold a place in the window, and one of few connections, until its
// deadline. So it is cancelled even if no message waits for a slot, once a call that was sent later
// by the longer wait has been answered.
func (p *Policy) cancelIfStuck(call *callState) {
	wait := p.expectedLatencyBound(call.endpoint) + 1
	nextCheck := p.now + wait // by then a later call may have been answered
	waitStart := max(call.sentAt, cmp.Or(p.saturatedSince, p.now))
	if call.hasNonIdempotent() {
		wait *= nonIdempotentWaitFactor
		if p.hasManyOverdueCalls() {
			wait /= manyOverdueDivisor
		}
		// If the endpoint were only paused or slow, the later call would be held up too.
		if call.endpoint.lastSuccessSentAt > call.sentAt+wait {
			waitStart = call.sentAt
		}
	}
	cancelAt := waitStart + wait
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

// countOverdueCalls counts the calls that have been in flight for longer than the expected latency
// bound of their endpoint.
func (p *Policy) countOverdueCalls() (count int) {
	for _, message := range p.pending {
		call := message.call
		if call == nil || call.messages[0] != message { // count each call once
			continue
		}
		if p.now-call.sentAt > p.expectedLatencyBound(call.endpoint) {
			count++
		}
	}
	return count
}
