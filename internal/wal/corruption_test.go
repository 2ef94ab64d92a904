package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// buildFolder writes the sample records, with a checkpoint before the record at position
// checkpointBefore (none if it is negative). It returns the contents of the log's files by name.
func buildFolder(t *testing.T, checkpointBefore int) (dir string, files map[string][]byte) {
	t.Helper()
	dir = t.TempDir()
	l, _ := openTestLog(t, dir, 1<<20)
	for i, r := range newSampleRecords() {
		if i == checkpointBefore {
			if err := l.store.finishCheckpoint(); err != nil {
				t.Fatal(err)
			}
		}
		mustAppend(t, l, r)
	}
	l.store.close()
	files = map[string][]byte{}
	entries, err := os.ReadDir(filepath.Join(dir, FolderName))
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		b, err := os.ReadFile(filepath.Join(dir, FolderName, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		files[e.Name()] = b
	}
	return dir, files
}

// writeFolder creates a state folder with a log that has the given files.
func writeFolder(t *testing.T, files map[string][]byte) (dir string) {
	t.Helper()
	dir = t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, FolderName), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, b := range files {
		if err := os.WriteFile(filepath.Join(dir, FolderName, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// checkRecoveryIsSafe checks what must hold for any corruption: a message that was sent
// or completed is not recovered as unsent, a missing message is reported, and opening
// the folder again gives the same result.
func checkRecoveryIsSafe(t *testing.T, dir, corruption string) {
	t.Helper()
	l, pending := openTestLog(t, dir, 1<<20)
	recovered := map[string]*Record{}
	for _, r := range pending {
		recovered[r.ID] = r
		maySend := !r.Corrupted && r.UnknownOutcomeAt == 0 && r.Notice == ""
		switch r.ID {
		case "a": // its only attempt did not run; if that outcome is lost, it may have run
		case "b", "c", "d":
			if maySend {
				t.Fatalf("%s: %s is recovered as never sent: %+v; the recovery found %+v", corruption, r.ID, r, l.Recovery)
			}
		case "e":
			if maySend {
				t.Fatalf("%s: e has its final notice, but is recovered as one that may be sent; the recovery found %+v", corruption, l.Recovery)
			}
		default:
			t.Fatalf("%s: recovered %q, which was never accepted", corruption, r.ID)
		}
	}
	for _, id := range []string{"a", "b", "c", "e"} {
		if recovered[id] == nil && l.Recovery.Sound() {
			t.Fatalf("%s: %s is missing, but no corruption was reported", corruption, id)
		}
	}
	l.store.close()
	again, pendingAgain := openTestLog(t, dir, 1<<20)
	if got, want := describeRecords(pendingAgain), describeRecords(pending); !slices.Equal(got, want) {
		t.Fatalf("%s: recovered %q at the first start, %q at the second", corruption, want, got)
	}
	again.store.close()
}

// A single bit is flipped in every byte of a log with every kind of record, in segments
// and in a checkpoint. This must not hide that b and c were sent and that d and e ended.
func TestFlippedBitNeverHidesSentMessage(t *testing.T) {
	for _, checkpointBefore := range []int{-1, 8, 12} {
		_, files := buildFolder(t, checkpointBefore)
		for name, b := range files {
			for i := range b {
				for _, bit := range []int{i % 8} {
					corrupted := map[string][]byte{}
					for n, content := range files {
						corrupted[n] = content
					}
					corrupted[name] = slices.Clone(b)
					corrupted[name][i] ^= 1 << bit
					checkRecoveryIsSafe(t, writeFolder(t, corrupted), fmt.Sprintf("checkpoint before record %d: bit flipped in %s, byte %d, bit %d", checkpointBefore, name, i, bit))
				}
			}
		}
	}
}

// Each file of a log but the stamp is truncated at every byte. Every other cut is followed
// by zeros.
func TestTruncatedFileNeverHidesSentMessage(t *testing.T) {
	for _, checkpointBefore := range []int{-1, 8} {
		_, files := buildFolder(t, checkpointBefore)
		for name, b := range files {
			if name == stampName {
				continue
			}
			for i := range b {
				for _, zeros := range []int{i % 2 * 700} {
					corrupted := map[string][]byte{}
					for n, content := range files {
						corrupted[n] = content
					}
					corrupted[name] = append(slices.Clone(b[:i]), make([]byte, zeros)...)
					checkRecoveryIsSafe(t, writeFolder(t, corrupted), fmt.Sprintf("checkpoint before record %d: %s truncated to %d bytes, followed by %d zeros", checkpointBefore, name, i, zeros))
				}
			}
		}
	}
}

// A kill during a write leaves incomplete bytes after the last record that the stamp
// counts. This is not corruption, and no message is treated as sent because of it.
func TestTornWriteIsNotReportedAsCorruption(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTestLog(t, dir, 1<<20)
	mustAppend(t, l, newAcceptedRecord("a", "A"), newAcceptedRecord("b", "B"))
	validSize := l.store.segment.file.size
	for _, torn := range [][]byte{{0xf7}, []byte(recordMark + "\x00\x00"), func() []byte {
		b, _ := appendRecord(nil, &Record{Kind: KindAttempt, ID: "b", At: 5, Endpoint: "s"}, l.store.seq+1, l.store.checksumSeed, nil)
		return b[:len(b)-3]
	}()} {
		if _, err := l.store.segment.file.file.WriteAt(torn, validSize); err != nil {
			t.Fatal(err)
		}
		report, err := Inspect(nil, dir)
		if err != nil || !report.Sound() || len(report.Torn) != 1 || report.Pending != 2 {
			t.Fatalf("error %v; the report must have one torn write and 2 pending messages: %+v", err, report)
		}
		if err := l.store.segment.file.file.Truncate(validSize); err != nil {
			t.Fatal(err)
		}
	}
}

// If complete records are missing at the end of the log, the rest of the log is valid. The
// stamp, which has the last record's sequence number, still shows that they are missing.
func TestStampDetectsMissingLastRecords(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTestLog(t, dir, 1<<20)
	mustAppend(t, l, newAcceptedRecord("a", "A"), newAcceptedRecord("b", "B"))
	validSize := l.store.segment.file.size
	mustAppend(t, l, &Record{Kind: KindAttempt, ID: "b", At: 5, Endpoint: "s"}, &Record{Kind: KindOutcome, ID: "b"})
	if err := l.store.segment.file.file.Truncate(validSize); err != nil {
		t.Fatal(err)
	}
	l.store.close()
	l, pending := openTestLog(t, dir, 1<<20)
	if len(pending) != 2 || pending[1].UnknownOutcomeAt == 0 || l.Recovery.Sound() {
		t.Fatalf("the lost attempt of b was not detected: recovered %q, found %+v", describeRecords(pending), l.Recovery)
	}
	mustAppend(t, l, newAcceptedRecord("c", "C"))
	l.store.close()
	if _, pending = openTestLog(t, dir, 1<<20); len(pending) != 3 || pending[2].UnknownOutcomeAt != 0 {
		t.Errorf("after another record and start: recovered %q", describeRecords(pending))
	}
}

// buildSegments returns the files of a log with several segments, by name.
func buildSegments(t *testing.T) (files map[string][]byte) {
	t.Helper()
	dir := t.TempDir()
	l, _ := openTestLog(t, dir, 1<<20)
	for i, r := range newSampleRecords() {
		if i%3 == 2 {
			if err := l.store.startSegment(); err != nil {
				t.Fatal(err)
			}
		}
		mustAppend(t, l, r)
	}
	l.store.close()
	files = map[string][]byte{}
	for _, path := range append(listLogFiles(t, dir, segmentSuffix), filepath.Join(dir, FolderName, stampName)) {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		files[filepath.Base(path)] = b
	}
	if len(files) < 5 {
		t.Fatalf("the log has %d files, want at least 5", len(files))
	}
	return files
}

// A segment is missing, empty, duplicated, swapped with another one or from another relay,
// with and without the stamp.
func TestMisplacedSegmentNeverHidesSentMessage(t *testing.T) {
	files, foreign := buildSegments(t), buildSegments(t)
	var names []string
	for name := range files {
		if name != stampName {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, withStamp := range []bool{true, false} {
		check := func(corruption string, corrupt func(corrupted map[string][]byte)) {
			corrupted := map[string][]byte{}
			for n, b := range files {
				if n != stampName || withStamp {
					corrupted[n] = b
				}
			}
			corrupt(corrupted)
			checkRecoveryIsSafe(t, writeFolder(t, corrupted), corruption)
		}
		for i, name := range names {
			check(name+" missing", func(corrupted map[string][]byte) { delete(corrupted, name) })
			check(name+" emptied", func(corrupted map[string][]byte) { corrupted[name] = nil })
			check(name+" duplicated", func(corrupted map[string][]byte) { corrupted["0000ffff"+segmentSuffix] = corrupted[name] })
			check(name+" replaced by one of another relay", func(corrupted map[string][]byte) { corrupted[name] = foreign[name] })
			for _, other := range names[i+1:] {
				check(name+" and "+other+" swapped", func(corrupted map[string][]byte) {
					corrupted[name], corrupted[other] = corrupted[other], corrupted[name]
				})
			}
		}
	}
	dir := writeFolder(t, files)
	if report, err := Inspect(nil, dir); err != nil || !report.Sound() {
		t.Errorf("unchanged folder: error %v, report %+v", err, report)
	}
}

// Corruption of a message's body loses this message but not its id, and no
// other message is affected.
func TestCorruptedBodyAffectsOnlyItsMessage(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTestLog(t, dir, 1<<20)
	mustAppend(t, l, newAcceptedRecord("first-one", "A"), newAcceptedRecord("second-one", strings.Repeat("body", 40)), newAcceptedRecord("third-one", "C"))
	path := listLogFiles(t, dir, segmentSuffix)[0]
	l.store.close()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b[strings.Index(string(b), "bodybody")+9] ^= 4
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	l, pending := openTestLog(t, dir, 1<<20)
	if len(pending) != 3 || pending[0].UnknownOutcomeAt != 0 || pending[2].UnknownOutcomeAt != 0 || !pending[1].Corrupted || pending[1].ID != "second-one" {
		t.Fatalf("recovered %q", describeRecords(pending))
	}
	if !slices.Equal(l.Recovery.LostIDs, []string{"second-one"}) {
		t.Errorf("lost ids: %v", l.Recovery.LostIDs)
	}
	// The corrupted file is kept, and the loss is reported until the message's notice is sent.
	if err := l.store.finishCheckpoint(); err != nil {
		t.Fatal(err)
	}
	if quarantined, _ := filepath.Glob(filepath.Join(dir, FolderName, quarantinePrefix+"-*")); len(quarantined) != 1 {
		t.Errorf("files in quarantine: %v, want one", quarantined)
	}
	l.store.close()
	l, pending = openTestLog(t, dir, 1<<20)
	if len(pending) != 3 || !pending[1].Corrupted || !slices.Equal(l.Recovery.LostIDs, []string{"second-one"}) || len(l.Recovery.Corruptions) > 0 {
		t.Fatalf("after a checkpoint and another start: recovered %q, found %+v", describeRecords(pending), l.Recovery)
	}
	mustAppend(t, l, &Record{Kind: KindCompleting, ID: "second-one", Notice: "given-up"}, &Record{Kind: KindCompleted, ID: "second-one"})
	l.store.close()
	if _, pending = openTestLog(t, dir, 1<<20); len(pending) != 2 {
		t.Errorf("after the completion: recovered %q", describeRecords(pending))
	}
}

// Opening a folder with a segment of a newer format version fails and leaves the segment
// unchanged.
func TestOpenRefusesNewerFormat(t *testing.T) {
	_, files := buildFolder(t, -1)
	h, _ := decodeHeader(files[segmentName(1)])
	b := h.encode()
	b[9], b[headerCopySize+9] = formatVersion+1, formatVersion+1
	for offset := 0; offset < headerSize; offset += headerCopySize {
		sealHeaderCopy(b[offset : offset+headerCopySize])
	}
	copy(files[segmentName(1)], b)
	dir := writeFolder(t, files)
	if _, err := Open(Options{Dir: dir, Limit: 1 << 20}); !errors.Is(err, ErrNewerVersion) || !strings.Contains(err.Error(), segmentName(1)) {
		t.Fatalf("got error %v, want ErrNewerVersion with the file's name", err)
	}
	if got, err := os.ReadFile(filepath.Join(dir, FolderName, segmentName(1))); err != nil || !slices.Equal(got, files[segmentName(1)]) {
		t.Error("the segment was changed")
	}
}

// Bytes in a message's body are never read as a record, even if they have a record's format.
func TestBodyIsNeverReadAsRecord(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTestLog(t, dir, 1<<20)
	forged, err := appendRecord(nil, &Record{Kind: KindCompleted, ID: "victim"}, 3, 0, nil) // a client does not know the checksum seed
	if err != nil {
		t.Fatal(err)
	}
	mustAppend(t, l, newAcceptedRecord("carrier", string(forged)), newAcceptedRecord("victim", "V"))
	path := listLogFiles(t, dir, segmentSuffix)[0]
	l.store.close()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b[strings.Index(string(b), "carrier")-1] ^= 1 // the head is corrupted, so the bytes after it are searched for records
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, pending := openTestLog(t, dir, 1<<20); !slices.ContainsFunc(pending, func(r *Record) bool { return r.ID == "victim" && !r.Corrupted }) {
		t.Errorf("the message that the forged record names is not pending: recovered %q", describeRecords(pending))
	}
}

func FuzzFolder(f *testing.F) {
	dir := f.TempDir()
	l, err := Open(Options{Dir: dir, Limit: 1 << 20})
	if err != nil {
		f.Fatal(err)
	}
	for _, r := range newSampleRecords() {
		l.store.appendRecords([]*Record{r})
	}
	l.store.close()
	segment, err := os.ReadFile(filepath.Join(dir, FolderName, segmentName(1)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(segment, 0, []byte{}, uint8(0))
	f.Add(segment[:200], 150, []byte("noise"), uint8(1))
	f.Fuzz(func(t *testing.T, b []byte, splitAt int, inserted []byte, name uint8) {
		if splitAt < 0 || splitAt > len(b) {
			return
		}
		files := map[string][]byte{segmentName(1): append(slices.Clone(b[:splitAt]), inserted...), segmentName(2): b[splitAt:]}
		if name%2 == 1 {
			files[checkpointName(uint32(name))] = b
		}
		dir := writeFolder(t, files)
		l, err := Open(Options{Dir: dir, Limit: 1 << 20})
		if err != nil {
			return // a newer version, or no readable files
		}
		first := describeRecords(l.Next(1 << 20))
		if err := l.store.appendRecords([]*Record{newAcceptedRecord("after", "x")})[0]; err != nil && !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
		l.store.close()
		l, err = Open(Options{Dir: dir, Limit: 1 << 20})
		if err != nil {
			t.Fatal(err)
		}
		defer l.store.close()
		if second := l.Next(1 << 20); len(second) < len(first) {
			t.Fatalf("%d messages were recovered first, only %d later", len(first), len(second))
		}
	})
}

func FuzzRecord(f *testing.F) {
	for _, r := range newSampleRecords() {
		b, err := appendRecord(nil, r, 1, 7, nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, n := (recordDecoder{checksumSeed: 7}).decode(b); n > len(b) || (r == nil) != (n == 0) {
			t.Fatalf("decoded %d of %d bytes as %+v", n, len(b), r)
		}
		var r Record
		for _, k := range kindsByNumber { // payloads that are not protected by a checksum
			r = Record{Kind: k}
			decodePayload(&r, b)
		}
		decodeMessage(&r, b)
	})
}
