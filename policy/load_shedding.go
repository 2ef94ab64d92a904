package policy

import "math"

// reserveDivisor divides MaxMessages to give the number of places that are kept free: a message
// that is rejected on arrival may be worth more than the least valuable one held.
const reserveDivisor = 16

// shedLoad rejects the least valuable messages while the relay is nearly full. The value of a
// message takes into account when it can be delivered, so that messages of a destination in an
// outage don't take the capacity of others.
func (p *Policy) shedLoad() {
	reserve := max(1, p.settings.MaxMessages/reserveDivisor)
	for p.settings.MaxMessages > 0 && len(p.pending)+p.spill.messages > p.settings.MaxMessages-reserve {
		message := p.leastValuable()
		if message == nil {
			return
		}
		p.completeUndelivered(message)
	}
}

// leastValuable returns the message to shed; nil if none may be rejected.
func (p *Policy) leastValuable() (least *messageState) {
	lowest := math.Inf(1)
	p.shedPass++
	for _, message := range p.pending {
		if !p.mayReject(message) || message.isRecovered {
			continue
		}
		deliveredAt := min(p.queueClearTime(message.dest), message.deadline)
		if value := p.valueAt(message, deliveredAt); value < lowest {
			least, lowest = message, value
		}
	}
	return least
}

// queueClearTime is when the queue of a destination will be empty. It is estimated once for each
// search for a message to shed.
func (p *Policy) queueClearTime(dest *destination) Time {
	if dest.queueClearPass != p.shedPass {
		dest.queueClearPass = p.shedPass
		start := p.nextSendTime(dest)
		if start == math.MaxInt64 { // its next send depends on an outcome, not on time
			start = p.now
		}
		dest.queueClearAt = start + p.estimateQueueTime(dest)
	}
	return dest.queueClearAt
}
