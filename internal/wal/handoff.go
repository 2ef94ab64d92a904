package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// During an upgrade the old process keeps running for a while: its calls end, and clients
// that are still connected to it submit messages. The log belongs to the new process by then.
// So the old process records these events in a log of its own, the handoff log, which the new
// process reads as it grows. Its records have the same format as those of the log.

// handoffReadBytes is the number of bytes that are read from a handoff log at a time. No
// record is longer.
const handoffReadBytes = 256 << 10

// errHandoffHead: a handoff log does not begin with its owner record.
var errHandoffHead = errors.New("its head cannot be read")

// HandoffLog is the handoff log of another process, as read by that process's successor.
// Log.Handoff provides it. Its user closes it or passes it to Log.FinishHandoff. It is not
// safe for concurrent use.
type HandoffLog struct {
	Process  int   // number of the process that writes it
	Capacity int64 // maximum size in bytes
	file     File
	offset   int64 // read up to this offset
	decoder  recordDecoder
	buffer   []byte
}

// recordDecoder decodes the records of one file.
type recordDecoder struct {
	legacy       bool
	checksumSeed uint32
}

// decode decodes the record at the start of b. size is 0 if there is no complete valid record.
func (d recordDecoder) decode(b []byte) (r *Record, size int) {
	if d.legacy {
		return decodeLegacy(b)
	}
	scan := scanner{buffer: b, size: int64(len(b)), checksumSeed: d.checksumSeed}
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

// Read returns the records written since the last call, each with its HandoffOffset.
func (h *HandoffLog) Read() (records []*Record) {
	if h.buffer == nil {
		h.buffer = make([]byte, handoffReadBytes)
	}
	for {
		n, _ := h.file.ReadAt(h.buffer, h.offset) // reaching the end is not an error, since the log may still grow
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

// OwnerExited reports whether the process that writes the log has exited, so that
// the log no longer grows.
func (h *HandoffLog) OwnerExited() bool {
	locked, err := h.file.TryLock()
	return locked && err == nil
}

// Offset returns the file offset up to which the log was read.
func (h *HandoffLog) Offset() int64 { return h.offset }

// Close closes the file. It does not affect the process that writes it.
func (h *HandoffLog) Close() { h.file.Close() }

// readHeader reads the header and returns the number of its valid copies.
func (h *HandoffLog) readHeader() (valid int) {
	b := make([]byte, headerSize)
	n, _ := h.file.ReadAt(b, 0)
	head, valid := decodeHeader(b[:n])
	h.decoder.legacy = n >= len(legacyMark) && string(b[:len(legacyMark)]) == legacyMark
	h.decoder.checksumSeed = head.owner.checksumSeed()
	h.offset = h.firstOffset()
	return valid
}

// firstOffset returns the offset of the first record.
func (h *HandoffLog) firstOffset() int64 {
	if h.decoder.legacy {
		return 0
	}
	return headerSize
}

// readOwner reads the first record, which identifies the process that writes the log.
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

// openHandoff looks for a handoff log. If its process has exited, openHandoff returns the log's
// records, to be merged into this log. If the process is alive, it returns the open handoff log.
func (s *store) openHandoff() (followed *HandoffLog, unmerged []*Record, err error) {
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

// readAbandonedHandoff returns those records of an exited process that the log does not
// include yet. Corruption in the handoff log may have affected any pending message.
func (s *store) readAbandonedHandoff(h *HandoffLog, size int64) (unmerged []*Record) {
	if h.readHeader() == 0 && !h.decoder.legacy {
		h.decoder.checksumSeed = s.checksumSeed
	}
	h.offset = max(s.handoffOffset, h.offset)
	for h.offset < size {
		unmerged = append(unmerged, h.Read()...)
		if h.offset >= size {
			break
		}
		if isEnd := s.skipHandoffCorruption(h, size); isEnd {
			break
		}
	}
	return unmerged
}

// skipHandoffCorruption reports the range at the handoff log's offset that cannot be read,
// and moves the offset to the next record. isEnd is true if only the end of the log is
// torn; such a write was never reported as done.
func (s *store) skipHandoffCorruption(h *HandoffLog, size int64) (isEnd bool) {
	scan := &scanner{file: h.file, size: size, checksumSeed: h.decoder.checksumSeed}
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
	c.Affected = s.assumeAllSent(s.seq + 1)
	s.recovery.addCorruption(c)
	s.logCorruption(c)
	h.offset = next
	return false
}

// isTornEnd reports whether the bytes from the offset on are the start of a record whose
// write was interrupted by a kill, or are all zero.
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

// mergeHandoff appends an exited process's remaining records to the log and
// removes the handoff log.
func (s *store) mergeHandoff(unmerged []*Record) error {
	path := filepath.Join(s.options.Dir, HandoffName)
	if _, _, err := s.fs.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	s.spaceReserved = true // the capacity of the handoff log was set aside, and its file is removed below
	defer func() { s.spaceReserved = false }()
	for _, r := range unmerged {
		if r.Kind == KindOwner || r.Kind == KindHandoff {
			continue
		}
		if err := s.appendRecords([]*Record{r})[0]; err != nil && !errors.Is(err, ErrNotPending) {
			return fmt.Errorf("wal: handoff log not merged: %w", err)
		}
	}
	if len(s.recovery.Corruptions) > 0 { // the consequences are not recorded anywhere else yet
		if err := s.finishCheckpoint(); err != nil {
			return err
		}
	}
	if err := s.fs.Remove(path); err != nil {
		return fmt.Errorf("wal: handoff log: %w", err)
	}
	return nil
}

// finishHandoff removes the handoff log of a process that has exited since the start. The
// log already includes all of it.
func (s *store) finishHandoff(h *HandoffLog) {
	s.limit += h.Capacity
	if err := s.fs.Remove(filepath.Join(s.options.Dir, HandoffName)); err != nil {
		s.logger.Error("handoff log not removed", "err", err)
	}
	h.Close()
}
