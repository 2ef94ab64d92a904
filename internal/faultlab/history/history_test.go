package history

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestReadIgnoresIncompleteLastLineAndNamesInvalidLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	recorder, err := Create(path)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		recorder.Record(Event{Kind: MessageSubmitted, Message: "m"})
	}
	if err := recorder.Close(); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(path)
	for length := range len(text) {
		os.WriteFile(path, text[:length], 0o600)
		count, last := 0, int64(-1)
		if err := Read(path, func(e Event) {
			count++
			if e.Time < last {
				t.Fatal("time went back")
			}
			last = e.Time
		}); err != nil || count != strings.Count(string(text[:length]), "\n") {
			t.Fatalf("cut at %d: %d events, %v", length, count, err)
		}
	}
	os.WriteFile(path, []byte("{\"t\":1}\nnonsense\n{\"t\":2}\n"), 0o600)
	if err := Read(path, func(Event) {}); err == nil || !strings.Contains(err.Error(), path+":2") {
		t.Errorf("got %v", err)
	}
}
