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
	Handed    int // requests that clients sent, repeats too
	Served    int // messages delivered
	Waiting   int // taken on, and neither over nor out of time
	Refused   int // at the door or by a notice
	GivenUp   int
	P50, P99  time.Duration // of the messages delivered in the last second, from when each was due
	Up, Fleet int           // relays that serve, and all
	Faults    int           // that are on
}

// status counts what the status line shows.
type status struct {
	mu       sync.Mutex
	now      Status
	latency  *hdrhistogram.Histogram
	inFaults int
}

const latencyMost = int64(60 * time.Second / time.Microsecond)

func (s *status) delivered(_ int, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latency == nil {
		s.latency = hdrhistogram.New(1, latencyMost, 3)
	}
	s.now.Served++
	s.latency.RecordValue(min(max(1, after.Microseconds()), latencyMost))
}

func (s *status) tap(e history.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch e.Kind {
	case history.MessageSubmitted:
		s.now.Handed++
	case history.MessageRejected:
		s.now.Refused++
	case history.Notice:
		if e.Text == "handed_back" {
			s.now.Refused++
		} else {
			s.now.GivenUp++
		}
	case history.Fault:
		if e.Active {
			s.inFaults++
		} else {
			s.inFaults--
		}
	}
}

// take gives the status and begins a new span for the quantiles.
func (s *status) take() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.now
	n.Faults = s.inFaults
	if s.latency != nil {
		n.P50 = time.Duration(s.latency.ValueAtQuantile(50)) * time.Microsecond
		n.P99 = time.Duration(s.latency.ValueAtQuantile(99)) * time.Microsecond
		s.latency.Reset()
	}
	return n
}

// report tells the status each second while the load lasts.
func (r *run) report(ctx context.Context) {
	for model.Sleep(ctx, time.Second) {
		n := r.status.take()
		n.Elapsed = time.Since(r.began)
		n.Waiting = r.world.Ledger.PendingCount(time.Now())
		n.Fleet = len(r.relays)
		for _, x := range r.relays {
			x.mu.Lock()
			if x.ready && !x.proc.Stopped() {
				n.Up++
			}
			x.mu.Unlock()
		}
		r.opts.Watch(&n)
	}
}
