package wal

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
)

// The last records of a process that hands the log off hold the state of its policy. A
// snapshot that fits into one record is stored as it is, like older programs do. A larger one
// is compressed and stored in parts, each in a record of its own. It counts only if all
// its parts are there. A part consists of a mark, its index, the number of parts, the checksum
// of the compressed snapshot, and its share of that.

const (
	// maxSnapshotPartBytes is the maximum size of a snapshot, or of a part of one, in a record.
	maxSnapshotPartBytes = 128 << 10
	// snapshotPartMark is the first byte of a part. A snapshot that is stored as it is
	// never begins with it, since it is JSON.
	snapshotPartMark = 0x01
)

// encodeSnapshot returns the records that store a policy snapshot.
func encodeSnapshot(snapshot []byte) ([]*Record, error) {
	if len(snapshot) <= maxSnapshotPartBytes {
		return []*Record{newHandoffRecord(snapshot)}, nil
	}
	compressed, err := compress(snapshot)
	if err != nil {
		return nil, fmt.Errorf("wal: policy snapshot: %w", err)
	}
	parts := slices.Collect(slices.Chunk(compressed, maxSnapshotPartBytes))
	records := make([]*Record, 0, len(parts))
	for i, part := range parts {
		body := []byte{snapshotPartMark}
		body = binary.AppendUvarint(body, uint64(i))
		body = binary.AppendUvarint(body, uint64(len(parts)))
		body = binary.AppendUvarint(body, uint64(snapshotChecksum(compressed)))
		records = append(records, newHandoffRecord(append(body, part...)))
	}
	return records, nil
}

func snapshotChecksum(compressed []byte) uint32 { return crc32.Checksum(compressed, castagnoli) }

func newHandoffRecord(body []byte) *Record {
	return &Record{Kind: KindHandoff, ID: NoMessage, Body: body}
}

func compress(b []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// snapshotParts collects the parts of a policy snapshot in the order in which the log has
// them. The zero value has none.
type snapshotParts struct {
	compressed []byte
	next       uint64 // index of the part that continues those collected
}

// add takes the body of a KindHandoff record and returns the snapshot that it completes, or
// nil. A part that does not continue the earlier ones drops them: they belong to a
// handoff that failed.
func (p *snapshotParts) add(body []byte) (snapshot []byte, err error) {
	if len(body) == 0 || body[0] != snapshotPartMark {
		*p = snapshotParts{}
		return body, nil
	}
	d := payloadDecoder{remaining: body[1:]}
	index, count, checksum := d.uvarint(), d.uvarint(), d.uvarint()
	if d.failed || index != 0 && index != p.next {
		*p = snapshotParts{}
		return nil, nil
	}
	if index == 0 {
		p.compressed = nil
	}
	p.compressed, p.next = append(p.compressed, d.remaining...), index+1
	if p.next < count {
		return nil, nil
	}
	compressed := p.compressed
	*p = snapshotParts{}
	if uint64(snapshotChecksum(compressed)) != checksum { // parts of two snapshots
		return nil, nil
	}
	return io.ReadAll(flate.NewReader(bytes.NewReader(compressed)))
}
