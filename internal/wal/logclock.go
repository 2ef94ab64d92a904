package wal

import (
	"time"

	"plovershore/internal/clock"
)

// Records are stamped with log time: microseconds that run on with real time over the
// ends and starts of processes, also where the machine's wall clock is set meanwhile. In
// a new folder it begins as the wall clock's Unix time; after the wall clock was stepped
// the two differ.

// clockAnchor is one moment in log time and by the machine's clocks.
type clockAnchor struct {
	logTime int64 // 0 where none is known
	clock   clock.Reading
}

// latestAnchor gives the latest moment of which a reading is known: the stamp's or, where
// a log was moved here without one, the creation of a file.
func latestAnchor(stamp Stamp, files []*logFile) (latest clockAnchor) {
	if stamp.Clock != (clock.Reading{}) {
		return clockAnchor{stamp.At, stamp.Clock}
	}
	if stamp != (Stamp{}) {
		return latest // of an older program, whose log time was the wall clock's
	}
	for _, f := range files {
		if f.validHeaders > 0 && f.createdLogTime > latest.logTime {
			latest = clockAnchor{f.createdLogTime, clock.Reading{Wall: f.createdAt}}
		}
	}
	return latest
}

// logClock gives the log time. Any goroutine may use it.
type logClock struct {
	read    func() clock.Reading
	start   clockAnchor
	setBack time.Duration // see Log.ClockSetBack
}

// newLogClock continues from the latest moment that is known. The log time has reached
// minimum in any case.
func newLogClock(read func() clock.Reading, known clockAnchor, minimum int64) logClock {
	now := read()
	if known.logTime == 0 { // of an older program, whose log time was the wall clock's
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

func (c *logClock) now() int64 { return c.at(c.read()) }

// at is the log time of a reading that this process made.
func (c *logClock) at(r clock.Reading) int64 { return c.start.logTime + r.Mono - c.start.clock.Mono }
