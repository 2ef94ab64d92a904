// Package model simulates everything that a relay talks to: upstreams with their
// endpoints, the discovery service that lists the endpoints, and the clients that
// submit messages, each as the protocol, deployment and brief pages describe it. It
// knows only the protocol and imports no code or policy of the relay. It records what
// happens in a history and checks nothing.
package model

import (
	"context"
	"sync/atomic"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
)

// World holds what all simulated parts of a run share. The exported fields are set
// before use.
type World struct {
	Recorder    *history.Recorder
	Ledger      *Ledger
	Net         *link.Net
	Rules       Rules
	OnDelivered func(class int, after time.Duration) // called when a message is delivered for the first time, with the time since it was due; may be nil

	callCount atomic.Int64 // calls to endpoints so far; used to number them
}

// recordDelivery records that a message is delivered, which is when a relay has
// received the response that says so.
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

// Sleep waits for d. It reports false if ctx ends first.
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

// minMax is a range, from its smallest to its largest value, from which durations are
// drawn.
type minMax = [2]time.Duration
