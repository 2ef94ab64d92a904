package faultlab

import (
	"time"

	"plovershore/internal/faultlab/model"
)

// recordLateness books from due to done of one of the lab's own events.
func (r *run) recordLateness(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateness.RecordValue(min(max(1, d.Microseconds()), 60_000_000))
}

// measureLateness measures how late the lab itself is.
func (r *run) measureLateness() {
	for due := time.Now().Add(latenessInterval); model.Sleep(r.ctx, time.Until(due)); due = due.Add(latenessInterval) {
		r.recordLateness(time.Since(due))
		if time.Since(due) > time.Second { // after a standstill: once is enough
			due = time.Now()
		}
	}
}
