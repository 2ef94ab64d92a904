package leader

import (
	"errors"
	"testing"
)

// Fence accepts a token that is as new as the newest one recorded in the folder or newer,
// and rejects older ones. Each role's tokens are recorded separately.
func TestFolderFence(t *testing.T) {
	dir := t.TempDir()
	for _, x := range []struct {
		token int64
		ok    bool
	}{{5, true}, {5, true}, {4, false}, {9, true}, {5, false}, {9, true}} {
		if err := Fence(dir, "salvage", x.token); (err == nil) != x.ok || err != nil && !errors.Is(err, ErrFenced) {
			t.Errorf("token %d: unexpected result %v", x.token, err)
		}
	}
	if err := Fence(dir, "rollout", 1); err != nil {
		t.Errorf("first token of another role: %v", err)
	}
}
