package history

// Kind says what an event records. Its text is what history.jsonl holds.
type Kind string

// The kinds of event; the fields that each sets follow in brackets.
const (
	// Run is the first line of the load: the run's name and seed [Text].
	Run Kind = "run"

	// Clients and the messages that they submit.

	// MessageSubmitted is a client's request to a relay
	// [Relay Message FirstMessage Class Destination DueAt ValidFor].
	MessageSubmitted Kind = "put"
	// MessageAccepted is +OK, read by the client [Relay Message].
	MessageAccepted Kind = "taken"
	// MessageRejected is -BUSY, read by the client [Relay Message RetryAfter].
	MessageRejected Kind = "refused"
	// SubmitFailed is any other answer [Relay Message Text].
	SubmitFailed Kind = "failed"
	// SubmitUnanswered is a client that gave up or lost its connection [Relay Message Text].
	SubmitUnanswered Kind = "unheard"
	// ExtraResponse is a second answer to one request [Relay Message Text].
	ExtraResponse Kind = "stray"
	// Notice is a final response that a relay sent through discovery [Relay Message Text RetryAfter].
	Notice Kind = "notice"
	// InvalidPeer is what became of a peer that sends no proper request [Relay Text Status Took].
	InvalidPeer Kind = "peer"

	// Calls of relays to endpoints.

	// CallReceived is the last byte of a call at an endpoint [Call Relay Endpoint Destination Messages SentAt].
	CallReceived Kind = "call"
	// CallLost is a complete call that a link never passed on, recorded when its
	// connection ends [Relay Endpoint Destination Messages SentAt].
	CallLost Kind = "lost"
	// MessageExecuted is a message that took effect [Call Endpoint Message].
	MessageExecuted Kind = "ran"
	// ResponseSent is an endpoint's response [Call Endpoint Status RetryAfter States].
	ResponseSent Kind = "answer"
	// ResponseReceived is its last byte, written to the relay [Call].
	ResponseReceived Kind = "heard"
	// CallAborted is a connection that the relay closed before the response [Call].
	CallAborted Kind = "left"
	// CallBroken is a connection that ended, as its endpoint saw it, before the response [Call].
	CallBroken Kind = "ended"
	// InvalidCall is a call that no endpoint should receive [Relay Endpoint Message Text].
	InvalidCall Kind = "wrong"

	// The endpoint list.

	// EndpointChanged is a change that discovery has for all relays [Endpoint Phase].
	EndpointChanged Kind = "listed"
	// ChangeDelivered is the change, written to one relay [Relay Endpoint Phase].
	ChangeDelivered Kind = "told"
	// ListUpdate is what a watcher of the list service received: the epoch in Text,
	// the revision in DueAt, ListComplete or ListChange in Phase and a hash of the
	// members in FirstMessage [Relay].
	ListUpdate Kind = "watched"
	// RegisterOperation is a finished operation on a register in the list service:
	// OpWrite, OpRead or OpRestore in Text, its begin in DueAt, the value in
	// ValidFor, 1 in Status if it was answered [Relay].
	RegisterOperation Kind = "op"
	// RoleStep is a step that a leader counted: the role in Text, the step in
	// Status, the fencing token in ValidFor, the outcome in Phase, the request in
	// SentAt and the answer in DueAt [Relay].
	RoleStep Kind = "effect"
	// FailoverFinished is the end of the failover of a lost relay's messages [Relay Text].
	FailoverFinished Kind = "salvage"

	// Processes.

	// ProcessStarted is a new process [Relay PID Text].
	ProcessStarted Kind = "start"
	// ProcessReady is its first +PONG [Relay PID].
	ProcessReady Kind = "ready"
	// ProcessSignaled is a signal from the lab [Relay PID Text].
	ProcessSignaled Kind = "signal"
	// ProcessExited is its end [Relay PID Status Text].
	ProcessExited Kind = "exit"
	// FolderChanged is a state directory that the lab changed while its relay was
	// down; DueAt is the time of an older copy [Relay Text DueAt].
	FolderChanged Kind = "folder"
	// UsageSampled is what a process uses [Relay PID RSS FDs Disk CPU].
	UsageSampled Kind = "sample"

	// Faults.

	// Fault is the begin or end of a fault [Text Active].
	Fault Kind = "fault"
	// Outage is a destination that is down, or back and recovering [Destination Active ConnectionsFail].
	Outage Kind = "outage"
	// DestinationOverloaded is a recovering destination that failed under its load [Destination Relays].
	DestinationOverloaded Kind = "fell"
)

// Outcomes of a RoleStep, in Phase; an empty one stands for StepCounted.
const (
	StepCounted    = "counted"
	StepFenced     = "fenced"     // rejected for its token
	StepUnanswered = "unanswered" // it may have counted
)

// Contents of a ListUpdate, in Phase.
const (
	ListComplete = "whole"
	ListChange   = "change"
)

// Operations of a RegisterOperation, in Text.
const (
	OpWrite   = "write"
	OpRead    = "read"
	OpRestore = "restore" // of a backup without the register
)

// Changes of a FolderChanged, in Text; any other text describes a corruption.
const (
	FolderLost  = "lost"
	FolderOlder = "older"
)

// NodeProcess is the Text of a ProcessStarted that is no relay.
const NodeProcess = "node"

// Event is one line of a history. Times and durations are in microseconds; Time
// counts from the run's start. Some kinds use a field for something else than its
// name says, as listed with them: the file's format has no more fields.
type Event struct {
	Time            int64          `json:"t"`
	Kind            Kind           `json:"k"`
	Relay           string         `json:"relay,omitempty"` // or another process, watcher or client
	Message         string         `json:"msg,omitempty"`
	FirstMessage    string         `json:"first,omitempty"` // the ID under which a message was submitted at first
	Messages        []string       `json:"msgs,omitempty"`
	Class           string         `json:"class,omitempty"`
	Destination     int            `json:"dest,omitempty"`
	Endpoint        string         `json:"ep,omitempty"`
	Phase           string         `json:"phase,omitempty"`
	Call            int64          `json:"call,omitempty"`
	SentAt          int64          `json:"from,omitempty"` // when the call's first byte left the relay
	DueAt           int64          `json:"due,omitempty"`  // when a message was due to be submitted
	ValidFor        int64          `json:"for,omitempty"`  // how long it may be delivered, from Time
	Status          int            `json:"status,omitempty"`
	States          []string       `json:"states,omitempty"` // of the messages of a batch
	RetryAfter      int64          `json:"wait,omitempty"`
	Took            int64          `json:"took,omitempty"`
	PID             int            `json:"pid,omitempty"`
	RSS             int64          `json:"rss,omitempty"`  // bytes
	Disk            int64          `json:"disk,omitempty"` // bytes, each file in whole 512
	FDs             int            `json:"fds,omitempty"`
	CPU             int64          `json:"cpu,omitempty"` // used since the process began
	Relays          map[string]int `json:"relays,omitempty"`
	Active          bool           `json:"on,omitempty"`
	ConnectionsFail bool           `json:"refusing,omitempty"`
	Text            string         `json:"text,omitempty"`
}

// Revision is that of a ListUpdate.
func (e Event) Revision() int64 { return e.DueAt }

// Value is that of a RegisterOperation.
func (e Event) Value() int64 { return e.ValidFor }

// Step is that of a RoleStep.
func (e Event) Step() int { return e.Status }

// Token is the fencing token of a RoleStep.
func (e Event) Token() int64 { return e.ValidFor }
