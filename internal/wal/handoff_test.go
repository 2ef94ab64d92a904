package wal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// copyFolder copies a folder. change returns the contents of each copied file.
func copyFolder(t *testing.T, from string, change func(name string, b []byte) []byte) (to string) {
	t.Helper()
	to = t.TempDir()
	err := filepath.Walk(from, func(path string, info os.FileInfo, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(from, path)
		if err != nil || name == "." {
			return err
		}
		if info.IsDir() {
			return os.Mkdir(filepath.Join(to, name), 0o700)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, name), change(name, b), 0o600)
	})
	if err != nil {
		t.Fatal(err)
	}
	return to
}

// A kill during a handoff truncates the log or the handoff log at any byte. Two starts after
// it recover the same messages. A cut of the handoff log loses no message that was accepted
// before the handoff and none of its attempts.
func TestTruncationDuringHandoffIsRecoveredAlikeTwice(t *testing.T) {
	original := t.TempDir()
	l, _ := openTestLog(t, original, 1<<20)
	mustAppend(t, l, newAcceptedRecord("a", "A"), newAcceptedRecord("b", "B"), &Record{Kind: KindAttempt, ID: "b", At: 5, Endpoint: "s-1", Process: l.Process})
	if err := l.store.startHandoff([][]byte{[]byte("policy")}); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, l, newAcceptedRecord("c", "C"), &Record{Kind: KindOutcome, ID: "b"})
	l.store.close() // the process is killed
	sizes := map[string]int{}
	copyFolder(t, original, func(name string, b []byte) []byte { sizes[name] = len(b); return b })
	for name, size := range sizes {
		if strings.HasSuffix(name, stampName) {
			continue
		}
		for cut := range size {
			dir := copyFolder(t, original, func(n string, b []byte) []byte {
				if n == name {
					return b[:cut]
				}
				return b
			})
			l, first := openTestLog(t, dir, 1<<20)
			l.store.close()
			l, second := openTestLog(t, dir, 1<<20)
			l.store.close()
			if !slices.Equal(describeRecords(first), describeRecords(second)) {
				t.Fatalf("%s cut at %d: recovered %v at the first start, %v at the second", name, cut, describeRecords(first), describeRecords(second))
			}
			if name == HandoffName && (len(first) < 2 || first[0].ID != "a" || first[1].ID != "b" || first[1].Attempts < 1) {
				t.Fatalf("%s cut at %d: recovered %v", name, cut, describeRecords(first))
			}
		}
	}
	l, pending := openTestLog(t, original, 1<<20)
	if len(pending) != 3 || pending[1].UnknownOutcomeAt != 0 || string(l.PolicySnapshot) != "policy" {
		t.Errorf("complete files: recovered %v, policy snapshot %q", describeRecords(pending), l.PolicySnapshot)
	}
	if _, err := os.Stat(filepath.Join(original, HandoffName)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the handoff log of an exited process was not removed: %v", err)
	}
}

// A record of the handoff log is merged once. Reading the handoff log again after a
// restart does not undo what the next process recorded since.
func TestHandoffLogIsMergedOnce(t *testing.T) {
	dir := t.TempDir()
	old, _ := openTestLog(t, dir, 1<<20)
	mustAppend(t, old, newAcceptedRecord("a", "A"), &Record{Kind: KindAttempt, ID: "a", At: 5, Endpoint: "s-1", Process: old.Process})
	if err := old.store.startHandoff([][]byte{[]byte("{}")}); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, old, &Record{Kind: KindOutcome, ID: "a"}, newAcceptedRecord("b", "B"))
	next, pending := openTestLog(t, dir, 1<<20)
	if next.Handoff == nil || len(pending) != 1 || pending[0].InFlightEndpoint != "s-1" {
		t.Fatalf("recovered %v, handoff log %v", describeRecords(pending), next.Handoff)
	}
	mustAppend(t, next, next.Handoff.Read()[1:]...) // skips the owner record
	mustAppend(t, next, &Record{Kind: KindAttempt, ID: "a", At: 9, Endpoint: "s-1", Process: next.Process}, &Record{Kind: KindCompleted, ID: "b"})
	next.store.close() // this and the next close stand for a kill of both processes
	old.store.close()
	next.Handoff.Close()
	if _, pending := openTestLog(t, dir, 1<<20); len(pending) != 1 || pending[0].ID != "a" || pending[0].Attempts != 2 || pending[0].UnknownOutcomeAt != 9 {
		t.Errorf("recovered %v", describeRecords(pending))
	}
}

// While two processes write, both logs and the next checkpoint stay within the limit.
func TestBothLogsStayWithinLimitDuringHandoff(t *testing.T) {
	const limit = 1 << 20
	for _, full := range []bool{false, true} {
		dir := t.TempDir()
		old, _ := openTestLog(t, dir, limit)
		body := strings.Repeat("b", 8<<10)
		for i := 0; full || i < 4; i++ {
			if old.store.appendRecords([]*Record{newAcceptedRecord(strconv.Itoa(i), body)})[0] != nil {
				break
			}
		}
		if err := old.store.startHandoff([][]byte{[]byte(strings.Repeat("m", 8<<10))}); err != nil {
			t.Fatal(err)
		}
		next, _ := openTestLog(t, dir, limit)
		for i := range 400 {
			old.store.appendRecords([]*Record{newAcceptedRecord("o"+strconv.Itoa(i), body)})
			next.store.appendRecords([]*Record{newAcceptedRecord("n"+strconv.Itoa(i), body)})
			if size := measureFolderSize(t, dir); size+next.store.checkpointBytes > limit {
				t.Fatalf("full %v: %d bytes on disk and %d for a checkpoint exceed the limit", full, size, next.store.checkpointBytes)
			}
		}
		for i := range 50 { // completions still fit
			mustAppend(t, old, &Record{Kind: KindCompleted, ID: "o" + strconv.Itoa(i)})
		}
		old.store.close()
		next.store.close()
		next.Handoff.Close()
	}
}

// If the handoff log of an exited process is corrupted, the pending messages are treated as sent.
func TestCorruptedHandoffLogMarksPendingMessagesAsSent(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTestLog(t, dir, 1<<20)
	mustAppend(t, l, newAcceptedRecord("a", "A"), newAcceptedRecord("b", "B"))
	if err := l.store.startHandoff([][]byte{[]byte("{}")}); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, l, newAcceptedRecord("c", "C"), newAcceptedRecord("d", "D"))
	l.store.close()
	corruptedAt := -1
	corrupted := copyFolder(t, dir, func(name string, b []byte) []byte {
		if name == HandoffName {
			corruptedAt = strings.Index(string(b), recordMark+"\x00\x00\x00") + 40
			corruptedAt = strings.Index(string(b[corruptedAt:]), recordMark) + corruptedAt + 6
			b[corruptedAt] ^= 1
		}
		return b
	})
	l, pending := openTestLog(t, corrupted, 1<<20)
	for _, r := range pending {
		if (r.ID == "a" || r.ID == "b") && r.UnknownOutcomeAt == 0 { // c was accepted in the handoff log itself
			t.Errorf("byte %d of the handoff log is corrupted, but a or b counts as unsent: %v", corruptedAt, describeRecords(pending))
		}
	}
	if l.Recovery.Sound() {
		t.Error("no corruption was reported")
	}
}

// encodeLegacyRecord encodes a record as a legacy program writes it.
func encodeLegacyRecord(r *Record) []byte {
	line, _ := json.Marshal(r) // a Record can always be marshaled
	payload := append(append(line, '\n'), r.Body...)
	b := append([]byte(legacyMark), 0, 0, 0, 0, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(b[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(b[8:], crc32.ChecksumIEEE(payload))
	return append(b, payload...)
}

func encodeLegacyLog(recs ...*Record) (b []byte) {
	for _, r := range recs {
		b = append(b, encodeLegacyRecord(r)...)
	}
	return b
}

// The first start converts a legacy log with its state, also if the legacy process is
// still alive and writes a handoff log in the legacy format.
func TestOpenConvertsLegacyLog(t *testing.T) {
	for _, alive := range []bool{false, true} {
		dir := t.TempDir()
		b := encodeLegacyLog(append([]*Record{{Kind: KindOwner, ID: NoMessage, Process: 1}}, newSampleRecords()...)...)
		b = append(b, encodeLegacyLog(&Record{Kind: KindHandoff, ID: NoMessage, Body: []byte("policy")})...)
		if err := os.WriteFile(filepath.Join(dir, FolderName), b, 0o600); err != nil {
			t.Fatal(err)
		}
		handoffLog := encodeLegacyLog(&Record{Kind: KindOwner, ID: NoMessage, Process: 1, HandoffCapacity: 32 << 10}, newAcceptedRecord("f", "F"))
		if err := os.WriteFile(filepath.Join(dir, HandoffName), handoffLog, 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := OS{}.Open(filepath.Join(dir, HandoffName), ModeWrite)
		if err != nil {
			t.Fatal(err)
		}
		if alive {
			if got, err := f.TryLock(); !got {
				t.Fatal(err)
			}
		}
		l, pending := openTestLog(t, dir, 1<<20)
		want := []string{"a A\n\x00 1 0 ", "b  2 200 ", "c C 1 400 ", "e E 0 0 handed-back"}
		if alive { // attempts of the living process stay in flight
			want = []string{"a A\n\x00 1 0 ", "b  2 200 ", "c C 1 0 ", "e E 0 0 handed-back"}
			if l.Handoff == nil || l.Handoff.Process != 1 || len(l.Handoff.Read()) != 2 {
				t.Fatalf("handoff log: %+v", l.Handoff)
			}
		} else {
			want = append(want, "f F 0 0 ")
		}
		if got := describeRecords(pending); !slices.Equal(got, want) || string(l.PolicySnapshot) != "policy" || l.Process != 2 {
			t.Fatalf("living %v: recovered %q, policy snapshot %q, process %d", alive, got, l.PolicySnapshot, l.Process)
		}
		if info, err := os.Stat(filepath.Join(dir, FolderName)); err != nil || !info.IsDir() {
			t.Fatalf("a legacy program could still open the log as a file: %v", err)
		}
		mustAppend(t, l, &Record{Kind: KindCompleted, ID: "e"})
		l.store.close()
		f.Close()
		if l, pending = openTestLog(t, dir, 1<<20); alive && len(pending) != len(want) || !alive && len(pending) != len(want)-1 || !l.Recovery.Sound() {
			t.Errorf("living %v, second start: recovered %q, found %+v", alive, describeRecords(pending), l.Recovery)
		}
		l.store.close()
	}
}

// A kill between any two steps of the conversion loses nothing, also if the legacy program
// ran again in between.
func TestInterruptedLegacyConversionLosesNothing(t *testing.T) {
	firstLog := encodeLegacyLog(&Record{Kind: KindOwner, ID: NoMessage, Process: 1}, newAcceptedRecord("a", "A"), newAcceptedRecord("b", "B"), &Record{Kind: KindCompleted, ID: "b"})
	secondLog := encodeLegacyLog(&Record{Kind: KindOwner, ID: NoMessage, Process: 1}, newAcceptedRecord("z", "Z"))
	for state, files := range map[string]map[string][]byte{
		"temporary folder written":     {FolderName: firstLog, FolderName + temporarySuffix + "/x": []byte("half")},
		"legacy file renamed":          {FolderName + legacySuffix: firstLog, FolderName + temporarySuffix + "/x": []byte("half")},
		"legacy program ran again":     {FolderName + legacySuffix: firstLog, FolderName: secondLog},
		"conversion interrupted again": {FolderName + legacySuffix: firstLog, FolderName + secondLegacySuffix: secondLog},
	} {
		dir := t.TempDir()
		for name, b := range files {
			if err := os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want := []string{"a A 0 0 "}
		if len(files) == 2 && files[FolderName+temporarySuffix+"/x"] == nil {
			want = append(want, "z Z 0 0 ")
		}
		for n := range 2 {
			l, pending := openTestLog(t, dir, 1<<20)
			if got := describeRecords(pending); !slices.Equal(got, want) {
				t.Fatalf("%s, opened %d times: recovered %q", state, n+1, got)
			}
			l.store.close()
		}
		names, err := os.ReadDir(dir)
		if err != nil || len(names) != 1 {
			t.Errorf("%s: files left in the folder: %v, error %v", state, names, err)
		}
	}
}

// A flipped bit in a legacy log must not hide an attempt or a completion.
func TestFlippedBitInLegacyLogNeverHidesSentMessage(t *testing.T) {
	valid := encodeLegacyLog(append([]*Record{{Kind: KindOwner, ID: NoMessage, Process: 1}}, newSampleRecords()...)...)
	headSize := len(encodeLegacyLog(&Record{Kind: KindOwner, ID: NoMessage, Process: 1}))
	for offset := headSize; offset < len(valid); offset++ {
		b := slices.Clone(valid)
		b[offset] ^= 1 << (offset % 8)
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, FolderName), b, 0o600); err != nil {
			t.Fatal(err)
		}
		checkRecoveryIsSafe(t, dir, fmt.Sprintf("bit flipped in byte %d", offset))
	}
}

// Only one process at a time holds the lock. Another one gets it after the owner has
// closed its file, as the kernel does when the owner dies.
func TestLockHasOneOwnerUntilItsFileCloses(t *testing.T) {
	dir := t.TempDir()
	owner, err := OpenLock(dir, LockName)
	if err != nil {
		t.Fatal(err)
	}
	other, err := OpenLock(dir, LockName)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if locked, err := owner.TryLock(); !locked {
		t.Fatal(err)
	}
	if locked, _ := other.TryLock(); locked {
		t.Fatal("the lock was taken twice")
	}
	owner.Close()
	if locked, err := other.TryLock(); !locked {
		t.Errorf("the lock of a closed file was not free: %v", err)
	}
}
