package policy

import "slices"

// Bounds on the messages of one destination in memory: the cost of a queue grows with them.
const (
	maxResidentPerDestination = 512
	minResidentPerDestination = 8 // where many destinations have a backlog
)

// loadLeadTime is how long before its time is up a spilled message is due back: a load may wait for
// others.
const loadLeadTime = 2 * second

// A destination asks for spilled messages once it holds less than half of its resident limit, up to
// three quarters of it, so that each load is worth its cost.
const (
	refillBelowDivisor  = 2
	refillToNumerator   = 3
	refillToDenominator = 4
)

// spillState is the state that concerns spilled messages: those that only the host's log holds.
type spillState struct {
	messages                 int            // spilled now
	loadsRequested           int            // of these
	awaitingRefill           []*destination // with spilled messages, and fewer in memory than before
	hasSpilled               bool           // ever
	completedSinceCompaction int            // messages, whose timers are in the way
}

// spillExcess spills what a queue holds beyond its share of the memory, the latest deadline first.
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

// latestToSpill is the message with the latest deadline that may be spilled; nil for none.
func (p *Policy) latestToSpill(dest *destination) (latest *messageState) {
	for _, message := range slices.Backward(dest.queue) { // what has just joined is often the one
		if (latest == nil || message.deadline > latest.deadline) && p.maySpill(message) {
			latest = message
		}
	}
	return latest
}

// residentLimit is how many messages of one destination are in memory at most.
func (p *Policy) residentLimit() int {
	return min(maxResidentPerDestination, p.settings.MaxResidentMessages)
}

// residentMinimum is for how many of each destination there is memory where all have a backlog.
func (p *Policy) residentMinimum() int {
	return min(minResidentPerDestination, max(1, p.settings.MaxResidentMessages/len(p.destinations)))
}

// maySpill reports whether a queued message may be spilled: not one that would be due back at once
// or is never sent again, and of an ordered key the last one alone, none of which has left yet.
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

// loadDeadline is the moment by which a spilled message has to be back.
func (p *Policy) loadDeadline(message *messageState) Time {
	if by := p.retryBy(message); by > 0 {
		return min(by, message.deadline-p.deadlineMargin()) - loadLeadTime
	}
	return message.deadline - p.deadlineMargin() - loadLeadTime
}

// spillMessage leaves a queued message to the log alone, and forgets it.
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

// endSpill counts a message as no longer spilled: it is loaded, or withdrawn.
func (p *Policy) endSpill(event *Event) {
	dest := p.destination(event.Dest)
	if dest.spilledCount == 0 { // another process's
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

// markNeedsRefill has a destination with spilled messages considered, as it has fewer in memory now.
func (p *Policy) markNeedsRefill(dest *destination) {
	if dest.spilledCount > 0 && !dest.needsRefill {
		dest.needsRefill = true
		p.spill.awaitingRefill = append(p.spill.awaitingRefill, dest)
	}
}

// requestLoads asks for spilled messages of the destinations that have few in memory, as far as
// memory allows.
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

// loadCount is how many more of a destination's spilled messages to ask for. One in memory is
// always due: nothing else would send the rest.
func (p *Policy) loadCount(dest *destination) int {
	resident, count := len(dest.queue)+dest.loadsRequested, 0
	if resident < p.residentLimit()/refillBelowDivisor {
		free := p.settings.MaxResidentMessages - len(p.pending) - p.spill.loadsRequested
		count = min(p.residentLimit()*refillToNumerator/refillToDenominator-resident, free)
	}
	return min(max(count, p.residentMinimum()-resident), dest.spilledCount-dest.loadsRequested)
}
