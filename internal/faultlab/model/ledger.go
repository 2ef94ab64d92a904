package model

import (
	"sync"
	"time"
)

// Message is one request of a simulated client, and its true state. A client's retry
// is another Message with the same FirstID.
type Message struct {
	ID          string
	FirstID     string // the ID of the client's first request for the same message
	Class       int    // index into Classes
	Destination int
	Relay       string
	Deadline    time.Time
	Due         time.Time // when the client's first request was due
	Body        []byte
	Attempt     int  // number of the client's request, from 0
	Accepted    bool // the client has read +OK or a bulk string, which accept the message
	Completed   bool // nothing more is due for it: it is delivered, has expired, had a notice or was not accepted
	Delivered   bool // a relay has received a response by which it counts as delivered

	calls int // number of calls to endpoints that carried it
}

// Ledger holds the true state of every message, which no relay knows completely. It is
// safe for concurrent use.
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

// Accept records that the client has read an answer that accepts a message.
func (l *Ledger) Accept(id string) { l.update(id, func(m *Message) { m.Accepted = true }) }

// Complete records that a message needs nothing more, and reports whether it was not
// completed before.
func (l *Ledger) Complete(id string) (changed bool) {
	l.update(id, func(m *Message) {
		changed = !m.Completed
		m.Completed = true
	})
	return changed
}

// update calls change with the message that has the ID, if there is one, while it
// holds the lock.
func (l *Ledger) update(id string, change func(*Message)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.messages[id]; m != nil {
		change(m)
	}
}

// isPending reports whether a message is accepted, not completed and not past its
// deadline.
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

// PendingCount returns the number of pending messages of all relays.
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

// callVerdict says what the true state of a message means for a new call that carries
// it.
type callVerdict int

const (
	callable          callVerdict = iota // the call may deliver the message
	unknownMessage                       // no client submitted a message with this ID and body
	wrongDestination                     // the message is for another destination
	expired                              // the message is completed, or its deadline has passed
	duplicate                            // the message is delivered already, and idempotent
	unsafeDuplicate                      // the message is delivered already, and not idempotent
	attemptsExhausted                    // the message has had all its attempts
)

// receive counts a call that carries a message, and returns its verdict and the
// message's class.
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
