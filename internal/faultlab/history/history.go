// Package history keeps what the lab's stand-ins saw: one JSON object a line,
// stamped by one monotonic clock in the order in which it was written. It
// promises that stamps never fall from one line to the next, and leaves to the
// judge what the events mean.
package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Kind says what an event tells.
type Kind string

// The kinds of event. Field names in brackets are those that are set.
const (
	Run                   Kind = "run"     // first line: the run's name and seed [Text]
	MessageSubmitted      Kind = "put"     // a client sent a request to a relay [Relay Msg First Class Dest Due For]
	MessageAccepted       Kind = "taken"   // the client heard +OK [Relay Msg]
	MessageRejected       Kind = "refused" // the client heard -BUSY [Relay Msg Wait]
	SubmitFailed          Kind = "failed"  // the client heard another error [Relay Msg Text]
	SubmitUnanswered      Kind = "unheard" // the client gave up, or its connection ended, with no answer [Relay Msg Text]
	CallReceived          Kind = "call"    // the last byte of a call came to an endpoint [Call Relay Endpoint Dest Msgs From]
	CallLost              Kind = "lost"    // a relay wrote a whole call, and a link swallowed it, told when its connection ends [Relay Endpoint Msgs From]
	MessageExecuted       Kind = "ran"     // a message took effect [Call Endpoint Msg]
	ResponseSent          Kind = "answer"  // an endpoint wrote its answer [Call Status Wait States]
	ResponseReceived      Kind = "heard"   // the last byte of that answer was written to the relay [Call]
	CallAborted           Kind = "left"    // the relay ended the connection of a call that was out [Call]
	CallBroken            Kind = "ended"   // the endpoint saw the connection of a call end before its answer [Call]
	ExtraResponse         Kind = "stray"   // a client found more than one answer on its connection [Relay Msg Text]
	EndpointChanged       Kind = "listed"  // discovery has news for all relays [Endpoint Phase]
	ChangeDelivered       Kind = "told"    // the news was written to a relay [Relay Endpoint Phase]
	Notice                Kind = "notice"  // a relay told a message's end [Relay Msg Text Wait]
	ProcessStarted        Kind = "start"   // a process was started [Relay PID]
	ProcessReady          Kind = "ready"   // it says +PONG [Relay PID]
	ProcessSignaled       Kind = "signal"  // the lab signalled it [Relay PID Text]
	ProcessExited         Kind = "exit"    // it is gone [Relay PID Status Text]
	FolderChanged         Kind = "folder"  // the lab changed a relay's folder while it was down [Relay Text]
	UsageSampled          Kind = "sample"  // what a process holds [Relay RSS FDs Disk CPU]
	Fault                 Kind = "fault"   // a fault begins or ends [Text On]
	Outage                Kind = "outage"  // a destination is out, or back and cold [Dest On Refusing]
	DestinationOverloaded Kind = "fell"    // a cold destination fell over [Dest Relays]
	InvalidPeer           Kind = "peer"    // a bad peer was answered, closed or left [Relay Text Status Took]
	InvalidCall           Kind = "wrong"   // a call that no endpoint should have seen [Relay Endpoint Msg Text]
	ListUpdate            Kind = "watched" // a watcher heard news of the list service [Relay Text(epoch) Due(revision) Phase First(hash)]
	RoleStep              Kind = "effect"  // a step of a duty; what wardens counted is told at the end of the run [Relay Text Status(step) For(token) Phase From(asked) Due(answered)]
	FailoverFinished      Kind = "salvage" // a lost relay's folder was seen to its end [Relay Text]
	RegisterOperation     Kind = "op"      // an operation on a register in the list service ended [Relay Text Due(began) For(value) Status]
)

// What became of a step, in Phase; nothing stands for Counted.
const (
	StepCounted    = "counted"
	StepFenced     = "fenced"     // refused for its token
	StepUnanswered = "unanswered" // it may have counted
)

// Event is one line. Times and spans are microseconds; T counts from the run's start.
type Event struct {
	Time               int64          `json:"t"`
	Kind               Kind           `json:"k"`
	Relay              string         `json:"relay,omitempty"`
	Message            string         `json:"msg,omitempty"`
	FirstMessage       string         `json:"first,omitempty"` // the id under which a message was handed in at first
	Messages           []string       `json:"msgs,omitempty"`
	Class              string         `json:"class,omitempty"`
	Destination        int            `json:"dest,omitempty"`
	Endpoint           string         `json:"ep,omitempty"`
	Phase              string         `json:"phase,omitempty"`
	Call               int64          `json:"call,omitempty"`
	SentAt             int64          `json:"from,omitempty"` // when the call's first byte left the relay
	DueAt              int64          `json:"due,omitempty"`  // when a message was due to be handed in
	ValidFor           int64          `json:"for,omitempty"`  // how long it may be delivered, from T
	Status             int            `json:"status,omitempty"`
	States             []string       `json:"states,omitempty"`
	RetryAfter         int64          `json:"wait,omitempty"`
	Took               int64          `json:"took,omitempty"`
	PID                int            `json:"pid,omitempty"`
	RSS                int64          `json:"rss,omitempty"`  // bytes
	Disk               int64          `json:"disk,omitempty"` // bytes, each file in whole 512
	FDs                int            `json:"fds,omitempty"`
	CPU                int64          `json:"cpu,omitempty"` // µs used since the process began
	Relays             map[string]int `json:"relays,omitempty"`
	Active             bool           `json:"on,omitempty"`
	RefusesConnections bool           `json:"refusing,omitempty"`
	Text               string         `json:"text,omitempty"`
}

// Recorder writes a history. Its methods may be called from any goroutine.
type Recorder struct {
	mu          sync.Mutex
	began       time.Time
	file        io.Closer
	out         *bufio.Writer
	err         error // the first write that failed; nothing is written after it
	subscribers []func(Event)
}

// Create begins a history in a new file, with its clock at 0.
func Create(path string) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return &Recorder{began: time.Now(), file: f, out: bufio.NewWriterSize(f, 1<<16)}, nil
}

// NewMemory makes a history that only its taps see.
func NewMemory() *Recorder { return &Recorder{began: time.Now()} }

// Subscribe has f called with each event to come, in order. f must not block nor record.
func (r *Recorder) Subscribe(f func(Event)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// Now is the run's time in microseconds.
func (r *Recorder) Now() int64 { return r.At(time.Now()) }

// At is a moment in the run's time.
func (r *Recorder) At(t time.Time) int64 { return t.Sub(r.began).Microseconds() }

// Time is the moment of a run's time.
func (r *Recorder) Time(t int64) time.Time { return r.began.Add(time.Duration(t) * time.Microsecond) }

// Record stamps an event and writes it.
func (r *Recorder) Record(e Event) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.At(time.Now())
	if r.out != nil && r.err == nil {
		text, err := json.Marshal(e)
		if err == nil {
			_, err = r.out.Write(append(text, '\n'))
		}
		r.err = err
	}
	for _, tap := range r.subscribers {
		tap(e)
	}
	return e.Time
}

// Close writes out what is buffered and tells of the first failure.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out == nil {
		return nil
	}
	if err := errors.Join(r.err, r.out.Flush(), r.file.Close()); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}

// Read gives each event of a file to f, in order. A torn last line, as a lab
// that was killed leaves, ends the history; a bad line elsewhere is an error
// that names it.
func Read(path string, f func(Event)) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	defer file.Close()
	in := bufio.NewReaderSize(file, 1<<16)
	for n := 1; ; n++ {
		line, err := in.ReadBytes('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("history: %w", err)
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return fmt.Errorf("history: %s:%d: %w", path, n, err)
		}
		f(e)
	}
}
