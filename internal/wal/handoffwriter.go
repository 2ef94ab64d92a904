package wal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
)

// Sizes of a handoff log.
const (
	handoffReserve   = 16 << 10           // bytes that are never used for new messages
	minHandoffBytes  = 2 * handoffReserve // minimum capacity
	handoffsPerLimit = 4                  // the capacity is at most the folder's limit divided by this
)

// errHandoffLocked: another process has a handoff log in the folder.
var errHandoffLocked = errors.New("locked by another process")

// handoffWriter writes the handoff log of this process. The lock on its file shows other
// processes that this one is alive.
type handoffWriter struct {
	file         File
	size         int64
	capacity     int64
	seq          uint64
	checksumSeed uint32
	buffer       []byte
}

// startHandoff ends this process's ownership of the log with the record r. Records that
// are appended later go into a handoff log. If startHandoff fails, the log is unchanged.
func (s *store) startHandoff(r *Record) error {
	if err := s.finishCheckpoint(); err != nil {
		return err
	}
	path := filepath.Join(s.options.Dir, HandoffName)
	f, err := s.fs.Open(path, ModeCreate)
	if err != nil {
		return fmt.Errorf("wal: handoff log: %w", err)
	}
	w := &handoffWriter{file: f, capacity: s.handoffCapacity(), checksumSeed: s.checksumSeed, size: headerSize}
	if err := s.beginHandoff(w, r); err != nil {
		f.Close()
		s.fs.Remove(path)
		return fmt.Errorf("wal: handoff log: %w", err)
	}
	s.close()
	s.handoff = w
	return nil
}

// handoffCapacity returns the maximum size of the handoff log. It leaves the space that
// the next process needs for its checkpoints.
func (s *store) handoffCapacity() int64 {
	limit := s.limit - s.usage.quarantined
	free := limit - 2*s.checkpointBytes - roundingReserve - completionReserve
	return max(min(limit/handoffsPerLimit, free), minHandoffBytes)
}

// beginHandoff locks the handoff log, writes its header and owner record, and then ends the log.
func (s *store) beginHandoff(w *handoffWriter, r *Record) error {
	locked, err := w.file.TryLock()
	if err != nil {
		return err
	}
	if !locked {
		return errHandoffLocked
	}
	h := header{kind: fileHandoff, owner: s.owner, process: uint32(s.process), firstSeq: 1}
	s.stampHeader(&h)
	if _, err := w.file.WriteAt(h.encode(), 0); err != nil {
		return err
	}
	if err := w.append(&Record{Kind: KindOwner, ID: NoMessage, Process: s.process, HandoffCapacity: w.capacity}); err != nil {
		return err
	}
	return s.appendRecords([]*Record{r})[0]
}

// append writes a record. It returns ErrFull if there is no space for it.
func (w *handoffWriter) append(r *Record) error {
	var err error
	if w.buffer, err = appendRecord(w.buffer[:0], r, w.seq+1, w.checksumSeed, nil); err != nil {
		return err
	}
	free := w.capacity
	if r.Kind == KindAccepted {
		free -= handoffReserve
	}
	if w.size+int64(len(w.buffer)) > free {
		return ErrFull
	}
	n, err := w.file.WriteAt(w.buffer, w.size)
	if err == nil && n < len(w.buffer) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return errors.Join(fmt.Errorf("wal: handoff log: %d of %d bytes written: %w", n, len(w.buffer), err), w.file.Truncate(w.size))
	}
	w.size += int64(len(w.buffer))
	w.seq++
	return nil
}
