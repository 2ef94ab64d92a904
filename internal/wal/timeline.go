package wal

import (
	"time"

	"plovershore/internal/clock"
)

// The log's time is what its records are stamped with: microseconds that run on with
// real time over the ends and starts of processes, wherever the machine's wall clock
// is set meanwhile. In a new folder it begins as the wall clock's Unix time; after the
// clock was stepped the two differ, which nothing may mind.

// anchor is a moment by the log's time and by the clocks of the machine.
type anchor struct {
	at    int64 // log's time, in microseconds; 0 where none is known
	clock clock.Reading
}

// timeline gives the log's time.
type timeline struct {
	read   func() clock.Reading
	from   anchor
	behind time.Duration // by which the wall clock lay behind the log at the start; see Log.Behind
}

// newTimeline goes on from the newest moment that is known: last is one that the log's
// time has reached in any case.
func newTimeline(read func() clock.Reading, known anchor, last int64) timeline {
	now := read()
	if known.at == 0 { // of an older program, whose time was the wall clock's
		known = anchor{last, clock.Reading{Wall: last}}
	}
	passed, exact := now.Since(known.clock)
	t := timeline{read: read, from: anchor{known.at + passed, now}}
	if t.from.at < last {
		if !exact {
			t.behind = time.Duration(last-t.from.at) * time.Microsecond
		}
		t.from.at = last
	}
	return t
}

// now is the log's time. Any goroutine may ask.
func (t *timeline) now() int64 { return t.at(t.read()) }

// at is the log's time at a reading that this process has made.
func (t *timeline) at(r clock.Reading) int64 { return t.from.at + r.Mono - t.from.clock.Mono }
