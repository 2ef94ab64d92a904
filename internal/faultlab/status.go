package faultlab

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// Status is the state of a run at some time.
type Status struct {
	Elapsed   time.Duration
	Submitted int           // requests of clients, retries included
	Delivered int           // messages
	Pending   int           // messages
	Rejected  int           // requests, or messages that were returned
	Failed    int           // messages
	P50, P99  time.Duration // latency of the messages delivered in the last second, from when each was due
	Up, Fleet int           // relays that serve clients, and all relays
	Faults    int           // active faults
}

// statusCounter keeps the counts of a Status. It is safe for concurrent use.
type statusCounter struct {
	mu           sync.Mutex
	current      Status
	latency      *hdrhistogram.Histogram
	activeFaults int
}

// recordDelivery counts a delivered message; after is the time since it was due.
func (s *statusCounter) recordDelivery(_ int, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latency == nil {
		s.latency = newHistogram()
	}
	s.current.Delivered++
	recordMicros(s.latency, after)
}

// observe updates the counts by an event of the history.
func (s *statusCounter) observe(e history.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch e.Kind {
	case history.MessageSubmitted:
		s.current.Submitted++
	case history.MessageRejected:
		s.current.Rejected++
	case history.Notice:
		if e.Text == discovery.Returned {
			s.current.Rejected++
		} else {
			s.current.Failed++
		}
	case history.Fault:
		if e.Active {
			s.activeFaults++
		} else {
			s.activeFaults--
		}
	}
}

// snapshot returns the status, and starts a new measurement of the latency.
func (s *statusCounter) snapshot() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.current
	status.Faults = s.activeFaults
	if s.latency != nil {
		status.P50 = time.Duration(s.latency.ValueAtQuantile(50)) * time.Microsecond
		status.P99 = time.Duration(s.latency.ValueAtQuantile(99)) * time.Microsecond
		s.latency.Reset()
	}
	return status
}

// watchStatus calls OnStatus each second, while the load lasts.
func (r *run) watchStatus(ctx context.Context) {
	for model.Sleep(ctx, time.Second) {
		status := r.status.snapshot()
		status.Elapsed = time.Since(r.loadStart)
		status.Pending = r.world.Ledger.PendingCount(time.Now())
		status.Fleet = len(r.relays)
		for _, relay := range r.relays {
			relay.mu.Lock()
			if relay.ready && !relay.process.Stopped() {
				status.Up++
			}
			relay.mu.Unlock()
		}
		r.opts.OnStatus(&status)
	}
}
