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

var (
	// errHandoffLocked: another process has a handoff log in the folder.
	errHandoffLocked = errors.New("locked by another process")
	// errNoSnapshot: the caller has provided no policy snapshot to hand off.
	errNoSnapshot = errors.New("wal: no policy snapshot")
)

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

// startHandoff ends this process's ownership of the log with the first of the snapshots
// that there is space for. Records that are appended later go into a handoff log. If
// startHandoff fails, the log still belongs to this process, and what it has of a snapshot
// does not count.
func (s *store) startHandoff(snapshots [][]byte) error {
	if err := s.finishCheckpoint(); err != nil {
		return err
	}
	records, err := s.encodeFirstFitting(snapshots)
	if err != nil {
		return err
	}
	path := filepath.Join(s.options.Dir, HandoffName)
	f, err := s.fs.Open(path, ModeCreate)
	if err != nil {
		return fmt.Errorf("wal: handoff log: %w", err)
	}
	w := &handoffWriter{file: f, capacity: s.handoffCapacity(s.maxHandoffBytes(records)), checksumSeed: s.checksumSeed, size: headerSize}
	if err := s.beginHandoff(w, records); err != nil {
		f.Close()
		s.fs.Remove(path)
		return fmt.Errorf("wal: handoff log: %w", err)
	}
	s.close()
	s.handoff = w
	return nil
}

// encodeFirstFitting returns the records of the first snapshot that there is space for, or
// of the last one if there is none.
func (s *store) encodeFirstFitting(snapshots [][]byte) ([]*Record, error) {
	for i, snapshot := range snapshots {
		records, err := encodeSnapshot(snapshot)
		isLast := i == len(snapshots)-1
		if err != nil || isLast || s.hasHandoffSpace(s.maxHandoffBytes(records)) {
			return records, err
		}
		s.logger.Warn("policy snapshot does not fit", "bytes", s.maxHandoffBytes(records), "used", s.usage.bytes, "limit", s.limit)
	}
	return nil, errNoSnapshot
}

// maxHandoffBytes returns an upper bound of the bytes that the records of a handoff add to
// the log, with the headers of the segments that they begin.
func (s *store) maxHandoffBytes(records []*Record) (n int64) {
	for _, r := range records {
		n += maxRecordSize(r)
	}
	return n + (n/s.segmentLimit())*headerSize
}

// handoffCapacity returns the maximum size of the handoff log. It leaves the space that
// the handoff's records take and that the next process needs for its checkpoints.
func (s *store) handoffCapacity(recordBytes int64) int64 {
	limit := s.limit - s.usage.quarantined
	free := limit - 2*s.checkpointBytes - recordBytes - roundingReserve - completionReserve
	return max(min(limit/handoffsPerLimit, free), minHandoffBytes)
}

// beginHandoff locks the handoff log, writes its header and owner record, and then ends the log
// with the given records.
func (s *store) beginHandoff(w *handoffWriter, records []*Record) error {
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
	return errors.Join(s.appendRecords(records)...)
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
