package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// The form of a file. It begins with two copies of its header, so that one
// damaged byte does not take the rest with it. A record is a head of 28 bytes,
// the id of its message and the rest. Two sums are kept: that of the head and
// the id, and that of the rest, so that damage to a body leaves certain whose it
// was. Sums are salted with the folder's own draw: bytes that a client sends can
// never be read as a record, nor can a record of another relay.
const (
	formVersion = 1
	headerCopy  = 64
	headerSize  = 2 * headerCopy
	recordMark  = "\xf7TR2"
	headSize    = 28
	recordMost  = 160 << 10 // longer than any record
	headMost    = headSize + 256
	stateRoom   = 128 // bytes by which a message's record may grow later, beside its endpoint's id
)

var (
	fileMagic  = []byte("\xf7TRLOG\r\n")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

type fileKind uint8

const (
	segmentFile fileKind = iota + 1
	checkpointFile
	sideFile
)

func (k fileKind) String() string {
	return [...]string{"", "segment", "checkpoint", "side log"}[min(k, sideFile)]
}

// header is what a file says of itself.
type header struct {
	version uint16
	kind    fileKind
	power   bool
	num     uint32 // of a segment; of a checkpoint, the first segment that it does not cover
	first   uint64 // sequence number of its first record; of a checkpoint, the first that it does not cover
	owner   [16]byte
	by      uint32
	made    int64 // when, by the wall clock: Unix microseconds
	logged  int64 // the same moment by the log's time; 0 where an older program made it
}

func (h *header) encode() []byte {
	b := make([]byte, headerCopy, headerSize)
	copy(b, fileMagic)
	binary.BigEndian.PutUint16(b[8:], formVersion)
	b[10] = byte(h.kind)
	if h.power {
		b[11] = 1
	}
	binary.BigEndian.PutUint32(b[12:], h.num)
	binary.BigEndian.PutUint64(b[16:], h.first)
	copy(b[24:40], h.owner[:])
	binary.BigEndian.PutUint32(b[40:], h.by)
	binary.BigEndian.PutUint64(b[44:], uint64(h.made))
	binary.BigEndian.PutUint64(b[52:], uint64(h.logged))
	sum(b)
	return append(b, b...)
}

// sum completes one copy of a header.
func sum(b []byte) { binary.BigEndian.PutUint32(b[60:], crc32.Checksum(b[:60], castagnoli)) }

// decodeHeader reads the first sound copy. sound counts them.
func decodeHeader(b []byte) (h header, sound int) {
	for at := 0; at+headerCopy <= len(b) && at < headerSize; at += headerCopy {
		c := b[at : at+headerCopy]
		if !bytes.Equal(c[:8], fileMagic) || crc32.Checksum(c[:60], castagnoli) != binary.BigEndian.Uint32(c[60:]) {
			continue
		}
		if sound++; sound == 1 {
			h = header{version: binary.BigEndian.Uint16(c[8:]), kind: fileKind(c[10]), power: c[11] == 1, num: binary.BigEndian.Uint32(c[12:]),
				first: binary.BigEndian.Uint64(c[16:]), by: binary.BigEndian.Uint32(c[40:]), made: int64(binary.BigEndian.Uint64(c[44:])),
				logged: int64(binary.BigEndian.Uint64(c[52:]))}
			copy(h.owner[:], c[24:40])
		}
	}
	return h, sound
}

// saltOf is the part of an owner that its records and the mark carry.
func saltOf(owner [16]byte) uint32 { return binary.BigEndian.Uint32(owner[:4]) }

var kinds = []Kind{"", KindAccepted, KindAttempt, KindOutcome, KindCompleting, KindCompleted, KindOwner, KindHandoff, held, batch, seal, total}

var kindNumber = func() map[Kind]byte {
	m := map[Kind]byte{}
	for i, k := range kinds {
		m[k] = byte(i)
	}
	return m
}()

// appendRecord encodes r at the end of to. raw is what a held record carries of
// its message.
func appendRecord(to []byte, r *Record, seq uint64, salt uint32, raw []byte) ([]byte, error) {
	if len(r.ID) > headMost-headSize {
		return to, fmt.Errorf("log: an id of %d bytes", len(r.ID))
	}
	start := len(to)
	to = append(to, recordMark...)
	to = append(to, 0, 0, 0, 0)
	to = binary.BigEndian.AppendUint64(to, seq)
	to = append(to, kindNumber[r.Kind], 0)
	to = binary.BigEndian.AppendUint16(to, uint16(len(r.ID)))
	to = append(to, 0, 0, 0, 0, 0, 0, 0, 0)
	to = append(to, r.ID...)
	rest := len(to)
	to = appendRest(to, r, raw)
	n := len(to) - start - headSize
	if n > recordMost {
		return to[:start], fmt.Errorf("log: a record of %d bytes", n)
	}
	binary.BigEndian.PutUint32(to[start+4:], uint32(n))
	sum := headSum(to[start:], salt, len(r.ID))
	binary.BigEndian.PutUint32(to[start+20:], sum)
	binary.BigEndian.PutUint32(to[start+24:], crc32.Update(sum, castagnoli, to[rest:]))
	return to, nil
}

func headSum(b []byte, salt uint32, idLen int) uint32 {
	return crc32.Update(crc32.Update(salt, castagnoli, b[4:20]), castagnoli, b[headSize:headSize+idLen])
}

func appendString(to []byte, s string) []byte {
	return append(binary.AppendUvarint(to, uint64(len(s))), s...)
}

func appendBool(to []byte, v bool) []byte {
	if v {
		return append(to, 1)
	}
	return append(to, 0)
}

func appendRest(to []byte, r *Record, raw []byte) []byte {
	to = binary.AppendUvarint(to, uint64(r.HandoffOffset))
	switch r.Kind {
	case KindAccepted:
		return appendMessage(to, r)
	case held:
		to = binary.AppendUvarint(to, uint64(r.At)) // the sequence number of its taken record
		to = binary.AppendUvarint(to, uint64(r.Latency))
		to = binary.AppendUvarint(to, uint64(r.Attempts))
		to = binary.AppendVarint(to, r.UnknownOutcomeAt)
		to = binary.AppendVarint(to, int64(r.UnknownOutcomeZone))
		to = binary.AppendVarint(to, r.InFlightSince)
		to = binary.AppendVarint(to, int64(r.InFlightZone))
		to = binary.AppendUvarint(to, uint64(r.InFlightProcess))
		to = appendString(to, r.InFlightEndpoint)
		to = appendString(to, r.Notice)
		to = binary.AppendVarint(to, r.RetryMS)
		to = appendBool(to, r.Corrupted)
		return append(to, raw...)
	case KindAttempt:
		to = binary.AppendVarint(to, r.At)
		to = binary.AppendVarint(to, int64(r.Zone))
		to = binary.AppendUvarint(to, uint64(r.Process))
		return appendString(to, r.Endpoint)
	case KindOutcome, KindCompleted:
		to = appendBool(to, r.MayHaveRun)
		to = append(to, r.OutcomeCode)
		to = binary.AppendVarint(to, r.RetryAt)
		to = binary.AppendVarint(to, r.Latency)
		to = appendBool(to, r.CallsExhausted)
		if r.LocalFailure { // older programs neither write nor read it
			to = appendBool(to, true)
		}
		return to
	case KindCompleting:
		to = appendString(to, r.Notice)
		return binary.AppendVarint(to, r.RetryMS)
	case KindOwner:
		to = binary.AppendUvarint(to, uint64(r.Process))
		to = binary.AppendVarint(to, r.HandoffCapacity)
		return binary.AppendUvarint(to, uint64(r.living))
	case KindHandoff:
		return append(to, r.Body...)
	case batch, seal, total:
		return binary.AppendUvarint(to, uint64(r.At))
	}
	return to
}

// appendMessage encodes what a message is, apart from its state.
func appendMessage(to []byte, r *Record) []byte {
	to = appendString(to, r.Class)
	to = appendString(to, r.Tenant)
	to = appendString(to, r.Key)
	to = binary.AppendUvarint(to, uint64(r.Dest))
	to = binary.AppendVarint(to, r.Deadline)
	return append(to, r.Body...)
}

// cursor reads the rest of a record; bad once anything was short.
type cursor struct {
	b   []byte
	bad bool
}

func (c *cursor) uint() uint64 {
	v, n := binary.Uvarint(c.b)
	return v * uint64(c.skip(n))
}

func (c *cursor) int() int64 {
	v, n := binary.Varint(c.b)
	return v * int64(c.skip(n))
}

// skip passes n bytes over and gives 1, or 0 where they are not there.
func (c *cursor) skip(n int) int {
	if n <= 0 || n > len(c.b) {
		c.b, c.bad = nil, true
		return 0
	}
	c.b = c.b[n:]
	return 1
}

func (c *cursor) byte() byte {
	if len(c.b) == 0 {
		c.bad = true
		return 0
	}
	v := c.b[0]
	c.b = c.b[1:]
	return v
}

func (c *cursor) string() string {
	n := c.uint()
	if c.bad || n > uint64(len(c.b)) {
		c.b, c.bad = nil, true
		return ""
	}
	s := string(c.b[:n])
	c.b = c.b[n:]
	return s
}

// decodeRest reads all of a record but its message; what a held one carries of
// that is given back.
func decodeRest(r *Record, rest []byte) (raw []byte, ok bool) {
	c := cursor{b: rest}
	r.HandoffOffset = int64(c.uint())
	switch r.Kind {
	case KindAccepted:
		return c.b, !c.bad
	case held:
		r.HandoffOffset = 0
		r.At, r.Latency, r.Attempts = int64(c.uint()), int64(c.uint()), int(c.uint())
		r.UnknownOutcomeAt, r.UnknownOutcomeZone = c.int(), int(c.int())
		r.InFlightSince, r.InFlightZone, r.InFlightProcess, r.InFlightEndpoint = c.int(), int(c.int()), int(c.uint()), c.string()
		r.Notice, r.RetryMS = c.string(), c.int()
		r.Corrupted = c.byte() == 1
		return c.b, !c.bad
	case KindAttempt:
		r.At, r.Zone, r.Process, r.Endpoint = c.int(), int(c.int()), int(c.uint()), c.string()
	case KindOutcome, KindCompleted:
		r.MayHaveRun, r.OutcomeCode, r.RetryAt, r.Latency = c.byte() == 1, c.byte(), c.int(), c.int()
		r.CallsExhausted = c.byte() == 1
		r.LocalFailure = len(c.b) > 0 && c.byte() == 1
	case KindCompleting:
		r.Notice, r.RetryMS = c.string(), c.int()
	case KindOwner:
		r.Process, r.HandoffCapacity, r.living = int(c.uint()), c.int(), int(c.uint())
	case KindHandoff:
		r.Body = bytes.Clone(c.b)
	case batch, seal, total:
		r.At = int64(c.uint())
	default:
		return nil, false
	}
	return nil, !c.bad
}

// decodeMessage reads what appendMessage wrote.
func decodeMessage(r *Record, raw []byte) bool {
	c := cursor{b: raw}
	r.Class, r.Tenant, r.Key = c.string(), c.string(), c.string()
	r.Dest, r.Deadline = int(c.uint()), c.int()
	r.Body = bytes.Clone(c.b)
	return !c.bad
}
