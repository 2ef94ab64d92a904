package relay

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// drainMarkerName is the file in the state folder that exists while the relay is drained.
const drainMarkerName = "relay.drain"

// drainMarkerMode gives access to the owner alone, as for all files of the state folder.
const drainMarkerMode fs.FileMode = 0o600

// drainMarker is an empty file in the state folder. It tells each process of a relay whether
// an operator has drained the relay at another one. Being empty it takes no space of the log.
type drainMarker struct{ path string }

func newDrainMarker(stateDir string) drainMarker {
	return drainMarker{filepath.Join(stateDir, drainMarkerName)}
}

// isSet reports whether the relay is drained.
func (m drainMarker) isSet() (bool, error) {
	info, err := os.Stat(m.path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("drain marker: %w", err)
	}
	return info.Mode().IsRegular(), nil
}

// set records that the relay is drained, or that it is not.
func (m drainMarker) set(isDrained bool) error {
	if !isDrained {
		if err := os.Remove(m.path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("drain marker: %w", err)
		}
		return nil
	}
	file, err := os.OpenFile(m.path, os.O_WRONLY|os.O_CREATE, drainMarkerMode)
	if err != nil {
		return fmt.Errorf("drain marker: %w", err)
	}
	return file.Close()
}
