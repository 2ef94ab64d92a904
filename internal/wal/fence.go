package wal

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// FenceName is a file that tells a relay that the folder's log was exported and now
// belongs to another relay.
const FenceName = "relay.fence"

// Fence is the content of a fence file.
type Fence struct {
	Token string    `json:"token"` // random id of the migration
	To    string    `json:"to"`    // file that the log was exported to
	At    time.Time `json:"at"`
}

// ReadFence reads a folder's fence. It returns nil if there is none.
func ReadFence(dir string) (*Fence, error) {
	path := filepath.Join(dir, FenceName)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("wal: fence: %w", err)
	}
	f := &Fence{}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("wal: fence: %s: %w", path, err)
	}
	return f, nil
}

// ClearFence removes and returns a folder's fence, so that a relay can start there with an
// empty log. It returns nil if there is no fence. The caller holds the lock. It returns
// ErrMigrating if the folder still has its log: the export was interrupted, and no relay
// may use the log until the export is repeated.
func ClearFence(dir string) (*Fence, error) {
	f, err := ReadFence(dir)
	if f == nil || err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(dir, FolderName)); err == nil {
		return f, fmt.Errorf("%w: %s", ErrMigrating, dir)
	}
	if err := os.Remove(filepath.Join(dir, FenceName)); err != nil {
		return f, fmt.Errorf("wal: fence: %w", err)
	}
	return f, nil
}
