package wal

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"regexp"
)

const scanChunk = 256 << 10

// scanner reads a file through a window, whatever the file's size.
type scanner struct {
	f    File
	size int64
	salt uint32
	most int // bytes of the window, unless more are wanted; 0 for scanChunk
	buf  []byte
	base int64 // place of buf[0]
	err  error // of a read, for which the rest counts as unreadable
}

// window gives what stands at off: want bytes, or fewer at the file's end.
func (s *scanner) window(off int64, want int) []byte {
	if want = int(min(int64(want), s.size-off)); want <= 0 {
		return nil
	}
	if off < s.base || off+int64(want) > s.base+int64(len(s.buf)) {
		size := max(want, cmp.Or(s.most, scanChunk))
		if cap(s.buf) < size {
			s.buf = make([]byte, 0, size)
		}
		n, err := s.f.ReadAt(s.buf[:int(min(int64(size), s.size-off))], off)
		s.base, s.buf = off, s.buf[:n]
		if n < want {
			s.err = err
			return s.buf
		}
	}
	return s.buf[off-s.base:][:want]
}

type status int

const (
	sound   status = iota
	badRest        // whose record it is, is certain; what it said is not
	torn           // likewise, and the file ends before the record does
	unsound        // nothing is certain
)

// raw is a record as it stands in a file. Its slices are the window's.
type raw struct {
	off  int64
	size int64 // with its head
	seq  uint64
	kind Kind
	id   []byte
	rest []byte
}

func (s *scanner) record(off int64) (r raw, st status) {
	b := s.window(off, headMost)
	if len(b) < headSize || string(b[:4]) != recordMark {
		return r, unsound
	}
	n, idLen := int(binary.BigEndian.Uint32(b[4:])), int(binary.BigEndian.Uint16(b[18:]))
	if n > recordMost || idLen > n || headSize+idLen > len(b) || headSum(b, s.salt, idLen) != binary.BigEndian.Uint32(b[20:]) {
		return r, unsound
	}
	r = raw{off: off, size: int64(headSize + n), seq: binary.BigEndian.Uint64(b[8:])}
	if k := int(b[16]); k > 0 && k < len(kinds) {
		r.kind = kinds[k]
	}
	if off+r.size > s.size {
		r.id = b[headSize : headSize+idLen]
		return r, torn
	}
	b = s.window(off, int(r.size))
	if int64(len(b)) < r.size { // a read failed
		return r, unsound
	}
	r.id, r.rest = b[headSize:headSize+idLen], b[headSize+idLen:]
	if crc32.Update(binary.BigEndian.Uint32(b[20:]), castagnoli, r.rest) != binary.BigEndian.Uint32(b[24:]) || r.kind == "" {
		return r, badRest
	}
	return r, sound
}

// resync gives the next place from off on where a record's head is certain and
// its number is not under least; the file's end where there is none.
func (s *scanner) resync(off int64, least uint64) int64 {
	for off < s.size {
		b := s.window(off, scanChunk/2)
		if len(b) == 0 {
			break // unreadable
		}
		i := bytes.Index(b, []byte(recordMark))
		if i < 0 {
			off += int64(max(1, len(b)-len(recordMark)+1))
			continue
		}
		off += int64(i)
		if r, st := s.record(off); st != unsound && r.seq >= least {
			return off
		}
		off++
	}
	return s.size
}

// zeros reports whether a stretch holds nothing else.
func (s *scanner) zeros(from, to int64) bool {
	for from < to {
		b := s.window(from, int(min(to-from, scanChunk/2)))
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

// plain finds what may be ids in a stretch that cannot be read.
var plain = regexp.MustCompile(`[!-~]{6,256}`)

// names gives what can be read of a stretch; it may be wrong, and helps a person
// who looks for a message.
func (s *scanner) names(from, to int64) (ids []string) {
	const most = 32
	b := s.window(from, int(min(to-from, 64<<10)))
	for at := 0; len(ids) < most; {
		i := bytes.Index(b[at:], []byte(recordMark))
		if i < 0 {
			return ids
		}
		if at += i + headSize; at > len(b) {
			return ids
		}
		n := int(binary.BigEndian.Uint16(b[at-headSize+18:]))
		if id := b[at:min(len(b), at+n)]; len(id) > 0 && plain.Match(id) {
			ids = append(ids, string(id))
		}
	}
	return ids
}
