package wal

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// newTestSnapshot returns a snapshot of random text, which compression makes little shorter.
func newTestSnapshot(seed uint64, size int) []byte {
	rng := rand.New(rand.NewPCG(seed, 1))
	snapshot := []byte{'{'}
	for len(snapshot) < size {
		snapshot = append(snapshot, byte(' '+rng.IntN(95)))
	}
	return snapshot
}

// Guards against an upgrade that never ends: a policy snapshot of any size is handed off.
func TestPolicySnapshotOfAnySizeIsHandedOff(t *testing.T) {
	for _, size := range []int{1, maxSnapshotPartBytes, maxSnapshotPartBytes + 1, maxRecordBytes, 1 << 20} {
		dir := t.TempDir()
		l, _ := openTestLog(t, dir, 3<<20)
		mustAppend(t, l, newAcceptedRecord("a", "A"))
		want := newTestSnapshot(uint64(size), size)
		if err := l.store.startHandoff([][]byte{want}); err != nil {
			t.Fatalf("%d bytes: %v", size, err)
		}
		next, pending := openTestLog(t, dir, 3<<20)
		if !bytes.Equal(next.PolicySnapshot, want) || len(pending) != 1 || !next.Recovery.Sound() {
			t.Errorf("%d bytes: the next process has a snapshot of %d bytes, %d messages, report %+v", size, len(next.PolicySnapshot), len(pending), next.Recovery)
		}
		next.store.close()
		l.store.close()
		if again, _ := openTestLog(t, dir, 3<<20); again.PolicySnapshot != nil && !bytes.Equal(again.PolicySnapshot, want) {
			t.Errorf("%d bytes: the third process has another snapshot of %d bytes", size, len(again.PolicySnapshot))
		}
	}
}

// Guards against a snapshot that is put together from what a kill left of it.
func TestTruncatedPolicySnapshotCountsAsNone(t *testing.T) {
	original := t.TempDir()
	l, _ := openTestLog(t, original, 3<<20)
	mustAppend(t, l, newAcceptedRecord("a", "A"))
	want := newTestSnapshot(1, 3*maxSnapshotPartBytes)
	if err := l.store.startHandoff([][]byte{want}); err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(FolderName, filepath.Base(l.store.segments[len(l.store.segments)-1].name))
	l.store.close()
	info, err := os.Stat(filepath.Join(original, name))
	if err != nil {
		t.Fatal(err)
	}
	wholeCount := 0
	for cut := int64(headerSize); cut <= info.Size(); cut += 1 + (info.Size()-cut)/20 {
		dir := copyFolder(t, original, func(n string, b []byte) []byte {
			if n == name {
				return b[:cut]
			}
			return b
		})
		next, _ := openTestLog(t, dir, 3<<20)
		isWhole := bytes.Equal(next.PolicySnapshot, want)
		if !isWhole && next.PolicySnapshot != nil {
			t.Errorf("cut at %d of %d: a snapshot of %d bytes", cut, info.Size(), len(next.PolicySnapshot))
		}
		if isWhole {
			wholeCount++
		}
		next.store.close()
	}
	if wholeCount != 1 {
		t.Errorf("%d whole snapshots, want that of the whole file", wholeCount)
	}
}

// Guards against a snapshot with parts of an earlier handoff that failed.
func TestPartsOfFailedHandoffAreDropped(t *testing.T) {
	failed, err := encodeSnapshot(newTestSnapshot(1, 3*maxSnapshotPartBytes))
	if err != nil {
		t.Fatal(err)
	}
	want := newTestSnapshot(2, 3*maxSnapshotPartBytes)
	whole, err := encodeSnapshot(want)
	if err != nil {
		t.Fatal(err)
	}
	small := newTestSnapshot(3, 100)
	for count := range failed {
		for _, test := range []struct {
			next []*Record
			want []byte
		}{{whole, want}, {whole[1:], nil}, {[]*Record{newHandoffRecord(small)}, small}, {append([]*Record{newHandoffRecord(small)}, whole[1:]...), nil}} {
			s := newState()
			for _, r := range append(failed[:count:count], test.next...) {
				s.apply(indexKey{}, nil, 1, r, recordPlace{})
			}
			if !bytes.Equal(s.policySnapshot, test.want) {
				t.Errorf("%d parts of a failed handoff, then %d records: %d bytes, want %d", count, len(test.next), len(s.policySnapshot), len(test.want))
			}
		}
	}
}

// Guards against an upgrade that never ends: on a full disk the log hands off the most complete
// snapshot that there is space for, and both logs and the next checkpoint stay within the limit.
func TestHandoffOnFullDiskUsesSnapshotThatFits(t *testing.T) {
	const limit = 1 << 20
	for _, share := range []int{0, 1, 2, 4} { // of 4 parts of the log that are in use
		t.Run(fmt.Sprintf("%d of 4 parts", share), func(t *testing.T) {
			dir := t.TempDir()
			old, _ := openTestLog(t, dir, limit)
			body := strings.Repeat("b", 8<<10)
			for i := 0; share == 4 || int64(i)*8<<10 < int64(share)*limit/8; i++ {
				if err := old.store.appendRecords([]*Record{newAcceptedRecord(fmt.Sprint(i), body)})[0]; err != nil {
					break
				}
			}
			snapshots := [][]byte{newTestSnapshot(1, 700<<10), newTestSnapshot(2, 300<<10), newTestSnapshot(3, 8<<10), []byte("{}")}
			if err := old.store.startHandoff(snapshots); err != nil {
				t.Fatal(err)
			}
			next, _ := openTestLog(t, dir, limit)
			isOffered := false
			for _, snapshot := range snapshots {
				isOffered = isOffered || bytes.Equal(next.PolicySnapshot, snapshot)
			}
			if !isOffered || share == 0 && len(next.PolicySnapshot) < 700<<10 || share == 4 && len(next.PolicySnapshot) > 8<<10 {
				t.Errorf("the next process has a snapshot of %d bytes", len(next.PolicySnapshot))
			}
			t.Logf("the next process has a snapshot of %d bytes", len(next.PolicySnapshot))
			for i := range 200 {
				old.store.appendRecords([]*Record{newAcceptedRecord(fmt.Sprint("o", i), body)})
				next.store.appendRecords([]*Record{newAcceptedRecord(fmt.Sprint("n", i), body)})
				if size := measureFolderSize(t, dir); size+next.store.checkpointBytes > limit {
					t.Fatalf("%d bytes on disk and %d for a checkpoint exceed the limit", size, next.store.checkpointBytes)
				}
			}
			if err := next.store.finishCheckpoint(); err != nil {
				t.Error(err)
			}
			old.store.close()
			next.store.close()
			next.Handoff.Close()
		})
	}
}

func TestHandoffWithoutSnapshotFails(t *testing.T) {
	l, _ := openTestLog(t, t.TempDir(), 1<<20)
	if err := l.store.startHandoff(nil); !errors.Is(err, errNoSnapshot) {
		t.Errorf("got %v", err)
	}
	mustAppend(t, l, newAcceptedRecord("a", "A"))
}
