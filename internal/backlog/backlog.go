// Package backlog remembers which messages the log alone has. It promises to give them back for each destination
// in the order of the moments by which they have to be back, those of keys in order as they came in; to tell
// what is due first over all destinations; and to spend 16 bytes a message, with no pointers, plus what a
// growing slice has to spare. It holds no message and decides nothing. One goroutine at a time may use a Store.
package backlog

import "math"

// Entry is one message.
type Entry struct {
	LoadBy     int64  // the moment by which it has to be back
	Index      uint32 // where the log has it, and what tells that it is still this one's
	Generation uint16
	Flags      Flags
}

// Flags is what its host has to know again when it comes back.
type Flags uint8

// Flags of an entry.
const (
	Recovered Flags = 1 << iota // found untried by a restart
	OverQuota                   // its tenant was over its share
	Ordered                     // comes back first in, first out, among those of its destination with this flag
)

// Item is an entry and the destination that it is for.
type Item struct {
	Entry
	Dest int
}

// Store is a backlog. The zero value is an empty one.
type Store struct {
	queues map[int]*queue
	due    []*queue // a heap by what is due first
	count  int
}

// queue is the backlog of one destination.
type queue struct {
	dest  int
	place int     // in Store.due
	heap  []Entry // by At
	line  []Entry // those in order, first in, first out
	least []int64 // At of each of line that is less than all behind it
}

// Len is how many messages there are.
func (s *Store) Len() int { return s.count }

// CountFor is how many there are of one destination.
func (s *Store) CountFor(dest int) int {
	if q := s.queues[dest]; q != nil {
		return len(q.heap) + len(q.line)
	}
	return 0
}

// Next is the earliest moment by which one has to be back; ok is false where there is none.
func (s *Store) Next() (at int64, ok bool) {
	if len(s.due) == 0 {
		return 0, false
	}
	return s.due[0].next(), true
}

// Add takes an entry in.
func (s *Store) Add(dest int, e Entry) {
	q := s.queues[dest]
	if q == nil {
		if s.queues == nil {
			s.queues = map[int]*queue{}
		}
		q = &queue{dest: dest, place: len(s.due)}
		s.queues[dest] = q
		s.due = append(s.due, q)
	}
	q.add(e)
	s.count++
	s.settle(q)
}

// TakeDue takes out what has to be back by now, the earliest first, at most so many, with what was in order before
// it.
func (s *Store) TakeDue(now int64, most int) (items []Item) {
	for len(items) < most && len(s.due) > 0 && s.due[0].next() <= now {
		q := s.due[0]
		var e Entry
		if len(q.heap) > 0 && q.heap[0].LoadBy == q.next() {
			e = q.pop()
		} else {
			e = q.shift()
		}
		items = append(items, Item{e, q.dest})
		s.took(q)
	}
	return items
}

// Take takes out the earliest of a destination, at most so many.
func (s *Store) Take(dest, most int) (items []Item) {
	q := s.queues[dest]
	for q != nil && len(items) < most && len(q.heap)+len(q.line) > 0 {
		var e Entry
		if len(q.line) > 0 && (len(q.heap) == 0 || q.line[0].LoadBy <= q.heap[0].LoadBy) {
			e = q.shift()
		} else {
			e = q.pop()
		}
		items = append(items, Item{e, dest})
		s.took(q)
	}
	return items
}

// took books that a queue has one less.
func (s *Store) took(q *queue) {
	s.count--
	s.settle(q)
	if len(q.heap)+len(q.line) > 0 {
		return
	}
	hole, last := q.place, len(s.due)-1
	s.swap(hole, last)
	s.due[last] = nil
	if s.due = s.due[:last]; hole < last {
		s.settle(s.due[hole])
	}
	delete(s.queues, q.dest)
}

// settle moves a queue to its place among all.
func (s *Store) settle(q *queue) {
	for q.place > 0 && q.next() < s.due[(q.place-1)/2].next() {
		s.swap(q.place, (q.place-1)/2)
	}
	for {
		child := 2*q.place + 1
		if child+1 < len(s.due) && s.due[child+1].next() < s.due[child].next() {
			child++
		}
		if child >= len(s.due) || s.due[child].next() >= q.next() {
			return
		}
		s.swap(q.place, child)
	}
}

func (s *Store) swap(a, b int) {
	s.due[a], s.due[b] = s.due[b], s.due[a]
	s.due[a].place, s.due[b].place = a, b
}

func (q *queue) next() int64 {
	at := int64(math.MaxInt64)
	if len(q.heap) > 0 {
		at = q.heap[0].LoadBy
	}
	if len(q.least) > 0 {
		at = min(at, q.least[0])
	}
	return at
}

func (q *queue) add(e Entry) {
	if e.Flags&Ordered == 0 {
		q.push(e)
		return
	}
	q.line = append(q.line, e)
	for len(q.least) > 0 && q.least[len(q.least)-1] > e.LoadBy {
		q.least = q.least[:len(q.least)-1]
	}
	q.least = append(q.least, e.LoadBy)
}

// shift takes the first out of the line.
func (q *queue) shift() Entry {
	e := q.line[0]
	if q.least[0] == e.LoadBy {
		q.least = q.least[1:]
	}
	q.line = q.line[1:]
	if len(q.line) == 0 {
		q.line, q.least = nil, nil
	}
	return e
}

func (q *queue) push(e Entry) {
	q.heap = append(q.heap, e)
	for i := len(q.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if q.heap[up].LoadBy <= q.heap[i].LoadBy {
			return
		}
		q.heap[up], q.heap[i] = q.heap[i], q.heap[up]
		i = up
	}
}

const spareLeast = 1024 // entries of a slice that are not worth giving back

func (q *queue) pop() Entry {
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
	if cap(q.heap) > spareLeast && 4*len(q.heap) < cap(q.heap) {
		q.heap = append(make([]Entry, 0, 2*len(q.heap)), q.heap...)
	}
	return e
}
