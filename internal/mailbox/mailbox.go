// Package mailbox provides an unbounded queue between goroutines. Its users must bound
// what they put into it.
package mailbox

import "sync"

// Mailbox is a queue with any number of senders and one receiver. It never blocks a sender,
// so that two goroutines which send to each other cannot deadlock. Use New to make one: the
// zero value does not work. A mailbox needs no closing.
type Mailbox[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

// New returns an empty mailbox.
func New[T any]() *Mailbox[T] { return &Mailbox[T]{ready: make(chan struct{}, 1)} }

// Ready returns a channel that delivers a value after items were put. A value may come
// although TakeAll has taken the items already.
func (m *Mailbox[T]) Ready() <-chan struct{} { return m.ready }

// Put appends an item. It never blocks.
func (m *Mailbox[T]) Put(item T) {
	m.mu.Lock()
	m.items = append(m.items, item)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// TakeAll empties the mailbox and returns the items in the order in which they were put.
// It clears the items of buffer, which the mailbox then uses for the next items; the caller
// must not use buffer any more.
func (m *Mailbox[T]) TakeAll(buffer []T) []T {
	clear(buffer)
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = buffer[:0]
	return items
}
