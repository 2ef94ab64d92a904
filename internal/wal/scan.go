package wal

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"regexp"
)

const scanWindowBytes = 256 << 10

// scanner reads a file through a window, whatever the file's size.
type scanner struct {
	file         File
	size         int64
	salt         uint32
	windowBytes  int // bytes of the window, unless more are wanted; 0 for scanWindowBytes
	buffer       []byte
	bufferOffset int64 // place of buf[0]
	err          error // of a read, for which the rest counts as unreadable
}

// window gives what stands at off: want bytes, or fewer at the file's end.
func (s *scanner) window(off int64, want int) []byte {
	if want = int(min(int64(want), s.size-off)); want <= 0 {
		return nil
	}
	if off < s.bufferOffset || off+int64(want) > s.bufferOffset+int64(len(s.buffer)) {
		size := max(want, cmp.Or(s.windowBytes, scanWindowBytes))
		if cap(s.buffer) < size {
			s.buffer = make([]byte, 0, size)
		}
		n, err := s.file.ReadAt(s.buffer[:int(min(int64(size), s.size-off))], off)
		s.bufferOffset, s.buffer = off, s.buffer[:n]
		if n < want {
			s.err = err
			return s.buffer
		}
	}
	return s.buffer[off-s.bufferOffset:][:want]
}

type recordStatus int

const (
	recordValid      recordStatus = iota
	payloadCorrupted              // whose record it is, is certain; what it said is not
	recordTorn                    // likewise, and the file ends before the record does
	recordUnreadable              // nothing is certain
)

// rawRecord is a record as it stands in a file. Its slices are the window's.
type rawRecord struct {
	offset  int64
	size    int64 // with its head
	seq     uint64
	kind    Kind
	id      []byte
	payload []byte
}

func (s *scanner) record(off int64) (r rawRecord, st recordStatus) {
	b := s.window(off, maxRecordHeadBytes)
	if len(b) < recordHeadSize || string(b[:4]) != recordMark {
		return r, recordUnreadable
	}
	n, idLen := int(binary.BigEndian.Uint32(b[4:])), int(binary.BigEndian.Uint16(b[18:]))
	if n > maxRecordBytes || idLen > n || recordHeadSize+idLen > len(b) || headChecksum(b, s.salt, idLen) != binary.BigEndian.Uint32(b[20:]) {
		return r, recordUnreadable
	}
	r = rawRecord{offset: off, size: int64(recordHeadSize + n), seq: binary.BigEndian.Uint64(b[8:])}
	if k := int(b[16]); k > 0 && k < len(kindsByNumber) {
		r.kind = kindsByNumber[k]
	}
	if off+r.size > s.size {
		r.id = b[recordHeadSize : recordHeadSize+idLen]
		return r, recordTorn
	}
	b = s.window(off, int(r.size))
	if int64(len(b)) < r.size { // a read failed
		return r, recordUnreadable
	}
	r.id, r.payload = b[recordHeadSize:recordHeadSize+idLen], b[recordHeadSize+idLen:]
	if crc32.Update(binary.BigEndian.Uint32(b[20:]), castagnoli, r.payload) != binary.BigEndian.Uint32(b[24:]) || r.kind == "" {
		return r, payloadCorrupted
	}
	return r, recordValid
}

// resync gives the next place from off on where a record's head is certain and
// its number is not under least; the file's end where there is none.
func (s *scanner) resync(off int64, least uint64) int64 {
	for off < s.size {
		b := s.window(off, scanWindowBytes/2)
		if len(b) == 0 {
			break // unreadable
		}
		i := bytes.Index(b, []byte(recordMark))
		if i < 0 {
			off += int64(max(1, len(b)-len(recordMark)+1))
			continue
		}
		off += int64(i)
		if r, st := s.record(off); st != recordUnreadable && r.seq >= least {
			return off
		}
		off++
	}
	return s.size
}

// allZeros reports whether a stretch holds nothing else.
func (s *scanner) allZeros(from, to int64) bool {
	for from < to {
		b := s.window(from, int(min(to-from, scanWindowBytes/2)))
		if len(b) == 0 {
			return false
		}
		for _, c := range b {
			if c != 0 {
				return false
			}
		}
		from += int64(len(b))
	}
	return true
}

// idPattern finds what may be ids in a stretch that cannot be read.
var idPattern = regexp.MustCompile(`[!-~]{6,256}`)

// readableIDs gives what can be read of a stretch; it may be wrong, and helps a person
// who looks for a message.
func (s *scanner) readableIDs(from, to int64) (ids []string) {
	const most = 32
	b := s.window(from, int(min(to-from, 64<<10)))
	for at := 0; len(ids) < most; {
		i := bytes.Index(b[at:], []byte(recordMark))
		if i < 0 {
			return ids
		}
		if at += i + recordHeadSize; at > len(b) {
			return ids
		}
		n := int(binary.BigEndian.Uint16(b[at-recordHeadSize+18:]))
		if id := b[at:min(len(b), at+n)]; len(id) > 0 && idPattern.Match(id) {
			ids = append(ids, string(id))
		}
	}
	return ids
}
