package wal

// NoMessage is the message id of a record that is not about a message.
const NoMessage = "-"

// Kind says what event or state a record describes.
type Kind string

// Kinds of records. The strings are stored in the legacy file format and printed by Dump.
const (
	KindAccepted   Kind = "taken"   // a message was accepted; a message that is read back also carries its state
	KindAttempt    Kind = "attempt" // an attempt is about to be sent
	KindOutcome    Kind = "outcome" // the attempt in flight has ended with this outcome
	KindCompleting Kind = "ending"  // the final notice of the message is about to be sent
	KindCompleted  Kind = "end"     // the message is completed
	KindOwner      Kind = "mark"    // the process that writes from here on, and how much of the handoff log the log includes
	KindHandoff    Kind = "pass"    // last records of a process that handed the log off: the state of its policy

	kindMessageState  Kind = "held"  // in a checkpoint: a message and its state
	kindBatchStart    Kind = "batch" // first record of a batch that is synced as a unit
	kindSegmentSeal   Kind = "seal"  // last record of a segment: the number of the next segment
	kindCheckpointEnd Kind = "total" // last record of a checkpoint: the number of records before it
)

// isPastEvent reports whether a record describes something that has already happened. If the disk
// refuses such a record, the log keeps it in memory and writes it before all later ones.
func (k Kind) isPastEvent() bool {
	return k == KindOutcome || k == KindCompleting || k == KindCompleted || k == KindOwner
}

// Record is one entry of the log. Times are log time in microseconds (see Log.Time). The
// JSON names are stored in logs of the legacy format.
type Record struct {
	Kind         Kind   `json:"kind"`
	ID           string `json:"id"` // the message's id, or NoMessage
	Class        string `json:"class,omitempty"`
	Tenant       string `json:"tenant,omitempty"`
	Key          string `json:"key,omitempty"` // idempotency key
	Dest         int    `json:"dest,omitempty"`
	Deadline     int64  `json:"deadline,omitempty"`
	At           int64  `json:"at,omitempty"`     // attempt: time of sending
	Zone         int    `json:"zone,omitempty"`   // attempt: zone of the endpoint
	Endpoint     string `json:"to,omitempty"`     // attempt: name of the endpoint
	Process      int    `json:"by,omitempty"`     // attempt, owner: number of the process, counting those that have opened the log
	MayHaveRun   bool   `json:"ran,omitempty"`    // outcome: the attempt may have run
	LocalFailure bool   `json:"unmade,omitempty"` // outcome: this machine failed to make the call, so it does not count as an attempt
	Notice       string `json:"notice,omitempty"` // completing: the final notice
	RetryMS      int64  `json:"retry_ms,omitempty"`

	// State of the message after its earlier records.

	Attempts           int    `json:"tries,omitempty"`
	UnknownOutcomeAt   int64  `json:"doubt,omitempty"` // time of sending of the first attempt that may have run; 0 for none
	UnknownOutcomeZone int    `json:"doubt_in,omitempty"`
	InFlightSince      int64  `json:"out,omitempty"` // time of sending of the attempt that has no outcome yet; 0 for none
	InFlightZone       int    `json:"out_in,omitempty"`
	InFlightEndpoint   string `json:"out_to,omitempty"`
	InFlightProcess    int    `json:"out_by,omitempty"`
	Corrupted          bool   `json:"lost,omitempty"` // corruption destroyed everything but the id

	// Fields that concern the handoff log.

	HandoffOffset   int64 `json:"side,omitempty"` // up to this byte the log includes the handoff log, once this record is applied
	HandoffCapacity int64 `json:"room,omitempty"` // owner: maximum size of the handoff log in bytes
	OutcomeCode     uint8 `json:"what,omitempty"` // outcome, completed: the attempt's outcome, as numbered by the policy
	RetryAt         int64 `json:"wait,omitempty"` // time until which the endpoint's Retry-After delays further calls
	Latency         int64 `json:"took,omitempty"` // duration of the attempt in microseconds
	CallsExhausted  bool  `json:"slots,omitempty"`

	Body []byte `json:"-"`
	Ref  Ref    `json:"-"` // accepted: set once the record is written or read
	Sync bool   `json:"-"` // attempt: the record must be synced before the attempt is sent

	livingProcess int // owner: the process whose handoff log this one follows; 0 for none
}

// Ref identifies a pending message of an open log. It is valid until the message is
// completed or the log is closed. 0 refers to no message.
//
// The low 32 bits are the message's position in the index plus 1. The next 16 bits come from the
// sequence number of its record, so that a later message at the same position has another Ref, unless the two sequence
// numbers differ by a multiple of 65536.
type Ref uint64
