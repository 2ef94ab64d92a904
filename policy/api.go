package policy

import "fmt"

// This file is the module's interface: settings, events and actions in the
// domain's words. It holds no decision and no tuned value.

// Time is a moment or a span in microseconds of the host's own clock.
type Time = int64

// Endpoint names one endpoint of a destination; nothing can be read from it.
type Endpoint uint64

// Idempotency says what a second run of a message of a class would do.
type Idempotency uint8

// Kinds of repeat.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // the destination drops repeats inside the class's window
	NonIdempotent                      // must never run twice
)

// Class is one class of message.
type Class struct {
	Name             string
	LatencyObjective Time // delivered within this, it earns its full worth
	Deadline         Time // after this it earns nothing and must have been answered
	Weight           float64
	LateWeight       float64 // share of the worth left at the deadline
	Idempotency      Idempotency
	DedupWindow      Time // Keyed only: counted from the send of the first attempt that may have run
	DedupPerZone     bool // Keyed only: only endpoints of one zone share the memory of keys
	Ordered          bool // messages of one key go one at a time, in order of arrival
}

// Tenant is one of those who share the relay.
type Tenant struct {
	Name  string
	Quota float64 // messages a second over all relays inside its share; 0 for none
}

// DestinationKind is a kind of destination.
type DestinationKind struct {
	SeparateRoutes bool // its endpoints are separate routes, each with its own limit and outages
	MaxBatch       int  // messages that may travel in one call; 0 means 1
}

// Settings is what a relay is told at start.
type Settings struct {
	Relays               int // relays that share the destinations, this one included
	Zone                 int
	Classes              []Class
	Tenants              []Tenant
	Kinds                []DestinationKind
	MaxCalls             int // calls out at once
	MaxMessages          int // messages held at once; 0 for no limit
	MaxResidentMessages  int // messages in memory at most, the rest spilled; 0 for all
	MaxAttempts          int // attempts for one message; 0 for no limit
	HalvingWeight        bool
	OverQuotaWeight      float64 // part of its worth that a message beyond its tenant's share keeps
	WeightByCost         bool
	LoadReports          bool    // answers hold load reports
	ListedRates          bool    // list entries carry the calls a second that a destination takes
	HealthChecks         bool    // probes are allowed
	Cancellation         bool    // calling off an attempt is allowed
	RetryAfter           bool    // clients are given advice with a refusal
	MaxRetryAfter        Time    // the longest advice that clients heed
	PollList             bool    // list changes come only when asked for
	PollInterval         Time    // with PollList: the longest a list counts as fresh without asking
	ConnectTimeout       Time    // 0 when unknown
	KeepAlive            Time    // idle connections close after this; 0 when unknown
	StreamsPerConnection int     // calls that one connection carries at once; 0 means 1
	Tick                 Time    // events come at most this often; 0 when unknown
	ResponseSlack        Time    // time past a deadline in which an answer still counts
	DrainGrace           Time    // time after word of a drain in which sends must have ended
	SlowStartCapacity    float64 // share of capacity that a destination has at least after an outage
	SlowStartTime        Time    // by then at the latest it has all of it
	OverloadFactor       float64 // sent more than this many times what it can do ...
	OverloadWindow       Time    // ... for this long, a cold destination falls over
	KeyCooldown          Time    // pause of a key in order after an attempt whose end is not sure
}

// Validate tells of values that cannot be; the error names the key.
func (s *Settings) Validate() error {
	times := []struct {
		key string
		v   Time
	}{{"MaxRetryAfter", s.MaxRetryAfter}, {"PollInterval", s.PollInterval}, {"ConnectTimeout", s.ConnectTimeout},
		{"KeepAlive", s.KeepAlive}, {"Tick", s.Tick}, {"ResponseSlack", s.ResponseSlack},
		{"DrainGrace", s.DrainGrace}, {"SlowStartTime", s.SlowStartTime}, {"OverloadWindow", s.OverloadWindow}, {"KeyCooldown", s.KeyCooldown}}
	for _, t := range times {
		if t.v < 0 {
			return fmt.Errorf("%s: negative time %d", t.key, t.v)
		}
	}
	counts := []struct {
		key    string
		v, min int
	}{{"Relays", s.Relays, 1}, {"MaxCalls", s.MaxCalls, 1}, {"MaxMessages", s.MaxMessages, 0}, {"MaxResidentMessages", s.MaxResidentMessages, 0}, {"Zone", s.Zone, 0},
		{"MaxAttempts", s.MaxAttempts, 0}, {"StreamsPerConnection", s.StreamsPerConnection, 0}, {"Classes", len(s.Classes), 1}}
	for _, c := range counts {
		if c.v < c.min {
			return fmt.Errorf("%s: %d, want at least %d", c.key, c.v, c.min)
		}
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("Classes[%d]", i)
		switch {
		case c.Idempotency > NonIdempotent:
			return fmt.Errorf("%s.Idempotency: unknown kind %d", key, c.Idempotency)
		case c.LatencyObjective < 0:
			return fmt.Errorf("%s.LatencyObjective: negative time %d", key, c.LatencyObjective)
		case c.Deadline <= 0:
			return fmt.Errorf("%s.Deadline: %d, want above 0", key, c.Deadline)
		case c.DedupWindow < 0:
			return fmt.Errorf("%s.DedupWindow: negative time %d", key, c.DedupWindow)
		case !(c.Weight >= 0):
			return fmt.Errorf("%s.Weight: %v, want 0 or more", key, c.Weight)
		case !(c.LateWeight >= 0 && c.LateWeight <= 1):
			return fmt.Errorf("%s.LateWeight: %v, want 0 to 1", key, c.LateWeight)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Quota >= 0) {
			return fmt.Errorf("Tenants[%d].Quota: %v, want 0 or more", i, t.Quota)
		}
	}
	for i, k := range s.Kinds {
		if k.MaxBatch < 0 {
			return fmt.Errorf("Kinds[%d].MaxBatch: %d, want 0 or more", i, k.MaxBatch)
		}
	}
	if !(s.SlowStartCapacity >= 0 && s.SlowStartCapacity <= 1) {
		return fmt.Errorf("SlowStartCapacity: %v, want 0 to 1", s.SlowStartCapacity)
	}
	if !(s.OverloadFactor >= 0) {
		return fmt.Errorf("OverloadFactor: %v, want 0 or more", s.OverloadFactor)
	}
	if !(s.OverQuotaWeight >= 0 && s.OverQuotaWeight <= 1) {
		return fmt.Errorf("OverQuotaWeight: %v, want 0 to 1", s.OverQuotaWeight)
	}
	return nil
}

// EventKind says what an Event tells.
type EventKind uint8

// Kinds of event, each with the fields of Event that it uses.
const (
	EventListUpdate      EventKind = iota // news of the list: List, Entries
	EventMessage                          // a new message: Message, Key, Left, Class, Dest, Tenant, Work, Kept, Tries, UnknownOutcomeAt, UnknownOutcomeZone
	EventResponseStarted                  // an answer has begun to flow: Message, Attempt
	EventAttemptDone                      // an attempt is over: Message, Attempt, Endpoint, Outcome, Wait, Slots, Took, Settled, Load
	EventWithdraw                         // nobody wants the message any more: Message; of one that was spilled Spilled, Dest, Class, Key
	EventTimer                            // a timer has come: Token
	EventHealthChecked                    // a probe was answered: Endpoint, Outcome, Took, Load
	EventDrain                            // the operators have the relay emptied of clients
	EventActivate                         // the operators have it take clients again
)

// ListUpdateKind says what an EventListUpdate holds.
type ListUpdateKind uint8

// Kinds of list news.
const (
	ListDelta  ListUpdateKind = iota // only changed entries
	ListFull                         // the whole list; what is not in it is gone
	ListCached                       // the whole list as last had, maybe old
	ListFailed                       // asking failed; the old list stands
)

// Readiness is what the list says of an endpoint.
type Readiness uint8

// States of an endpoint in the list.
const (
	Removed Readiness = iota
	Ready
	Draining
)

// Entry is a line of the list.
type Entry struct {
	Endpoint Endpoint
	Zone     int
	Kind     int
	Dest     int
	State    Readiness
	Rate     float64 // calls a second that the destination (the route, where apart) takes from all relays
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// Outcomes.
const (
	Delivered       Outcome = iota
	Errored                 // answered with an error; may have run
	Rejected                // turned away unseen; never ran
	TimedOut                // no answer in time; may have run or still do so
	ConnectFailed           // no connection in time; never ran
	ConnectionReset         // the connection broke; may have run
	Cancelled               // called off; may have run
	NotSent                 // never left the relay; never ran
	outcomeCount            // count of the outcomes
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// LoadReport is a load report of an endpoint.
type LoadReport struct {
	Remaining float64 // share of the allowance left
	Limit     float64 // calls a second that the limit allows; 0 where none is told
	Present   bool    // the answer held a report at all
}

// Event is something that the relay tells its policy.
type Event struct {
	Kind           EventKind
	ListUpdate     ListUpdateKind
	Outcome        Outcome
	Final          bool // EventAttemptDone: nothing more is owed for the message
	CallsExhausted bool // EventAttemptDone, NotSent: all slots were taken
	LocalFailure   bool // EventAttemptDone, NotSent: this machine could not make the call; it was no try
	Attempt        int
	Class          int
	Dest           int
	Tenant         int
	Message        uint32
	Endpoint       Endpoint
	Key            uint64 // 0 for none
	Token          uint64
	TimeLeft       Time // EventMessage: how long it may still be delivered
	EstimatedCost  Time // EventMessage: a guess of its cost; 0 for none
	RetryAfter     Time // EventAttemptDone: how long to wait; 0 when none is told
	Latency        Time
	Load           LoadReport
	NewConnection  bool // EventAttemptDone: the connection was opened for this call
	Entries        []Entry

	// EventMessage, of a message that an earlier process took on: that it is, its attempts
	// so far, the send of the first of them that may have run (0 for none) and its zone.
	Recovered          bool
	Attempts           int
	UnknownOutcomeAt   Time
	UnknownOutcomeZone int

	// EventMessage, of a message that was spilled and comes back; with it Kept and
	// OverQuota as the ActionSpill had them, and the rest as the log has it.
	Spilled   bool
	OverQuota bool

	// EventMessage: it is never spilled, since it may still be withdrawn where the
	// host cannot tell which message that is.
	NeverSpill bool

	// EventMessage, where another process of this relay has the newest of these
	// attempts still out: its endpoint (0 for none) and its send.
	InFlightEndpoint Endpoint
	InFlightSince    Time
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// Kinds of action, each with the fields of Action that it uses.
const (
	ActionSend           ActionKind = iota // Message, Endpoint, At (the moment it times out), By (no byte may go out later; 0 for any time), Call (sends with the same go out as one)
	ActionReject                           // Message, After (advice to the client)
	ActionFail                             // Message
	ActionCancel                           // Message, Attempt
	ActionTimer                            // After, Token
	ActionHealthCheck                      // Endpoint
	ActionCloseIdle                        // Endpoint: give back idle connections
	ActionWatchList                        // subscribe to list changes
	ActionFetchList                        // ask once for the whole list
	ActionLog                              // Text
	ActionStopAccepting                    // tell clients that ask that this relay takes no new connections
	ActionReleaseClients                   // close clients' connections, each between requests
	ActionAcceptClients                    // take clients again
	ActionSpill                            // Message, Dest, At, Kept, OverQuota, Ordered: the policy forgets it; it has to be back by At at the latest
	ActionLoad                             // Dest, Count: give back so many spilled messages, the earliest At first; those in order as they were spilled
	actionCount                            // count of the kinds
)

// Action is something that the policy asks of its relay.
type Action struct {
	Kind     ActionKind
	Attempt  int
	Message  uint32
	Endpoint Endpoint
	Call     uint32
	Deadline Time
	SendBy   Time
	Delay    Time
	Token    uint64
	Text     string
	Dest     int
	Count    int

	Recovered, OverQuota, Ordered bool // of a spilled message
}
