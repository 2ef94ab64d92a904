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

func runCommand(args ...string) (code int, out string) {
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

func readPendingMessages(t *testing.T, dir string) (ids []string) {
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

func TestSubcommandsReturnDocumentedExitCodes(t *testing.T) {
	dir := t.TempDir()
	writeMessages(t, dir, "one-message", "two-message")
	if code, out := runCommand("verify", dir); code != Sound || !strings.Contains(out, "owed 2") {
		t.Errorf("verify of a valid log: code %d, %s", code, out)
	}
	if code, out := runCommand("dump", dir, "--id", "two-message"); code != Sound || strings.Count(out, "\n") != 1 || !strings.Contains(out, `"kind":"taken"`) {
		t.Errorf("dump of one message: code %d, %s", code, out)
	}
	for _, args := range [][]string{{"verify"}, {"verify", filepath.Join(dir, "none")}, {"export", dir}} {
		if code, out := runCommand(args...); code != Usage {
			t.Errorf("arguments %v: code %d, %s", args, code, out)
		}
	}
	lock, err := wal.OpenLock(dir, wal.LockName)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := lock.TryLock(); !got {
		t.Fatal(err)
	}
	if code, out := runCommand("verify", dir); code != InUse {
		t.Errorf("verify of a folder in use: code %d, %s", code, out)
	}
	if code, out := runCommand("stats", dir); code != Sound {
		t.Errorf("stats of a folder in use: code %d, %s", code, out)
	}
	lock.Close()
	segment := filepath.Join(dir, wal.FolderName, "00000001.seg")
	b, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	b[bytes.Index(b, []byte("body of one"))] ^= 1
	if err := os.WriteFile(segment, b, 0o600); err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadDir(filepath.Join(dir, wal.FolderName))
	code, out := runCommand("verify", dir)
	if code != Damaged || !strings.Contains(out, "LOST: one-message") || !strings.Contains(out, "00000001.seg") {
		t.Errorf("verify of a corrupted log: code %d, %s", code, out)
	}
	if after, _ := os.ReadDir(filepath.Join(dir, wal.FolderName)); len(after) != len(before) {
		t.Error("verify changed the folder")
	}
	if code, out := runCommand("repair", dir); code != Sound {
		t.Errorf("repair: code %d, %s", code, out)
	}
	if code, out := runCommand("verify", dir); code != Damaged || !strings.Contains(out, "LOST: one-message") || strings.Contains(out, "DAMAGED") {
		t.Errorf("verify after repair must report the lost message until its notice is sent: code %d, %s", code, out)
	}
}

// An exported log is in one place at any time: the folder's relay starts with an empty
// log, and the file can be imported only once.
func TestExportedLogIsImportedOnce(t *testing.T) {
	from, to, file := t.TempDir(), t.TempDir(), filepath.Join(t.TempDir(), "moved")
	writeMessages(t, from, "one", "two")
	if code, out := runCommand("export", from, file); code != 0 {
		t.Fatalf("export: code %d, %s", code, out)
	}
	if _, err := os.Stat(filepath.Join(from, wal.FolderName)); !os.IsNotExist(err) {
		t.Error("the exported log is still in the folder")
	}
	if fence, err := wal.ClearFence(from); fence == nil || err != nil {
		t.Errorf("ClearFence after the export: fence %v, error %v", fence, err)
	}
	if ids := readPendingMessages(t, from); len(ids) != 0 {
		t.Errorf("the exporting relay still has the messages %v", ids)
	}
	writeMessages(t, from, "three")
	if code, out := runCommand("import", file, from); code == 0 || !strings.Contains(out, "holds a log already") {
		t.Errorf("import into a folder with pending messages: code %d, %s", code, out)
	}
	if code, out := runCommand("import", file, to); code != 0 {
		t.Fatalf("import: code %d, %s", code, out)
	}
	if ids := readPendingMessages(t, to); len(ids) != 2 || ids[0] != "one=body of one" {
		t.Errorf("imported messages: %v", ids)
	}
	if code, out := runCommand("import", file, t.TempDir()); code != Usage {
		t.Errorf("second import of the same file: code %d, %s", code, out)
	}
	// An export is interrupted after the fence was written: no relay may use the log, and
	// the export can be repeated.
	if err := os.WriteFile(filepath.Join(to, wal.FenceName), []byte(`{"token":"x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := wal.ClearFence(to); !errors.Is(err, wal.ErrMigrating) {
		t.Errorf("ClearFence during an export: %v", err)
	}
	if code, out := runCommand("export", to, file); code != 0 {
		t.Fatalf("repeated export: code %d, %s", code, out)
	}
}

// Repeating an export that was interrupted before the log was removed completes it. A file
// that is not from this export is not overwritten.
func TestRepeatedExportCompletesInterruptedOne(t *testing.T) {
	dir, file := t.TempDir(), filepath.Join(t.TempDir(), "moved")
	writeMessages(t, dir, "one", "two")
	if err := os.WriteFile(file, []byte("of something else"), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out := runCommand("export", dir, file); code != Usage || !strings.Contains(out, "exists") {
		t.Errorf("export to an existing file: code %d, %s", code, out)
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(filepath.Join(dir, "kept"), os.DirFS(filepath.Join(dir, wal.FolderName))); err != nil {
		t.Fatal(err)
	}
	if code, out := runCommand("export", dir, file); code != 0 {
		t.Fatalf("export: code %d, %s", code, out)
	}
	if err := os.Rename(filepath.Join(dir, "kept"), filepath.Join(dir, wal.FolderName)); err != nil { // as if the export had not removed it yet
		t.Fatal(err)
	}
	if _, err := wal.ClearFence(dir); !errors.Is(err, wal.ErrMigrating) {
		t.Errorf("ClearFence during an export: %v", err)
	}
	if code, out := runCommand("export", dir, file); code != 0 || !strings.Contains(out, "owed 2") {
		t.Errorf("repeated export: code %d, %s", code, out)
	}
	if fence, err := wal.ClearFence(dir); fence == nil || err != nil {
		t.Errorf("ClearFence after the export: fence %v, error %v", fence, err)
	}
}

// The folders were written by the program before its packages were renamed. The command
// prints the same about them as that program's command did.
func TestOutputForFoldersOfEarlierVersion(t *testing.T) {
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
			code, out := runCommand(append(args, filepath.Join(recorded, name))...)
			if code != Sound || out != string(want) {
				t.Errorf("%s: code %d\n%s\nwant\n%s", file, code, out, want)
			}
		}
	}
}
