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
	sideTaken = 16 << 10  // of the side log's room, never used for new messages
	sideChunk = 256 << 10 // longer than any record
)

// sideWriter is the side log of this process.
type sideWriter struct {
	f    File
	size int64
	room int64
	seq  uint64
	salt uint32
	buf  []byte
}

// pass ends this process's part in the log. All that it writes from here on
// goes into a side log; the lock on that tells that it lives. The log is left
// as it was where an error comes.
func (c *core) pass(r *Record) (err error) {
	if err := c.finishCheckpoint(); err != nil {
		return err
	}
	// The next process makes checkpoints, too: what it needs for that is not given away.
	limit := c.limit - c.aside
	room := max(min(limit/4, limit-2*c.owed-slack-spare), 2*sideTaken)
	path := filepath.Join(c.o.Dir, HandoffName)
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
	w := &sideWriter{f: f, room: room, salt: c.salt, size: headerSize}
	h := header{kind: sideFile, owner: c.owner, by: uint32(c.by), first: 1}
	c.date(&h)
	if _, err := f.WriteAt(h.encode(), 0); err != nil {
		return err
	}
	if err := w.append(&Record{Kind: KindOwner, ID: NoMessage, Process: c.by, HandoffCapacity: room}); err != nil {
		return err
	}
	if err := c.append([]*Record{r})[0]; err != nil {
		return err
	}
	c.shut()
	c.after = w
	return nil
}

// append writes a record, if the side log has room for it.
func (w *sideWriter) append(r *Record) error {
	var err error
	if w.buf, err = appendRecord(w.buf[:0], r, w.seq+1, w.salt, nil); err != nil {
		return err
	}
	free := w.room
	if r.Kind == KindAccepted {
		free -= sideTaken
	}
	if w.size+int64(len(w.buf)) > free {
		return ErrFull
	}
	if n, err := w.f.WriteAt(w.buf, w.size); err != nil || n < len(w.buf) {
		return errors.Join(fmt.Errorf("side log: %d of %d bytes written: %w", n, len(w.buf), err), w.f.Truncate(w.size))
	}
	w.size += int64(len(w.buf))
	w.seq++
	return nil
}

// HandoffLog is the side log of another process, as it is followed.
type HandoffLog struct {
	Process  int   // its process
	Capacity int64 // bytes that it may take up
	f        File
	at       int64 // read up to here
	old      bool  // of an older program
	salt     uint32
	text     []byte
}

// Read gives what has come since, each record with its place.
func (s *HandoffLog) Read() []*Record {
	if s.text == nil {
		s.text = make([]byte, sideChunk)
	}
	var all []*Record
	for {
		n, _ := s.f.ReadAt(s.text, s.at) // its end is no error: more may come
		at := 0
		for at < n {
			r, size := s.decode(s.text[at:n])
			if size == 0 {
				break
			}
			at += size
			r.HandoffOffset = s.at + int64(at)
			all = append(all, r)
		}
		if s.at += int64(at); at == 0 {
			return all
		}
	}
}

// decode reads the record at the start of b. size is 0 where there is none yet.
func (s *HandoffLog) decode(b []byte) (r *Record, size int) {
	if s.old {
		return decodeOld(b)
	}
	scan := scanner{buf: b, size: int64(len(b)), salt: s.salt}
	rec, st := scan.record(0)
	if st != sound {
		return nil, 0
	}
	r = &Record{Kind: rec.kind, ID: string(rec.id)}
	raw, ok := decodeRest(r, rec.rest)
	if !ok || (rec.kind == KindAccepted || rec.kind == held && !r.Corrupted) && !decodeMessage(r, raw) {
		return nil, 0
	}
	return r, int(rec.size)
}

// OwnerExited reports whether the other process is gone: nothing more will come.
func (s *HandoffLog) OwnerExited() bool {
	got, err := s.f.TryLock()
	return got && err == nil
}

// Offset is the place up to which it was read.
func (s *HandoffLog) Offset() int64 { return s.at }

// Close lets go of it; its process may live on.
func (s *HandoffLog) Close() { s.f.Close() }

// openSide looks for a side log. That of a dead process is given as records,
// to be taken in; that of a living one is given back, to be followed.
func (c *core) openSide() (*HandoffLog, []*Record, error) {
	f, err := c.fs.Open(filepath.Join(c.o.Dir, HandoffName), ModeWrite)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, fmt.Errorf("side log: %w", err)
	}
	s := &HandoffLog{f: f}
	size, err := f.Size()
	if err == nil {
		var dead bool
		if dead, err = f.TryLock(); err == nil && dead {
			late := c.readDead(s, size)
			f.Close()
			return nil, late, nil
		}
	}
	if err == nil {
		s.begin()
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
	s.at = max(c.state.side, s.start())
	return s, nil, nil
}

// begin reads the header.
func (s *HandoffLog) begin() (sound int) {
	b := make([]byte, headerSize)
	n, _ := s.f.ReadAt(b, 0)
	h, sound := decodeHeader(b[:n])
	s.old, s.salt = n >= 4 && string(b[:4]) == oldMark, saltOf(h.owner)
	s.at = s.start()
	return sound
}

func (s *HandoffLog) start() int64 {
	if s.old {
		return 0
	}
	return headerSize
}

// readDead gives what a dead process told and is not in here yet. Damage there
// concerns whatever is owed.
func (c *core) readDead(s *HandoffLog, size int64) (late []*Record) {
	if s.begin() == 0 && !s.old {
		s.salt = c.salt
	}
	s.at = max(c.state.side, s.at)
	for s.at < size {
		late = append(late, s.Read()...)
		if s.at >= size {
			break
		}
		var next int64
		var names []string
		scan := &scanner{f: s.f, size: size, salt: s.salt}
		if s.old {
			next = scan.resyncOld(s.at + 1)
		} else {
			next = scan.resync(s.at+1, 0)
			names = scan.names(s.at, next)
		}
		if next == size && s.tornAt(scan) {
			// It was never booked.
			c.report.Torn = append(c.report.Torn, Corruption{File: HandoffName, Offset: s.at, Bytes: size - s.at, Reason: "torn end", IDs: names})
			break
		}
		d := Corruption{File: HandoffName, Offset: s.at, Bytes: next - s.at, Reason: "unreadable", IDs: names}
		d.Affected = c.concernAll(c.seq + 1)
		c.report.Corruptions = append(c.report.Corruptions, d)
		c.log.Error("log: damaged: what it may have concerned is held to have been sent", "file", d.File, "at", d.Offset, "bytes", d.Bytes, "ids", names)
		s.at = next
	}
	return late
}

// tornAt reports whether what stands at the end is the beginning of a record, as
// a kill in the middle of its write leaves it, or nothing at all.
func (s *HandoffLog) tornAt(scan *scanner) bool {
	b := scan.window(s.at, headMost)
	if scan.zeros(s.at, scan.size) {
		return true
	}
	if s.old {
		return len(b) < oldHead || string(b[:4]) == oldMark && s.at+oldHead+int64(binary.BigEndian.Uint32(b[4:])) > scan.size
	}
	_, st := scan.record(s.at)
	return st == torn || len(b) < headSize
}

// takeIn books what a dead process told, and does without its side log.
func (c *core) takeIn(late []*Record) error {
	path := filepath.Join(c.o.Dir, HandoffName)
	if _, _, err := c.fs.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	c.forced = true // it has taken up as much already
	defer func() { c.forced = false }()
	for _, r := range late {
		if r.Kind == KindOwner || r.Kind == KindHandoff {
			continue
		}
		if err := c.append([]*Record{r})[0]; err != nil && err != ErrNotPending {
			return fmt.Errorf("side log: not taken in: %w", err)
		}
	}
	if len(c.report.Corruptions) > 0 { // what is held since stands nowhere else
		if err := c.finishCheckpoint(); err != nil {
			return err
		}
	}
	if err := c.fs.Remove(path); err != nil {
		return fmt.Errorf("side log: %w", err)
	}
	return nil
}

// sideDone has the log do without the side log of a process that has died since,
// all of which is in here.
func (c *core) sideDone(s *HandoffLog) {
	c.limit += s.Capacity
	if err := c.fs.Remove(filepath.Join(c.o.Dir, HandoffName)); err != nil {
		c.log.Error("side log: not removed", "err", err)
	}
	s.Close()
}

// shut closes what is open.
func (c *core) shut() {
	if c.after != nil {
		c.after.f.Close()
		c.after = nil
		return
	}
	if c.state != nil {
		c.state.close()
	}
	if c.mark != nil {
		if err := c.mark.Close(); err != nil {
			c.log.Error("log: mark", "err", err)
		}
		c.mark = nil
	}
}
