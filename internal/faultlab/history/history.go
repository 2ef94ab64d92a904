// Package history records what the lab observes, as one JSON object a line. Each event
// gets the time of one monotonic clock, so that times never decrease from one line to the
// next. Package checker interprets the events.
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

const bufferSize = 1 << 16 // bytes buffered of a file that is written or read

// Recorder writes a history. It is safe for concurrent use. Its creator must close it.
type Recorder struct {
	mu          sync.Mutex
	began       time.Time
	file        io.Closer
	out         *bufio.Writer
	err         error // error of the first failed write; later events are not written
	subscribers []func(Event)
}

// Create starts a history in a new file. Its clock starts at 0.
func Create(path string) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return &Recorder{began: time.Now(), file: f, out: bufio.NewWriterSize(f, bufferSize)}, nil
}

// NewMemory returns a Recorder that writes no file and only calls its subscribers.
func NewMemory() *Recorder { return &Recorder{began: time.Now()} }

// Subscribe makes the recorder call f with each later event, in order. f must not block
// and must not call Record.
func (r *Recorder) Subscribe(f func(Event)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// Now returns the time since the start of the history in microseconds.
func (r *Recorder) Now() int64 { return r.At(time.Now()) }

// At converts a time to microseconds since the start of the history.
func (r *Recorder) At(t time.Time) int64 { return t.Sub(r.began).Microseconds() }

// Time converts microseconds since the start of the history to a time.
func (r *Recorder) Time(t int64) time.Time { return r.began.Add(time.Duration(t) * time.Microsecond) }

// Record sets the event's Time, writes the event and returns that Time. Close reports the
// error of a failed write.
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

// write appends one line. The caller holds r.mu.
func (r *Recorder) write(e Event) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = r.out.Write(append(text, '\n'))
	return err
}

// Close writes out buffered events, closes the file and returns the errors of all writes.
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
