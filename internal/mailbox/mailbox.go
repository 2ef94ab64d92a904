// Package mailbox is an unbounded queue between goroutines. Its users have to bound what
// they put into it.
package mailbox

import "sync"

// Mailbox is a queue from any number of goroutines to one that never blocks a sender, so
// that two goroutines which send to each other can't deadlock. Use New: the zero value
// doesn't work. Nobody closes it.
type Mailbox[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

// New makes an empty mailbox.
func New[T any]() *Mailbox[T] { return &Mailbox[T]{ready: make(chan struct{}, 1)} }

// Ready returns a channel that has a value while the mailbox may hold an item.
func (m *Mailbox[T]) Ready() <-chan struct{} { return m.ready }

// Put appends an item. It never blocks.
func (m *Mailbox[T]) Put(v T) {
	m.mu.Lock()
	m.items = append(m.items, v)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// TakeAll empties the mailbox and returns the items in the order of their Puts. The
// mailbox keeps into, whose items are cleared, as its next buffer.
func (m *Mailbox[T]) TakeAll(into []T) []T {
	clear(into)
	m.mu.Lock()
	defer m.mu.Unlock()
	got := m.items
	m.items = into[:0]
	return got
}
