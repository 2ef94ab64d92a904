// Package wire encodes and decodes the binary frames and the settings text that the simulator exchanges with
// the host of simulated relays. It checks every bound and makes no decisions. Records and fields have the names
// that the simulator's protocol gives them.
//
// The host reads batches of events and writes replies with actions. Each frame has a header, records of a fixed
// size, and a tail to which records refer by offset and length. All numbers are big-endian.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Sizes of a frame's parts, in bytes.
const (
	batchHeader = 16
	replyHeader = 8
	eventSize   = 48
	actionSize  = 24
	entrySize   = 24
)

// Bounds of the protocol.
const (
	maxList      = 15 // highest number of an endpoint list
	maxBody      = 1 << 30
	maxValues    = 4 // number of values in a load report
	maxReadiness = 2
)

var byteOrder = binary.BigEndian

// ReadBatch reads and decodes one frame. It returns the clock in the frame's header, in microseconds, and the
// events. The error is io.EOF if the input ends between two frames.
func ReadBatch(r io.Reader) (clock uint64, events []Event, err error) {
	var header [batchHeader]byte
	n, err := io.ReadFull(r, header[:])
	if err == io.EOF {
		return 0, nil, io.EOF
	}
	if err != nil {
		return 0, nil, fmt.Errorf("batch header: input ended after %d of %d bytes", n, batchHeader)
	}
	size, count := byteOrder.Uint32(header[8:]), byteOrder.Uint32(header[12:])
	if size > maxBody {
		return 0, nil, fmt.Errorf("batch header: length %d is over %d", size, maxBody)
	}
	if uint64(count)*eventSize > uint64(size) {
		return 0, nil, fmt.Errorf("batch header: %d records do not fit in %d bytes", count, size)
	}
	// ReadAll allocates memory as it reads, so that a corrupt length can't claim memory that the input never
	// fills.
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return 0, nil, fmt.Errorf("batch body: %w", err)
	}
	if len(body) < int(size) {
		return 0, nil, fmt.Errorf("batch body: input ended after %d of %d bytes", len(body), size)
	}
	events, err = DecodeEvents(body, int(count))
	return byteOrder.Uint64(header[:]), events, err
}

// DecodeEvents decodes the records and the tail of a frame's body.
func DecodeEvents(body []byte, count int) ([]Event, error) {
	if count < 0 || count > len(body)/eventSize {
		return nil, fmt.Errorf("batch body: %d records do not fit in %d bytes", count, len(body))
	}
	tail := body[count*eventSize:]
	events := make([]Event, count)
	for i := range events {
		record := body[i*eventSize : (i+1)*eventSize]
		if err := events[i].decode(record, tail); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
	}
	return events, nil
}

// sliceTail returns the part of a tail to which a reference points. The reference has an offset in bytes and a
// length in units of the given number of bytes.
func sliceTail(tail, reference []byte, unit int) ([]byte, error) {
	offset, length := uint64(byteOrder.Uint32(reference)), uint64(byteOrder.Uint32(reference[4:]))
	size := length * uint64(unit)
	if offset > uint64(len(tail)) || size > uint64(len(tail))-offset {
		return nil, fmt.Errorf("offset %d and length %d lie outside the tail of %d bytes", offset, length, len(tail))
	}
	return tail[offset : offset+size], nil
}

// An endpoint is encoded as four bytes of address and two bytes of port.

func readEndpoint(b []byte) uint64 {
	return uint64(byteOrder.Uint32(b))<<16 | uint64(byteOrder.Uint16(b[4:]))
}

func putEndpoint(b []byte, endpoint uint64) {
	byteOrder.PutUint32(b, uint32(endpoint>>16))
	byteOrder.PutUint16(b[4:], uint16(endpoint))
}
