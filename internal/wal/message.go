package wal

import (
	"errors"
	"fmt"
)

// errRecordMismatch: the file does not contain the record that the index expects at that position.
var errRecordMismatch = errors.New("wal: record is not where it was")

func errUnreadableNow(f *logFile, offset uint32) error {
	return fmt.Errorf("wal: %s at %d: unreadable now", f.name, offset)
}

// messageReader reads messages from log files through one buffer. The zero value is ready
// to use, by one goroutine at a time.
type messageReader struct {
	scanner scanner
	fileRef uint32
}

func (m *messageReader) scannerOf(f *logFile) *scanner {
	if m.fileRef != f.ref || m.scanner.file != f.file {
		m.fileRef = f.ref
		m.scanner = scanner{file: f.file, checksumSeed: f.checksumSeed, windowBytes: m.scanner.windowBytes, buffer: m.scanner.buffer[:0]}
	}
	return &m.scanner
}

// readMessage returns the message of an index entry with its state. If its record cannot
// be read, it returns an error and a Record with the state, and with the id if the id's
// checksum is valid.
func (s *state) readMessage(i uint32, reader *messageReader) (*Record, error) {
	r := &Record{}
	message, err := s.readRecord(i, reader, r)
	if err == nil && !r.Corrupted && !decodeMessage(r, message) {
		err = errRecordMismatch
	}
	if r.Notice == unknownNotice {
		r.Corrupted, r.Notice = true, ""
	}
	return r, err
}

// readRecord stores an entry's id and state in r and returns its encoded message, which is
// valid until the reader's next call.
func (s *state) readRecord(i uint32, reader *messageReader, r *Record) (message []byte, err error) {
	e := s.index.entryAt(i)
	s.readState(i, r)
	if r.Corrupted {
		return nil, nil
	}
	f := s.files[e.fileRef]
	if f == nil {
		return nil, errRecordMismatch
	}
	scan := reader.scannerOf(f)
	scan.size = max(f.size, int64(e.offset)+int64(e.size))
	if f.legacy {
		return readLegacyMessage(f, e, scan, r)
	}
	rec, status := scan.record(int64(e.offset))
	if status != recordValid {
		if status == payloadCorrupted {
			r.ID = string(rec.id)
		}
		return nil, errUnreadableNow(f, e.offset)
	}
	r.ID = string(rec.id)
	stored := Record{Kind: rec.kind}
	message, ok := decodePayload(&stored, rec.payload)
	if !ok {
		return nil, errRecordMismatch
	}
	return message, nil
}

// readState stores an entry's state in r, and its id if corruption left nothing else.
func (s *state) readState(i uint32, r *Record) {
	e := s.index.entryAt(i)
	*r = Record{
		Kind:               KindAccepted,
		Attempts:           int(e.attempts),
		UnknownOutcomeAt:   e.unknownOutcomeAt,
		UnknownOutcomeZone: int(e.unknownOutcomeZone),
	}
	if e.flags&entryDetailed == 0 {
		return
	}
	d := s.index.details[i]
	r.InFlightSince, r.InFlightZone = d.inFlightSince, d.inFlightZone
	r.InFlightProcess, r.InFlightEndpoint = d.inFlightProcess, d.inFlightEndpoint
	r.Notice, r.RetryMS = d.notice, d.retryMS
	if d.corruptedID != "" {
		r.ID, r.Corrupted = d.corruptedID, true
	}
}
