package wal

// NoMessage stands for the message id in a record that is about no message.
const NoMessage = "-"

// Kind says what a record is about.
type Kind string

// Kinds of records. The texts are part of the legacy file format and of Dump's output.
const (
	KindAccepted   Kind = "taken"   // a message, with its state where it comes from a checkpoint
	KindAttempt    Kind = "attempt" // an attempt is about to be sent
	KindOutcome    Kind = "outcome" // the outcome of the attempt in flight
	KindCompleting Kind = "ending"  // the message's final notice is to be sent
	KindCompleted  Kind = "end"     // the message is completed
	KindOwner      Kind = "mark"    // which process writes from here on, and how much of a handoff log is included
	KindHandoff    Kind = "pass"    // the last record of a process that handed the log off: its policy's state

	kindMessageState  Kind = "held"  // in a checkpoint: a message and its state
	kindBatchStart    Kind = "batch" // first record of a batch that is synced as one
	kindSegmentSeal   Kind = "seal"  // last record of a segment: the number of the next one
	kindCheckpointEnd Kind = "total" // last record of a checkpoint: how many records precede it
)

// isFact reports whether a record is about something that has happened already. Such a
// record is retained while the disk refuses it, and is written before all later ones.
func (k Kind) isFact() bool {
	return k == KindOutcome || k == KindCompleting || k == KindCompleted || k == KindOwner
}

// Record is one entry of the log. Times are log time in microseconds (see Log.Time).
// The JSON names are stored in logs of the legacy format.
type Record struct {
	Kind         Kind   `json:"kind"`
	ID           string `json:"id"` // of the message, or NoMessage
	Class        string `json:"class,omitempty"`
	Tenant       string `json:"tenant,omitempty"`
	Key          string `json:"key,omitempty"` // idempotency key
	Dest         int    `json:"dest,omitempty"`
	Deadline     int64  `json:"deadline,omitempty"`
	At           int64  `json:"at,omitempty"`     // attempt: when it is sent
	Zone         int    `json:"zone,omitempty"`   // attempt: zone of its endpoint
	Endpoint     string `json:"to,omitempty"`     // attempt: its endpoint
	Process      int    `json:"by,omitempty"`     // attempt, owner: the process, counted over those that opened the log
	MayHaveRun   bool   `json:"ran,omitempty"`    // outcome: the attempt may have run
	LocalFailure bool   `json:"unmade,omitempty"` // outcome: this machine could not make the call, so it does not count as an attempt
	Notice       string `json:"notice,omitempty"` // completing: the final notice
	RetryMS      int64  `json:"retry_ms,omitempty"`

	// The state of a message, as earlier records left it.

	Attempts           int    `json:"tries,omitempty"`
	UnknownOutcomeAt   int64  `json:"doubt,omitempty"` // when the first attempt that may have run was sent; 0 for none
	UnknownOutcomeZone int    `json:"doubt_in,omitempty"`
	InFlightSince      int64  `json:"out,omitempty"` // when the attempt without an outcome was sent; 0 for none
	InFlightZone       int    `json:"out_in,omitempty"`
	InFlightEndpoint   string `json:"out_to,omitempty"`
	InFlightProcess    int    `json:"out_by,omitempty"`
	Corrupted          bool   `json:"lost,omitempty"` // corruption left nothing but the id

	// Of a handoff log.

	HandoffOffset   int64 `json:"side,omitempty"` // with this record, the log includes the handoff log up to here
	HandoffCapacity int64 `json:"room,omitempty"` // owner: bytes that the handoff log may take up
	OutcomeCode     uint8 `json:"what,omitempty"` // outcome, completed: the attempt's outcome in the policy's numbering
	RetryAt         int64 `json:"wait,omitempty"` // end of the Retry-After of its endpoint
	Latency         int64 `json:"took,omitempty"` // of the attempt, in microseconds
	CallsExhausted  bool  `json:"slots,omitempty"`

	Body []byte `json:"-"`
	Ref  Ref    `json:"-"` // accepted: set once the record is written or was read
	Sync bool   `json:"-"` // attempt: it must survive a loss of power before it is sent

	livingProcess int // owner: the process whose handoff log is followed; 0 for none
}

// Ref names a pending message of an open log. It is valid until the message is completed
// or the log is closed; 0 names none.
//
// The low 32 bits are the message's place in the index, from 1. Above them stand 16 bits
// of its record's sequence number, so that a later message in the same place has another
// Ref.
type Ref uint64
