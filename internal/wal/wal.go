// Package wal is the log of what a relay owes: each message from the moment it
// is taken on until its end is certain. It promises that what was booked is
// found again after the process died or, where so configured, the machine lost
// its power; that a message which any damaged stretch may have concerned is
// held to have been sent; and that its folder stays within its bound. What to do
// with a message is left to the relay, and who may open a folder to the locks
// that its caller holds (lock.go).
//
// Sources of the rules for power loss: Pillai et al., "All File Systems Are Not
// Created Equal" (ALICE, 2014), and Rebello et al., "Can Applications Recover
// from fsync Failures?" (2020).
package wal

import (
	"errors"
	"log/slog"

	"plovershore/internal/clock"
)

// Names in the state folder. Two processes may share it during an upgrade.
const (
	FolderName  = "relay.wal"  // the folder of the log; a file where an older program wrote it
	HandoffName = "relay.side" // what an old process still has to tell; locked as long as it lives
)

// NoMessage stands for the message in a record that is of none.
const NoMessage = "-"

// Errors of a log.
var (
	ErrFull         = errors.New("log: no room")
	ErrNotPending   = errors.New("log: message is not owed")
	ErrSyncFailed   = errors.New("log: a sync has failed: nothing more is written") // final: what the page holds is not known
	ErrNewerVersion = errors.New("log: written by a newer program")
)

// Kind says what a record tells of its message.
type Kind string

// Kinds of records.
const (
	KindAccepted   Kind = "taken"   // all of the message, and its state where it comes from a checkpoint
	KindAttempt    Kind = "attempt" // is about to go out
	KindOutcome    Kind = "outcome" // of the attempt that is out
	KindCompleting Kind = "ending"  // its notice is to be sent
	KindCompleted  Kind = "end"     // nothing is owed any more
	KindOwner      Kind = "mark"    // who writes from here on, and how much of a side log is in here
	KindHandoff    Kind = "pass"    // the last record of a process that lives on: what its policy knows

	kindMessageState  Kind = "held"  // in a checkpoint: a message and its state
	kindBatchStart    Kind = "batch" // begins what is synced together
	kindSegmentSeal   Kind = "seal"  // the last of a segment: which one follows
	kindCheckpointEnd Kind = "total" // the last of a checkpoint: how many it holds
)

// isFact reports whether a record tells of something that has happened already, so
// that it is kept where it cannot be written, and written before all later ones.
func (k Kind) isFact() bool {
	return k == KindOutcome || k == KindCompleting || k == KindCompleted || k == KindOwner
}

// Record is one entry of the log. Times are the log's, in microseconds: see Log.Time.
type Record struct {
	Kind         Kind   `json:"kind"`
	ID           string `json:"id"`
	Class        string `json:"class,omitempty"`
	Tenant       string `json:"tenant,omitempty"`
	Key          string `json:"key,omitempty"`
	Dest         int    `json:"dest,omitempty"`
	Deadline     int64  `json:"deadline,omitempty"`
	At           int64  `json:"at,omitempty"`     // attempt: when it goes out
	Zone         int    `json:"zone,omitempty"`   // attempt: of its endpoint
	Endpoint     string `json:"to,omitempty"`     // attempt: its endpoint
	Process      int    `json:"by,omitempty"`     // attempt, mark: the process, counted over those that opened the log
	MayHaveRun   bool   `json:"ran,omitempty"`    // outcome: it may have run
	LocalFailure bool   `json:"unmade,omitempty"` // outcome: this machine could not make the call; it was no try
	Notice       string `json:"notice,omitempty"` // ending: the word for it
	RetryMS      int64  `json:"retry_ms,omitempty"`
	// The state of a message, as earlier records left it.
	Attempts           int    `json:"tries,omitempty"`
	UnknownOutcomeAt   int64  `json:"doubt,omitempty"` // send of the first attempt that may have run
	UnknownOutcomeZone int    `json:"doubt_in,omitempty"`
	InFlightSince      int64  `json:"out,omitempty"` // send of an attempt with no outcome yet
	InFlightZone       int    `json:"out_in,omitempty"`
	InFlightEndpoint   string `json:"out_to,omitempty"`
	InFlightProcess    int    `json:"out_by,omitempty"`
	Corrupted          bool   `json:"lost,omitempty"` // damage took all but its id
	// Of the side log. Side is the place there up to which, with this record, this log is up to date.
	HandoffOffset   int64 `json:"side,omitempty"`
	HandoffCapacity int64 `json:"room,omitempty"` // mark: bytes that the side log may take up
	OutcomeCode     uint8 `json:"what,omitempty"` // outcome, end: of the attempt, as the policy numbers them
	RetryAt         int64 `json:"wait,omitempty"` // until when its endpoint told to wait
	Latency         int64 `json:"took,omitempty"`
	CallsExhausted  bool  `json:"slots,omitempty"`

	Body []byte `json:"-"`
	Ref  Ref    `json:"-"` // taken: where the log has it, once it is booked or was read
	Sync bool   `json:"-"` // attempt: it must last over a loss of power before it goes out

	livingProcess int // mark: the process whose side log is followed; 0 for none
}

// Ref names a message that is owed, for as long as it is owed and the log is open;
// 0 names none.
//
// It is the place in the index, from 1, with 16 bits of the record's number above
// it, so that a place taken by another message since is not read as this one's.
type Ref uint64

// fold brings a taken record up to date with a later one.
func (t *Record) fold(r *Record) {
	switch r.Kind {
	case KindAttempt:
		t.Attempts++
		t.InFlightSince, t.InFlightZone, t.InFlightEndpoint, t.InFlightProcess = r.At, r.Zone, r.Endpoint, r.Process
	case KindOutcome:
		if r.MayHaveRun && t.UnknownOutcomeAt == 0 {
			t.UnknownOutcomeAt, t.UnknownOutcomeZone = t.InFlightSince, t.InFlightZone
		}
		if r.LocalFailure && t.Attempts > 0 {
			t.Attempts--
		}
		t.InFlightSince, t.InFlightZone, t.InFlightEndpoint, t.InFlightProcess = 0, 0, "", 0
	case KindCompleting:
		t.Notice, t.RetryMS = r.Notice, r.RetryMS
	}
}

// Durability is what a record that was booked outlives.
type Durability int

// Promises.
const (
	SurvivesCrash     Durability = iota // the end of the process, however it comes
	SurvivesPowerLoss                   // a loss of power, too: booked means synced
)

// Options say where a log is and what it promises.
type Options struct {
	Dir        string // the state folder; the caller holds its lock
	Limit      int64  // bytes of the folder, each file counted in whole 512
	Durability Durability
	FS         FS // nil for the machine's own
	Log        *slog.Logger
	Clock      func() clock.Reading // nil for the machine's clocks
	OnFailure  func(error)          // told once, on the log's goroutine, that nothing more can be written
}

// Corruption is a stretch that could not be read, and what came of it.
type Corruption struct {
	File     string   `json:"file"`
	Offset   int64    `json:"at"`
	Bytes    int64    `json:"bytes"`
	Reason   string   `json:"what"`
	Affected int      `json:"concerned"` // messages held to have been sent
	IDs      []string `json:"ids,omitempty"`
}

// RecoveryReport is what opening or inspecting a folder found.
type RecoveryReport struct {
	Files       []FileReport `json:"files"`
	Records     int          `json:"records"`
	Pending     int          `json:"owed"`
	Bytes       int64        `json:"bytes"`
	Seq         uint64       `json:"seq"` // of the last record
	Process     int          `json:"by"`
	Corruptions []Corruption `json:"damage,omitempty"`
	Torn        []Corruption `json:"torn,omitempty"` // ends that were never booked
	LostIDs     []string     `json:"lost,omitempty"` // ids of messages that damage took
	OlderFormat bool         `json:"older,omitempty"`
}

// FileReport is one file of the log.
type FileReport struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Bytes   int64  `json:"bytes"`
	Records int    `json:"records"`
	First   uint64 `json:"first"`
}

// Sound reports whether nothing was damaged.
func (r *RecoveryReport) Sound() bool { return len(r.Corruptions) == 0 && len(r.LostIDs) == 0 }
