package policy

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of action. Each comment lists the fields of Action that are set beside Kind.
const (
	// ActionSend starts an attempt: Message, Endpoint, Deadline (when it times out), SendBy (no byte
	// may be sent after this; 0 for no such limit), Call (sends with the same number share one call).
	ActionSend ActionKind = iota
	// ActionReject gives a client the final response that its message has not run: Message, Delay (how
	// long the client should wait before it retries).
	ActionReject
	// ActionFail gives a client the final response that its message was not delivered and may have
	// run: Message.
	ActionFail
	// ActionCancel cancels an attempt in flight: Message, Attempt.
	ActionCancel
	// ActionTimer asks for an EventTimer after Delay: Delay, Token.
	ActionTimer
	// ActionHealthCheck asks for a health check: Endpoint.
	ActionHealthCheck
	// ActionCloseIdle closes the idle connections to an endpoint: Endpoint.
	ActionCloseIdle
	// ActionWatchList subscribes to changes of the endpoint list. With Settings.PollList the policy
	// emits it for each request of the list.
	ActionWatchList
	// ActionFetchList requests the whole endpoint list once.
	ActionFetchList
	// ActionLog writes a line to the log: Text.
	ActionLog
	// ActionSpill says that the policy forgets a message, which from now on only the host's log holds:
	// Message, Dest, Recovered, OverQuota, Ordered, Deadline (when the message has to be loaded at the
	// latest).
	ActionSpill
	// ActionLoad asks the host to load spilled messages: Dest, Count. The host takes those with the
	// earliest Deadline first, and ordered ones in the order in which they were spilled.
	ActionLoad
	actionCount // number of kinds
)

// Action is something that the policy asks its host to do. Kind says which fields are set.
type Action struct {
	Kind     ActionKind
	Attempt  int // number of the attempt, from 0
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

	Recovered, OverQuota, Ordered bool // ActionSpill: properties of the message
}
