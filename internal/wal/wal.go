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
	Name     = "relay.wal"  // the folder of the log; a file where an older program wrote it
	SideName = "relay.side" // what an old process still has to tell; locked as long as it lives
)

// NoMessage stands for the message in a record that is of none.
const NoMessage = "-"

// Errors of a log.
var (
	ErrFull    = errors.New("log: no room")
	ErrNotOwed = errors.New("log: message is not owed")
	ErrFailed  = errors.New("log: a sync has failed: nothing more is written") // final: what the page holds is not known
	ErrNewer   = errors.New("log: written by a newer program")
)

// Kind says what a record tells of its message.
type Kind string

// Kinds of records.
const (
	Taken   Kind = "taken"   // all of the message, and its state where it comes from a checkpoint
	Attempt Kind = "attempt" // is about to go out
	Outcome Kind = "outcome" // of the attempt that is out
	Ending  Kind = "ending"  // its notice is to be sent
	End     Kind = "end"     // nothing is owed any more
	Mark    Kind = "mark"    // who writes from here on, and how much of a side log is in here
	Pass    Kind = "pass"    // the last record of a process that lives on: what its policy knows

	held  Kind = "held"  // in a checkpoint: a message and its state
	batch Kind = "batch" // begins what is synced together
	seal  Kind = "seal"  // the last of a segment: which one follows
	total Kind = "total" // the last of a checkpoint: how many it holds
)

// settles reports whether a record tells of something that has happened already, so
// that it is kept where it cannot be written, and written before all later ones.
func (k Kind) settles() bool { return k == Outcome || k == Ending || k == End || k == Mark }

// Record is one entry of the log. Times are the log's, in microseconds: see Log.Time.
type Record struct {
	Kind     Kind   `json:"kind"`
	ID       string `json:"id"`
	Class    string `json:"class,omitempty"`
	Tenant   string `json:"tenant,omitempty"`
	Key      string `json:"key,omitempty"`
	Dest     int    `json:"dest,omitempty"`
	Deadline int64  `json:"deadline,omitempty"`
	At       int64  `json:"at,omitempty"`     // attempt: when it goes out
	Zone     int    `json:"zone,omitempty"`   // attempt: of its endpoint
	To       string `json:"to,omitempty"`     // attempt: its endpoint
	By       int    `json:"by,omitempty"`     // attempt, mark: the process, counted over those that opened the log
	Ran      bool   `json:"ran,omitempty"`    // outcome: it may have run
	Unmade   bool   `json:"unmade,omitempty"` // outcome: this machine could not make the call; it was no try
	Notice   string `json:"notice,omitempty"` // ending: the word for it
	RetryMS  int64  `json:"retry_ms,omitempty"`
	// The state of a message, as earlier records left it.
	Tries   int    `json:"tries,omitempty"`
	Doubt   int64  `json:"doubt,omitempty"` // send of the first attempt that may have run
	DoubtIn int    `json:"doubt_in,omitempty"`
	Out     int64  `json:"out,omitempty"` // send of an attempt with no outcome yet
	OutIn   int    `json:"out_in,omitempty"`
	OutTo   string `json:"out_to,omitempty"`
	OutBy   int    `json:"out_by,omitempty"`
	Lost    bool   `json:"lost,omitempty"` // damage took all but its id
	// Of the side log. Side is the place there up to which, with this record, this log is up to date.
	Side  int64 `json:"side,omitempty"`
	Room  int64 `json:"room,omitempty"` // mark: bytes that the side log may take up
	What  uint8 `json:"what,omitempty"` // outcome, end: of the attempt, as the policy numbers them
	Wait  int64 `json:"wait,omitempty"` // until when its endpoint told to wait
	Took  int64 `json:"took,omitempty"`
	Slots bool  `json:"slots,omitempty"`

	Body []byte `json:"-"`
	Ref  Ref    `json:"-"` // taken: where the log has it, once it is booked or was read
	Sync bool   `json:"-"` // attempt: it must last over a loss of power before it goes out

	living int // mark: the process whose side log is followed; 0 for none
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
	case Attempt:
		t.Tries++
		t.Out, t.OutIn, t.OutTo, t.OutBy = r.At, r.Zone, r.To, r.By
	case Outcome:
		if r.Ran && t.Doubt == 0 {
			t.Doubt, t.DoubtIn = t.Out, t.OutIn
		}
		if r.Unmade && t.Tries > 0 {
			t.Tries--
		}
		t.Out, t.OutIn, t.OutTo, t.OutBy = 0, 0, "", 0
	case Ending:
		t.Notice, t.RetryMS = r.Notice, r.RetryMS
	}
}

// Promise is what a record that was booked outlives.
type Promise int

// Promises.
const (
	Process Promise = iota // the end of the process, however it comes
	Power                  // a loss of power, too: booked means synced
)

// Options say where a log is and what it promises.
type Options struct {
	Dir     string // the state folder; the caller holds its lock
	Limit   int64  // bytes of the folder, each file counted in whole 512
	Promise Promise
	FS      FS // nil for the machine's own
	Log     *slog.Logger
	Clock   func() clock.Reading // nil for the machine's clocks
	Failed  func(error)          // told once, on the log's goroutine, that nothing more can be written
}

// Damage is a stretch that could not be read, and what came of it.
type Damage struct {
	File      string   `json:"file"`
	At        int64    `json:"at"`
	Bytes     int64    `json:"bytes"`
	What      string   `json:"what"`
	Concerned int      `json:"concerned"` // messages held to have been sent
	IDs       []string `json:"ids,omitempty"`
}

// Report is what opening or inspecting a folder found.
type Report struct {
	Files   []FileReport `json:"files"`
	Records int          `json:"records"`
	Owed    int          `json:"owed"`
	Bytes   int64        `json:"bytes"`
	Seq     uint64       `json:"seq"` // of the last record
	By      int          `json:"by"`
	Damage  []Damage     `json:"damage,omitempty"`
	Torn    []Damage     `json:"torn,omitempty"` // ends that were never booked
	Lost    []string     `json:"lost,omitempty"` // ids of messages that damage took
	Older   bool         `json:"older,omitempty"`
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
func (r *Report) Sound() bool { return len(r.Damage) == 0 && len(r.Lost) == 0 }
