package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A file begins with two copies of its header, so that one corrupted byte does not make
// the whole file unreadable.
const (
	formatVersion  = 1
	headerCopySize = 64
	headerSize     = 2 * headerCopySize
)

// Byte offsets of the fields in a copy of the header.
const (
	headerVersionOffset        = 8
	headerKindOffset           = 10
	headerDurableOffset        = 11
	headerNumberOffset         = 12
	headerFirstSeqOffset       = 16
	headerOwnerOffset          = 24
	headerProcessOffset        = 40
	headerCreatedOffset        = 44
	headerCreatedLogTimeOffset = 52
	headerChecksumOffset       = 60
)

var (
	fileMagic  = []byte("\xf7TRLOG\r\n")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// ownerID is a random id that is drawn once for each log and stored in the header of all its files.
type ownerID [headerProcessOffset - headerOwnerOffset]byte

// checksumSeed returns the part of the owner id that starts the checksums of the log's records and
// identifies the log in the stamp.
func (o ownerID) checksumSeed() uint32 { return binary.BigEndian.Uint32(o[:4]) }

type fileKind uint8

const (
	fileSegment fileKind = iota + 1
	fileCheckpoint
	fileHandoff
)

// String returns the kind's name in a RecoveryReport.
func (k fileKind) String() string {
	return [...]string{"", "segment", "checkpoint", "side log"}[min(k, fileHandoff)]
}

// header is the decoded header of a file of records.
type header struct {
	version        uint16
	kind           fileKind
	durable        bool   // the file was written with SurvivesPowerLoss
	number         uint32 // of a segment: its number; of a checkpoint: the first segment that it does not cover
	firstSeq       uint64 // of a segment: its first record's sequence number; of a checkpoint: the first that it does not cover
	owner          ownerID
	process        uint32
	createdAt      int64 // wall-clock time of the file's creation, in Unix microseconds
	createdLogTime int64 // log time of the file's creation; 0 if an older program created the file
}

// encode returns the header as it is stored: two equal copies.
func (h *header) encode() []byte {
	b := make([]byte, headerCopySize, headerSize)
	copy(b, fileMagic)
	binary.BigEndian.PutUint16(b[headerVersionOffset:], formatVersion)
	b[headerKindOffset] = byte(h.kind)
	if h.durable {
		b[headerDurableOffset] = 1
	}
	binary.BigEndian.PutUint32(b[headerNumberOffset:], h.number)
	binary.BigEndian.PutUint64(b[headerFirstSeqOffset:], h.firstSeq)
	copy(b[headerOwnerOffset:headerProcessOffset], h.owner[:])
	binary.BigEndian.PutUint32(b[headerProcessOffset:], h.process)
	binary.BigEndian.PutUint64(b[headerCreatedOffset:], uint64(h.createdAt))
	binary.BigEndian.PutUint64(b[headerCreatedLogTimeOffset:], uint64(h.createdLogTime))
	sealHeaderCopy(b)
	return append(b, b...)
}

// sealHeaderCopy stores the checksum in one copy of a header.
func sealHeaderCopy(b []byte) {
	binary.BigEndian.PutUint32(b[headerChecksumOffset:], crc32.Checksum(b[:headerChecksumOffset], castagnoli))
}

// decodeHeader decodes the first valid copy and returns the number of valid copies.
func decodeHeader(b []byte) (h header, valid int) {
	for offset := 0; offset+headerCopySize <= len(b) && offset < headerSize; offset += headerCopySize {
		headerCopy := b[offset : offset+headerCopySize]
		if !isValidHeaderCopy(headerCopy) {
			continue
		}
		if valid++; valid == 1 {
			h = parseHeaderCopy(headerCopy)
		}
	}
	return h, valid
}

func isValidHeaderCopy(b []byte) bool {
	return bytes.Equal(b[:len(fileMagic)], fileMagic) &&
		crc32.Checksum(b[:headerChecksumOffset], castagnoli) == binary.BigEndian.Uint32(b[headerChecksumOffset:])
}

func parseHeaderCopy(b []byte) header {
	return header{
		version:        binary.BigEndian.Uint16(b[headerVersionOffset:]),
		kind:           fileKind(b[headerKindOffset]),
		durable:        b[headerDurableOffset] == 1,
		number:         binary.BigEndian.Uint32(b[headerNumberOffset:]),
		firstSeq:       binary.BigEndian.Uint64(b[headerFirstSeqOffset:]),
		owner:          ownerID(b[headerOwnerOffset:headerProcessOffset]),
		process:        binary.BigEndian.Uint32(b[headerProcessOffset:]),
		createdAt:      int64(binary.BigEndian.Uint64(b[headerCreatedOffset:])),
		createdLogTime: int64(binary.BigEndian.Uint64(b[headerCreatedLogTimeOffset:])),
	}
}
