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
	formatVersion      = 1
	headerCopySize     = 64
	headerSize         = 2 * headerCopySize
	recordMark         = "\xf7TR2"
	recordHeadSize     = 28
	maxRecordBytes     = 160 << 10 // longer than any record
	maxRecordHeadBytes = recordHeadSize + 256
	stateGrowthBytes   = 128 // bytes by which a message's record may grow later, beside its endpoint's id
)

var (
	fileMagic  = []byte("\xf7TRLOG\r\n")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

type fileKind uint8

const (
	fileSegment fileKind = iota + 1
	fileCheckpoint
	fileHandoff
)

func (k fileKind) String() string {
	return [...]string{"", "segment", "checkpoint", "side log"}[min(k, fileHandoff)]
}

// header is what a file says of itself.
type header struct {
	version        uint16
	kind           fileKind
	durable        bool
	number         uint32 // of a segment; of a checkpoint, the first segment that it does not cover
	firstSeq       uint64 // sequence number of its first record; of a checkpoint, the first that it does not cover
	owner          [16]byte
	process        uint32
	createdAt      int64 // when, by the wall clock: Unix microseconds
	createdLogTime int64 // the same moment by the log's time; 0 where an older program made it
}

func (h *header) encode() []byte {
	b := make([]byte, headerCopySize, headerSize)
	copy(b, fileMagic)
	binary.BigEndian.PutUint16(b[8:], formatVersion)
	b[10] = byte(h.kind)
	if h.durable {
		b[11] = 1
	}
	binary.BigEndian.PutUint32(b[12:], h.number)
	binary.BigEndian.PutUint64(b[16:], h.firstSeq)
	copy(b[24:40], h.owner[:])
	binary.BigEndian.PutUint32(b[40:], h.process)
	binary.BigEndian.PutUint64(b[44:], uint64(h.createdAt))
	binary.BigEndian.PutUint64(b[52:], uint64(h.createdLogTime))
	sealHeaderCopy(b)
	return append(b, b...)
}

// sealHeaderCopy completes one copy of a header.
func sealHeaderCopy(b []byte) { binary.BigEndian.PutUint32(b[60:], crc32.Checksum(b[:60], castagnoli)) }

// decodeHeader reads the first sound copy. sound counts them.
func decodeHeader(b []byte) (h header, sound int) {
	for at := 0; at+headerCopySize <= len(b) && at < headerSize; at += headerCopySize {
		c := b[at : at+headerCopySize]
		if !bytes.Equal(c[:8], fileMagic) || crc32.Checksum(c[:60], castagnoli) != binary.BigEndian.Uint32(c[60:]) {
			continue
		}
		if sound++; sound == 1 {
			h = header{version: binary.BigEndian.Uint16(c[8:]), kind: fileKind(c[10]), durable: c[11] == 1, number: binary.BigEndian.Uint32(c[12:]),
				firstSeq: binary.BigEndian.Uint64(c[16:]), process: binary.BigEndian.Uint32(c[40:]), createdAt: int64(binary.BigEndian.Uint64(c[44:])),
				createdLogTime: int64(binary.BigEndian.Uint64(c[52:]))}
			copy(h.owner[:], c[24:40])
		}
	}
	return h, sound
}

// ownerSalt is the part of an owner that its records and the mark carry.
func ownerSalt(owner [16]byte) uint32 { return binary.BigEndian.Uint32(owner[:4]) }

var kindsByNumber = []Kind{"", KindAccepted, KindAttempt, KindOutcome, KindCompleting, KindCompleted, KindOwner, KindHandoff, kindMessageState, kindBatchStart, kindSegmentSeal, kindCheckpointEnd}

var numberOfKind = func() map[Kind]byte {
	m := map[Kind]byte{}
	for i, k := range kindsByNumber {
		m[k] = byte(i)
	}
	return m
}()

// appendRecord encodes r at the end of to. raw is what a held record carries of
// its message.
func appendRecord(to []byte, r *Record, seq uint64, salt uint32, raw []byte) ([]byte, error) {
	if len(r.ID) > maxRecordHeadBytes-recordHeadSize {
		return to, fmt.Errorf("log: an id of %d bytes", len(r.ID))
	}
	start := len(to)
	to = append(to, recordMark...)
	to = append(to, 0, 0, 0, 0)
	to = binary.BigEndian.AppendUint64(to, seq)
	to = append(to, numberOfKind[r.Kind], 0)
	to = binary.BigEndian.AppendUint16(to, uint16(len(r.ID)))
	to = append(to, 0, 0, 0, 0, 0, 0, 0, 0)
	to = append(to, r.ID...)
	rest := len(to)
	to = appendPayload(to, r, raw)
	n := len(to) - start - recordHeadSize
	if n > maxRecordBytes {
		return to[:start], fmt.Errorf("log: a record of %d bytes", n)
	}
	binary.BigEndian.PutUint32(to[start+4:], uint32(n))
	sum := headChecksum(to[start:], salt, len(r.ID))
	binary.BigEndian.PutUint32(to[start+20:], sum)
	binary.BigEndian.PutUint32(to[start+24:], crc32.Update(sum, castagnoli, to[rest:]))
	return to, nil
}

func headChecksum(b []byte, salt uint32, idLen int) uint32 {
	return crc32.Update(crc32.Update(salt, castagnoli, b[4:20]), castagnoli, b[recordHeadSize:recordHeadSize+idLen])
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

func appendPayload(to []byte, r *Record, raw []byte) []byte {
	to = binary.AppendUvarint(to, uint64(r.HandoffOffset))
	switch r.Kind {
	case KindAccepted:
		return appendMessage(to, r)
	case kindMessageState:
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
		return binary.AppendUvarint(to, uint64(r.livingProcess))
	case KindHandoff:
		return append(to, r.Body...)
	case kindBatchStart, kindSegmentSeal, kindCheckpointEnd:
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

// payloadDecoder reads the rest of a record; bad once anything was short.
type payloadDecoder struct {
	remaining []byte
	failed    bool
}

func (c *payloadDecoder) uvarint() uint64 {
	v, n := binary.Uvarint(c.remaining)
	return v * uint64(c.skip(n))
}

func (c *payloadDecoder) varint() int64 {
	v, n := binary.Varint(c.remaining)
	return v * int64(c.skip(n))
}

// skip passes n bytes over and gives 1, or 0 where they are not there.
func (c *payloadDecoder) skip(n int) int {
	if n <= 0 || n > len(c.remaining) {
		c.remaining, c.failed = nil, true
		return 0
	}
	c.remaining = c.remaining[n:]
	return 1
}

func (c *payloadDecoder) byte() byte {
	if len(c.remaining) == 0 {
		c.failed = true
		return 0
	}
	v := c.remaining[0]
	c.remaining = c.remaining[1:]
	return v
}

func (c *payloadDecoder) string() string {
	n := c.uvarint()
	if c.failed || n > uint64(len(c.remaining)) {
		c.remaining, c.failed = nil, true
		return ""
	}
	s := string(c.remaining[:n])
	c.remaining = c.remaining[n:]
	return s
}

// decodePayload reads all of a record but its message; what a held one carries of
// that is given back.
func decodePayload(r *Record, rest []byte) (raw []byte, ok bool) {
	c := payloadDecoder{remaining: rest}
	r.HandoffOffset = int64(c.uvarint())
	switch r.Kind {
	case KindAccepted:
		return c.remaining, !c.failed
	case kindMessageState:
		r.HandoffOffset = 0
		r.At, r.Latency, r.Attempts = int64(c.uvarint()), int64(c.uvarint()), int(c.uvarint())
		r.UnknownOutcomeAt, r.UnknownOutcomeZone = c.varint(), int(c.varint())
		r.InFlightSince, r.InFlightZone, r.InFlightProcess, r.InFlightEndpoint = c.varint(), int(c.varint()), int(c.uvarint()), c.string()
		r.Notice, r.RetryMS = c.string(), c.varint()
		r.Corrupted = c.byte() == 1
		return c.remaining, !c.failed
	case KindAttempt:
		r.At, r.Zone, r.Process, r.Endpoint = c.varint(), int(c.varint()), int(c.uvarint()), c.string()
	case KindOutcome, KindCompleted:
		r.MayHaveRun, r.OutcomeCode, r.RetryAt, r.Latency = c.byte() == 1, c.byte(), c.varint(), c.varint()
		r.CallsExhausted = c.byte() == 1
		r.LocalFailure = len(c.remaining) > 0 && c.byte() == 1
	case KindCompleting:
		r.Notice, r.RetryMS = c.string(), c.varint()
	case KindOwner:
		r.Process, r.HandoffCapacity, r.livingProcess = int(c.uvarint()), c.varint(), int(c.uvarint())
	case KindHandoff:
		r.Body = bytes.Clone(c.remaining)
	case kindBatchStart, kindSegmentSeal, kindCheckpointEnd:
		r.At = int64(c.uvarint())
	default:
		return nil, false
	}
	return nil, !c.failed
}

// decodeMessage reads what appendMessage wrote.
func decodeMessage(r *Record, raw []byte) bool {
	c := payloadDecoder{remaining: raw}
	r.Class, r.Tenant, r.Key = c.string(), c.string(), c.string()
	r.Dest, r.Deadline = int(c.uvarint()), c.varint()
	r.Body = bytes.Clone(c.remaining)
	return !c.failed
}
