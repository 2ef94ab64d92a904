package simrelay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The same number of destinations must be down at any time, and each destination equally
// long over a whole round.
func TestDownKeepsEqualNumberOfDestinationsDownAndEachEquallyLong(t *testing.T) {
	const destinations = 200
	d := Down{Seed: 3, Fraction: 0.05, For: 10 * time.Second, Origin: 1000}
	d.Prepare(destinations)
	if d.Count() != 10 {
		t.Fatalf("%d destinations are down, want 10", d.Count())
	}
	stepMicros := d.For.Microseconds() / int64(d.Count())
	downSteps := make([]int, destinations)
	for n := range destinations { // in each step of a round, one destination goes down and one comes back
		count := 0
		for i := range destinations {
			if d.At(i, d.Origin+int64(n)*stepMicros+stepMicros/2) {
				count++
				downSteps[i]++
			}
		}
		if count != d.Count() {
			t.Fatalf("seed 3, step %d: %d destinations are down, want %d", n, count, d.Count())
		}
	}
	for i, n := range downSteps {
		if n != d.Count() {
			t.Errorf("seed 3: destination %d was down for %d steps, want %d", i, n, d.Count())
		}
	}
	if none := (Down{Fraction: 0}); none.At(0, 5) {
		t.Error("fraction 0: destination 0 is down")
	}
}

// The error must name the part of the configuration that is missing.
func TestLoadConfigRejectsUnusableFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	for text, want := range map[string]string{"{": "configuration", "{}": "settings", `{"settings": [{}]}`: "discovery",
		`{"settings": [{}], "discovery": ["127.0.0.1:1"]}`: "stream"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("configuration %s: error %v, want one that contains %q", text, err, want)
		}
	}
	if _, err := LoadConfig(path + ".none"); err == nil {
		t.Error("missing file: LoadConfig returned no error")
	}
}
