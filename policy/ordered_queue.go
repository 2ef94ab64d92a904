package policy

import "slices"

// orderedQueue holds the pending messages of one key of the ordered classes in order; one is sent
// at a time. It also knows the place of its spilled messages. The zero value is ready for use.
type orderedQueue struct {
	messages      []*messageState
	cooldownUntil Time         // no message is first sent before this, since an earlier attempt may still run
	spilledCount  int          // number of messages that only the host's log holds
	spilledIndex  int          // index in messages at which the spilled ones belong
	spilledTo     *destination // destination of all spilled ones
}

// orderedQueueOf returns the queue of the message's key; nil for none.
func (p *Policy) orderedQueueOf(message *messageState) *orderedQueue {
	if !message.class.Ordered {
		return nil
	}
	return p.orderedQueues[message.key]
}

// joinOrderedQueue adds an ordered message to the queue of its key. A message that directly follows
// spilled ones is spilled too, if it may be and its deadline is not near.
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

// isNextInOrder reports whether an ordered message is the next of its key and may be sent now.
func (p *Policy) isNextInOrder(message *messageState) bool {
	queue := p.orderedQueues[message.key]
	if queue == nil || queue.messages[0] != message || queue.startsWithSpilled() {
		return false
	}
	return message.attempts != 0 || queue.cooldownUntil <= p.now
}

// coolDownKey holds back the next message of a key after an attempt that may still be running.
func (p *Policy) coolDownKey(message *messageState, outcome Outcome) {
	if outcome != TimedOut && outcome != ConnectionReset && outcome != Cancelled {
		return
	}
	if queue := p.orderedQueueOf(message); queue != nil {
		queue.cooldownUntil = max(queue.cooldownUntil, p.now+p.settings.KeyCooldown)
	}
}

// wakeNextInOrder has the destination of the first message of a key examined. If the queue is
// empty, it deletes the queue once its cooldown is over.
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

// insert adds a message to the queue: one that was spilled at the place of the spilled ones, any
// other at the end.
func (queue *orderedQueue) insert(message *messageState, wasSpilled bool) {
	if !wasSpilled {
		queue.messages = append(queue.messages, message)
		return
	}
	index := min(queue.spilledIndex, len(queue.messages))
	queue.messages = slices.Insert(queue.messages, index, message)
	queue.spilledIndex++
}

// followsSpilled reports whether a message that was just added directly follows spilled messages of
// its own destination. Such a message may be spilled too and keeps its place: the host loads the
// ordered messages of a destination in the order in which they were spilled.
func (queue *orderedQueue) followsSpilled(message *messageState) bool {
	return queue.spilledCount > 0 && queue.spilledTo == message.dest &&
		queue.spilledIndex == len(queue.messages)-1 && queue.messages[queue.spilledIndex] == message
}

// recordSpill records that the last message of the queue is spilled.
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

// startsWithSpilled reports whether spilled messages come before all that are in memory.
func (queue *orderedQueue) startsWithSpilled() bool {
	return queue.spilledCount > 0 && queue.spilledIndex == 0
}
