package capacity

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards the slopes that plans are made from: every job runs at small sizes, its
// values are finite and its exponents such as a cost can have, and all of it
// within its time.
func TestEveryJobGivesValidMeasurementsAtSmallSizes(t *testing.T) {
	t.Setenv(programEnv, "1")
	testProgram, began := os.Args[0], time.Now()
	result, err := Run(t.Context(), Options{Smoke: true, Out: t.TempDir(), Printf: t.Logf, Relay: testProgram, Registry: testProgram, Controller: testProgram})
	if err != nil {
		t.Fatal(err)
	}
	measured := map[string]bool{}
	for i := range result.Capacity {
		m := &result.Capacity[i]
		measured[m.Job] = true
		if err := m.Check(); err != nil {
			t.Error(err)
		}
	}
	for _, name := range Names() {
		if !measured[name] {
			t.Errorf("%s gave no measurement", name)
		}
	}
	path := filepath.Join(t.TempDir(), "scale.json")
	if err := result.Save(path); err != nil {
		t.Fatal(err)
	}
	if loaded, err := Load(path); err != nil || len(loaded.Capacity) != len(result.Capacity) {
		t.Errorf("read back: %v", err)
	}
	t.Logf("all took %v", time.Since(began))
}

// A job that is not there is told with those that are.
func TestRunRejectsUnknownJobName(t *testing.T) {
	if _, err := Run(t.Context(), Options{Only: []string{"none"}, Printf: t.Logf}); err == nil {
		t.Error("taken")
	}
}
