package policy

// Endpoint names one endpoint of a destination; nothing can be read from it.
type Endpoint uint64

// EventKind says what has happened.
type EventKind uint8

// Kinds of event, each with the fields of Event that it uses beside Kind.
const (
	// EventListUpdate brings the endpoint list: ListUpdate, Entries.
	EventListUpdate EventKind = iota
	// EventMessage brings a message: Message, Key, TimeLeft, Class, Dest, Tenant, EstimatedCost,
	// NeverSpill; of one that an earlier process admitted Recovered, Attempts, UnknownOutcomeAt,
	// UnknownOutcomeZone, InFlightEndpoint, InFlightSince; of one that is loaded Spilled,
	// OverQuota.
	EventMessage
	// EventResponseStarted says that a response has begun to reach the client: Message, Attempt.
	EventResponseStarted
	// EventAttemptDone ends an attempt: Message, Attempt, Endpoint, Outcome, Final, CallsExhausted,
	// LocalFailure, RetryAfter, Latency, Load, NewConnection.
	EventAttemptDone
	// EventWithdraw says that no client waits for a message: Message; of a spilled one Spilled,
	// Dest, Class, Key.
	EventWithdraw
	// EventTimer says that a timer is due: Token.
	EventTimer
	// EventHealthChecked ends a health check: Endpoint, Outcome, Latency, Load.
	EventHealthChecked
	// EventDrain has the relay emptied of clients, at an operator's request.
	EventDrain
	// EventActivate has it accept clients again.
	EventActivate
)

// ListUpdateKind says what an EventListUpdate holds.
type ListUpdateKind uint8

// Kinds of list update.
const (
	ListDelta  ListUpdateKind = iota // only changed entries
	ListFull                         // the whole list; what is not in it is gone
	ListCached                       // the whole list as last received, maybe old
	ListFailed                       // the request failed; the old list stands
)

// Readiness is the state of an endpoint in the list. The zero value is Removed.
type Readiness uint8

// States of an endpoint in the list.
const (
	Removed Readiness = iota
	Ready
	Draining
)

// Entry is a line of the endpoint list.
type Entry struct {
	Endpoint Endpoint
	Zone     int
	Kind     int // index in Settings.Kinds
	Dest     int
	State    Readiness
	Rate     float64 // calls a second that the destination, or the separate route, takes from all relays
}

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// Outcomes.
const (
	Delivered       Outcome = iota
	Errored                 // answered with an error; may have run
	Rejected                // rejected unseen; never ran
	TimedOut                // no answer in time; may have run or still do so
	ConnectFailed           // no connection in time; never ran
	ConnectionReset         // the connection broke; may have run
	Cancelled               // cancelled by the relay; may have run
	NotSent                 // never left the relay; never ran
	outcomeCount            // count of the outcomes
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// LoadReport is what an endpoint reports of its rate limit with an answer. The zero value is no report.
type LoadReport struct {
	Remaining float64 // fraction of the limit that is left
	Limit     float64 // calls a second; 0 where none is reported
	Present   bool    // the answer held a report at all
}

// Event is something that has happened to the relay. Kind says which fields are set.
type Event struct {
	Kind           EventKind
	ListUpdate     ListUpdateKind
	Outcome        Outcome
	Final          bool // EventAttemptDone: the message has had its final response
	CallsExhausted bool // EventAttemptDone, NotSent: all call slots were taken
	LocalFailure   bool // EventAttemptDone, NotSent: this machine could not make the call; it is no attempt
	Attempt        int  // from 0
	Class          int  // index in Settings.Classes
	Dest           int
	Tenant         int // index in Settings.Tenants; anything else for none
	Message        uint32
	Endpoint       Endpoint
	Key            uint64 // 0 for none
	Token          uint64
	TimeLeft       Time // EventMessage: until its deadline
	EstimatedCost  Time // EventMessage: a guess of its cost; 0 for none
	RetryAfter     Time // EventAttemptDone: how long the destination asks to wait; 0 for none
	Latency        Time
	Load           LoadReport
	NewConnection  bool // EventAttemptDone: the connection was opened for this call
	Entries        []Entry

	// EventMessage, of a message that an earlier process admitted: that it is, its attempts
	// so far, the send of the first of them that may have run (0 for none) and its zone.
	Recovered          bool
	Attempts           int
	UnknownOutcomeAt   Time
	UnknownOutcomeZone int

	// EventMessage, of a message that was spilled and is loaded; with it Recovered and
	// OverQuota as the ActionSpill had them, and the rest as the log has it.
	Spilled   bool
	OverQuota bool

	// EventMessage: it is never spilled, since it may still be withdrawn where the
	// host cannot tell which message that is.
	NeverSpill bool

	// EventMessage, where another process of this relay has the newest of these
	// attempts in flight: its endpoint (0 for none) and its send.
	InFlightEndpoint Endpoint
	InFlightSince    Time
}
