package leader

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// FenceFile is the name of the file that stores, in a folder that the work of roles
// changes, the highest fencing token of each role that has worked there.
const FenceFile = "duty.fence"

// ErrFenced reports a fencing token that is older than the one recorded in the folder.
var ErrFenced = errors.New("leader: fenced by a newer token")

// Fence allows the holder of a role's fencing token to change a folder. It records the
// token there, and thereby rejects the holders of older tokens from then on. From before
// the call until its changes are complete, the caller must keep other holders from
// changing the folder, for example by the folder's lock. Fence returns ErrFenced if a newer
// token is recorded already, and otherwise errors of the file system.
func Fence(dir, role string, token int64) error {
	tokens, err := readTokens(dir)
	if err != nil {
		return fmt.Errorf("leader: fence: %w", err)
	}
	switch newest := tokens[role]; {
	case newest > token:
		return fmt.Errorf("%w: %s in %s: token %d, seen %d", ErrFenced, role, dir, token, newest)
	case newest == token:
		return nil
	}
	tokens[role] = token
	if err := writeTokens(dir, tokens); err != nil {
		return fmt.Errorf("leader: fence: %w", err)
	}
	return nil
}

// readTokens reads the highest token of each role. The map is empty if the folder has
// no file of tokens yet.
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

// writeTokens replaces the file of tokens and syncs it to disk, since a crash must not
// lose a token that was accepted.
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
