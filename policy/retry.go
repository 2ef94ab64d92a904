package policy

// maxCountedAttempts is the maximum number of attempts of one message, since the wire format
// numbers them in one byte.
const maxCountedAttempts = 255

// hasNoAttemptLeft reports whether a message may never be sent again.
func (p *Policy) hasNoAttemptLeft(message *messageState) bool {
	if message.attempts >= maxCountedAttempts {
		return true
	}
	if p.settings.MaxAttempts > 0 && message.attempts >= p.settings.MaxAttempts {
		return true
	}
	if message.unknownOutcomeAt == 0 || message.class.Idempotency == Idempotent {
		return false
	}
	return message.class.Idempotency == NonIdempotent || p.now > p.retryBy(message)
}

// retryBy is the latest time at which a message that may have run can be sent again and still be
// recognized as a repeat; 0 if there is no such limit. It is also passed to the host, since waiting
// for a connection may delay a call beyond it.
func (p *Policy) retryBy(message *messageState) Time {
	if message.unknownOutcomeAt == 0 || message.class.Idempotency != IdempotentByKey {
		return 0
	}
	return message.unknownOutcomeAt + message.class.DedupWindow - dedupMarginTicks*p.settings.Tick
}

// recordUnknownOutcome records the first attempt of a message that may have run, and has the
// message checked once its deduplication window has ended.
func (p *Policy) recordUnknownOutcome(message *messageState, sentAt Time, zone int) {
	message.unknownOutcomeAt, message.unknownOutcomeZone = sentAt, zone
	windowEnd := sentAt + message.class.DedupWindow - dedupMarginTicks*p.settings.Tick + 1
	p.scheduleCheck(max(windowEnd, p.now+1), message)
}
