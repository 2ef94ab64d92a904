package policy

import "slices"

// Bounds on the number of a destination's messages in memory, since the cost of a queue grows with
// its length.
const (
	maxResidentPerDestination = 512
	minResidentPerDestination = 8 // fits in memory even where many destinations have a backlog
)

// loadLeadTime is how long before it is needed a spilled message has to be loaded, since a load may
// have to wait for others.
const loadLeadTime = 2 * second

// Messages of a destination are loaded once it has less than half of its resident limit in memory,
// up to three quarters of the limit, so that each load is worth its cost.
const (
	refillBelowDivisor  = 2
	refillToNumerator   = 3
	refillToDenominator = 4
)

// spillState is the state that concerns spilled messages, which only the host's log holds.
type spillState struct {
	messages                 int            // number of messages that are spilled now
	loadsRequested           int            // number of spilled messages that the host was asked to load
	awaitingRefill           []*destination // destinations with spilled messages and now fewer in memory
	hasSpilled               bool           // whether any message was ever spilled
	completedSinceCompaction int            // number of completed messages whose timers may remain
}

// spillExcess spills the messages that a queue holds beyond its share of the memory, those with the
// latest deadline first.
func (p *Policy) spillExcess(dest *destination) {
	for p.settings.MaxResidentMessages > 0 && p.hasExcess(dest) {
		message := p.latestToSpill(dest)
		if message == nil {
			return
		}
		p.spillMessage(message)
	}
}

func (p *Policy) hasExcess(dest *destination) bool {
	if len(dest.queue) > p.residentLimit() {
		return true
	}
	return len(p.pending) > p.settings.MaxResidentMessages && len(dest.queue) > p.residentMinimum()
}

// latestToSpill returns the message with the latest deadline that may be spilled; nil for none.
func (p *Policy) latestToSpill(dest *destination) (latest *messageState) {
	for _, message := range slices.Backward(dest.queue) { // the newest often has the latest deadline
		if (latest == nil || message.deadline > latest.deadline) && p.maySpill(message) {
			latest = message
		}
	}
	return latest
}

// residentLimit is the maximum number of messages of one destination in memory.
func (p *Policy) residentLimit() int {
	return min(maxResidentPerDestination, p.settings.MaxResidentMessages)
}

// residentMinimum is how many messages of each destination fit in memory even if all destinations
// have a backlog.
func (p *Policy) residentMinimum() int {
	return min(minResidentPerDestination, max(1, p.settings.MaxResidentMessages/len(p.destinations)))
}

// maySpill reports whether a queued message may be spilled. It may not if it would have to be
// loaded again at once or is never sent again. Of an ordered key only the last message may be
// spilled, and only while no other message of the key is.
func (p *Policy) maySpill(message *messageState) bool {
	if message.neverSpill || p.loadDeadline(message) <= p.now || p.hasNoAttemptLeft(message) {
		return false
	}
	if !message.isOrdered() {
		return true
	}
	queue := p.orderedQueues[message.key]
	return queue.spilledCount == 0 && queue.messages[len(queue.messages)-1] == message
}

// loadDeadline is the time by which a spilled message has to be loaded again.
func (p *Policy) loadDeadline(message *messageState) Time {
	if latestRetry := p.retryBy(message); latestRetry > 0 {
		return min(latestRetry, message.deadline-p.deadlineMargin()) - loadLeadTime
	}
	return message.deadline - p.deadlineMargin() - loadLeadTime
}

// spillMessage spills a queued message: from now on only the host's log holds it.
func (p *Policy) spillMessage(message *messageState) {
	p.emit(Action{
		Kind:      ActionSpill,
		Message:   message.id,
		Dest:      message.dest.id,
		Deadline:  p.loadDeadline(message),
		Recovered: message.isRecovered,
		OverQuota: message.isOverQuota,
		Ordered:   message.isOrdered(),
	})
	p.spill.hasSpilled = true
	p.spill.messages++
	message.dest.spilledCount++
	if message.isOrdered() {
		p.orderedQueues[message.key].recordSpill(message)
	}
	p.completeMessage(message)
}

// endSpill counts a message as no longer spilled, since it is loaded or withdrawn.
func (p *Policy) endSpill(event *Event) {
	dest := p.destination(event.Dest)
	p.markMaybeUnused(dest)
	if dest.spilledCount == 0 { // another process spilled it
		return
	}
	dest.spilledCount--
	p.spill.messages--
	if dest.loadsRequested > 0 {
		dest.loadsRequested--
		p.spill.loadsRequested--
	}
	queue := p.orderedQueues[event.Key]
	if queue != nil && queue.spilledCount > 0 && p.settings.Classes[event.Class].Ordered {
		queue.spilledCount--
		if event.Kind == EventWithdraw {
			p.wakeNextInOrder(event.Key, queue)
		}
	}
	p.markNeedsRefill(dest)
}

// markNeedsRefill has requestLoads consider a destination with spilled messages, since it now has
// fewer in memory.
func (p *Policy) markNeedsRefill(dest *destination) {
	if dest.spilledCount > 0 && !dest.needsRefill {
		dest.needsRefill = true
		p.spill.awaitingRefill = append(p.spill.awaitingRefill, dest)
	}
}

// requestLoads asks the host for spilled messages of the destinations that have few in memory, as
// far as memory allows.
func (p *Policy) requestLoads() {
	for _, dest := range p.spill.awaitingRefill {
		dest.needsRefill = false
		if count := p.loadCount(dest); count > 0 {
			dest.loadsRequested += count
			p.spill.loadsRequested += count
			p.emit(Action{Kind: ActionLoad, Dest: dest.id, Count: count})
		}
	}
	p.spill.awaitingRefill = p.spill.awaitingRefill[:0]
}

// loadCount is how many more of a destination's spilled messages to request. At least one message
// has to be in memory or requested, since nothing else would cause the rest to be loaded.
func (p *Policy) loadCount(dest *destination) int {
	resident, count := len(dest.queue)+dest.loadsRequested, 0
	if resident < p.residentLimit()/refillBelowDivisor {
		free := p.settings.MaxResidentMessages - len(p.pending) - p.spill.loadsRequested
		count = min(p.residentLimit()*refillToNumerator/refillToDenominator-resident, free)
	}
	return min(max(count, p.residentMinimum()-resident), dest.spilledCount-dest.loadsRequested)
}
