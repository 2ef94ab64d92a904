package history

// Kind says what an event records. Its text is the value of "k" in history.jsonl.
type Kind string

// The kinds of event. The fields that a kind sets are listed in brackets.
const (
	// Run records the start of the load; Text holds the run's name and seed [Text].
	Run Kind = "run"

	// Clients and the messages that they submit.

	// MessageSubmitted records that a client has sent a message to a relay [Relay Message
	// FirstMessage Class Destination DueAt ValidFor].
	MessageSubmitted Kind = "put"
	// MessageAccepted records that the client has received +OK or a bulk string [Relay
	// Message].
	MessageAccepted Kind = "taken"
	// MessageRejected records that the client has received -BUSY [Relay Message
	// RetryAfter].
	MessageRejected Kind = "refused"
	// SubmitFailed records that the client has received any other answer [Relay Message
	// Text].
	SubmitFailed Kind = "failed"
	// SubmitUnanswered records that the client gave up waiting or lost its connection
	// [Relay Message Text].
	SubmitUnanswered Kind = "unheard"
	// ExtraResponse records a second answer to one request [Relay Message Text].
	ExtraResponse Kind = "stray"
	// Notice records a final response that a relay has sent through discovery [Relay
	// Message Text RetryAfter].
	Notice Kind = "notice"
	// InvalidPeer records how a relay treated a peer that sends no valid request [Relay
	// Text Status Took].
	InvalidPeer Kind = "peer"

	// Calls of relays to endpoints.

	// CallReceived records that an endpoint has read the last byte of a call [Call Relay
	// Endpoint Destination Messages SentAt].
	CallReceived Kind = "call"
	// CallLost records a call that a relay wrote completely and that a link did not pass
	// on, or only in part. It is recorded when the connection ends [Relay Endpoint Destination Messages SentAt].
	CallLost Kind = "lost"
	// MessageExecuted records that a message took effect at an endpoint [Call Endpoint
	// Message].
	MessageExecuted Kind = "ran"
	// ResponseSent records that an endpoint has responded to a call [Call Endpoint Status
	// RetryAfter States].
	ResponseSent Kind = "answer"
	// ResponseReceived records that the last byte of the response was written to the relay
	// [Call].
	ResponseReceived Kind = "heard"
	// CallAborted records that the relay, or the link by a reset, closed the connection on
	// which the call was the last. The call was aborted only if no ResponseReceived came
	// before [Call].
	CallAborted Kind = "left"
	// CallBroken records that a call ended at its endpoint without a response, because the
	// connection was closed by the relay, the endpoint or the link [Call Endpoint].
	CallBroken Kind = "ended"
	// InvalidCall records a call that no relay should have sent [Relay Endpoint Message
	// Text].
	InvalidCall Kind = "wrong"

	// The endpoint list.

	// EndpointChanged records that discovery has accepted a change of an endpoint. A relay
	// receives the change later, or shortly before this is recorded [Endpoint Phase].
	EndpointChanged Kind = "listed"
	// ChangeDelivered records that the change was written to one relay [Relay Endpoint
	// Phase].
	ChangeDelivered Kind = "told"
	// ListUpdate records what a watcher of the list service has received. Text holds the
	// epoch, DueAt the revision, Phase is ListComplete or ListChange, and FirstMessage
	// holds a hash of the members [Relay Text DueAt Phase FirstMessage].
	ListUpdate Kind = "watched"
	// RegisterOperation records that an operation on a register in the list service has
	// ended. Text is OpWrite, OpRead or OpRestore, DueAt holds when it began, ValidFor the
	// value, and Status is 1 if it was answered [Relay Text DueAt ValidFor Status].
	RegisterOperation Kind = "op"
	// RoleStep records a numbered step that the leader of a role carried out, and whether
	// it counted. Text holds the role, Status the number of the step, ValidFor the fencing
	// token, Phase the outcome, SentAt the time of the request and DueAt that of the
	// answer [Relay Text Status ValidFor Phase SentAt DueAt].
	RoleStep Kind = "effect"
	// FailoverFinished records that the failover of a lost relay's messages has ended
	// [Relay Text].
	FailoverFinished Kind = "salvage"

	// Processes.

	// ProcessStarted records the start of a process [Relay PID Text].
	ProcessStarted Kind = "start"
	// ProcessReady records the first +PONG of a process [Relay PID].
	ProcessReady Kind = "ready"
	// ProcessSignaled records a signal that the lab has sent to a process [Relay PID
	// Text].
	ProcessSignaled Kind = "signal"
	// ProcessExited records the end of a process [Relay PID Status Text].
	ProcessExited Kind = "exit"
	// FolderChanged records that the lab changed a state directory while its relay was
	// down. For a restored older copy, DueAt holds the time of that copy [Relay Text
	// DueAt].
	FolderChanged Kind = "folder"
	// UsageSampled records what a process uses [Relay PID RSS FDs Disk CPU].
	UsageSampled Kind = "sample"

	// Faults.

	// Fault records the begin or, if Active is false, the end of a fault [Text Active].
	Fault Kind = "fault"
	// Outage records that a destination goes down (Active) or is back and recovers
	// [Destination Active ConnectionsFail].
	Outage Kind = "outage"
	// DestinationOverloaded records that a recovering destination failed under its load
	// [Destination Relays].
	DestinationOverloaded Kind = "fell"
)

// Outcomes of a RoleStep, in its Phase. An empty Phase means StepCounted.
const (
	StepCounted    = "counted"
	StepFenced     = "fenced"     // rejected because of its fencing token
	StepUnanswered = "unanswered" // no answer arrived, so the step may or may not have been counted
)

// Contents of a ListUpdate, in its Phase.
const (
	ListComplete = "whole"
	ListChange   = "change"
)

// Operations of a RegisterOperation, in its Text.
const (
	OpWrite   = "write"
	OpRead    = "read"
	OpRestore = "restore" // restore of a backup that does not contain the register
)

// Changes of a FolderChanged, in its Text. Any other text describes how files were
// corrupted.
const (
	FolderLost  = "lost"
	FolderOlder = "older"
)

// NodeProcess is the Text of a ProcessStarted for a process that is not a relay.
const NodeProcess = "node"

// Event is one line of a history. Times and durations are in microseconds; Time counts
// from the start of the run. Some kinds use a field for another purpose than its name
// says, as their comments state, because the file's format has no further fields.
type Event struct {
	Time            int64          `json:"t"`
	Kind            Kind           `json:"k"`
	Relay           string         `json:"relay,omitempty"` // name of the relay, or of another process, watcher or client
	Message         string         `json:"msg,omitempty"`
	FirstMessage    string         `json:"first,omitempty"` // ID under which the client submitted the message for the first time
	Messages        []string       `json:"msgs,omitempty"`
	Class           string         `json:"class,omitempty"`
	Destination     int            `json:"dest,omitempty"`
	Endpoint        string         `json:"ep,omitempty"`
	Phase           string         `json:"phase,omitempty"`
	Call            int64          `json:"call,omitempty"`
	SentAt          int64          `json:"from,omitempty"` // when the call's first byte left the relay
	DueAt           int64          `json:"due,omitempty"`  // when a message was due to be submitted
	ValidFor        int64          `json:"for,omitempty"`  // how long after Time the message may be delivered
	Status          int            `json:"status,omitempty"`
	States          []string       `json:"states,omitempty"` // states of the messages of a batch
	RetryAfter      int64          `json:"wait,omitempty"`
	Took            int64          `json:"took,omitempty"`
	PID             int            `json:"pid,omitempty"`
	RSS             int64          `json:"rss,omitempty"`  // resident memory in bytes
	Disk            int64          `json:"disk,omitempty"` // bytes of files, each rounded up to whole blocks of 512 bytes
	FDs             int            `json:"fds,omitempty"`
	CPU             int64          `json:"cpu,omitempty"` // processor time since the process began
	Relays          map[string]int `json:"relays,omitempty"`
	Active          bool           `json:"on,omitempty"`
	ConnectionsFail bool           `json:"refusing,omitempty"`
	Text            string         `json:"text,omitempty"`
}

// Revision returns the revision of a ListUpdate.
func (e Event) Revision() int64 { return e.DueAt }

// Value returns the value of a RegisterOperation.
func (e Event) Value() int64 { return e.ValidFor }

// Step returns the number of a RoleStep's step.
func (e Event) Step() int { return e.Status }

// Token returns the fencing token of a RoleStep.
func (e Event) Token() int64 { return e.ValidFor }
