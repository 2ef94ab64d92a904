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
// checkpoint (none if it is negative). It returns the contents of the log's files by name.
func buildFolder(t *testing.T, checkpoint int) (dir string, text map[string][]byte) {
	t.Helper()
	dir = t.TempDir()
	l, _ := openTest(t, dir, 1<<20)
	for i, r := range sampleRecords() {
		if i == checkpoint {
			if err := l.store.finishCheckpoint(); err != nil {
				t.Fatal(err)
			}
		}
		mustAppend(t, l, r)
	}
	l.store.close()
	text = map[string][]byte{}
	entries, err := os.ReadDir(filepath.Join(dir, FolderName))
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		b, err := os.ReadFile(filepath.Join(dir, FolderName, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		text[e.Name()] = b
	}
	return dir, text
}

// writeFolder creates a state folder with a log that has the given files.
func writeFolder(t *testing.T, text map[string][]byte) (dir string) {
	t.Helper()
	dir = t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, FolderName), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, b := range text {
		if err := os.WriteFile(filepath.Join(dir, FolderName, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// checkRecoveryIsSafe checks what must hold for any corruption: a message that was sent
// or completed is not recovered as unsent, a missing message is reported, and opening
// the folder again gives the same result.
func checkSafe(t *testing.T, dir, what string) {
	t.Helper()
	l, owed := openTest(t, dir, 1<<20)
	have := map[string]*Record{}
	for _, r := range owed {
		have[r.ID] = r
		fit := !r.Corrupted && r.UnknownOutcomeAt == 0 && r.Notice == ""
		switch r.ID {
		case "a": // its only attempt did not run; if that outcome is lost, it may have run
		case "b", "c", "d":
			if fit {
				t.Fatalf("%s: %s is recovered as never sent: %+v; the recovery found %+v", what, r.ID, r, l.Recovery)
			}
		case "e":
			if fit {
				t.Fatalf("%s: e has its final notice, but is recovered as one that may be sent; the recovery found %+v", what, l.Recovery)
			}
		default:
			t.Fatalf("%s: recovered %q, which was never accepted", what, r.ID)
		}
	}
	for _, id := range []string{"a", "b", "c", "e"} {
		if have[id] == nil && l.Recovery.Sound() {
			t.Fatalf("%s: %s is missing, but no corruption was reported", what, id)
		}
	}
	l.store.close()
	again, then := openTest(t, dir, 1<<20)
	if got, want := describe(then), describe(owed); !slices.Equal(got, want) {
		t.Fatalf("%s: recovered %q at the first start, %q at the second", what, want, got)
	}
	again.store.close()
}

// A single bit is flipped in every byte of a log with every kind of record, in segments
// and in a checkpoint. This must not hide that b and c were sent and that d and e ended.
func TestFlippedBitAnywhere(t *testing.T) {
	for _, at := range []int{-1, 8, 12} {
		_, text := buildFolder(t, at)
		for name, b := range text {
			for i := range b {
				for _, bit := range []int{i % 8} {
					corrupted := map[string][]byte{}
					for n, x := range text {
						corrupted[n] = x
					}
					corrupted[name] = slices.Clone(b)
					corrupted[name][i] ^= 1 << bit
					checkSafe(t, writeFolder(t, corrupted), fmt.Sprintf("checkpoint before record %d: bit flipped in %s, byte %d, bit %d", at, name, i, bit))
				}
			}
		}
	}
}

// Each file of a log is truncated at every byte, with and without zeros after the cut.
func TestCutAndZerosAnywhere(t *testing.T) {
	for _, at := range []int{-1, 8} {
		_, text := buildFolder(t, at)
		for name, b := range text {
			if name == stampName {
				continue
			}
			for i := range b {
				for _, zeros := range []int{i % 2 * 700} {
					corrupted := map[string][]byte{}
					for n, x := range text {
						corrupted[n] = x
					}
					corrupted[name] = append(slices.Clone(b[:i]), make([]byte, zeros)...)
					checkSafe(t, writeFolder(t, corrupted), fmt.Sprintf("checkpoint before record %d: %s truncated to %d bytes, followed by %d zeros", at, name, i, zeros))
				}
			}
		}
	}
}

// A kill during a write leaves incomplete bytes after the last record that the stamp
// counts. This is not corruption, and no message is treated as sent because of it.
func TestTornWriteIsNoCorruption(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTest(t, dir, 1<<20)
	mustAppend(t, l, accepted("a", "A"), accepted("b", "B"))
	whole := l.store.segment.file.size
	for _, torn := range [][]byte{{0xf7}, []byte(recordMark + "\x00\x00"), func() []byte {
		b, _ := appendRecord(nil, &Record{Kind: KindAttempt, ID: "b", At: 5, Endpoint: "s"}, l.store.seq+1, l.store.salt, nil)
		return b[:len(b)-3]
	}()} {
		if _, err := l.store.segment.file.file.WriteAt(torn, whole); err != nil {
			t.Fatal(err)
		}
		report, err := Inspect(nil, dir)
		if err != nil || !report.Sound() || len(report.Torn) != 1 || report.Pending != 2 {
			t.Fatalf("error %v; the report must have one torn write and 2 pending messages: %+v", err, report)
		}
		if err := l.store.segment.file.file.Truncate(whole); err != nil {
			t.Fatal(err)
		}
	}
}

// If complete records are missing at the end of the log, the rest of the log is valid. The
// stamp, which has the last record's sequence number, still shows that they are missing.
func TestMissingEndIsDetected(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTest(t, dir, 1<<20)
	mustAppend(t, l, accepted("a", "A"), accepted("b", "B"))
	whole := l.store.segment.file.size
	mustAppend(t, l, &Record{Kind: KindAttempt, ID: "b", At: 5, Endpoint: "s"}, &Record{Kind: KindOutcome, ID: "b"})
	if err := l.store.segment.file.file.Truncate(whole); err != nil {
		t.Fatal(err)
	}
	l.store.close()
	l, owed := openTest(t, dir, 1<<20)
	if len(owed) != 2 || owed[1].UnknownOutcomeAt == 0 || l.Recovery.Sound() {
		t.Fatalf("the lost attempt of b was not detected: recovered %q, found %+v", describe(owed), l.Recovery)
	}
	mustAppend(t, l, accepted("c", "C"))
	l.store.close()
	if _, owed = openTest(t, dir, 1<<20); len(owed) != 3 || owed[2].UnknownOutcomeAt != 0 {
		t.Errorf("after another record and start: recovered %q", describe(owed))
	}
}

// buildSegments returns the files of a log with several segments, by name.
func buildSegments(t *testing.T) (text map[string][]byte) {
	t.Helper()
	dir := t.TempDir()
	l, _ := openTest(t, dir, 1<<20)
	for i, r := range sampleRecords() {
		if i%3 == 2 {
			if err := l.store.startSegment(); err != nil {
				t.Fatal(err)
			}
		}
		mustAppend(t, l, r)
	}
	l.store.close()
	text = map[string][]byte{}
	for _, path := range append(logFiles(t, dir, segmentSuffix), filepath.Join(dir, FolderName, stampName)) {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		text[filepath.Base(path)] = b
	}
	if len(text) < 5 {
		t.Fatalf("the log has %d files, want at least 5", len(text))
	}
	return text
}

// A segment is missing, empty, duplicated, swapped with another one or from another relay,
// with and without the stamp.
func TestSegmentsOutOfPlace(t *testing.T) {
	text, foreign := buildSegments(t), buildSegments(t)
	var names []string
	for name := range text {
		if name != stampName {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, withMark := range []bool{true, false} {
		check := func(what string, f func(m map[string][]byte)) {
			m := map[string][]byte{}
			for n, b := range text {
				if n != stampName || withMark {
					m[n] = b
				}
			}
			f(m)
			checkSafe(t, writeFolder(t, m), what)
		}
		for i, name := range names {
			check(name+" missing", func(m map[string][]byte) { delete(m, name) })
			check(name+" emptied", func(m map[string][]byte) { m[name] = nil })
			check(name+" duplicated", func(m map[string][]byte) { m["0000ffff"+segmentSuffix] = m[name] })
			check(name+" replaced by one of another relay", func(m map[string][]byte) { m[name] = foreign[name] })
			for _, other := range names[i+1:] {
				check(name+" and "+other+" swapped", func(m map[string][]byte) { m[name], m[other] = m[other], m[name] })
			}
		}
	}
	dir := writeFolder(t, text)
	if report, err := Inspect(nil, dir); err != nil || !report.Sound() {
		t.Errorf("unchanged folder: error %v, report %+v", err, report)
	}
}

// Corruption of a message's body loses this message but not its id, and no
// other message is affected.
func TestCorruptedBodyAffectsItsMessage(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTest(t, dir, 1<<20)
	mustAppend(t, l, accepted("first-one", "A"), accepted("second-one", strings.Repeat("body", 40)), accepted("third-one", "C"))
	path := logFiles(t, dir, segmentSuffix)[0]
	l.store.close()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b[strings.Index(string(b), "bodybody")+9] ^= 4
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	l, owed := openTest(t, dir, 1<<20)
	if len(owed) != 3 || owed[0].UnknownOutcomeAt != 0 || owed[2].UnknownOutcomeAt != 0 || !owed[1].Corrupted || owed[1].ID != "second-one" {
		t.Fatalf("recovered %q", describe(owed))
	}
	if !slices.Equal(l.Recovery.LostIDs, []string{"second-one"}) {
		t.Errorf("lost ids: %v", l.Recovery.LostIDs)
	}
	// The corrupted file is kept, and the loss is reported until the message's notice is sent.
	if err := l.store.finishCheckpoint(); err != nil {
		t.Fatal(err)
	}
	if kept, _ := filepath.Glob(filepath.Join(dir, FolderName, quarantinePrefix+"-*")); len(kept) != 1 {
		t.Errorf("files in quarantine: %v, want one", kept)
	}
	l.store.close()
	l, owed = openTest(t, dir, 1<<20)
	if len(owed) != 3 || !owed[1].Corrupted || !slices.Equal(l.Recovery.LostIDs, []string{"second-one"}) || len(l.Recovery.Corruptions) > 0 {
		t.Fatalf("after a checkpoint and another start: recovered %q, found %+v", describe(owed), l.Recovery)
	}
	mustAppend(t, l, &Record{Kind: KindCompleting, ID: "second-one", Notice: "given-up"}, &Record{Kind: KindCompleted, ID: "second-one"})
	l.store.close()
	if _, owed = openTest(t, dir, 1<<20); len(owed) != 2 {
		t.Errorf("after the completion: recovered %q", describe(owed))
	}
}

// Opening a folder of a newer format version fails and leaves the folder unchanged.
func TestNewerFormatIsRefused(t *testing.T) {
	_, text := buildFolder(t, -1)
	h, _ := decodeHeader(text[segmentName(1)])
	b := h.encode()
	b[9], b[headerCopySize+9] = formatVersion+1, formatVersion+1
	for at := 0; at < headerSize; at += headerCopySize {
		sealHeaderCopy(b[at : at+headerCopySize])
	}
	copy(text[segmentName(1)], b)
	dir := writeFolder(t, text)
	if _, err := Open(Options{Dir: dir, Limit: 1 << 20}); !errors.Is(err, ErrNewerVersion) || !strings.Contains(err.Error(), segmentName(1)) {
		t.Fatalf("got error %v, want ErrNewerVersion with the file's name", err)
	}
	if got, err := os.ReadFile(filepath.Join(dir, FolderName, segmentName(1))); err != nil || !slices.Equal(got, text[segmentName(1)]) {
		t.Error("the segment was changed")
	}
}

// Bytes in a message's body are never read as a record, even if they have a record's format.
func TestBodyIsNeverReadAsRecord(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTest(t, dir, 1<<20)
	forged, err := appendRecord(nil, &Record{Kind: KindCompleted, ID: "victim"}, 3, 0, nil) // a client does not know the checksum seed
	if err != nil {
		t.Fatal(err)
	}
	mustAppend(t, l, accepted("carrier", string(forged)), accepted("victim", "V"))
	path := logFiles(t, dir, segmentSuffix)[0]
	l.store.close()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b[strings.Index(string(b), "carrier")-1] ^= 1 // the head is corrupted, so the bytes after it are searched for records
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, owed := openTest(t, dir, 1<<20); !slices.ContainsFunc(owed, func(r *Record) bool { return r.ID == "victim" && !r.Corrupted }) {
		t.Errorf("the message that the forged record names is not pending: recovered %q", describe(owed))
	}
}

func FuzzFolder(f *testing.F) {
	dir := f.TempDir()
	l, err := Open(Options{Dir: dir, Limit: 1 << 20})
	if err != nil {
		f.Fatal(err)
	}
	for _, r := range sampleRecords() {
		l.store.appendRecords([]*Record{r})
	}
	l.store.close()
	good, err := os.ReadFile(filepath.Join(dir, FolderName, segmentName(1)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, 0, []byte{}, uint8(0))
	f.Add(good[:200], 150, []byte("noise"), uint8(1))
	f.Fuzz(func(t *testing.T, b []byte, at int, more []byte, name uint8) {
		if at < 0 || at > len(b) {
			return
		}
		text := map[string][]byte{segmentName(1): append(slices.Clone(b[:at]), more...), segmentName(2): b[at:]}
		if name%2 == 1 {
			text[checkpointName(uint32(name))] = b
		}
		dir := writeFolder(t, text)
		l, err := Open(Options{Dir: dir, Limit: 1 << 20})
		if err != nil {
			return // a newer version, or no readable files
		}
		first := describe(l.Next(1 << 20))
		if err := l.store.appendRecords([]*Record{accepted("after", "x")})[0]; err != nil && !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
		l.store.close()
		l, err = Open(Options{Dir: dir, Limit: 1 << 20})
		if err != nil {
			t.Fatal(err)
		}
		defer l.store.close()
		if then := l.Next(1 << 20); len(then) < len(first) {
			t.Fatalf("%d messages were recovered first, only %d later", len(first), len(then))
		}
	})
}

func FuzzRecord(f *testing.F) {
	for _, r := range sampleRecords() {
		b, err := appendRecord(nil, r, 1, 7, nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, n := (recordDecoder{salt: 7}).decode(b); n > len(b) || (r == nil) != (n == 0) {
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
