package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// During an upgrade the old process lives on for a while: its calls end, and clients that
// it still has submit messages. The log belongs to the new process by then, so the old
// one records these events in a log of its own, the handoff log, which the new one
// follows. Its records are those of the log.

// handoffReadBytes is how much of a handoff log is read at a time; longer than any record.
const handoffReadBytes = 256 << 10

// errHandoffHead: a handoff log does not begin with the record of its owner.
var errHandoffHead = errors.New("its head cannot be read")

// HandoffLog is the handoff log of another process, as its successor follows it. Log.Handoff
// gives it; its user closes it or hands it to Log.FinishHandoff. It is for one goroutine.
type HandoffLog struct {
	Process  int   // that writes it
	Capacity int64 // bytes that it may take up
	file     File
	offset   int64 // read up to here
	decoder  recordDecoder
	buffer   []byte
}

// recordDecoder decodes records of one file.
type recordDecoder struct {
	legacy bool
	salt   uint32
}

// decode reads the record at the start of b. size is 0 where there is no complete one.
func (d recordDecoder) decode(b []byte) (r *Record, size int) {
	if d.legacy {
		return decodeLegacy(b)
	}
	scan := scanner{buffer: b, size: int64(len(b)), salt: d.salt}
	rec, status := scan.record(0)
	if status != recordValid {
		return nil, 0
	}
	r = &Record{Kind: rec.kind, ID: string(rec.id)}
	message, ok := decodePayload(r, rec.payload)
	if !ok {
		return nil, 0
	}
	hasMessage := rec.kind == KindAccepted || rec.kind == kindMessageState && !r.Corrupted
	if hasMessage && !decodeMessage(r, message) {
		return nil, 0
	}
	return r, int(rec.size)
}

// Read gives the records since the last call, each with its HandoffOffset.
func (h *HandoffLog) Read() (records []*Record) {
	if h.buffer == nil {
		h.buffer = make([]byte, handoffReadBytes)
	}
	for {
		n, _ := h.file.ReadAt(h.buffer, h.offset) // its end is no error: more may come
		used := 0
		for used < n {
			r, size := h.decoder.decode(h.buffer[used:n])
			if size == 0 {
				break
			}
			used += size
			r.HandoffOffset = h.offset + int64(used)
			records = append(records, r)
		}
		h.offset += int64(used)
		if used == 0 {
			return records
		}
	}
}

// OwnerExited reports whether the process that writes the log is gone, so that nothing
// more will come.
func (h *HandoffLog) OwnerExited() bool {
	locked, err := h.file.TryLock()
	return locked && err == nil
}

// Offset is the place in the file up to which it was read.
func (h *HandoffLog) Offset() int64 { return h.offset }

// Close closes the file. The process that writes it may live on.
func (h *HandoffLog) Close() { h.file.Close() }

// readHeader reads the header, and counts its valid copies.
func (h *HandoffLog) readHeader() (valid int) {
	b := make([]byte, headerSize)
	n, _ := h.file.ReadAt(b, 0)
	head, valid := decodeHeader(b[:n])
	h.decoder.legacy = n >= len(legacyMark) && string(b[:len(legacyMark)]) == legacyMark
	h.decoder.salt = head.owner.salt()
	h.offset = h.firstOffset()
	return valid
}

// firstOffset is the place of the first record.
func (h *HandoffLog) firstOffset() int64 {
	if h.decoder.legacy {
		return 0
	}
	return headerSize
}

// readOwner reads the first record, which says whose log it is.
func (h *HandoffLog) readOwner() error {
	h.readHeader()
	for _, r := range h.Read() {
		if r.Kind == KindOwner {
			h.Process, h.Capacity = r.Process, r.HandoffCapacity
			break
		}
	}
	if h.Process == 0 {
		return errHandoffHead
	}
	return nil
}

// openHandoff looks for a handoff log. That of a process that exited is given as records,
// to be merged into the log; that of a living one is given back, to be followed.
func (s *store) openHandoff() (living *HandoffLog, late []*Record, err error) {
	f, err := s.fs.Open(filepath.Join(s.options.Dir, HandoffName), ModeWrite)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, fmt.Errorf("wal: handoff log: %w", err)
	}
	h := &HandoffLog{file: f}
	exited, err := f.TryLock()
	if err == nil && !exited {
		err = h.readOwner()
	}
	var size int64
	if err == nil && exited {
		size, err = f.Size()
	}
	if err != nil {
		f.Close()
		return nil, nil, fmt.Errorf("wal: handoff log: %w", err)
	}
	if exited {
		defer f.Close()
		return nil, s.readAbandonedHandoff(h, size), nil
	}
	s.limit -= h.Capacity
	h.offset = max(s.handoffOffset, h.firstOffset())
	return h, nil, nil
}

// readAbandonedHandoff gives the records of a process that exited which the log does not
// include yet. Corruption there may have concerned any pending message.
func (s *store) readAbandonedHandoff(h *HandoffLog, size int64) (late []*Record) {
	if h.readHeader() == 0 && !h.decoder.legacy {
		h.decoder.salt = s.salt
	}
	h.offset = max(s.handoffOffset, h.offset)
	for h.offset < size {
		late = append(late, h.Read()...)
		if h.offset >= size {
			break
		}
		if isEnd := s.skipHandoffCorruption(h, size); isEnd {
			break
		}
	}
	return late
}

// skipHandoffCorruption reports what cannot be read at a handoff log's offset, and moves
// the offset to the next record. isEnd is true where just the end of the log is torn,
// which was never reported as written.
func (s *store) skipHandoffCorruption(h *HandoffLog, size int64) (isEnd bool) {
	scan := &scanner{file: h.file, size: size, salt: h.decoder.salt}
	var next int64
	var ids []string
	if h.decoder.legacy {
		next = scan.resyncLegacy(h.offset + 1)
	} else {
		next = scan.resync(h.offset+1, 0)
		ids = scan.readableIDs(h.offset, next)
	}
	c := Corruption{File: HandoffName, Offset: h.offset, Bytes: next - h.offset, Reason: reasonUnreadable, IDs: ids}
	if next == size && h.isTornEnd(scan) {
		c.Reason = reasonTornEnd
		s.recovery.addTorn(c)
		return true
	}
	c.Affected = s.suspectAll(s.seq + 1)
	s.recovery.addCorruption(c)
	s.logCorruption(c)
	h.offset = next
	return false
}

// isTornEnd reports whether what stands at the offset is the beginning of a record, as a
// kill in the middle of its write leaves it, or nothing at all.
func (h *HandoffLog) isTornEnd(scan *scanner) bool {
	b := scan.window(h.offset, maxRecordHeadBytes)
	if scan.allZeros(h.offset, scan.size) {
		return true
	}
	if h.decoder.legacy {
		return len(b) < legacyHeadSize || hasLegacyHead(b) && h.offset+legacyRecordSize(b) > scan.size
	}
	_, status := scan.record(h.offset)
	return status == recordTorn || len(b) < recordHeadSize
}

// mergeHandoff records what an exited process left in its handoff log, and removes that.
func (s *store) mergeHandoff(late []*Record) error {
	path := filepath.Join(s.options.Dir, HandoffName)
	if _, _, err := s.fs.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	s.spaceReserved = true // the handoff log takes it up already
	defer func() { s.spaceReserved = false }()
	for _, r := range late {
		if r.Kind == KindOwner || r.Kind == KindHandoff {
			continue
		}
		if err := s.appendRecords([]*Record{r})[0]; err != nil && !errors.Is(err, ErrNotPending) {
			return fmt.Errorf("wal: handoff log not merged: %w", err)
		}
	}
	if len(s.recovery.Corruptions) > 0 { // the consequences stand nowhere else
		if err := s.finishCheckpoint(); err != nil {
			return err
		}
	}
	if err := s.fs.Remove(path); err != nil {
		return fmt.Errorf("wal: handoff log: %w", err)
	}
	return nil
}

// finishHandoff removes the handoff log of a process that exited since the start, all of
// which the log includes.
func (s *store) finishHandoff(h *HandoffLog) {
	s.limit += h.Capacity
	if err := s.fs.Remove(filepath.Join(s.options.Dir, HandoffName)); err != nil {
		s.logger.Error("handoff log not removed", "err", err)
	}
	h.Close()
}
