package wal

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// FenceName is a file that tells a relay that what its folder held belongs to another now.
const FenceName = "relay.fence"

// Fence is the content of a fence file.
type Fence struct {
	Token string    `json:"token"` // of the migration
	To    string    `json:"to"`    // the file that the log was exported to
	At    time.Time `json:"at"`
}

// ReadFence reads a folder's fence; nil where it has none.
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

// ClearFence removes a folder's fence, so that a relay may begin empty there, and returns
// it; nil where there is none. The caller holds the lock. ErrMigrating where a log is still
// there: its export was cut short, and until it is repeated the log is nobody's.
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
