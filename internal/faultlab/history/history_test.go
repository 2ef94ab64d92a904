package history

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestATornLastLineEndsTheHistory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	r, err := Create(path)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		r.Record(Event{Kind: MessageSubmitted, Message: "m"})
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(path)
	for cut := range len(text) {
		os.WriteFile(path, text[:cut], 0o600)
		n, last := 0, int64(-1)
		if err := Read(path, func(e Event) {
			n++
			if e.Time < last {
				t.Fatal("time went back")
			}
			last = e.Time
		}); err != nil || n != strings.Count(string(text[:cut]), "\n") {
			t.Fatalf("cut at %d: %d events, %v", cut, n, err)
		}
	}
	os.WriteFile(path, []byte("{\"t\":1}\nnonsense\n{\"t\":2}\n"), 0o600)
	if err := Read(path, func(Event) {}); err == nil || !strings.Contains(err.Error(), path+":2") {
		t.Errorf("got %v", err)
	}
}
