package wal

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"regexp"
	"slices"
)

// The log as it was before: one file of records that are a mark, the payload's
// length and sum, and a line of JSON, then the body. It is read, and carried
// over; it is not written any more.
const (
	legacyMark           = "\xf7TRW"
	legacyHeadSize       = 12
	maxLegacyRecordBytes = 128 << 10
)

// decodeLegacy reads the record at the start of b. size is 0 where there is none.
func decodeLegacy(b []byte) (r *Record, size int) {
	if len(b) < legacyHeadSize || string(b[:4]) != legacyMark {
		return nil, 0
	}
	n := int(binary.BigEndian.Uint32(b[4:]))
	if n > maxLegacyRecordBytes || legacyHeadSize+n > len(b) {
		return nil, 0
	}
	payload := b[legacyHeadSize : legacyHeadSize+n]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(b[8:]) {
		return nil, 0
	}
	line, body, ok := bytes.Cut(payload, []byte{'\n'})
	r = &Record{}
	if !ok || json.Unmarshal(line, r) != nil || r.ID == "" {
		return nil, 0
	}
	r.Body = slices.Clone(body)
	return r, legacyHeadSize + n
}

// legacyIDPattern finds the ids in what is left of old records.
var legacyIDPattern = regexp.MustCompile(`"id":"([^"\\]+)"`)

// replayLegacy folds an old log into the state. What stood in a damaged stretch may
// have been an attempt of any message that is owed there, or its end. A record
// whose end alone is missing, as a kill in the middle of its write leaves it,
// concerns the one message that it still names.
func (s *state) replayLegacy(src *logFile, file FileReport) FileReport {
	scan := scanner{file: src.file, size: src.size}
	for at := int64(0); at < src.size; {
		if r, n := decodeLegacy(scan.window(at, legacyHeadSize+maxLegacyRecordBytes)); n > 0 {
			s.seq++
			file.Records++
			s.apply(s.index.keyOf(r.ID), []byte(r.ID), s.seq, r, src, at, int64(n), false)
			at += int64(n)
			continue
		}
		end := scan.resyncLegacy(at + 1)
		b := scan.window(at, int(min(end-at, legacyHeadSize+maxLegacyRecordBytes)))
		var ids []string
		for _, m := range legacyIDPattern.FindAllSubmatch(b, -1) {
			ids = append(ids, string(m[1]))
		}
		d := Corruption{File: src.name, Offset: at, Bytes: end - at, Reason: "unreadable", IDs: ids}
		cut := len(b) >= legacyHeadSize && string(b[:4]) == legacyMark && legacyHeadSize+int64(binary.BigEndian.Uint32(b[4:])) > end-at
		if cut && len(ids) == 1 {
			if i, ok := s.index.find(s.index.keyOf(ids[0])); ok {
				s.suspect(i)
				d.Affected = 1
			}
		} else {
			d.Affected = s.suspectAll(s.seq + 1)
		}
		s.recovery.Corruptions = append(s.recovery.Corruptions, d)
		at = end
	}
	return file
}

func (s *scanner) resyncLegacy(off int64) int64 {
	for off < s.size {
		b := s.window(off, scanWindowBytes/2)
		i := bytes.Index(b, []byte(legacyMark))
		if len(b) == 0 {
			break
		}
		if i < 0 {
			off += int64(max(1, len(b)-len(legacyMark)+1))
			continue
		}
		off += int64(i)
		if _, n := decodeLegacy(s.window(off, legacyHeadSize+maxLegacyRecordBytes)); n > 0 {
			return off
		}
		off++
	}
	return s.size
}
