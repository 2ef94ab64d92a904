// Package wal is a relay's write-ahead log: it holds each message from the moment
// the relay accepts it until it is completed.
//
// The log is a folder of segments, which are appended to, and at most one
// checkpoint, which replaces the segments before it. An index in memory finds the
// record of each pending message; bodies stay in the files.
//
// What the package guarantees:
//   - A record whose write was reported as done is found again after the process dies
//     or, with SurvivesPowerLoss, after the machine loses power. A loss of power may
//     still take outcomes, and attempts without Record.Sync, that were written last.
//   - A message is treated as sent if a corrupted part of a file may have held a record
//     of it. So a non-idempotent message is never sent twice.
//   - The folder stays within Options.Limit.
//
// The relay decides what to do with a message. Callers hold the folder's locks (see
// Lock) before they open it.
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

// Names in the state folder. During an upgrade, two processes may use the folder.
const (
	// FolderName is the folder of the log. A legacy program writes a file of this name.
	FolderName = "relay.wal"
	// HandoffName is the handoff log of a process that has given the log to its successor.
	// The file is locked as long as that process lives.
	HandoffName = "relay.side"
)

// Errors of an open log.
var (
	// ErrFull: the record does not fit within Options.Limit.
	ErrFull = errors.New("wal: log is full")
	// ErrNotPending: the record refers to a message that is not pending.
	ErrNotPending = errors.New("wal: message is not pending")
	// ErrSyncFailed: a sync failed, and the log writes nothing more. The error is final,
	// since the kernel may have dropped the pages that it could not write.
	ErrSyncFailed = errors.New("wal: sync failed, nothing more is written")
	// ErrNewerVersion: the folder was written by a newer program.
	ErrNewerVersion = errors.New("wal: written by a newer program")
)

// Durability says which failure a record survives once its write is reported as done.
type Durability int

// Levels of durability.
const (
	SurvivesCrash     Durability = iota // records survive the end of the process for any reason
	SurvivesPowerLoss                   // records also survive a loss of power, since they are synced; see mustSync for the exceptions
)

// Options configures a log.
type Options struct {
	Dir        string               // the state folder; the caller holds its lock
	Limit      int64                // maximum size of the folder in bytes, with each file rounded up to 512
	Durability Durability           // SurvivesCrash by default
	FS         FS                   // nil for the operating system's file system
	Log        *slog.Logger         // nil to log nothing
	Clock      func() clock.Reading // nil for the machine's clocks
	OnFailure  func(error)          // called once, by Open or on the log's goroutine, when a sync has failed and nothing more is written; may be nil
}
