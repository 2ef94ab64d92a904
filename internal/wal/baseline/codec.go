package baseline

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"slices"

	"plovershore/internal/wal"
)

// A record consists of a mark, the payload's length and checksum, and the payload: a line
// of JSON followed by the body.
const (
	recordMark           = "\xf7TRW"
	recordHeadSize       = 12
	recordLengthOffset   = 4
	recordChecksumOffset = 8
)

// encode appends an encoded record to b.
func encode(b []byte, r *wal.Record) []byte {
	line, _ := json.Marshal(r) // a Record can always be marshaled
	start := len(b)
	b = append(b, recordMark...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(line)+1+len(r.Body)))
	b = append(b, 0, 0, 0, 0) // reserves space for the checksum
	b = append(b, line...)
	b = append(b, '\n')
	b = append(b, r.Body...)
	binary.BigEndian.PutUint32(b[start+recordChecksumOffset:], crc32.ChecksumIEEE(b[start+recordHeadSize:]))
	return b
}

// decode decodes the record at the start of b. size is 0 if there is no valid record.
func decode(b []byte) (r *wal.Record, size int) {
	if len(b) < recordHeadSize || string(b[:recordLengthOffset]) != recordMark {
		return nil, 0
	}
	size = recordHeadSize + int(binary.BigEndian.Uint32(b[recordLengthOffset:]))
	if size > len(b) {
		return nil, 0
	}
	payload := b[recordHeadSize:size]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(b[recordChecksumOffset:]) {
		return nil, 0
	}
	line, body, ok := bytes.Cut(payload, []byte{'\n'})
	r = &wal.Record{}
	if !ok || json.Unmarshal(line, r) != nil {
		return nil, 0
	}
	r.Body = slices.Clone(body)
	return r, size
}
