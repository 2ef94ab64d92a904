package leader

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// FenceFile is the file, in a folder that the work of roles changes, that keeps the
// highest fencing token of each role that has worked there.
const FenceFile = "duty.fence"

// ErrFenced reports a fencing token that is older than one the folder has seen.
var ErrFenced = errors.New("leader: fenced by a newer token")

// Fence admits the holder of a fencing token to a folder and shuts out every holder
// before it. The caller holds the folder's lock from before the call until its
// effect is complete, so that no other holder can come between. Errors: ErrFenced,
// and those of the file system.
func Fence(dir, role string, token int64) error {
	tokens, err := readTokens(dir)
	if err != nil {
		return fmt.Errorf("leader: fence: %w", err)
	}
	switch seen := tokens[role]; {
	case seen > token:
		return fmt.Errorf("%w: %s in %s: token %d, seen %d", ErrFenced, role, dir, token, seen)
	case seen == token:
		return nil
	}
	tokens[role] = token
	if err := writeTokens(dir, tokens); err != nil {
		return fmt.Errorf("leader: fence: %w", err)
	}
	return nil
}

// readTokens reads the highest token of each role; none where there is no file yet.
func readTokens(dir string) (map[string]int64, error) {
	path := filepath.Join(dir, FenceFile)
	tokens := map[string]int64{}
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return tokens, nil
	}
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &tokens); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return tokens, nil
}

// writeTokens replaces the file, durably: a token that was once admitted must not be
// forgotten by a crash.
func writeTokens(dir string, tokens map[string]int64) error {
	text, err := json.Marshal(tokens)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, FenceFile)
	if err := writeSynced(path+".new", text); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	return syncFolder(dir)
}

func writeSynced(path string, text []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

func syncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
