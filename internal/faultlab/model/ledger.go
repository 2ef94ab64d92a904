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
	ID      string
	First   string // the id of its first try
	Class   int
	Dest    int
	Relay   string
	Until   time.Time // when its time is up
	Due     time.Time // when its first try was due
	Body    []byte
	Tries   int  // of the client, before this one
	Taken   bool // its client heard that it is taken on
	Over    bool // nothing more is owed
	Reached bool // delivered
	calls   int  // that came for it
}

// Ledger holds the truth about every message, which no relay knows.
type Ledger struct {
	mu   sync.Mutex
	msgs map[string]*Message
}

// NewLedger makes an empty one.
func NewLedger() *Ledger { return &Ledger{msgs: map[string]*Message{}} }

// Put books a request before it is sent.
func (l *Ledger) Put(m *Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.msgs[m.ID] = m
}

// Taken books that the client has heard +OK.
func (l *Ledger) Taken(id string) { l.set(id, func(m *Message) { m.Taken = true }) }

// Over books that nothing more is owed; it tells whether that is news.
func (l *Ledger) Over(id string) (news bool) {
	l.set(id, func(m *Message) { news = !m.Over; m.Over = true })
	return news
}

func (l *Ledger) set(id string, f func(*Message)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.msgs[id]; m != nil {
		f(m)
	}
}

// Owed gives the messages that a relay has taken on and not ended, and whose
// time is not up.
func (l *Ledger) Owed(relay string, now time.Time) (all []Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.msgs {
		if m.Relay == relay && m.Taken && !m.Over && now.Before(m.Until) {
			all = append(all, *m)
		}
	}
	return all
}

// Waiting is how many messages are taken on and neither over nor out of time.
func (l *Ledger) Waiting(now time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.msgs {
		if m.Taken && !m.Over && now.Before(m.Until) {
			n++
		}
	}
	return n
}

// verdict is what the truth about a message says of one more call for it.
type verdict int

const (
	callable  verdict = iota
	unknown           // nobody handed it in in this form
	elsewhere         // its destination is another
	overdue           // its time is up, or it was ended
	again             // delivered already, and it may be repeated
	twice             // delivered already, and it may not
	tooMany           // it has had all its attempts
)

// arrive books a call for a message and says what it is worth.
func (l *Ledger) arrive(id string, dest int, body []byte, most int, now time.Time) (verdict, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.msgs[id]
	switch {
	case m == nil || string(m.Body) != string(body):
		return unknown, 0
	case m.Dest != dest:
		return elsewhere, m.Class
	}
	m.calls++
	switch {
	case m.calls > most:
		return tooMany, m.Class
	case m.Reached && Classes()[m.Class].Unsafe:
		return twice, m.Class
	case m.Reached:
		return again, m.Class
	case m.Over || now.After(m.Until):
		return overdue, m.Class
	}
	return callable, m.Class
}
