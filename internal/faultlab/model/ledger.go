package model

import (
	"sync"
	"time"
)

// Message is one request as a simulated client submitted it.
type Message struct {
	ID          string
	FirstID     string // the ID of its first request
	Class       int    // an index into Classes
	Destination int
	Relay       string
	Deadline    time.Time
	Due         time.Time // when its first request was due
	Body        []byte
	Attempt     int  // of the client, from 0
	Accepted    bool // its client read +OK
	Completed   bool // nothing more is pending
	Delivered   bool

	calls int // made for it
}

// Ledger holds the true state of every message, which no relay knows. It is safe
// for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	messages map[string]*Message
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{messages: map[string]*Message{}} }

// Add records a request before it is sent.
func (l *Ledger) Add(m *Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messages[m.ID] = m
}

// Accept records that the client has read +OK.
func (l *Ledger) Accept(id string) { l.update(id, func(m *Message) { m.Accepted = true }) }

// Complete records that nothing more is pending; it reports whether something was.
func (l *Ledger) Complete(id string) (changed bool) {
	l.update(id, func(m *Message) {
		changed = !m.Completed
		m.Completed = true
	})
	return changed
}

// update changes a message, if there is one with that ID.
func (l *Ledger) update(id string, change func(*Message)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.messages[id]; m != nil {
		change(m)
	}
}

// isPending reports whether a message is accepted, not completed and in time.
func (m *Message) isPending(now time.Time) bool {
	return m.Accepted && !m.Completed && now.Before(m.Deadline)
}

// Pending returns copies of the pending messages of one relay.
func (l *Ledger) Pending(relay string, now time.Time) (all []Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.messages {
		if m.Relay == relay && m.isPending(now) {
			all = append(all, *m)
		}
	}
	return all
}

// PendingCount is the number of pending messages of all relays.
func (l *Ledger) PendingCount(now time.Time) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.messages {
		if m.isPending(now) {
			count++
		}
	}
	return count
}

// callVerdict is what the true state of a message means for one more call for it.
type callVerdict int

const (
	callable          callVerdict = iota
	unknownMessage                // no client submitted it in this form
	wrongDestination              // its destination is another
	expired                       // its deadline has passed, or it is completed
	duplicate                     // it is delivered, and idempotent
	unsafeDuplicate               // it is delivered, and not idempotent
	attemptsExhausted             // it has had all its attempts
)

// receive records a call for a message and returns its verdict and class.
func (l *Ledger) receive(id string, destination int, body []byte, maxAttempts int, now time.Time) (verdict callVerdict, class int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.messages[id]
	switch {
	case m == nil || string(m.Body) != string(body):
		return unknownMessage, 0
	case m.Destination != destination:
		return wrongDestination, m.Class
	}
	m.calls++
	switch {
	case m.calls > maxAttempts:
		return attemptsExhausted, m.Class
	case m.Delivered && Classes()[m.Class].NonIdempotent:
		return unsafeDuplicate, m.Class
	case m.Delivered:
		return duplicate, m.Class
	case m.Completed || now.After(m.Deadline):
		return expired, m.Class
	}
	return callable, m.Class
}
