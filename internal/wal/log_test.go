package wal

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

func newDiscardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// openTestLog opens a log without starting its goroutine, and returns its pending messages.
func openTestLog(t testing.TB, dir string, limit int64) (*Log, []*Record) {
	t.Helper()
	l, err := Open(Options{Dir: dir, Limit: limit, Log: newDiscardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.store.close)
	return l, l.Next(1 << 30)
}

func mustAppend(t testing.TB, l *Log, recs ...*Record) {
	t.Helper()
	for _, r := range recs {
		if err := l.store.appendRecords([]*Record{r})[0]; err != nil {
			t.Fatalf("append %s record of %s: %v", r.Kind, r.ID, err)
		}
	}
}

func newAcceptedRecord(id string, body string) *Record {
	return &Record{Kind: KindAccepted, ID: id, Class: "keyed", Tenant: "acme", Key: "k", Dest: 7, Deadline: 1e15, Body: []byte(body)}
}

func describeRecords(recs []*Record) (lines []string) {
	for _, r := range recs {
		line := fmt.Sprintf("%s %s %d %d %s", r.ID, r.Body, r.Attempts, r.UnknownOutcomeAt, r.Notice)
		if r.Corrupted {
			line += "lost"
		}
		lines = append(lines, line)
	}
	return lines
}

// newSampleRecords returns a history with every kind of record that concerns a message.
func newSampleRecords() []*Record {
	return []*Record{newAcceptedRecord("a", "A\n\x00"), newAcceptedRecord("b", ""), newAcceptedRecord("c", "C"), newAcceptedRecord("d", "D"), newAcceptedRecord("e", "E"),
		{Kind: KindAttempt, ID: "a", At: 100, Zone: 1, Endpoint: "s-1", Process: 1},
		{Kind: KindOutcome, ID: "a", MayHaveRun: false},
		{Kind: KindAttempt, ID: "b", At: 200, Zone: 1, Endpoint: "s-1", Process: 1},
		{Kind: KindOutcome, ID: "b", MayHaveRun: true},
		{Kind: KindAttempt, ID: "b", At: 300, Zone: 0, Endpoint: "s-2", Process: 1},
		{Kind: KindAttempt, ID: "c", At: 400, Zone: 1, Endpoint: "s-1", Process: 1}, // it has no outcome, so it may have run
		{Kind: KindCompleted, ID: "d"},
		{Kind: KindCompleting, ID: "e", Notice: "handed-back", RetryMS: 20}}
}

// Pending messages are recovered in order with their state, from segments and from a
// checkpoint, however often the folder is opened.
func TestOpenRecoversPendingMessages(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTestLog(t, dir, 1<<20)
	mustAppend(t, l, newSampleRecords()...)
	want := []string{"a A\n\x00 1 0 ", "b  2 200 ", "c C 1 400 ", "e E 0 0 handed-back"}
	for n := range 4 {
		l, pending := openTestLog(t, dir, 1<<20)
		if got := describeRecords(pending); !slices.Equal(got, want) {
			t.Fatalf("opened %d times: recovered %q", n+1, got)
		}
		if r := pending[1]; r.Key != "k" || r.Class != "keyed" || r.Tenant != "acme" || r.Dest != 7 || r.Deadline != 1e15 || r.UnknownOutcomeZone != 1 {
			t.Errorf("message b has the fields %+v", r)
		}
		if !l.Recovery.Sound() || len(l.Recovery.Torn) > 0 {
			t.Fatalf("the recovery found %+v", l.Recovery)
		}
		if n == 1 {
			if err := l.store.finishCheckpoint(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// While a checkpoint is written, messages are accepted and completed. The checkpoint may hold
// each message at a different point of its history; later records are still applied exactly once.
func TestCheckpointWhileAppendingKeepsEveryRecord(t *testing.T) {
	for _, appendsPerSlice := range []int{1, 3, 7} {
		dir := t.TempDir()
		l, _ := openTestLog(t, dir, 64<<20)
		const n = 3000
		for i := range n {
			mustAppend(t, l, newAcceptedRecord(strconv.Itoa(i), strings.Repeat("b", 300)))
		}
		if err := l.store.startCheckpoint(); err != nil {
			t.Fatal(err)
		}
		checkpointSteps := 0
		for i := 0; l.store.pendingCheckpoint != nil; i++ {
			id := strconv.Itoa(i % n)
			switch i % 4 {
			case 0:
				mustAppend(t, l, &Record{Kind: KindAttempt, ID: id, At: int64(i + 1), Process: l.Process})
			case 1:
				mustAppend(t, l, &Record{Kind: KindCompleted, ID: id}, newAcceptedRecord(id, "again")) // the same id is accepted again
			case 2:
				mustAppend(t, l, newAcceptedRecord("new"+strconv.Itoa(i), "n"))
			case 3:
				mustAppend(t, l, &Record{Kind: KindAttempt, ID: id, At: int64(i + 1), Process: l.Process}, &Record{Kind: KindOutcome, ID: id, MayHaveRun: true})
			}
			if i%appendsPerSlice == 0 {
				checkpointSteps++
				if _, err := l.store.stepCheckpoint(4 << 10); err != nil {
					t.Fatal(err)
				}
			}
		}
		want := describeRecords(readExpectedMessages(t, l))
		_, pending := openTestLog(t, dir, 64<<20)
		if got := describeRecords(pending); !slices.Equal(got, want) || checkpointSteps < 10 {
			t.Fatalf("after %d checkpoint slices: %d pending messages differ from the %d expected ones", checkpointSteps, len(got), len(want))
		}
	}
}

// readExpectedMessages returns the messages that a restart of an open log should recover.
func readExpectedMessages(t *testing.T, l *Log) (records []*Record) {
	t.Helper()
	type orderedRecord struct {
		r   *Record
		seq uint64
	}
	var ordered []orderedRecord
	var reader messageReader
	for i := range l.store.index.entryCount {
		if e := l.store.index.entryAt(i); e.flags&entryLive != 0 {
			r, err := l.store.readMessage(i, &reader)
			if err != nil {
				t.Fatal(err)
			}
			r.resolveInFlight()
			ordered = append(ordered, orderedRecord{r, e.seq})
		}
	}
	slices.SortFunc(ordered, func(a, b orderedRecord) int { return int(a.seq) - int(b.seq) })
	for _, x := range ordered {
		records = append(records, x.r)
	}
	return records
}

// resolveInFlight gives an attempt without an outcome an unknown outcome, as a restart does.
func (r *Record) resolveInFlight() {
	if r.InFlightSince == 0 {
		return
	}
	if r.UnknownOutcomeAt == 0 {
		r.UnknownOutcomeAt, r.UnknownOutcomeZone = r.InFlightSince, r.InFlightZone
	}
	r.InFlightSince, r.InFlightZone, r.InFlightEndpoint, r.InFlightProcess = 0, 0, "", 0
}

// listLogFiles returns the paths of the log's files with a suffix, without quarantined files.
func listLogFiles(t *testing.T, dir, suffix string) (names []string) {
	t.Helper()
	all, err := os.ReadDir(filepath.Join(dir, FolderName))
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range all {
		if strings.HasSuffix(e.Name(), suffix) && !strings.HasPrefix(e.Name(), quarantinePrefix) {
			names = append(names, filepath.Join(dir, FolderName, e.Name()))
		}
	}
	return names
}

func measureFolderSize(t *testing.T, dir string) (n int64) {
	t.Helper()
	err := filepath.Walk(dir, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			n += blockBytes(info.Size())
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// The files together never exceed the limit, and accepted messages can be completed even
// if no more new ones fit.
func TestFilesStayWithinLimit(t *testing.T) {
	const limit = 1 << 20
	dir := t.TempDir()
	l, _ := openTestLog(t, dir, limit)
	body := strings.Repeat("b", 64<<10)
	accepted := 0
	for ; ; accepted++ {
		if err := l.store.appendRecords([]*Record{newAcceptedRecord(strconv.Itoa(accepted), body)})[0]; err != nil {
			if !errors.Is(err, ErrFull) {
				t.Fatal(err)
			}
			break
		}
	}
	if accepted == 0 {
		t.Fatal("not even one message fits")
	}
	for round := range 9000 { // far more records than fit without a checkpoint
		id := strconv.Itoa(round % accepted)
		mustAppend(t, l, &Record{Kind: KindAttempt, ID: id, At: int64(round) + 1, Endpoint: "endpoint"}, &Record{Kind: KindOutcome, ID: id, MayHaveRun: true})
		l.store.compact()
		if round%64 == 0 {
			if size := measureFolderSize(t, dir); size > limit || size != l.store.usage.bytes {
				t.Fatalf("round %d: %d bytes on disk, the log counts %d", round, size, l.store.usage.bytes)
			}
		}
	}
	for i := range accepted {
		mustAppend(t, l, &Record{Kind: KindCompleted, ID: strconv.Itoa(i)})
	}
	if l.store.checkpointBytes != 0 {
		t.Errorf("%d bytes are reserved for a checkpoint although no message is pending", l.store.checkpointBytes)
	}
	mustAppend(t, l, newAcceptedRecord("next", body))
}
