package leader

import (
	"errors"
	"testing"
)

// Fence accepts a token that is as new as the newest one recorded in the folder or newer,
// and rejects older ones. Each role's tokens are recorded separately.
func TestFenceRejectsOlderTokens(t *testing.T) {
	dir := t.TempDir()
	for _, call := range []struct {
		token    int64
		accepted bool
	}{{5, true}, {5, true}, {4, false}, {9, true}, {5, false}, {9, true}} {
		if err := Fence(dir, "salvage", call.token); (err == nil) != call.accepted || err != nil && !errors.Is(err, ErrFenced) {
			t.Errorf("token %d: unexpected result %v", call.token, err)
		}
	}
	if err := Fence(dir, "rollout", 1); err != nil {
		t.Errorf("first token of another role: %v", err)
	}
}
