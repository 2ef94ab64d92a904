package policy

// ActionKind says what an Action asks for.
type ActionKind uint8

// Kinds of action, each with the fields of Action that it uses beside Kind.
const (
	// ActionSend starts an attempt: Message, Endpoint, Deadline (when it times out), SendBy (no
	// byte may leave later; 0 for any time), Call (sends with the same one go out together).
	ActionSend ActionKind = iota
	// ActionReject gives the final response that a message has not run: Message, Delay (advice to
	// the client).
	ActionReject
	// ActionFail gives the final response that a message was not delivered and may have run: Message.
	ActionFail
	// ActionCancel cancels an attempt in flight: Message, Attempt.
	ActionCancel
	// ActionTimer asks for an EventTimer: Delay, Token.
	ActionTimer
	// ActionHealthCheck asks for a health check: Endpoint.
	ActionHealthCheck
	// ActionCloseIdle closes the idle connections to an endpoint: Endpoint.
	ActionCloseIdle
	// ActionWatchList subscribes to list changes.
	ActionWatchList
	// ActionFetchList asks once for the whole list.
	ActionFetchList
	// ActionLog writes a line to the log: Text.
	ActionLog
	// ActionStopAccepting tells clients that ask that this relay takes no new connections.
	ActionStopAccepting
	// ActionReleaseClients closes clients' connections, each between requests.
	ActionReleaseClients
	// ActionAcceptClients takes clients again.
	ActionAcceptClients
	// ActionSpill leaves a message to the log, as the policy forgets it: Message, Dest, Recovered,
	// OverQuota, Ordered, Deadline (by when it has to be loaded at the latest).
	ActionSpill
	// ActionLoad asks for spilled messages: Dest, Count. Those with the earliest Deadline come
	// first, ordered ones as they were spilled.
	ActionLoad
	actionCount // count of the kinds
)

// Action is something that the policy asks of its relay. Kind says which fields are set.
type Action struct {
	Kind     ActionKind
	Attempt  int // from 0
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
