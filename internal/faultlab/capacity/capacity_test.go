package capacity

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Runs every job at small sizes. Guards against jobs that no longer run, and against
// measurements that Check would reject.
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
			t.Errorf("job %s: no measurement", name)
		}
	}
	path := filepath.Join(t.TempDir(), "scale.json")
	if err := result.Save(path); err != nil {
		t.Fatal(err)
	}
	if loaded, err := Load(path); err != nil || len(loaded.Capacity) != len(result.Capacity) {
		t.Errorf("load of the saved result: error %v, want none and as many measurements as saved", err)
	}
	t.Logf("all jobs took %v", time.Since(began))
}

// A misspelled job name must give an error instead of a run without that job.
func TestRunRejectsUnknownJobName(t *testing.T) {
	if _, err := Run(t.Context(), Options{Only: []string{"none"}, Printf: t.Logf}); err == nil {
		t.Error("Run returned no error for an unknown job")
	}
}
