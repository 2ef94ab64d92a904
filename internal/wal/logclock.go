package wal

import (
	"time"

	"plovershore/internal/clock"
)

// Records are stamped with log time, in microseconds. It advances with real time, also
// between the end of a process and the start of the next one, and it ignores changes of
// the machine's wall clock. In a new folder it starts as the wall clock's Unix time; it
// differs from that once the wall clock is changed.

// clockAnchor is one instant as log time and as a reading of the machine's clocks.
type clockAnchor struct {
	logTime int64 // 0 if no such instant is known
	clock   clock.Reading
}

// latestAnchor returns the latest instant that the folder has a clock reading of. This is the time
// of the stamp or, if the log was moved here without a stamp, the creation of its newest file.
func latestAnchor(stamp Stamp, files []*logFile) (latest clockAnchor) {
	if stamp.Clock != (clock.Reading{}) {
		return clockAnchor{stamp.At, stamp.Clock}
	}
	if stamp != (Stamp{}) {
		return latest // an older program wrote the stamp; its log time was the wall clock's time
	}
	for _, f := range files {
		if f.validHeaders > 0 && f.createdLogTime > latest.logTime {
			latest = clockAnchor{f.createdLogTime, clock.Reading{Wall: f.createdAt}}
		}
	}
	return latest
}

// logClock returns the log time. It is safe for concurrent use.
type logClock struct {
	read    func() clock.Reading
	start   clockAnchor
	setBack time.Duration // see Log.ClockSetBack
}

// newLogClock continues the log time from a known instant, but starts no earlier than
// minimum, which records have already reached.
func newLogClock(read func() clock.Reading, known clockAnchor, minimum int64) logClock {
	now := read()
	if known.logTime == 0 { // an older program wrote the log; its log time was the wall clock's time
		known = clockAnchor{minimum, clock.Reading{Wall: minimum}}
	}
	passed, exact := now.Since(known.clock)
	c := logClock{read: read, start: clockAnchor{known.logTime + passed, now}}
	if c.start.logTime < minimum {
		if !exact {
			c.setBack = time.Duration(minimum-c.start.logTime) * time.Microsecond
		}
		c.start.logTime = minimum
	}
	return c
}

func (c *logClock) now() int64 { return c.timeAt(c.read()) }

// timeAt returns the log time of a clock reading that this process made.
func (c *logClock) timeAt(r clock.Reading) int64 {
	return c.start.logTime + r.Mono - c.start.clock.Mono
}
