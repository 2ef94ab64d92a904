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

// buildFolder writes the sample records, with a checkpoint after so many of them, and
// gives the folder's files by name.
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

// writeFolder makes a state folder of a log's files.
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

// checkSafe checks what holds whatever was corrupted: nothing that was sent or completed
// comes back as never sent, nothing is missing without a report, and the folder gives the
// same when it is opened again.
func checkSafe(t *testing.T, dir, what string) {
	t.Helper()
	l, owed := openTest(t, dir, 1<<20)
	have := map[string]*Record{}
	for _, r := range owed {
		have[r.ID] = r
		fit := !r.Corrupted && r.UnknownOutcomeAt == 0 && r.Notice == ""
		switch r.ID {
		case "a": // its one attempt never ran; where corruption took that outcome, it may have
		case "b", "c", "d":
			if fit {
				t.Fatalf("%s: %s comes back as never sent: %+v; found %+v", what, r.ID, r, l.Recovery)
			}
		case "e":
			if fit {
				t.Fatalf("%s: e was over, and comes back as fit to be sent; found %+v", what, l.Recovery)
			}
		default:
			t.Fatalf("%s: %q was never taken on", what, r.ID)
		}
	}
	for _, id := range []string{"a", "b", "c", "e"} {
		if have[id] == nil && l.Recovery.Sound() {
			t.Fatalf("%s: %s is gone, and nobody was told", what, id)
		}
	}
	l.store.close()
	again, then := openTest(t, dir, 1<<20)
	if got, want := describe(then), describe(owed); !slices.Equal(got, want) {
		t.Fatalf("%s: first %q, then %q", what, want, got)
	}
	again.store.close()
}

// A bit is flipped in each byte of each kind of record, in segments and in a checkpoint.
// The attempts of b and c and the completions of d and e must not be hidden.
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
					checkSafe(t, writeFolder(t, corrupted), fmt.Sprintf("checkpoint at %d: %s, byte %d, bit %d", at, name, i, bit))
				}
			}
		}
	}
}

// A file is cut at any byte, with and without zeros after it.
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
					checkSafe(t, writeFolder(t, corrupted), fmt.Sprintf("checkpoint at %d: %s cut at %d, %d zeros", at, name, i, zeros))
				}
			}
		}
	}
}

// A kill in the middle of a write leaves the stamp behind the complete records: nothing is
// corrupted, and no message is treated as sent.
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
			t.Fatalf("%v, %+v", err, report)
		}
		if err := l.store.segment.file.file.Truncate(whole); err != nil {
			t.Fatal(err)
		}
	}
}

// Complete records that are missing at the end are detected though the rest is valid: the
// stamp has the sequence number of the last one.
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
		t.Fatalf("%q, found %+v", describe(owed), l.Recovery)
	}
	mustAppend(t, l, accepted("c", "C"))
	l.store.close()
	if _, owed = openTest(t, dir, 1<<20); len(owed) != 3 || owed[2].UnknownOutcomeAt != 0 {
		t.Errorf("then %q", describe(owed))
	}
}

// buildSegments gives the files of a log of several segments.
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
		t.Fatalf("%d files", len(text))
	}
	return text
}

// A segment is missing, swapped, duplicated, emptied, or from another relay, with the
// stamp and without it.
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
			check(name+" doubled", func(m map[string][]byte) { m["0000ffff"+segmentSuffix] = m[name] })
			check(name+" of another relay", func(m map[string][]byte) { m[name] = foreign[name] })
			for _, other := range names[i+1:] {
				check(name+" and "+other+" swapped", func(m map[string][]byte) { m[name], m[other] = m[other], m[name] })
			}
		}
	}
	dir := writeFolder(t, text)
	if report, err := Inspect(nil, dir); err != nil || !report.Sound() {
		t.Errorf("untouched: %v, %+v", err, report)
	}
}

// A corrupted body loses its message and gives the id; other messages are not affected.
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
		t.Fatalf("%q", describe(owed))
	}
	if !slices.Equal(l.Recovery.LostIDs, []string{"second-one"}) {
		t.Errorf("lost %v", l.Recovery.LostIDs)
	}
	// The corrupted file is kept, and the loss is known until its notice is sent.
	if err := l.store.finishCheckpoint(); err != nil {
		t.Fatal(err)
	}
	if kept, _ := filepath.Glob(filepath.Join(dir, FolderName, quarantinePrefix+"-*")); len(kept) != 1 {
		t.Errorf("kept aside: %v", kept)
	}
	l.store.close()
	l, owed = openTest(t, dir, 1<<20)
	if len(owed) != 3 || !owed[1].Corrupted || !slices.Equal(l.Recovery.LostIDs, []string{"second-one"}) || len(l.Recovery.Corruptions) > 0 {
		t.Fatalf("then %q, found %+v", describe(owed), l.Recovery)
	}
	mustAppend(t, l, &Record{Kind: KindCompleting, ID: "second-one", Notice: "given-up"}, &Record{Kind: KindCompleted, ID: "second-one"})
	l.store.close()
	if _, owed = openTest(t, dir, 1<<20); len(owed) != 2 {
		t.Errorf("at last %q", describe(owed))
	}
}

// A folder of a newer version is refused, and left as it is.
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
		t.Fatalf("got %v", err)
	}
	if got, err := os.ReadFile(filepath.Join(dir, FolderName, segmentName(1))); err != nil || !slices.Equal(got, text[segmentName(1)]) {
		t.Error("changed")
	}
}

// Bytes that a client sends are never read as a record, though they look like one.
func TestBodyIsNeverReadAsRecord(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTest(t, dir, 1<<20)
	forged, err := appendRecord(nil, &Record{Kind: KindCompleted, ID: "victim"}, 3, 0, nil) // it does not know the salt
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
	b[strings.Index(string(b), "carrier")-1] ^= 1 // its head is corrupted: what follows is searched for records
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, owed := openTest(t, dir, 1<<20); !slices.ContainsFunc(owed, func(r *Record) bool { return r.ID == "victim" && !r.Corrupted }) {
		t.Errorf("%q", describe(owed))
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
			return // newer, or no files
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
			t.Fatalf("%d owed, then %d", len(first), len(then))
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
			t.Fatalf("%d bytes of %d: %+v", n, len(b), r)
		}
		var r Record
		for _, k := range kindsByNumber { // a payload without a checksum
			r = Record{Kind: k}
			decodePayload(&r, b)
		}
		decodeMessage(&r, b)
	})
}
