package model

import "time"

// Rules are the figures of the protocol's rules.
type Rules struct {
	DrainGrace         time.Duration // after a relay learns of a drain
	CompletionGrace    time.Duration // after a message's deadline
	Slack              time.Duration // by which each limit is longer over sockets
	RetryAfterSlack    time.Duration // within which calls after a Retry-After are allowed
	RestartGrace       time.Duration // after a relay is ready, until its notices are due
	ListDelay          time.Duration // after which a change of the list counts as delivered
	ShutdownTimeout    time.Duration // from SIGTERM to the exit
	InvalidPeerTimeout time.Duration // until an error line or a close
	LongRequestTimeout time.Duration // the same for a peer that sends 60 MB
	MaxAttempts        int
	RecoveryCapacity   float64       // fraction of its capacity with which a destination comes back
	RecoveryTime       time.Duration // until it has all of it
	OverloadFactor     float64       // times its capacity at which it is overloaded
	OverloadWindow     time.Duration // over which that is counted
	BlameFraction      float64       // of those calls, from relays that saw the outage
}

// StandardRules are those of the protocol and terms pages.
func StandardRules() Rules {
	const ms = time.Millisecond
	return Rules{
		DrainGrace:         2 * time.Second,
		CompletionGrace:    300 * ms,
		Slack:              50 * ms,
		RetryAfterSlack:    100 * ms,
		RestartGrace:       1500 * ms,
		ListDelay:          6 * time.Second,
		ShutdownTimeout:    3700 * ms,
		InvalidPeerTimeout: 3 * time.Second,
		LongRequestTimeout: 6 * time.Second,
		MaxAttempts:        12,
		RecoveryCapacity:   0.19,
		RecoveryTime:       13 * time.Second,
		OverloadFactor:     2.5,
		OverloadWindow:     3 * time.Second,
		BlameFraction:      2.0 / 3,
	}
}
