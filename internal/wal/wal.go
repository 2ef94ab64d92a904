// Package wal is a relay's write-ahead log: it holds each message from the moment
// the relay accepts it until it is completed.
//
// The log is a folder of segments, which are appended to, and at most one
// checkpoint, which replaces the segments before it. An index in memory finds the
// record of each pending message; bodies stay in the files.
//
// What the package guarantees:
//   - A recorded entry is found again after the process died or, with
//     SurvivesPowerLoss, after the machine lost its power.
//   - A message that a corrupted stretch of a file may have concerned is treated
//     as sent, so that a non-idempotent one is never sent twice.
//   - The folder stays within Options.Limit.
//
// The relay decides what is done with a message. Callers hold the folder's locks
// (see Lock) before they open it.
//
// The rules for power loss follow Pillai et al., "All File Systems Are Not Created
// Equal" (OSDI 2014), and Rebello et al., "Can Applications Recover from fsync
// Failures?" (USENIX ATC 2020).
package wal

import (
	"errors"
	"log/slog"

	"plovershore/internal/clock"
)

// Names in the state folder. Two processes may share it during an upgrade.
const (
	// FolderName is the folder of the log, or a file where a legacy program wrote it.
	FolderName = "relay.wal"
	// HandoffName is the handoff log of a process that gave the log to its successor.
	// The file is locked for as long as that process lives.
	HandoffName = "relay.side"
)

// Errors of an open log.
var (
	// ErrFull: the record does not fit within Options.Limit.
	ErrFull = errors.New("wal: log is full")
	// ErrNotPending: the record is about a message that is not pending.
	ErrNotPending = errors.New("wal: message is not pending")
	// ErrSyncFailed: a sync failed and nothing more is written. It is final: the kernel
	// may have dropped the pages that it could not write.
	ErrSyncFailed = errors.New("wal: sync failed, nothing more is written")
	// ErrNewerVersion: the folder was written by a newer program.
	ErrNewerVersion = errors.New("wal: written by a newer program")
)

// Durability is what a record outlives once its write is reported as done.
type Durability int

// Levels of durability.
const (
	SurvivesCrash     Durability = iota // the end of the process, however it comes
	SurvivesPowerLoss                   // also a loss of power: records are synced
)

// Options say where a log is and what it guarantees.
type Options struct {
	Dir        string               // the state folder; the caller holds its lock
	Limit      int64                // bytes that the folder may take up, each file rounded up to 512
	Durability Durability           // the zero value is SurvivesCrash
	FS         FS                   // nil for the operating system's
	Log        *slog.Logger         // nil for none
	Clock      func() clock.Reading // nil for the machine's clocks
	OnFailure  func(error)          // called once, on the log's goroutine, when nothing more can be written; may be nil
}
