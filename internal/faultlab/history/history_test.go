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
				t.Fatal("the time of an event is less than that of the event before")
			}
			last = e.Time
		}); err != nil || count != strings.Count(string(text[:length]), "\n") {
			t.Fatalf("file cut to %d bytes: %d events with error %v, want one for each complete line and no error", length, count, err)
		}
	}
	os.WriteFile(path, []byte("{\"t\":1}\nnonsense\n{\"t\":2}\n"), 0o600)
	if err := Read(path, func(Event) {}); err == nil || !strings.Contains(err.Error(), path+":2") {
		t.Errorf("invalid line 2: error %v, want one that names the line", err)
	}
}
