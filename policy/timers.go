package policy

import (
	"container/heap"
	"math"
	"slices"
)

// minCompaction is the least number of completed messages after which the timers are compacted.
const minCompaction = 1024

// timerTask is what a timer does when it is due: it checks a message or calls run.
type timerTask struct {
	message *messageState // nil where run is set
	run     func()
}

func (p *Policy) scheduleCheck(at Time, message *messageState) {
	p.timers.add(at, timerTask{message: message})
}

func (p *Policy) schedule(at Time, run func()) { p.timers.add(at, timerTask{run: run}) }

// runDueTimers runs the due timers in the order of their times, including those that are added
// meanwhile and are due at once.
func (p *Policy) runDueTimers() {
	for task, ok := p.timers.popDue(p.now); ok; task, ok = p.timers.popDue(p.now) {
		if task.message != nil {
			p.checkMessage(task.message)
		} else {
			task.run()
		}
	}
}

// compactTimers drops the timers of completed messages once they may be half of all timers. Their
// deadlines may be hours away, and memory has to be bounded. As long as no message has been
// spilled, the number of messages in memory bounds the timers.
func (p *Policy) compactTimers() {
	if !p.spill.hasSpilled {
		return
	}
	p.spill.completedSinceCompaction++
	completed := p.spill.completedSinceCompaction
	if completed >= minCompaction && 2*completed >= len(p.timers.items) {
		p.spill.completedSinceCompaction = 0
		p.timers.retain(func(task timerTask) bool { return task.message == nil || !task.message.isCompleted })
	}
}

// armTimer asks the host for one timer, at the next time at which something may change without an
// event.
func (p *Policy) armTimer() {
	next := p.timers.earliest()
	if p.settings.PollList {
		next = min(next, p.polledAt+max(p.settings.PollInterval/pollsPerInterval, second))
	}
	if next == math.MaxInt64 || p.timerAt > p.now && p.timerAt <= next {
		return
	}
	p.timerAt = max(next, p.now+p.settings.Tick)
	p.emit(Action{Kind: ActionTimer, Delay: p.timerAt - p.now})
}

// timerQueue holds values that are due at later times. Values due at the same time come out in the
// order in which they were added. The zero value is empty and ready for use.
type timerQueue[T any] struct {
	items    timerHeap[T]
	sequence uint64
}

type timerItem[T any] struct {
	at       Time
	sequence uint64
	value    T
}

// timerHeap is the heap.Interface of a timerQueue.
type timerHeap[T any] []timerItem[T]

func (h timerHeap[T]) Len() int      { return len(h) }
func (h timerHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timerHeap[T]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h *timerHeap[T]) Push(item any) { *h = append(*h, item.(timerItem[T])) }
func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = timerItem[T]{} // lets the garbage collector free its value
	*h = (*h)[:last]
	return item
}

func (q *timerQueue[T]) add(at Time, value T) {
	q.sequence++
	heap.Push(&q.items, timerItem[T]{at, q.sequence, value})
}

// popDue removes and returns the earliest value if it is due.
func (q *timerQueue[T]) popDue(now Time) (value T, ok bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		return value, false
	}
	return heap.Pop(&q.items).(timerItem[T]).value, true
}

// retain drops all values for which isNeeded reports false.
func (q *timerQueue[T]) retain(isNeeded func(T) bool) {
	q.items = slices.DeleteFunc(q.items, func(item timerItem[T]) bool { return !isNeeded(item.value) })
	heap.Init(&q.items)
}

// earliest is when the next value is due; math.MaxInt64 if the queue is empty.
func (q *timerQueue[T]) earliest() Time {
	if len(q.items) == 0 {
		return math.MaxInt64
	}
	return q.items[0].at
}
