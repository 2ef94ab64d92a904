package wal

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"regexp"
)

const (
	scanWindowBytes   = 256 << 10
	maxIDSearchBytes  = 64 << 10 // of a corrupted stretch that is searched for ids
	maxReadableIDs    = 32       // that are reported of one stretch
	resyncSearchBytes = scanWindowBytes / 2
)

// scanner reads a file through a window, so that memory does not grow with the file.
// Its zero value apart from file and size reads with the salt 0 and the default window.
type scanner struct {
	file         File
	size         int64
	salt         uint32
	windowBytes  int // read at a time, unless more is wanted; 0 for scanWindowBytes
	buffer       []byte
	bufferOffset int64 // place of buffer[0] in the file
}

// window gives the want bytes at off, or fewer at the end of the file and where a read
// fails. They are valid until the next call.
func (s *scanner) window(off int64, want int) []byte {
	want = int(min(int64(want), s.size-off))
	if want <= 0 {
		return nil
	}
	if off < s.bufferOffset || off+int64(want) > s.bufferOffset+int64(len(s.buffer)) {
		size := max(want, cmp.Or(s.windowBytes, scanWindowBytes))
		if cap(s.buffer) < size {
			s.buffer = make([]byte, 0, size)
		}
		n, _ := s.file.ReadAt(s.buffer[:int(min(int64(size), s.size-off))], off) // what cannot be read counts as corrupted
		s.bufferOffset, s.buffer = off, s.buffer[:n]
		if n < want {
			return s.buffer
		}
	}
	return s.buffer[off-s.bufferOffset:][:want]
}

// recordStatus is what can be said of the bytes at a place.
type recordStatus int

const (
	recordValid      recordStatus = iota
	payloadCorrupted              // head and id are certain, the payload is not
	recordTorn                    // likewise, and the file ends before the record does
	recordUnreadable              // nothing is certain
)

// rawRecord is a record as it stands in a file. Its slices are valid until the scanner's
// next call.
type rawRecord struct {
	size    int64 // with its head
	seq     uint64
	kind    Kind // empty where this program does not know it
	id      []byte
	payload []byte
}

// record reads the record at off.
func (s *scanner) record(off int64) (r rawRecord, status recordStatus) {
	b := s.window(off, maxRecordHeadBytes)
	if len(b) < recordHeadSize || string(b[:recordLengthAt]) != recordMark {
		return r, recordUnreadable
	}
	length, idLength := int(binary.BigEndian.Uint32(b[recordLengthAt:])), int(binary.BigEndian.Uint16(b[recordIDLengthAt:]))
	if length > maxRecordBytes || idLength > length || recordHeadSize+idLength > len(b) {
		return r, recordUnreadable
	}
	if headChecksum(b, s.salt, idLength) != binary.BigEndian.Uint32(b[recordHeadChecksumAt:]) {
		return r, recordUnreadable
	}
	r = rawRecord{size: int64(recordHeadSize + length), seq: binary.BigEndian.Uint64(b[recordSeqAt:])}
	if k := int(b[recordKindAt]); k > 0 && k < len(kindsByNumber) {
		r.kind = kindsByNumber[k]
	}
	if off+r.size > s.size {
		r.id = b[recordHeadSize : recordHeadSize+idLength]
		return r, recordTorn
	}
	b = s.window(off, int(r.size))
	if int64(len(b)) < r.size { // a read failed
		return r, recordUnreadable
	}
	r.id, r.payload = b[recordHeadSize:recordHeadSize+idLength], b[recordHeadSize+idLength:]
	sum := crc32.Update(binary.BigEndian.Uint32(b[recordHeadChecksumAt:]), castagnoli, r.payload)
	if sum != binary.BigEndian.Uint32(b[recordChecksumAt:]) || r.kind == "" {
		return r, payloadCorrupted
	}
	return r, recordValid
}

// resync gives the first place from off on where a record's head is certain and its
// sequence number is at least minSeq; the end of the file where there is none.
func (s *scanner) resync(off int64, minSeq uint64) int64 {
	for off < s.size {
		b := s.window(off, resyncSearchBytes)
		if len(b) == 0 {
			break // unreadable
		}
		i := bytes.Index(b, []byte(recordMark))
		if i < 0 {
			off += int64(max(1, len(b)-len(recordMark)+1))
			continue
		}
		off += int64(i)
		if r, status := s.record(off); status != recordUnreadable && r.seq >= minSeq {
			return off
		}
		off++
	}
	return s.size
}

// allZeros reports whether a stretch holds nothing but zeros.
func (s *scanner) allZeros(from, to int64) bool {
	for from < to {
		b := s.window(from, int(min(to-from, resyncSearchBytes)))
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

// idPattern matches what may be ids in a stretch that cannot be read.
var idPattern = regexp.MustCompile(`[!-~]{6,256}`)

// readableIDs gives ids that can be read in a corrupted stretch. They may be wrong, and
// help a person who looks for a message.
func (s *scanner) readableIDs(from, to int64) (ids []string) {
	b := s.window(from, int(min(to-from, maxIDSearchBytes)))
	for at := 0; len(ids) < maxReadableIDs; {
		i := bytes.Index(b[at:], []byte(recordMark))
		if i < 0 {
			return ids
		}
		head := at + i
		at = head + recordHeadSize
		if at > len(b) {
			return ids
		}
		length := int(binary.BigEndian.Uint16(b[head+recordIDLengthAt:]))
		if id := b[at:min(len(b), at+length)]; len(id) > 0 && idPattern.Match(id) {
			ids = append(ids, string(id))
		}
	}
	return ids
}
