package command

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"plovershore/internal/wal"
)

func runWAL(args ...string) (code int, out string) {
	c := New()
	var b bytes.Buffer
	c.SetOut(&b)
	c.SetErr(&b)
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs(args)
	err := c.Execute()
	var e *Error
	switch {
	case errors.As(err, &e):
		return e.Code, b.String() + err.Error()
	case err != nil:
		return Usage, b.String() + err.Error()
	}
	return 0, b.String()
}

func writeMessages(t *testing.T, dir string, ids ...string) {
	t.Helper()
	l, err := wal.Open(wal.Options{Dir: dir, Limit: 3 << 20})
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	go l.Run(stop)
	for _, id := range ids {
		l.Submit(&wal.Record{Kind: wal.KindAccepted, ID: id, Class: "once", Deadline: 1e15, Body: []byte("body of " + id)}, nil)
	}
	close(stop)
	<-l.Done()
}

func pendingMessages(t *testing.T, dir string) (ids []string) {
	t.Helper()
	l, err := wal.Open(wal.Options{Dir: dir, Limit: 3 << 20})
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	close(stop)
	defer l.Run(stop)
	for _, r := range l.Next(100) {
		ids = append(ids, r.ID+"="+string(r.Body))
	}
	return ids
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	writeMessages(t, dir, "one-message", "two-message")
	if code, out := runWAL("verify", dir); code != Sound || !strings.Contains(out, "owed 2") {
		t.Errorf("sound: %d, %s", code, out)
	}
	if code, out := runWAL("dump", dir, "--id", "two-message"); code != Sound || strings.Count(out, "\n") != 1 || !strings.Contains(out, `"kind":"taken"`) {
		t.Errorf("dump: %d, %s", code, out)
	}
	for _, bad := range [][]string{{"verify"}, {"verify", filepath.Join(dir, "none")}, {"export", dir}} {
		if code, out := runWAL(bad...); code != Usage {
			t.Errorf("%v: %d, %s", bad, code, out)
		}
	}
	lock, err := wal.OpenLock(dir, wal.LockName)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := lock.TryLock(); !got {
		t.Fatal(err)
	}
	if code, out := runWAL("verify", dir); code != InUse {
		t.Errorf("in use: %d, %s", code, out)
	}
	if code, out := runWAL("stats", dir); code != Sound {
		t.Errorf("stats of one in use: %d, %s", code, out)
	}
	lock.Close()
	seg := filepath.Join(dir, wal.FolderName, "00000001.seg")
	b, err := os.ReadFile(seg)
	if err != nil {
		t.Fatal(err)
	}
	b[bytes.Index(b, []byte("body of one"))] ^= 1
	if err := os.WriteFile(seg, b, 0o600); err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadDir(filepath.Join(dir, wal.FolderName))
	code, out := runWAL("verify", dir)
	if code != Damaged || !strings.Contains(out, "LOST: one-message") || !strings.Contains(out, "00000001.seg") {
		t.Errorf("damaged: %d, %s", code, out)
	}
	if after, _ := os.ReadDir(filepath.Join(dir, wal.FolderName)); len(after) != len(before) {
		t.Error("verify has changed the folder")
	}
	if code, out := runWAL("repair", dir); code != Sound {
		t.Errorf("repair: %d, %s", code, out)
	}
	if code, out := runWAL("verify", dir); code != Damaged || !strings.Contains(out, "LOST: one-message") || strings.Contains(out, "DAMAGED") {
		t.Errorf("the loss is told until its notice is out: %d, %s", code, out)
	}
}

// A log that is migrated is in one place at any time: its folder's relay begins empty, and
// the file is imported once.
func TestMigration(t *testing.T) {
	from, to, file := t.TempDir(), t.TempDir(), filepath.Join(t.TempDir(), "moved")
	writeMessages(t, from, "one", "two")
	if code, out := runWAL("export", from, file); code != 0 {
		t.Fatalf("export: %d, %s", code, out)
	}
	if _, err := os.Stat(filepath.Join(from, wal.FolderName)); !os.IsNotExist(err) {
		t.Error("the log is still there")
	}
	if f, err := wal.ClearFence(from); f == nil || err != nil {
		t.Errorf("fence: %v, %v", f, err)
	}
	if ids := pendingMessages(t, from); len(ids) != 0 {
		t.Errorf("the first relay still has %v", ids)
	}
	writeMessages(t, from, "three")
	if code, out := runWAL("import", file, from); code == 0 || !strings.Contains(out, "holds a log already") {
		t.Errorf("into a folder that owes: %d, %s", code, out)
	}
	if code, out := runWAL("import", file, to); code != 0 {
		t.Fatalf("import: %d, %s", code, out)
	}
	if ids := pendingMessages(t, to); len(ids) != 2 || ids[0] != "one=body of one" {
		t.Errorf("moved: %v", ids)
	}
	if code, out := runWAL("import", file, t.TempDir()); code != Usage {
		t.Errorf("a second time: %d, %s", code, out)
	}
	// Interrupted after the fence: nobody serves from it, and the export can be repeated.
	if err := os.WriteFile(filepath.Join(to, wal.FenceName), []byte(`{"token":"x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := wal.ClearFence(to); !errors.Is(err, wal.ErrMigrating) {
		t.Errorf("in the middle of a move: %v", err)
	}
	if code, out := runWAL("export", to, file); code != 0 {
		t.Fatalf("export again: %d, %s", code, out)
	}
}

// An export that was interrupted before the log was removed is finished when it is repeated;
// a file of something else is not overwritten.
func TestMigrationInterrupted(t *testing.T) {
	dir, file := t.TempDir(), filepath.Join(t.TempDir(), "moved")
	writeMessages(t, dir, "one", "two")
	if err := os.WriteFile(file, []byte("of something else"), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out := runWAL("export", dir, file); code != Usage || !strings.Contains(out, "exists") {
		t.Errorf("over another file: %d, %s", code, out)
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(filepath.Join(dir, "kept"), os.DirFS(filepath.Join(dir, wal.FolderName))); err != nil {
		t.Fatal(err)
	}
	if code, out := runWAL("export", dir, file); code != 0 {
		t.Fatalf("export: %d, %s", code, out)
	}
	if err := os.Rename(filepath.Join(dir, "kept"), filepath.Join(dir, wal.FolderName)); err != nil { // as if it had not gone yet
		t.Fatal(err)
	}
	if _, err := wal.ClearFence(dir); !errors.Is(err, wal.ErrMigrating) {
		t.Errorf("in the middle: %v", err)
	}
	if code, out := runWAL("export", dir, file); code != 0 || !strings.Contains(out, "owed 2") {
		t.Errorf("again: %d, %s", code, out)
	}
	if f, err := wal.ClearFence(dir); f == nil || err != nil {
		t.Errorf("after it: %v, %v", f, err)
	}
}

// What the command prints of folders that the program before the renames wrote is what
// that program's command printed.
func TestOutputOfRecordedFolders(t *testing.T) {
	recorded := filepath.Join("..", "testdata", "state-dd19e87")
	for _, name := range []string{"killed", "handed-on"} {
		for file, args := range map[string][]string{
			name + ".stats.txt":  {"stats"},
			name + ".verify.txt": {"verify"},
			name + ".dump.txt":   {"dump"},
			name + ".stats.json": {"stats", "--json"},
		} {
			want, err := os.ReadFile(filepath.Join(recorded, file))
			if err != nil {
				t.Fatal(err)
			}
			code, out := runWAL(append(args, filepath.Join(recorded, name))...)
			if code != Sound || out != string(want) {
				t.Errorf("%s: code %d\n%s\nwant\n%s", file, code, out, want)
			}
		}
	}
}
