package wal

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"regexp"
	"slices"
)

// The legacy format is a single file of records. A record consists of a mark, the
// payload's length and checksum, and the payload: a line of JSON followed by the body.
// This program reads and converts the format but never writes it.
const (
	legacyMark           = "\xf7TRW"
	legacyHeadSize       = 12
	legacyLengthOffset   = 4
	legacyChecksumOffset = 8
	maxLegacyRecordBytes = 128 << 10
	maxLegacyWindowBytes = legacyHeadSize + maxLegacyRecordBytes
)

// hasLegacyHead reports whether b begins with the head of a legacy record.
func hasLegacyHead(b []byte) bool {
	return len(b) >= legacyHeadSize && string(b[:len(legacyMark)]) == legacyMark
}

// legacyRecordSize returns the size of a record according to the head at the start of b.
func legacyRecordSize(b []byte) int64 {
	return legacyHeadSize + int64(binary.BigEndian.Uint32(b[legacyLengthOffset:]))
}

// decodeLegacy decodes the record at the start of b. size is 0 if there is no valid record.
func decodeLegacy(b []byte) (r *Record, size int) {
	if !hasLegacyHead(b) {
		return nil, 0
	}
	end := legacyRecordSize(b)
	if end > maxLegacyWindowBytes || end > int64(len(b)) {
		return nil, 0
	}
	payload := b[legacyHeadSize:end]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(b[legacyChecksumOffset:]) {
		return nil, 0
	}
	line, body, ok := bytes.Cut(payload, []byte{'\n'})
	r = &Record{}
	if !ok || json.Unmarshal(line, r) != nil || r.ID == "" {
		return nil, 0
	}
	r.Body = slices.Clone(body)
	return r, int(end)
}

// readLegacyFiles reads the log files of a legacy program. A missing file counts as empty.
func readLegacyFiles(fs FS, dir string, names ...string) (*state, error) {
	s := newState()
	for _, name := range names {
		if err := s.readLegacyFile(fs, dir, name); err != nil {
			s.closeFiles()
			return nil, fmt.Errorf("wal: %w", err)
		}
	}
	s.recovery.OlderFormat = true
	s.summarize()
	return s, nil
}

func (s *state) readLegacyFile(fs FS, dir, name string) error {
	f, err := fs.Open(filepath.Join(dir, name), ModeRead)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	file := s.addFile(&logFile{name: name, file: f, legacy: true})
	if file.size, err = f.Size(); err != nil {
		return err
	}
	records := s.replayLegacy(file)
	s.recovery.Files = append(s.recovery.Files, FileReport{Name: name, Kind: "older log", Bytes: file.size, Records: records})
	return nil
}

// replayLegacy applies the records of a legacy file and returns their number.
func (s *state) replayLegacy(f *logFile) (records int) {
	scan := scanner{file: f.file, size: f.size}
	for off := int64(0); off < f.size; {
		r, size := decodeLegacy(scan.window(off, maxLegacyWindowBytes))
		if size == 0 {
			end := scan.resyncLegacy(off + 1)
			s.addLegacyCorruption(&scan, f, off, end)
			off = end
			continue
		}
		s.seq++
		records++
		s.apply(s.index.keyOf(r.ID), []byte(r.ID), s.seq, r, recordPlace{f, off, int64(size)})
		off += int64(size)
	}
	return records
}

// legacyIDPattern matches the ids in damaged legacy records.
var legacyIDPattern = regexp.MustCompile(`"id":"([^"\\]+)"`)

// addLegacyCorruption reports a range that cannot be read. It may have held an attempt or the
// completion of any pending message. But if only the end of a record is missing, because a
// kill interrupted its write, this affects only the message whose id can still be read.
func (s *state) addLegacyCorruption(scan *scanner, f *logFile, off, end int64) {
	b := scan.window(off, int(min(end-off, maxLegacyWindowBytes)))
	var ids []string
	for _, match := range legacyIDPattern.FindAllSubmatch(b, -1) {
		ids = append(ids, string(match[1]))
	}
	c := Corruption{File: f.name, Offset: off, Bytes: end - off, Reason: reasonUnreadable, IDs: ids}
	isTorn := hasLegacyHead(b) && legacyRecordSize(b) > end-off
	if isTorn && len(ids) == 1 {
		if i, ok := s.index.find(s.index.keyOf(ids[0])); ok {
			s.assumeSent(i)
			c.Affected = 1
		}
	} else {
		c.Affected = s.assumeAllSent(s.seq + 1)
	}
	s.recovery.addCorruption(c)
}

// readLegacyMessage sets r's id from an entry's legacy record, and returns the message as
// the current format encodes it.
func readLegacyMessage(f *logFile, e *entry, scan *scanner, r *Record) (message []byte, err error) {
	stored, size := decodeLegacy(scan.window(int64(e.offset), int(e.size)))
	if size == 0 {
		return nil, errUnreadableNow(f, e.offset)
	}
	r.ID = stored.ID
	return appendMessage(nil, stored), nil
}

// resyncLegacy returns the first offset from off on at which a valid legacy record begins,
// or the end of the file if there is none.
func (s *scanner) resyncLegacy(off int64) int64 {
	for off < s.size {
		b := s.window(off, resyncSearchBytes)
		if len(b) == 0 {
			break // the read failed
		}
		i := bytes.Index(b, []byte(legacyMark))
		if i < 0 {
			off += int64(max(1, len(b)-len(legacyMark)+1))
			continue
		}
		off += int64(i)
		if _, size := decodeLegacy(s.window(off, maxLegacyWindowBytes)); size > 0 {
			return off
		}
		off++
	}
	return s.size
}
