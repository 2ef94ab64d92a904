package faultlab

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/faultlab/model"
)

const (
	latenessInterval = 10 * time.Millisecond // between two measurements
	stallThreshold   = time.Second           // a single stall that is longer than this is counted once
	maxRecorded      = time.Minute           // a longer duration is recorded as this
	histogramDigits  = 3
)

// newHistogram returns a histogram of microseconds up to maxRecorded.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), histogramDigits)
}

// recordMicros adds a duration to a histogram of microseconds.
func recordMicros(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxRecorded.Microseconds())) // cannot fail: the value is within the bounds
}

// lateness is how late the lab's own events were, from when each was due. It is
// safe for concurrent use.
type lateness struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLateness() *lateness { return &lateness{histogram: newHistogram()} }

// record adds the lateness of one event.
func (l *lateness) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recordMicros(l.histogram, d)
}

// measure records how late its own timer is, until ctx ends.
func (l *lateness) measure(ctx context.Context) {
	for due := time.Now().Add(latenessInterval); model.Sleep(ctx, time.Until(due)); due = due.Add(latenessInterval) {
		late := time.Since(due)
		l.record(late)
		if late > stallThreshold {
			due = time.Now()
		}
	}
}

func (l *lateness) p99() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.ValueAtQuantile(99)) * time.Microsecond
}

func (l *lateness) max() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.Max()) * time.Microsecond
}
