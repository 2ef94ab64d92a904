package model

// Fault is a fault of an upstream or of one endpoint. The zero value is no fault.
// Fractions are from 0 to 1.
type Fault struct {
	Slow            float64 // factor by which calls take longer; less than 1 counts as 1
	Fail            float64 // fraction of calls that end in 500, half of them after they took effect
	Closed          bool    // the upstream rejects every call; a Retry-After lasts until the upstream opens again
	Silent          bool    // calls are accepted and never answered
	LoseResponse    float64 // fraction of responses that are lost after the call took effect
	CorruptResponse float64 // fraction of responses that cannot be parsed
	Reset           float64 // fraction of connections that are reset before the request is complete
}

// outageFailures is the fraction of failed calls from which on a fault counts as an
// outage.
const outageFailures = 0.5

// isOutage reports whether an upstream with this fault counts as down.
func (f Fault) isOutage() bool { return f.Closed || f.Silent || f.Fail >= outageFailures }

// combine returns the effect of two faults together: slowdowns multiply, and of two
// fractions the larger counts.
func (f Fault) combine(other Fault) Fault {
	return Fault{
		Slow:            max(f.Slow, 1) * max(other.Slow, 1),
		Fail:            max(f.Fail, other.Fail),
		Closed:          f.Closed || other.Closed,
		Silent:          f.Silent || other.Silent,
		LoseResponse:    max(f.LoseResponse, other.LoseResponse),
		CorruptResponse: max(f.CorruptResponse, other.CorruptResponse),
		Reset:           max(f.Reset, other.Reset),
	}
}
