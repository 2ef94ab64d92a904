// Package backlog indexes messages that were spilled from memory to the log. For each
// destination it returns the messages in the order of the times by which they must be
// loaded, but ordered messages first in, first out. It also returns the messages that are
// due first over all destinations. A message takes 16 bytes without pointers, plus the
// spare capacity of a growing slice.
package backlog

import "math"

// Entry is one spilled message.
type Entry struct {
	LoadBy     int64  // latest time at which it must be loaded, in µs of the caller's clock
	Index      uint32 // position in the log's index
	Generation uint16 // shows whether that position still holds the message
	Flags      Flags
}

// Flags holds what the caller needs to know about a message when it is loaded.
type Flags uint8

// Flags of an entry.
const (
	Recovered Flags = 1 << iota // the message was recovered after a restart
	OverQuota                   // the message's tenant was over its quota
	Ordered                     // returned first in, first out among the ordered messages of its destination
)

// Item is an entry with its destination.
type Item struct {
	Entry
	Dest int
}

// Store is an index of spilled messages. The zero value is an empty store. It is not safe
// for concurrent use.
type Store struct {
	queues map[int]*queue // by destination; no queue is empty
	due    []*queue       // heap ordered by nextDue
	count  int
}

// queue holds the entries of one destination.
type queue struct {
	dest       int
	heapIndex  int     // position in Store.due
	heap       []Entry // heap of unordered entries, by LoadBy
	fifo       []Entry // ordered entries, first in, first out
	fifoMinima []int64 // LoadBy of each entry of fifo that is not greater than any LoadBy behind it
}

// Len returns the number of entries.
func (s *Store) Len() int { return s.count }

// CountFor returns the number of entries of one destination.
func (s *Store) CountFor(dest int) int {
	if q := s.queues[dest]; q != nil {
		return len(q.heap) + len(q.fifo)
	}
	return 0
}

// Next returns the earliest LoadBy. ok is false if the store is empty.
func (s *Store) Next() (loadBy int64, ok bool) {
	if len(s.due) == 0 {
		return 0, false
	}
	return s.due[0].nextDue(), true
}

// Add adds an entry.
func (s *Store) Add(dest int, e Entry) {
	q := s.queues[dest]
	if q == nil {
		if s.queues == nil {
			s.queues = map[int]*queue{}
		}
		q = &queue{dest: dest, heapIndex: len(s.due)}
		s.queues[dest] = q
		s.due = append(s.due, q)
	}
	q.add(e)
	s.count++
	s.fixHeap(q)
}

// TakeDue removes and returns up to limit entries that must be loaded by now, earliest
// first. If an ordered entry is due, the ordered entries before it are returned first.
func (s *Store) TakeDue(now int64, limit int) (items []Item) {
	for len(items) < limit && len(s.due) > 0 && s.due[0].nextDue() <= now {
		q := s.due[0]
		var e Entry
		if len(q.heap) > 0 && q.heap[0].LoadBy == q.nextDue() {
			e = q.popHeap()
		} else {
			e = q.popFIFO()
		}
		items = append(items, Item{e, q.dest})
		s.afterRemove(q)
	}
	return items
}

// Take removes and returns up to limit entries of a destination, earliest first.
func (s *Store) Take(dest, limit int) (items []Item) {
	q := s.queues[dest]
	for q != nil && len(items) < limit && len(q.heap)+len(q.fifo) > 0 {
		var e Entry
		if len(q.fifo) > 0 && (len(q.heap) == 0 || q.fifo[0].LoadBy <= q.heap[0].LoadBy) {
			e = q.popFIFO()
		} else {
			e = q.popHeap()
		}
		items = append(items, Item{e, dest})
		s.afterRemove(q)
	}
	return items
}

// afterRemove updates the index after an entry was removed from a queue.
func (s *Store) afterRemove(q *queue) {
	s.count--
	s.fixHeap(q)
	if len(q.heap)+len(q.fifo) > 0 {
		return
	}
	index, last := q.heapIndex, len(s.due)-1
	s.swap(index, last)
	s.due[last] = nil
	if s.due = s.due[:last]; index < last {
		s.fixHeap(s.due[index])
	}
	delete(s.queues, q.dest)
}

// fixHeap moves a queue to its position in the heap of due queues.
func (s *Store) fixHeap(q *queue) {
	for q.heapIndex > 0 && q.nextDue() < s.due[(q.heapIndex-1)/2].nextDue() {
		s.swap(q.heapIndex, (q.heapIndex-1)/2)
	}
	for {
		child := 2*q.heapIndex + 1
		if child+1 < len(s.due) && s.due[child+1].nextDue() < s.due[child].nextDue() {
			child++
		}
		if child >= len(s.due) || s.due[child].nextDue() >= q.nextDue() {
			return
		}
		s.swap(q.heapIndex, child)
	}
}

func (s *Store) swap(a, b int) {
	s.due[a], s.due[b] = s.due[b], s.due[a]
	s.due[a].heapIndex, s.due[b].heapIndex = a, b
}

// nextDue returns the earliest LoadBy in the queue.
func (q *queue) nextDue() int64 {
	earliest := int64(math.MaxInt64)
	if len(q.heap) > 0 {
		earliest = q.heap[0].LoadBy
	}
	if len(q.fifoMinima) > 0 {
		earliest = min(earliest, q.fifoMinima[0])
	}
	return earliest
}

func (q *queue) add(e Entry) {
	if e.Flags&Ordered == 0 {
		q.pushHeap(e)
		return
	}
	q.fifo = append(q.fifo, e)
	for len(q.fifoMinima) > 0 && q.fifoMinima[len(q.fifoMinima)-1] > e.LoadBy {
		q.fifoMinima = q.fifoMinima[:len(q.fifoMinima)-1]
	}
	q.fifoMinima = append(q.fifoMinima, e.LoadBy)
}

// popFIFO removes and returns the first ordered entry.
func (q *queue) popFIFO() Entry {
	e := q.fifo[0]
	if q.fifoMinima[0] == e.LoadBy {
		q.fifoMinima = q.fifoMinima[1:]
	}
	q.fifo = q.fifo[1:]
	if len(q.fifo) == 0 {
		q.fifo, q.fifoMinima = nil, nil
	}
	return e
}

func (q *queue) pushHeap(e Entry) {
	q.heap = append(q.heap, e)
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if q.heap[parent].LoadBy <= q.heap[i].LoadBy {
			return
		}
		q.heap[parent], q.heap[i] = q.heap[i], q.heap[parent]
		i = parent
	}
}

const minShrinkCapacity = 1024 // number of entries below which a slice keeps its unused capacity

func (q *queue) popHeap() Entry {
	e := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap = q.heap[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child+1 < last && q.heap[child+1].LoadBy < q.heap[child].LoadBy {
			child++
		}
		if child >= last || q.heap[i].LoadBy <= q.heap[child].LoadBy {
			break
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
	if cap(q.heap) > minShrinkCapacity && 4*len(q.heap) < cap(q.heap) {
		q.heap = append(make([]Entry, 0, 2*len(q.heap)), q.heap...)
	}
	return e
}
