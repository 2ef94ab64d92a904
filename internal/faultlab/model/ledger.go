// Package model is what a relay serves: partners with their endpoints, the
// discovery that lists them, and the clients that hand messages in, each as the
// protocol, deployment and brief pages describe it. It knows only the protocol:
// no file of the relay and no decision of it is linked in. It records what
// happens and judges nothing.
package model

import (
	"sync"
	"time"
)

// Message is one request as the lab handed it in.
type Message struct {
	ID          string
	FirstID     string // the id of its first try
	Class       int
	Destination int
	Relay       string
	Deadline    time.Time // when its time is up
	Due         time.Time // when its first try was due
	Body        []byte
	Attempt     int  // of the client, before this one
	Accepted    bool // its client heard that it is taken on
	Completed   bool // nothing more is owed
	Delivered   bool // delivered
	calls       int  // that came for it
}

// Ledger holds the truth about every message, which no relay knows.
type Ledger struct {
	mu       sync.Mutex
	messages map[string]*Message
}

// NewLedger makes an empty one.
func NewLedger() *Ledger { return &Ledger{messages: map[string]*Message{}} }

// Add books a request before it is sent.
func (l *Ledger) Add(m *Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messages[m.ID] = m
}

// Accept books that the client has heard +OK.
func (l *Ledger) Accept(id string) { l.update(id, func(m *Message) { m.Accepted = true }) }

// Complete books that nothing more is owed; it tells whether that is news.
func (l *Ledger) Complete(id string) (changed bool) {
	l.update(id, func(m *Message) { changed = !m.Completed; m.Completed = true })
	return changed
}

func (l *Ledger) update(id string, f func(*Message)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.messages[id]; m != nil {
		f(m)
	}
}

// Pending gives the messages that a relay has taken on and not ended, and whose
// time is not up.
func (l *Ledger) Pending(relay string, now time.Time) (all []Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.messages {
		if m.Relay == relay && m.Accepted && !m.Completed && now.Before(m.Deadline) {
			all = append(all, *m)
		}
	}
	return all
}

// PendingCount is how many messages are taken on and neither over nor out of time.
func (l *Ledger) PendingCount(now time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.messages {
		if m.Accepted && !m.Completed && now.Before(m.Deadline) {
			n++
		}
	}
	return n
}

// callVerdict is what the truth about a message says of one more call for it.
type callVerdict int

const (
	callable          callVerdict = iota
	unknownMessage                // nobody handed it in in this form
	wrongDestination              // its destination is another
	expired                       // its time is up, or it was ended
	duplicate                     // delivered already, and it may be repeated
	unsafeDuplicate               // delivered already, and it may not
	attemptsExhausted             // it has had all its attempts
)

// receive books a call for a message and says what it is worth.
func (l *Ledger) receive(id string, dest int, body []byte, most int, now time.Time) (callVerdict, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.messages[id]
	switch {
	case m == nil || string(m.Body) != string(body):
		return unknownMessage, 0
	case m.Destination != dest:
		return wrongDestination, m.Class
	}
	m.calls++
	switch {
	case m.calls > most:
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
