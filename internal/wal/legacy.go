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
	oldMark = "\xf7TRW"
	oldHead = 12
	oldMost = 128 << 10
)

// decodeOld reads the record at the start of b. size is 0 where there is none.
func decodeOld(b []byte) (r *Record, size int) {
	if len(b) < oldHead || string(b[:4]) != oldMark {
		return nil, 0
	}
	n := int(binary.BigEndian.Uint32(b[4:]))
	if n > oldMost || oldHead+n > len(b) {
		return nil, 0
	}
	payload := b[oldHead : oldHead+n]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(b[8:]) {
		return nil, 0
	}
	line, body, ok := bytes.Cut(payload, []byte{'\n'})
	r = &Record{}
	if !ok || json.Unmarshal(line, r) != nil || r.ID == "" {
		return nil, 0
	}
	r.Body = slices.Clone(body)
	return r, oldHead + n
}

// oldNames finds the ids in what is left of old records.
var oldNames = regexp.MustCompile(`"id":"([^"\\]+)"`)

// replayOld folds an old log into the state. What stood in a damaged stretch may
// have been an attempt of any message that is owed there, or its end. A record
// whose end alone is missing, as a kill in the middle of its write leaves it,
// concerns the one message that it still names.
func (s *state) replayOld(src *source, file FileReport) FileReport {
	scan := scanner{f: src.f, size: src.size}
	for at := int64(0); at < src.size; {
		if r, n := decodeOld(scan.window(at, oldHead+oldMost)); n > 0 {
			s.seq++
			file.Records++
			s.book(s.idx.keyOf(r.ID), []byte(r.ID), s.seq, r, src, at, int64(n), false)
			at += int64(n)
			continue
		}
		end := scan.resyncOld(at + 1)
		b := scan.window(at, int(min(end-at, oldHead+oldMost)))
		var ids []string
		for _, m := range oldNames.FindAllSubmatch(b, -1) {
			ids = append(ids, string(m[1]))
		}
		d := Corruption{File: src.name, Offset: at, Bytes: end - at, Reason: "unreadable", IDs: ids}
		cut := len(b) >= oldHead && string(b[:4]) == oldMark && oldHead+int64(binary.BigEndian.Uint32(b[4:])) > end-at
		if cut && len(ids) == 1 {
			if i, ok := s.idx.find(s.idx.keyOf(ids[0])); ok {
				s.concern(i)
				d.Affected = 1
			}
		} else {
			d.Affected = s.concernAll(s.seq + 1)
		}
		s.report.Corruptions = append(s.report.Corruptions, d)
		at = end
	}
	return file
}

func (s *scanner) resyncOld(off int64) int64 {
	for off < s.size {
		b := s.window(off, scanChunk/2)
		i := bytes.Index(b, []byte(oldMark))
		if len(b) == 0 {
			break
		}
		if i < 0 {
			off += int64(max(1, len(b)-len(oldMark)+1))
			continue
		}
		off += int64(i)
		if _, n := decodeOld(s.window(off, oldHead+oldMost)); n > 0 {
			return off
		}
		off++
	}
	return s.size
}
