package policy

import "slices"

// orderedQueue holds the pending messages of one key of the ordered classes: one is sent at a time.
// Its spilled messages have a place in it, too. The zero value is ready for use.
type orderedQueue struct {
	messages      []*messageState
	cooldownUntil Time         // no first attempt before: an earlier one may still run
	spilledCount  int          // messages that only the log holds
	spilledIndex  int          // their place in messages
	spilledTo     *destination // of all of them
}

// orderedQueueOf gives the queue that a message takes its turn in; nil for none.
func (p *Policy) orderedQueueOf(message *messageState) *orderedQueue {
	if !message.class.Ordered {
		return nil
	}
	return p.orderedQueues[message.key]
}

// joinOrderedQueue gives a message its place among those of its key. One that comes straight behind
// spilled ones is spilled with them.
func (p *Policy) joinOrderedQueue(message *messageState, wasSpilled bool) {
	if !message.isOrdered() {
		return
	}
	queue := p.orderedQueues[message.key]
	if queue == nil {
		queue = &orderedQueue{}
		p.orderedQueues[message.key] = queue
	}
	queue.insert(message, wasSpilled)
	hasTime := p.now < message.deadline-p.deadlineMargin()
	if queue.followsSpilled(message) && !message.neverSpill && hasTime {
		p.spillMessage(message)
	}
}

// isNextInOrder reports whether an ordered message may be sent before all others of its key.
func (p *Policy) isNextInOrder(message *messageState) bool {
	queue := p.orderedQueues[message.key]
	if queue == nil || queue.messages[0] != message || queue.startsSpilled() {
		return false
	}
	return message.attempts != 0 || queue.cooldownUntil <= p.now
}

// coolDownKey holds back a key after an attempt that may still be running.
func (p *Policy) coolDownKey(message *messageState, outcome Outcome) {
	if outcome != TimedOut && outcome != ConnectionReset && outcome != Cancelled {
		return
	}
	if queue := p.orderedQueueOf(message); queue != nil {
		queue.cooldownUntil = max(queue.cooldownUntil, p.now+p.settings.KeyCooldown)
	}
}

// wakeNextInOrder has the first message of a key considered, and drops an empty queue once its
// cooldown is over.
func (p *Policy) wakeNextInOrder(key uint64, queue *orderedQueue) {
	if len(queue.messages) > 0 {
		p.markChanged(queue.messages[0].dest)
		return
	}
	p.schedule(queue.cooldownUntil, func() {
		if len(queue.messages) == 0 && queue.spilledCount == 0 && queue.cooldownUntil <= p.now {
			delete(p.orderedQueues, key)
		}
	})
}

// insert adds a message: at the end, or one that was spilled in the place of the spilled ones.
func (queue *orderedQueue) insert(message *messageState, wasSpilled bool) {
	if !wasSpilled {
		queue.messages = append(queue.messages, message)
		return
	}
	at := min(queue.spilledIndex, len(queue.messages))
	queue.messages = slices.Insert(queue.messages, at, message)
	queue.spilledIndex++
}

// followsSpilled reports whether a message that was just added comes straight behind spilled ones
// that the host gives back in order with it: those of its destination.
func (queue *orderedQueue) followsSpilled(message *messageState) bool {
	return queue.spilledCount > 0 && queue.spilledTo == message.dest &&
		queue.spilledIndex == len(queue.messages)-1 && queue.messages[queue.spilledIndex] == message
}

// recordSpill counts the last message as spilled.
func (queue *orderedQueue) recordSpill(message *messageState) {
	if queue.spilledCount == 0 {
		queue.spilledTo, queue.spilledIndex = message.dest, len(queue.messages)-1
	}
	queue.spilledCount++
}

func (queue *orderedQueue) remove(message *messageState) {
	i := slices.Index(queue.messages, message)
	if i < 0 {
		return
	}
	queue.messages = slices.Delete(queue.messages, i, i+1)
	if i < queue.spilledIndex {
		queue.spilledIndex--
	}
}

// startsSpilled reports whether spilled messages come before all that are in memory.
func (queue *orderedQueue) startsSpilled() bool {
	return queue.spilledCount > 0 && queue.spilledIndex == 0
}
