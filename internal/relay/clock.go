package relay

import (
	"time"

	"plovershore/internal/wal"
	"plovershore/policy"
)

// policyClockOrigin is the policy's time at the start of the process: one hour, so that
// events of an earlier process have times above 0.
const policyClockOrigin = policy.Time(3600e6)

const (
	alignTolerance = policy.Time(1e3) // maximum time between the two readings of the policy's clock around that of the log's
	alignAttempts  = 100
)

// relayClock converts between three clocks: the policy's clock, which counts µs from the
// start of the process; Go's time; and the log's time, which continues across processes.
type relayClock struct {
	startedAt time.Time
	logOffset int64 // the log's time minus the policy's time, in µs
}

// now returns the current time of the policy's clock.
func (c *relayClock) now() policy.Time { return c.policyTime(time.Now()) }

func (c *relayClock) policyTime(t time.Time) policy.Time {
	return policyClockOrigin + t.Sub(c.startedAt).Microseconds()
}

func (c *relayClock) processTime(t policy.Time) time.Time {
	return c.startedAt.Add(time.Duration(t-policyClockOrigin) * time.Microsecond)
}

func (c *relayClock) logTime(t policy.Time) int64 { return t + c.logOffset }

func (c *relayClock) fromLogTime(us int64) policy.Time { return us - c.logOffset }

// alignToLog sets the offset between the policy's clock and the log's time, which advance at
// the same rate. A reading that was interrupted is repeated.
func (c *relayClock) alignToLog(w *wal.Log) {
	for range alignAttempts {
		before, logTime := c.now(), w.Time()
		c.logOffset = logTime - before
		if c.now()-before < alignTolerance {
			return
		}
	}
}
