package relay

import (
	"time"

	"plovershore/policy"
)

// The policy's clock, the process's, and the log's time.

func (r *Relay) now() policy.Time { return policyClockOrigin + time.Since(r.startedAt).Microseconds() }

// policyTime turns a moment of the process's into one of the policy's clock.
func (r *Relay) policyTime(t time.Time) policy.Time {
	return policyClockOrigin + t.Sub(r.startedAt).Microseconds()
}

// processTime turns a moment of the policy's clock into one of the process's.
func (r *Relay) processTime(t policy.Time) time.Time {
	return r.startedAt.Add(time.Duration(t-policyClockOrigin) * time.Microsecond)
}

// logTime turns a moment of the policy's clock into one of the log's time, which
// outlives the process.
func (r *Relay) logTime(t policy.Time) int64 { return t + r.logOffset }

func (r *Relay) fromLogTime(us int64) policy.Time { return us - r.logOffset }

const (
	alignTolerance = policy.Time(1e3) // between two readings of the policy's clock round one of the log's
	alignAttempts  = 100
)

// alignLogTime fits the policy's clock to the log's. Both run with real time.
func (r *Relay) alignLogTime() {
	for range alignAttempts {
		before, logged := r.now(), r.wal.Time()
		r.logOffset = logged - before
		if r.now()-before < alignTolerance {
			return
		}
	}
}
