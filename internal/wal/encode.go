package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A record consists of a head of fixed size, the message's id and a payload. One checksum
// covers the head and the id, another one the payload, so that a record with a corrupted
// body still tells its message's id. Checksums start from a seed, which is part of the
// log's random owner id: neither a client's bytes nor a record of another relay can be
// taken for a record of this log.
const (
	recordMark         = "\xf7TR2"
	recordHeadSize     = 28
	maxRecordHeadBytes = recordHeadSize + maxIDBytes
	maxIDBytes         = 256
	maxRecordBytes     = 160 << 10 // maximum size of id and payload together; longer contents are divided, see encodeSnapshot
)

// Byte offsets of the fields in the head of a record.
const (
	recordLengthOffset       = 4 // size of id and payload together
	recordSeqOffset          = 8
	recordKindOffset         = 16
	recordIDLengthOffset     = 18
	recordHeadChecksumOffset = 20
	recordChecksumOffset     = 24
)

// kindsByNumber lists the kinds by the number that stands for each in a record.
var kindsByNumber = []Kind{
	1:  KindAccepted,
	2:  KindAttempt,
	3:  KindOutcome,
	4:  KindCompleting,
	5:  KindCompleted,
	6:  KindOwner,
	7:  KindHandoff,
	8:  kindMessageState,
	9:  kindBatchStart,
	10: kindSegmentSeal,
	11: kindCheckpointEnd,
}

var numberOfKind = func() map[Kind]byte {
	numbers := map[Kind]byte{}
	for i, k := range kindsByNumber {
		numbers[k] = byte(i)
	}
	return numbers
}()

// appendRecord appends the encoded r to b. message is the encoded message that a
// kindMessageState record contains; nil for other kinds.
func appendRecord(b []byte, r *Record, seq uint64, checksumSeed uint32, message []byte) ([]byte, error) {
	if len(r.ID) > maxIDBytes {
		return b, fmt.Errorf("wal: id of %d bytes is too long", len(r.ID))
	}
	start := len(b)
	b = append(b, recordMark...)
	b = append(b, 0, 0, 0, 0) // reserves space for the length
	b = binary.BigEndian.AppendUint64(b, seq)
	b = append(b, numberOfKind[r.Kind], 0)
	b = binary.BigEndian.AppendUint16(b, uint16(len(r.ID)))
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0) // reserves space for the two checksums
	b = append(b, r.ID...)
	payload := len(b)
	b = appendPayload(b, r, message)
	length := len(b) - start - recordHeadSize
	if length > maxRecordBytes {
		return b[:start], fmt.Errorf("wal: record of %d bytes is too long", length)
	}
	binary.BigEndian.PutUint32(b[start+recordLengthOffset:], uint32(length))
	sum := headChecksum(b[start:], checksumSeed, len(r.ID))
	binary.BigEndian.PutUint32(b[start+recordHeadChecksumOffset:], sum)
	binary.BigEndian.PutUint32(b[start+recordChecksumOffset:], crc32.Update(sum, castagnoli, b[payload:]))
	return b, nil
}

// headChecksum returns the checksum of the head and the id of the record at the start of b.
func headChecksum(b []byte, checksumSeed uint32, idLength int) uint32 {
	sum := crc32.Update(checksumSeed, castagnoli, b[recordLengthOffset:recordHeadChecksumOffset])
	return crc32.Update(sum, castagnoli, b[recordHeadSize:recordHeadSize+idLength])
}

func appendPayload(b []byte, r *Record, message []byte) []byte {
	b = binary.AppendUvarint(b, uint64(r.HandoffOffset))
	switch r.Kind {
	case KindAccepted:
		return appendMessage(b, r)
	case kindMessageState:
		b = appendMessageState(b, r)
		return append(b, message...)
	case KindAttempt:
		b = binary.AppendVarint(b, r.At)
		b = binary.AppendVarint(b, int64(r.Zone))
		b = binary.AppendUvarint(b, uint64(r.Process))
		return appendString(b, r.Endpoint)
	case KindOutcome, KindCompleted:
		return appendOutcome(b, r)
	case KindCompleting:
		b = appendString(b, r.Notice)
		return binary.AppendVarint(b, r.RetryMS)
	case KindOwner:
		b = binary.AppendUvarint(b, uint64(r.Process))
		b = binary.AppendVarint(b, r.HandoffCapacity)
		return binary.AppendUvarint(b, uint64(r.livingProcess))
	case KindHandoff:
		return append(b, r.Body...)
	case kindBatchStart, kindSegmentSeal, kindCheckpointEnd:
		return binary.AppendUvarint(b, uint64(r.At))
	}
	return b
}

// appendMessageState appends the state of a message in a checkpoint. Two fields of r hold
// sequence numbers here: At that of the message's accepted record, Latency that of the
// last record that the state includes.
func appendMessageState(b []byte, r *Record) []byte {
	b = binary.AppendUvarint(b, uint64(r.At))
	b = binary.AppendUvarint(b, uint64(r.Latency))
	b = binary.AppendUvarint(b, uint64(r.Attempts))
	b = binary.AppendVarint(b, r.UnknownOutcomeAt)
	b = binary.AppendVarint(b, int64(r.UnknownOutcomeZone))
	b = binary.AppendVarint(b, r.InFlightSince)
	b = binary.AppendVarint(b, int64(r.InFlightZone))
	b = binary.AppendUvarint(b, uint64(r.InFlightProcess))
	b = appendString(b, r.InFlightEndpoint)
	b = appendString(b, r.Notice)
	b = binary.AppendVarint(b, r.RetryMS)
	return appendBool(b, r.Corrupted)
}

func appendOutcome(b []byte, r *Record) []byte {
	b = appendBool(b, r.MayHaveRun)
	b = append(b, r.OutcomeCode)
	b = binary.AppendVarint(b, r.RetryAt)
	b = binary.AppendVarint(b, r.Latency)
	b = appendBool(b, r.CallsExhausted)
	if r.LocalFailure { // older programs neither write nor read this field
		b = appendBool(b, true)
	}
	return b
}

// appendMessage appends the message itself, without its state.
func appendMessage(b []byte, r *Record) []byte {
	b = appendString(b, r.Class)
	b = appendString(b, r.Tenant)
	b = appendString(b, r.Key)
	b = binary.AppendUvarint(b, uint64(r.Dest))
	b = binary.AppendVarint(b, r.Deadline)
	return append(b, r.Body...)
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}
