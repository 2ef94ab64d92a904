package policy

// Endpoint identifies one endpoint of a destination. The policy doesn't interpret its value.
type Endpoint uint64

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of event. Each comment lists the fields of Event that are set beside Kind.
const (
	// EventListUpdate carries an update of the endpoint list: ListUpdate, Entries.
	EventListUpdate EventKind = iota
	// EventMessage hands over a message: Message, Key, TimeLeft, Class, Dest, Tenant, EstimatedCost,
	// NeverSpill. A message that an earlier process admitted also has Recovered, Attempts,
	// UnknownOutcomeAt, UnknownOutcomeZone, InFlightEndpoint, InFlightSince. One that is loaded after
	// it was spilled also has Spilled, OverQuota.
	EventMessage
	// EventResponseStarted says that a response has begun to reach the client: Message, Attempt.
	EventResponseStarted
	// EventAttemptDone ends an attempt: Message, Attempt, Endpoint, Outcome, Final, CallsExhausted,
	// LocalFailure, RetryAfter, Latency, Load, NewConnection.
	EventAttemptDone
	// EventWithdraw says that no client waits for a message any more: Message; for a spilled message
	// also Spilled, Dest, Class, Key.
	EventWithdraw
	// EventTimer says that a timer is due: Token.
	EventTimer
	// EventHealthChecked ends a health check: Endpoint, Outcome, Latency, Load.
	EventHealthChecked
)

// ListUpdateKind says what the Entries of an EventListUpdate are.
type ListUpdateKind uint8

// Kinds of list update.
const (
	ListDelta  ListUpdateKind = iota // changed entries only
	ListFull                         // the whole list; an endpoint that is not in it is removed
	ListCached                       // the whole list as last received, which may be out of date
	ListFailed                       // none: the request failed, and the previous list stays in force
)

// Readiness is the state of an endpoint in the list. The zero value is Removed.
type Readiness uint8

// States of an endpoint in the list.
const (
	Removed Readiness = iota
	Ready
	Draining
)

// Entry is one entry of the endpoint list.
type Entry struct {
	Endpoint Endpoint
	Zone     int
	Kind     int // index in Settings.Kinds
	Dest     int
	State    Readiness
	Rate     float64 // calls a second that the destination, or the separate route, accepts from all relays
}

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// Outcomes.
const (
	Delivered       Outcome = iota
	Errored                 // the endpoint answered with an error; the message may have run
	Rejected                // the endpoint rejected the call unprocessed; the message never ran
	TimedOut                // no answer came in time; the message may have run or may still be running
	ConnectFailed           // no connection was made in time; the message never ran
	ConnectionReset         // the connection broke during the call; the message may have run
	Cancelled               // the relay cancelled the attempt; the message may have run
	NotSent                 // the attempt never left the relay; the message never ran
	outcomeCount            // number of outcomes
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// LoadReport is what an answer tells about the rate limit of its endpoint. The zero value is no
// report.
type LoadReport struct {
	Remaining float64 // fraction of the limit that is left
	Limit     float64 // calls a second; 0 if the report has none
	Present   bool    // the answer had a report
}

// Event is something that has happened to the relay. Kind says which fields are set.
type Event struct {
	Kind           EventKind
	ListUpdate     ListUpdateKind
	Outcome        Outcome
	Final          bool // EventAttemptDone: the client has had its final response
	CallsExhausted bool // EventAttemptDone, NotSent: all call slots were taken
	LocalFailure   bool // EventAttemptDone, NotSent: the call failed on this machine and is no attempt
	Attempt        int  // number of the attempt, from 0
	Class          int  // index in Settings.Classes
	Dest           int
	Tenant         int // index in Settings.Tenants; any other value is no tenant
	Message        uint32
	Endpoint       Endpoint
	Key            uint64 // orders the messages of an ordered class; 0 for none
	Token          uint64
	TimeLeft       Time // EventMessage: time left until its deadline
	EstimatedCost  Time // EventMessage: estimated cost of running it; 0 for no estimate
	RetryAfter     Time // EventAttemptDone: how long the destination asks to wait; 0 for none
	Latency        Time
	Load           LoadReport
	NewConnection  bool // EventAttemptDone: the connection was opened for this call
	Entries        []Entry

	// EventMessage, for a message that an earlier process admitted: that this is so, how many attempts
	// it has had, when the first attempt that may have run was sent (0 for none), and the zone of that
	// attempt's endpoint.
	Recovered          bool
	Attempts           int
	UnknownOutcomeAt   Time
	UnknownOutcomeZone int

	// EventMessage, for a message that was spilled and is now loaded. Recovered and OverQuota then
	// have the values of its ActionSpill, and the other fields those in the host's log.
	Spilled   bool
	OverQuota bool

	// EventMessage: the message must not be spilled, since it may still be withdrawn at a point where
	// the host could not tell which spilled message that is.
	NeverSpill bool

	// EventMessage, when another process of this relay has the newest attempt of the message in
	// flight: the endpoint of that attempt (0 for none) and when it was sent.
	InFlightEndpoint Endpoint
	InFlightSince    Time
}
