package model

import "time"

// Rules holds the limits in the rules of the protocol.
type Rules struct {
	DrainGrace         time.Duration // how long a relay may still call an endpoint after it learns of its drain
	CompletionGrace    time.Duration // how long after a message's deadline its final response may come
	Slack              time.Duration // added to each limit, since what passes over sockets takes a little longer
	RetryAfterSlack    time.Duration // how long after it receives a Retry-After a relay may still send calls
	RestartGrace       time.Duration // how long after a relay is ready its overdue notices may come
	ListDelay          time.Duration // how long after its announcement a change of the list counts as delivered
	ShutdownTimeout    time.Duration // limit from SIGTERM to the exit of the process
	InvalidPeerTimeout time.Duration // limit until an invalid peer gets an error line or a closed connection
	LongRequestTimeout time.Duration // limit until a peer that sends a request of 60 MB gets an error line or a closed connection
	MaxAttempts        int           // limit on the attempts of one message
	RecoveryCapacity   float64       // fraction of its capacity that a destination has right after an outage
	RecoveryTime       time.Duration // how long after an outage a destination has its full capacity again
	OverloadFactor     float64       // multiple of its present capacity above which calls overload a recovering destination
	OverloadWindow     time.Duration // over which the calls for OverloadFactor are counted
	BlameFraction      float64       // fraction of the calls in OverloadWindow that must come from relays that saw the outage for the rule to be violated
}

// StandardRules returns the limits of the protocol and terms pages.
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
