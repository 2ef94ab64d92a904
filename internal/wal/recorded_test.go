package wal_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"plovershore/internal/clock"
	"plovershore/internal/wal"
)

const (
	recordedDir   = "testdata/state-dd19e87"
	recordedLimit = 128 << 10
)

// newRecordedClock returns a clock that advances by a millisecond at each reading, with the
// same boot id as the clock of the program that wrote the folders.
func newRecordedClock() func() clock.Reading {
	sinceStart := int64(40_000_000)
	return func() clock.Reading {
		sinceStart += 1000
		return clock.Reading{Wall: 1_764_000_000_000_000 + sinceStart, Mono: 50_000_000 + sinceStart, Boot: clock.Boot{0xd, 0xd, 1, 9}}
	}
}

type recordedMessage struct {
	wal.Record
	Text string `json:"body"`
}

// recordedState is what the program that wrote a folder found in it.
type recordedState struct {
	Now     int64             `json:"now"`
	Process int               `json:"process"`
	Policy  string            `json:"policy"`
	Records []recordedMessage `json:"records"`
	Handoff []recordedMessage `json:"side"`
}

func readRecordedState(t *testing.T, name string) (state recordedState) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(recordedDir, name))
	if err == nil {
		err = json.Unmarshal(text, &state)
	}
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func copyRecordedFolder(t *testing.T, name string) (dir string) {
	t.Helper()
	dir = filepath.Join(t.TempDir(), "state")
	if err := os.CopyFS(dir, os.DirFS(filepath.Join(recordedDir, name))); err != nil {
		t.Fatal(err)
	}
	return dir
}

func addBodyText(records []*wal.Record) (messages []recordedMessage) {
	for _, r := range records {
		messages = append(messages, recordedMessage{*r, string(r.Body)})
	}
	return messages
}

// describeMessages returns each message as JSON, in the form in which the program that
// wrote the folders printed it.
func describeMessages(t *testing.T, messages []recordedMessage) (lines []string) {
	t.Helper()
	for _, m := range messages {
		line, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, string(line))
	}
	return lines
}

func compareMessages(t *testing.T, when string, want, got []recordedMessage) {
	t.Helper()
	wantLines, gotLines := describeMessages(t, want), describeMessages(t, got)
	if !slices.Equal(wantLines, gotLines) {
		t.Errorf("%s:\n%s\nwant\n%s", when, strings.Join(gotLines, "\n"), strings.Join(wantLines, "\n"))
	}
}

// openRecorded opens a folder with the current code and compares the result with what the
// program that wrote the folder found.
func openRecorded(t *testing.T, dir string, want recordedState) *wal.Log {
	t.Helper()
	l, err := wal.Open(wal.Options{Dir: dir, Limit: recordedLimit, Clock: newRecordedClock()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	if now := l.Time(); now != want.Now {
		t.Errorf("log time %d, want %d", now, want.Now)
	}
	if l.Process != want.Process || string(l.PolicySnapshot) != want.Policy || l.ClockSetBack != 0 {
		t.Errorf("process %d with the policy snapshot %q, clock set back by %v; want %d with %q", l.Process, l.PolicySnapshot, l.ClockSetBack, want.Process, want.Policy)
	}
	if !l.Recovery.Sound() || len(l.Recovery.Torn) > 0 {
		t.Errorf("the recovery found %+v", l.Recovery)
	}
	if l.PendingUnread() != len(want.Records) {
		t.Errorf("%d messages pending, want %d", l.PendingUnread(), len(want.Records))
	}
	compareMessages(t, "pending messages", want.Records, addBodyText(l.Next(100)))
	return l
}

// The folders were written by the program before its packages were renamed. The current
// code recovers the same messages, attempts, unknown outcomes and deadlines from them,
// also after a checkpoint and another start.
func TestOpenRecoversFoldersOfEarlierVersion(t *testing.T) {
	for _, name := range []string{"killed", "handed-on"} {
		t.Run(name, func(t *testing.T) {
			dir, want := copyRecordedFolder(t, name), readRecordedState(t, name+".json")
			l := openRecorded(t, dir, want)
			if err := l.CheckpointNow(); err != nil {
				t.Fatal(err)
			}
			if err := l.AppendNow(&wal.Record{Kind: wal.KindAccepted, ID: "later", Class: "plain", Deadline: want.Now + 1}); err != nil {
				t.Fatal(err)
			}
			l.Close()
			reopened, err := wal.Open(wal.Options{Dir: dir, Limit: recordedLimit, Clock: newRecordedClock()})
			if err != nil {
				t.Fatal(err)
			}
			defer reopened.Close()
			later := recordedMessage{Record: wal.Record{Kind: wal.KindAccepted, ID: "later", Class: "plain", Deadline: want.Now + 1}}
			compareMessages(t, "after a checkpoint and another start", append(want.Records, later), addBodyText(reopened.Next(100)))
		})
	}
}

// While the process that handed the log off is alive, its attempts stay in flight and its
// handoff log is read. The test holds the lock of the handoff log in place of that process.
func TestOpenReadsHandoffLogOfLiveProcessOfEarlierVersion(t *testing.T) {
	dir, want := copyRecordedFolder(t, "handed-on"), readRecordedState(t, "handed-on-living.json")
	handoffFile, err := wal.OS{}.Open(filepath.Join(dir, wal.HandoffName), wal.ModeWrite)
	if err != nil {
		t.Fatal(err)
	}
	defer handoffFile.Close()
	if locked, err := handoffFile.TryLock(); !locked {
		t.Fatalf("the handoff log is not locked: %v", err)
	}
	l := openRecorded(t, dir, want)
	if l.Handoff == nil {
		t.Fatal("no handoff log")
	}
	defer l.Handoff.Close()
	compareMessages(t, "handoff log", want.Handoff, addBodyText(l.Handoff.Read()))
	if l.Handoff.Process != 1 || l.Handoff.Capacity != want.Handoff[0].HandoffCapacity || l.Handoff.OwnerExited() {
		t.Errorf("handoff log of process %d with %d bytes, exited %v", l.Handoff.Process, l.Handoff.Capacity, l.Handoff.OwnerExited())
	}
}
