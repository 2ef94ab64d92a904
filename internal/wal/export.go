package wal

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Errors of moving a log to another relay, and of the tools that read a log.
var (
	// ErrInUse: a running relay uses the folder.
	ErrInUse = errors.New("wal: in use by a running relay")
	// ErrMigrating: an export was interrupted and must be repeated.
	ErrMigrating = errors.New("wal: is being moved, its export was cut short and has to be made again")
	// ErrNotEmpty: the folder to import into contains messages or is fenced.
	ErrNotEmpty = errors.New("wal: the folder holds a log already")
	// ErrNotExport: the file is not an exported log.
	ErrNotExport = errors.New("not an exported log")
	// ErrCorruptExport: part of an exported log cannot be read.
	ErrCorruptExport = errors.New("damaged")
)

// errCheckpointCount: the folder to export does not contain exactly one checkpoint.
var errCheckpointCount = errors.New("not one checkpoint")

// fenceTokenBytes is the length of a fence's random token in bytes.
const fenceTokenBytes = 8

// Export moves a folder's log into the file named to. It writes the pending messages to a
// temporary file and syncs it, fences the folder, gives the file its final name, and
// removes the log. An export that was interrupted at any point can be repeated. At no time
// are there two logs that a relay would use. limit is the folder's limit in bytes. The
// caller holds the folder's lock. Export returns os.ErrExist if the file exists and is not
// from this export.
func Export(dir, to string, limit int64) (*RecoveryReport, error) {
	if _, err := os.Stat(to); err == nil {
		return resumeExport(dir, to)
	}
	report, err := Repair(dir, limit)
	if err != nil {
		return nil, err
	}
	if err := exportCheckpoint(dir, to); err != nil {
		return nil, fmt.Errorf("wal: export: %w", err)
	}
	_, err = FinishExport(dir, to)
	return report, err
}

// resumeExport finishes an export whose file already has its final name.
func resumeExport(dir, to string) (*RecoveryReport, error) {
	exported, err := FinishExport(dir, to)
	if err != nil {
		return nil, err
	}
	if !exported { // the file is not from this export and must not be overwritten
		return nil, fmt.Errorf("wal: export: %s: %w", to, os.ErrExist)
	}
	records, err := ReadExport(to)
	return &RecoveryReport{Pending: len(records)}, err
}

// exportCheckpoint writes the folder's checkpoint to a file and fences the folder.
func exportCheckpoint(dir, to string) error {
	checkpoints, err := filepath.Glob(filepath.Join(dir, FolderName, "*"+checkpointSuffix))
	if err != nil {
		return err
	}
	if len(checkpoints) != 1 {
		return fmt.Errorf("%s has %d: %w", dir, len(checkpoints), errCheckpointCount)
	}
	fence, err := newFence(to)
	if err != nil {
		return err
	}
	return runSteps(
		func() error { return copyFile(checkpoints[0], to+temporarySuffix) },
		func() error { return writeSynced(filepath.Join(dir, FenceName), fence) },
		func() error { return OS{}.SyncDir(dir) },
		func() error { return os.Rename(to+temporarySuffix, to) },
		func() error { return OS{}.SyncDir(filepath.Dir(to)) },
	)
}

func newFence(to string) ([]byte, error) {
	var token [fenceTokenBytes]byte
	rand.Read(token[:]) // never fails
	return json.Marshal(Fence{Token: hex.EncodeToString(token[:]), To: to, At: time.Now().UTC()})
}

// FinishExport removes the log of a folder that was exported to the file named to. The caller
// has checked that the file exists, and holds the folder's lock. The file is then complete,
// since it gets its name only after it is synced and the fence names it. FinishExport
// returns false and does nothing if the fence does not name the file.
func FinishExport(dir, to string) (bool, error) {
	fence, err := ReadFence(dir)
	if err != nil || fence == nil || fence.To != to {
		return false, err
	}
	err = runSteps(
		func() error { return os.RemoveAll(filepath.Join(dir, FolderName)) },
		func() error { return os.RemoveAll(filepath.Join(dir, HandoffName)) },
		func() error { return OS{}.SyncDir(dir) },
	)
	if err != nil {
		return true, fmt.Errorf("wal: export: %w", err)
	}
	return true, nil
}

// runSteps runs functions in order until one returns an error.
func runSteps(steps ...func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}
