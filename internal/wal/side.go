package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// During an upgrade the old process goes on for a while: its calls end, and
// clients that it still has hand messages in. The log is the new process's by
// then, so the old one tells of this in a log of its own, the side log, which
// the new one follows. Its records are the log's.

const (
	handoffReserve   = 16 << 10  // of the side log's room, never used for new messages
	handoffReadBytes = 256 << 10 // longer than any record
)

// handoffWriter is the side log of this process.
type handoffWriter struct {
	file     File
	size     int64
	capacity int64
	seq      uint64
	salt     uint32
	buffer   []byte
}

// handOff ends this process's part in the log. All that it writes from here on
// goes into a side log; the lock on that tells that it lives. The log is left
// as it was where an error comes.
func (c *store) handOff(r *Record) (err error) {
	if err := c.finishCheckpoint(); err != nil {
		return err
	}
	// The next process makes checkpoints, too: what it needs for that is not given away.
	limit := c.limit - c.aside
	room := max(min(limit/4, limit-2*c.checkpointBytes-roundingReserve-completionReserve), 2*handoffReserve)
	path := filepath.Join(c.options.Dir, HandoffName)
	f, err := c.fs.Open(path, ModeCreate)
	if err != nil {
		return fmt.Errorf("side log: %w", err)
	}
	defer func() {
		if err != nil {
			f.Close()
			c.fs.Remove(path)
			err = fmt.Errorf("side log: %w", err)
		}
	}()
	got, err := f.TryLock()
	if err != nil {
		return err
	}
	if !got {
		return errors.New("locked by another")
	}
	w := &handoffWriter{file: f, capacity: room, salt: c.salt, size: headerSize}
	h := header{kind: fileHandoff, owner: c.owner, process: uint32(c.process), firstSeq: 1}
	c.stampHeader(&h)
	if _, err := f.WriteAt(h.encode(), 0); err != nil {
		return err
	}
	if err := w.append(&Record{Kind: KindOwner, ID: NoMessage, Process: c.process, HandoffCapacity: room}); err != nil {
		return err
	}
	if err := c.appendRecords([]*Record{r})[0]; err != nil {
		return err
	}
	c.close()
	c.handoff = w
	return nil
}

// append writes a record, if the side log has room for it.
func (w *handoffWriter) append(r *Record) error {
	var err error
	if w.buffer, err = appendRecord(w.buffer[:0], r, w.seq+1, w.salt, nil); err != nil {
		return err
	}
	free := w.capacity
	if r.Kind == KindAccepted {
		free -= handoffReserve
	}
	if w.size+int64(len(w.buffer)) > free {
		return ErrFull
	}
	if n, err := w.file.WriteAt(w.buffer, w.size); err != nil || n < len(w.buffer) {
		return errors.Join(fmt.Errorf("side log: %d of %d bytes written: %w", n, len(w.buffer), err), w.file.Truncate(w.size))
	}
	w.size += int64(len(w.buffer))
	w.seq++
	return nil
}

// HandoffLog is the side log of another process, as it is followed.
type HandoffLog struct {
	Process  int   // its process
	Capacity int64 // bytes that it may take up
	file     File
	offset   int64 // read up to here
	legacy   bool  // of an older program
	salt     uint32
	buffer   []byte
}

// Read gives what has come since, each record with its place.
func (s *HandoffLog) Read() []*Record {
	if s.buffer == nil {
		s.buffer = make([]byte, handoffReadBytes)
	}
	var all []*Record
	for {
		n, _ := s.file.ReadAt(s.buffer, s.offset) // its end is no error: more may come
		at := 0
		for at < n {
			r, size := s.decode(s.buffer[at:n])
			if size == 0 {
				break
			}
			at += size
			r.HandoffOffset = s.offset + int64(at)
			all = append(all, r)
		}
		if s.offset += int64(at); at == 0 {
			return all
		}
	}
}

// decode reads the record at the start of b. size is 0 where there is none yet.
func (s *HandoffLog) decode(b []byte) (r *Record, size int) {
	if s.legacy {
		return decodeLegacy(b)
	}
	scan := scanner{buffer: b, size: int64(len(b)), salt: s.salt}
	rec, st := scan.record(0)
	if st != recordValid {
		return nil, 0
	}
	r = &Record{Kind: rec.kind, ID: string(rec.id)}
	raw, ok := decodePayload(r, rec.payload)
	if !ok || (rec.kind == KindAccepted || rec.kind == kindMessageState && !r.Corrupted) && !decodeMessage(r, raw) {
		return nil, 0
	}
	return r, int(rec.size)
}

// OwnerExited reports whether the other process is gone: nothing more will come.
func (s *HandoffLog) OwnerExited() bool {
	got, err := s.file.TryLock()
	return got && err == nil
}

// Offset is the place up to which it was read.
func (s *HandoffLog) Offset() int64 { return s.offset }

// Close lets go of it; its process may live on.
func (s *HandoffLog) Close() { s.file.Close() }

// openHandoff looks for a side log. That of a dead process is given as records,
// to be taken in; that of a living one is given back, to be followed.
func (c *store) openHandoff() (*HandoffLog, []*Record, error) {
	f, err := c.fs.Open(filepath.Join(c.options.Dir, HandoffName), ModeWrite)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, fmt.Errorf("side log: %w", err)
	}
	s := &HandoffLog{file: f}
	size, err := f.Size()
	if err == nil {
		var dead bool
		if dead, err = f.TryLock(); err == nil && dead {
			late := c.readAbandonedHandoff(s, size)
			f.Close()
			return nil, late, nil
		}
	}
	if err == nil {
		s.readHeader()
		for _, r := range s.Read() {
			if r.Kind == KindOwner {
				s.Process, s.Capacity = r.Process, r.HandoffCapacity
				break
			}
		}
		if s.Process == 0 {
			err = errors.New("its head cannot be read")
		}
	}
	if err != nil {
		f.Close()
		return nil, nil, fmt.Errorf("side log: %w", err)
	}
	c.limit -= s.Capacity
	s.offset = max(c.state.handoffOffset, s.firstOffset())
	return s, nil, nil
}

// readHeader reads the header.
func (s *HandoffLog) readHeader() (sound int) {
	b := make([]byte, headerSize)
	n, _ := s.file.ReadAt(b, 0)
	h, sound := decodeHeader(b[:n])
	s.legacy, s.salt = n >= 4 && string(b[:4]) == legacyMark, ownerSalt(h.owner)
	s.offset = s.firstOffset()
	return sound
}

func (s *HandoffLog) firstOffset() int64 {
	if s.legacy {
		return 0
	}
	return headerSize
}

// readAbandonedHandoff gives what a dead process told and is not in here yet. Damage there
// concerns whatever is owed.
func (c *store) readAbandonedHandoff(s *HandoffLog, size int64) (late []*Record) {
	if s.readHeader() == 0 && !s.legacy {
		s.salt = c.salt
	}
	s.offset = max(c.state.handoffOffset, s.offset)
	for s.offset < size {
		late = append(late, s.Read()...)
		if s.offset >= size {
			break
		}
		var next int64
		var names []string
		scan := &scanner{file: s.file, size: size, salt: s.salt}
		if s.legacy {
			next = scan.resyncLegacy(s.offset + 1)
		} else {
			next = scan.resync(s.offset+1, 0)
			names = scan.readableIDs(s.offset, next)
		}
		if next == size && s.isTornEnd(scan) {
			// It was never booked.
			c.recovery.Torn = append(c.recovery.Torn, Corruption{File: HandoffName, Offset: s.offset, Bytes: size - s.offset, Reason: "torn end", IDs: names})
			break
		}
		d := Corruption{File: HandoffName, Offset: s.offset, Bytes: next - s.offset, Reason: "unreadable", IDs: names}
		d.Affected = c.suspectAll(c.seq + 1)
		c.recovery.Corruptions = append(c.recovery.Corruptions, d)
		c.logger.Error("log: damaged: what it may have concerned is held to have been sent", "file", d.File, "at", d.Offset, "bytes", d.Bytes, "ids", names)
		s.offset = next
	}
	return late
}

// isTornEnd reports whether what stands at the end is the beginning of a record, as
// a kill in the middle of its write leaves it, or nothing at all.
func (s *HandoffLog) isTornEnd(scan *scanner) bool {
	b := scan.window(s.offset, maxRecordHeadBytes)
	if scan.allZeros(s.offset, scan.size) {
		return true
	}
	if s.legacy {
		return len(b) < legacyHeadSize || string(b[:4]) == legacyMark && s.offset+legacyHeadSize+int64(binary.BigEndian.Uint32(b[4:])) > scan.size
	}
	_, st := scan.record(s.offset)
	return st == recordTorn || len(b) < recordHeadSize
}

// mergeHandoff books what a dead process told, and does without its side log.
func (c *store) mergeHandoff(late []*Record) error {
	path := filepath.Join(c.options.Dir, HandoffName)
	if _, _, err := c.fs.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	c.spaceReserved = true // it has taken up as much already
	defer func() { c.spaceReserved = false }()
	for _, r := range late {
		if r.Kind == KindOwner || r.Kind == KindHandoff {
			continue
		}
		if err := c.appendRecords([]*Record{r})[0]; err != nil && err != ErrNotPending {
			return fmt.Errorf("side log: not taken in: %w", err)
		}
	}
	if len(c.recovery.Corruptions) > 0 { // what is held since stands nowhere else
		if err := c.finishCheckpoint(); err != nil {
			return err
		}
	}
	if err := c.fs.Remove(path); err != nil {
		return fmt.Errorf("side log: %w", err)
	}
	return nil
}

// finishHandoff has the log do without the side log of a process that has died since,
// all of which is in here.
func (c *store) finishHandoff(s *HandoffLog) {
	c.limit += s.Capacity
	if err := c.fs.Remove(filepath.Join(c.options.Dir, HandoffName)); err != nil {
		c.logger.Error("side log: not removed", "err", err)
	}
	s.Close()
}

// close closes what is open.
func (c *store) close() {
	if c.handoff != nil {
		c.handoff.file.Close()
		c.handoff = nil
		return
	}
	if c.state != nil {
		c.state.close()
	}
	if c.stampFile != nil {
		if err := c.stampFile.Close(); err != nil {
			c.logger.Error("log: mark", "err", err)
		}
		c.stampFile = nil
	}
}
