package policy

// mayReject reports whether a client may be told that its message has not run. It may if no call is in
// flight, and the message has certainly not run or may run again without harm. With a call in flight the
// answer is false, also for an idempotent message.
func (p *Policy) mayReject(message *messageState) bool {
	if message.call != nil {
		return false
	}
	if message.unknownOutcomeAt == 0 {
		return true
	}
	switch message.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return !message.class.DedupPerZone && p.now-message.unknownOutcomeAt < message.class.DedupWindow
	}
	return false
}

// completeUndelivered gives the one final response of a message that was admitted but not
// delivered. No other function does.
func (p *Policy) completeUndelivered(message *messageState) {
	if message.isCompleted {
		return
	}
	if p.mayReject(message) {
		reject := Action{Kind: ActionReject, Message: message.id}
		if p.settings.RetryAfter {
			reject.Delay = min(p.estimateQueueTime(message.dest), p.settings.MaxRetryAfter)
		}
		p.emit(reject)
	} else {
		p.emit(Action{Kind: ActionFail, Message: message.id})
	}
	p.completeMessage(message)
}

// completeMessage takes a message out of the queues. Its attempt in flight still counts as a call
// until the outcome is known.
func (p *Policy) completeMessage(message *messageState) {
	if message.isCompleted {
		return
	}
	message.isCompleted = true
	if message.call != nil {
		p.pendingInFlight--
	}
	last := p.pending[len(p.pending)-1]
	p.pending[message.pendingIndex], last.pendingIndex = last, message.pendingIndex
	p.pending = p.pending[:len(p.pending)-1]
	message.dest.pendingCount--
	message.dest.queue = deleteElement(message.dest.queue, message)
	p.markNeedsRefill(message.dest)
	p.markMaybeUnused(message.dest)
	p.compactTimers()
	if message.call == nil {
		p.forgetMessage(message)
	}
}

// forgetMessage deletes the state of a completed message, and lets the next message with its key be
// sent.
func (p *Policy) forgetMessage(message *messageState) {
	delete(p.messages, message.id)
	if queue := p.orderedQueueOf(message); queue != nil {
		queue.remove(message)
		p.wakeNextInOrder(message.key, queue)
	}
}

// startResponse completes a message whose response has begun to reach its client: it is never sent
// again.
func (p *Policy) startResponse(event *Event) {
	message := p.messages[event.Message]
	if message != nil && message.call != nil && event.Attempt == message.attempts-1 {
		p.completeMessage(message)
	}
}

// withdrawMessage completes a message that no client waits for any more.
func (p *Policy) withdrawMessage(event *Event) {
	if event.Spilled {
		p.endSpill(event)
	} else if message := p.messages[event.Message]; message != nil {
		p.completeMessage(message)
	}
}
