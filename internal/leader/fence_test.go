package leader

import (
	"errors"
	"testing"
)

// A folder admits no token older than the newest it has seen, over any order of calls.
func TestFolderFence(t *testing.T) {
	dir := t.TempDir()
	for _, x := range []struct {
		token int64
		ok    bool
	}{{5, true}, {5, true}, {4, false}, {9, true}, {5, false}, {9, true}} {
		if err := Fence(dir, "salvage", x.token); (err == nil) != x.ok || err != nil && !errors.Is(err, ErrFenced) {
			t.Errorf("token %d: %v", x.token, err)
		}
	}
	if err := Fence(dir, "rollout", 1); err != nil {
		t.Errorf("another role: %v", err)
	}
}
