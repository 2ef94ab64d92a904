package faultlab

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// Status is how a run goes at one moment.
type Status struct {
	Elapsed   time.Duration
	Submitted int // requests that clients sent, repeats too
	Delivered int // messages delivered
	Pending   int // taken on, and neither over nor out of time
	Rejected  int // at the door or by a notice
	Failed    int
	P50, P99  time.Duration // of the messages delivered in the last second, from when each was due
	Up, Fleet int           // relays that serve, and all
	Faults    int           // that are on
}

// statusCounter counts what the status line shows.
type statusCounter struct {
	mu           sync.Mutex
	current      Status
	latency      *hdrhistogram.Histogram
	activeFaults int
}

const maxLatency = int64(60 * time.Second / time.Microsecond)

func (s *statusCounter) recordDelivery(_ int, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latency == nil {
		s.latency = hdrhistogram.New(1, maxLatency, 3)
	}
	s.current.Delivered++
	s.latency.RecordValue(min(max(1, after.Microseconds()), maxLatency))
}

func (s *statusCounter) observe(e history.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch e.Kind {
	case history.MessageSubmitted:
		s.current.Submitted++
	case history.MessageRejected:
		s.current.Rejected++
	case history.Notice:
		if e.Text == "handed_back" {
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

// snapshot gives the status and begins a new span for the quantiles.
func (s *statusCounter) snapshot() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.current
	n.Faults = s.activeFaults
	if s.latency != nil {
		n.P50 = time.Duration(s.latency.ValueAtQuantile(50)) * time.Microsecond
		n.P99 = time.Duration(s.latency.ValueAtQuantile(99)) * time.Microsecond
		s.latency.Reset()
	}
	return n
}

// watchStatus tells the status each second while the load lasts.
func (r *run) watchStatus(ctx context.Context) {
	for model.Sleep(ctx, time.Second) {
		n := r.status.snapshot()
		n.Elapsed = time.Since(r.began)
		n.Pending = r.world.Ledger.PendingCount(time.Now())
		n.Fleet = len(r.relays)
		for _, x := range r.relays {
			x.mu.Lock()
			if x.ready && !x.process.Stopped() {
				n.Up++
			}
			x.mu.Unlock()
		}
		r.opts.OnStatus(&n)
	}
}
