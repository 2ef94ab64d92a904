// Package history records what the lab observes: one JSON object a line, stamped
// by one monotonic clock in the order of writing. Stamps never decrease from one
// line to the next. What the events mean is left to package checker.
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

const bufferSize = 1 << 16 // bytes, of a file that is written or read

// Recorder writes a history. Its methods are safe for concurrent use. Its creator
// closes it.
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
	return &Recorder{began: time.Now(), file: f, out: bufio.NewWriterSize(f, bufferSize)}, nil
}

// NewMemory makes a history that only its subscribers see.
func NewMemory() *Recorder { return &Recorder{began: time.Now()} }

// Subscribe has f called with each event to come, in order. f must neither block
// nor record.
func (r *Recorder) Subscribe(f func(Event)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// Now is the run's time in microseconds.
func (r *Recorder) Now() int64 { return r.At(time.Now()) }

// At converts a moment to the run's time in microseconds.
func (r *Recorder) At(t time.Time) int64 { return t.Sub(r.began).Microseconds() }

// Time converts the run's time in microseconds to a moment.
func (r *Recorder) Time(t int64) time.Time { return r.began.Add(time.Duration(t) * time.Microsecond) }

// Record stamps an event, writes it and returns the stamp. A failed write is
// reported by Close.
func (r *Recorder) Record(e Event) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.At(time.Now())
	if r.out != nil && r.err == nil {
		r.err = r.write(e)
	}
	for _, subscriber := range r.subscribers {
		subscriber(e)
	}
	return e.Time
}

// write appends one line; r.mu is held.
func (r *Recorder) write(e Event) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = r.out.Write(append(text, '\n'))
	return err
}

// Close writes out what is buffered and returns the first failure.
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
