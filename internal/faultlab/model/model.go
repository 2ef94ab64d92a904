// Package model simulates everything that a relay talks to: upstreams with their
// endpoints, the discovery that lists those, and the clients that submit messages,
// each as the protocol, deployment and brief pages describe it. It knows only the
// protocol: no code and no policy of the relay is linked in. It records what
// happens and checks nothing.
package model

import (
	"context"
	"sync/atomic"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
)

// World is what all simulated parts of a run share. All fields but the counter are
// set before use.
type World struct {
	Recorder    *history.Recorder
	Ledger      *Ledger
	Net         *link.Net
	Rules       Rules
	OnDelivered func(class int, after time.Duration) // called for each first delivery; may be nil

	callCount atomic.Int64 // made so far; numbers them
}

// recordDelivery records that a relay has received the response by which a message
// is delivered.
func (w *World) recordDelivery(id string) {
	var class int
	var due time.Time
	w.Ledger.update(id, func(m *Message) {
		if !m.Delivered {
			class, due = m.Class, m.Due
		}
		m.Delivered, m.Completed = true, true
	})
	if w.OnDelivered != nil && !due.IsZero() {
		w.OnDelivered(class, time.Since(due))
	}
}

// Sleep waits for d; false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// minMax is a range from which durations are drawn.
type minMax = [2]time.Duration
