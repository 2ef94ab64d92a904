package leader

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// FenceFile keeps, in a folder that duties work on, the highest token of each
// duty that has worked there.
const FenceFile = "duty.fence"

// ErrFenced is a token that is older than one that the folder has seen.
var ErrFenced = errors.New("duty: an older token")

// Fence lets the holder of a token work on a folder, and no holder before it any
// more. The caller holds the folder's lock for as long as its effect takes:
// between the two nobody else can come. Errors: ErrFenced, and those of the file
// system.
func Fence(dir, name string, token int64) error {
	path := filepath.Join(dir, FenceFile)
	seen := map[string]int64{}
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &seen)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("duty: fence: %s: %w", path, err)
	}
	if seen[name] > token {
		return fmt.Errorf("%w: %s in %s: %d, %d was seen", ErrFenced, name, dir, token, seen[name])
	}
	if seen[name] == token {
		return nil
	}
	seen[name] = token
	if text, err = json.Marshal(seen); err != nil {
		return fmt.Errorf("duty: fence: %w", err)
	}
	f, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("duty: fence: %w", err)
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		return fmt.Errorf("duty: fence: %w", err)
	}
	folder, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("duty: fence: %w", err)
	}
	defer folder.Close()
	if err := folder.Sync(); err != nil {
		return fmt.Errorf("duty: fence: %w", err)
	}
	return nil
}
