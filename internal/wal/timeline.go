package wal

import (
	"time"

	"plovershore/internal/clock"
)

// The log's time is what its records are stamped with: microseconds that run on with
// real time over the ends and starts of processes, wherever the machine's wall clock
// is set meanwhile. In a new folder it begins as the wall clock's Unix time; after the
// clock was stepped the two differ, which nothing may mind.

// clockAnchor is a moment by the log's time and by the clocks of the machine.
type clockAnchor struct {
	logTime int64 // log's time, in microseconds; 0 where none is known
	clock   clock.Reading
}

// logClock gives the log's time.
type logClock struct {
	read    func() clock.Reading
	from    clockAnchor
	setBack time.Duration // by which the wall clock lay behind the log at the start; see Log.Behind
}

// newLogClock goes on from the newest moment that is known: last is one that the log's
// time has reached in any case.
func newLogClock(read func() clock.Reading, known clockAnchor, last int64) logClock {
	now := read()
	if known.logTime == 0 { // of an older program, whose time was the wall clock's
		known = clockAnchor{last, clock.Reading{Wall: last}}
	}
	passed, exact := now.Since(known.clock)
	t := logClock{read: read, from: clockAnchor{known.logTime + passed, now}}
	if t.from.logTime < last {
		if !exact {
			t.setBack = time.Duration(last-t.from.logTime) * time.Microsecond
		}
		t.from.logTime = last
	}
	return t
}

// now is the log's time. Any goroutine may ask.
func (t *logClock) now() int64 { return t.at(t.read()) }

// at is the log's time at a reading that this process has made.
func (t *logClock) at(r clock.Reading) int64 { return t.from.logTime + r.Mono - t.from.clock.Mono }
