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
	maxIDSearchBytes  = 64 << 10 // bytes of an unreadable range that are searched for ids
	maxReadableIDs    = 32       // maximum number of ids that are reported for one unreadable range
	resyncSearchBytes = scanWindowBytes / 2
)

// scanner reads a file through a buffer, so that memory use does not grow with the file.
// If only file and size are set, it reads with the checksum seed 0 and the default buffer size.
type scanner struct {
	file         File
	size         int64
	checksumSeed uint32
	windowBytes  int // minimum size of a read; 0 for scanWindowBytes
	buffer       []byte
	bufferOffset int64 // file offset of buffer[0]
}

// window returns the want bytes at off, or fewer at the end of the file or if a read
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
		// Bytes that cannot be read count as corrupted, so the error is not needed.
		n, _ := s.file.ReadAt(s.buffer[:int(min(int64(size), s.size-off))], off)
		s.bufferOffset, s.buffer = off, s.buffer[:n]
		if n < want {
			return s.buffer
		}
	}
	return s.buffer[off-s.bufferOffset:][:want]
}

// recordStatus says how much of the record at an offset is valid.
type recordStatus int

const (
	recordValid      recordStatus = iota
	payloadCorrupted              // head and id are valid, but the payload is not, or this program does not know the kind
	recordTorn                    // head and id are valid, but the file ends before the record does
	recordUnreadable              // nothing is valid
)

// rawRecord is a record as stored in a file. Its slices are valid until the scanner's next call.
type rawRecord struct {
	size    int64 // including the head
	seq     uint64
	kind    Kind // empty if this program does not know the kind
	id      []byte
	payload []byte
}

// record reads the record at offset off.
func (s *scanner) record(off int64) (r rawRecord, status recordStatus) {
	b := s.window(off, maxRecordHeadBytes)
	if len(b) < recordHeadSize || string(b[:recordLengthOffset]) != recordMark {
		return r, recordUnreadable
	}
	length, idLength := int(binary.BigEndian.Uint32(b[recordLengthOffset:])), int(binary.BigEndian.Uint16(b[recordIDLengthOffset:]))
	if length > maxRecordBytes || idLength > length || recordHeadSize+idLength > len(b) {
		return r, recordUnreadable
	}
	if headChecksum(b, s.checksumSeed, idLength) != binary.BigEndian.Uint32(b[recordHeadChecksumOffset:]) {
		return r, recordUnreadable
	}
	r = rawRecord{size: int64(recordHeadSize + length), seq: binary.BigEndian.Uint64(b[recordSeqOffset:])}
	if k := int(b[recordKindOffset]); k > 0 && k < len(kindsByNumber) {
		r.kind = kindsByNumber[k]
	}
	if off+r.size > s.size {
		r.id = b[recordHeadSize : recordHeadSize+idLength]
		return r, recordTorn
	}
	b = s.window(off, int(r.size))
	if int64(len(b)) < r.size { // the read failed
		return r, recordUnreadable
	}
	r.id, r.payload = b[recordHeadSize:recordHeadSize+idLength], b[recordHeadSize+idLength:]
	sum := crc32.Update(binary.BigEndian.Uint32(b[recordHeadChecksumOffset:]), castagnoli, r.payload)
	if sum != binary.BigEndian.Uint32(b[recordChecksumOffset:]) || r.kind == "" {
		return r, payloadCorrupted
	}
	return r, recordValid
}

// resync returns the first offset from off on at which a record has a valid head and a
// sequence number of at least minSeq, or the end of the file if there is none.
func (s *scanner) resync(off int64, minSeq uint64) int64 {
	for off < s.size {
		b := s.window(off, resyncSearchBytes)
		if len(b) == 0 {
			break // the read failed
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

// allZeros reports whether the bytes in a range are all zero.
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

// idPattern matches byte strings that contain a possible message id.
var idPattern = regexp.MustCompile(`[!-~]{6,256}`)

// readableIDs returns strings from a corrupted range that look like ids. They may be
// wrong; they help an operator to search for a message.
func (s *scanner) readableIDs(from, to int64) (ids []string) {
	b := s.window(from, int(min(to-from, maxIDSearchBytes)))
	for offset := 0; len(ids) < maxReadableIDs; {
		i := bytes.Index(b[offset:], []byte(recordMark))
		if i < 0 {
			return ids
		}
		head := offset + i
		offset = head + recordHeadSize
		if offset > len(b) {
			return ids
		}
		length := int(binary.BigEndian.Uint16(b[head+recordIDLengthOffset:]))
		if id := b[offset:min(len(b), offset+length)]; len(id) > 0 && idPattern.Match(id) {
			ids = append(ids, string(id))
		}
	}
	return ids
}
