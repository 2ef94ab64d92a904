package wal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
)

// segmentWriter appends to the current segment.
type segmentWriter struct {
	file *logFile // nil before the first segment of this process
	torn bool     // a write that failed may have left something after the end
}

// write puts b at the end of the segment. The end moves by advance, once b's records are
// applied.
func (w *segmentWriter) write(b []byte) error {
	if err := w.repairEnd(); err != nil {
		return err
	}
	n, err := w.file.file.WriteAt(b, w.file.size)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err != nil {
		w.torn = true
		return errors.Join(fmt.Errorf("wal: %w", err), w.repairEnd())
	}
	return nil
}

// repairEnd cuts off what a failed write may have left. Nothing more is written before
// that: complete records may be among it whose write was reported as failed, and after a
// shorter write they would be read as recorded.
func (w *segmentWriter) repairEnd() error {
	if !w.torn {
		return nil
	}
	if err := w.file.file.Truncate(w.file.size); err != nil {
		return fmt.Errorf("wal: cut off a failed write: %w", err)
	}
	w.torn = false
	return nil
}

// startSegment begins the next segment. The one before is synced first and ends with a
// seal that names the new one, which is synced before anything is recorded there: so a
// loss of power can only take the end of the last segment.
func (s *store) startSegment() error {
	if err := s.segment.repairEnd(); err != nil {
		return err
	}
	if s.segment.file != nil {
		if err := s.syncer.syncFile(s.segment.file); err != nil {
			return err
		}
	}
	next, err := s.createFile(filepath.Join(s.dir, segmentName(s.nextSegment)), s.newHeader(fileSegment, s.nextSegment))
	if err != nil {
		return err
	}
	if err := s.syncer.syncDir(s.dir); err != nil {
		next.file.Close()
		return err
	}
	s.nextSegment++
	if s.segment.file != nil {
		if err := s.sealSegment(next.number); err != nil {
			next.file.Close()
			return err
		}
	}
	s.addFile(next)
	s.segments = append(s.segments, next)
	s.segment.file = next
	return nil
}

// sealSegment ends the current segment with the number of the next one. Errors: those of
// the sync; that the seal cannot be written is no error, as readers do without it.
func (s *store) sealSegment(next uint32) error {
	if err := s.writeOwnRecord(&Record{Kind: kindSegmentSeal, ID: NoMessage, At: int64(next)}); err != nil {
		s.logger.Warn("segment not sealed", "file", s.segment.file.name, "err", err)
	}
	return s.syncer.syncFile(s.segment.file)
}

// newHeader is that of a file whose first record is the next one of the log.
func (s *store) newHeader(kind fileKind, number uint32) header {
	return header{kind: kind, durable: s.syncer.enabled, number: number, firstSeq: s.seq + 1, owner: s.owner, process: uint32(s.process)}
}

// stampHeader puts the present moment into a header.
func (s *store) stampHeader(h *header) {
	now := s.options.Clock()
	h.createdAt, h.createdLogTime = now.Wall, s.clock.at(now)
}

// createFile creates a file of the log and writes its header.
func (s *store) createFile(path string, h header) (*logFile, error) {
	f, err := s.fs.Open(path, ModeCreate)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	s.stampHeader(&h)
	file := &logFile{name: filepath.Base(path), file: f, header: h, salt: s.salt, validHeaders: headerSize / headerCopySize, size: headerSize}
	if _, err = f.WriteAt(h.encode(), 0); err == nil {
		err = s.syncer.syncFile(file)
	}
	if err != nil {
		s.discardFile(file, path)
		return nil, fmt.Errorf("wal: create %s: %w", file.name, err)
	}
	s.usage.resize(path, headerSize)
	return file, nil
}

func (s *store) discardFile(f *logFile, path string) {
	f.file.Close()
	if err := s.fs.Remove(path); err == nil {
		s.usage.resize(path, 0)
	}
}

// writeOwnRecord writes a record about the log itself, whatever space there is.
func (s *store) writeOwnRecord(r *Record) error {
	b, err := appendRecord(nil, r, s.seq+1, s.salt, nil)
	if err != nil {
		return err
	}
	if err := s.segment.write(b); err != nil {
		return err
	}
	s.seq++
	s.apply(indexKey{}, nil, s.seq, r, recordPlace{s.segment.file, s.segment.file.size, int64(len(b))})
	s.advanceSegment(len(b))
	return nil
}

// advanceSegment moves the end of the segment past n bytes that were written.
func (s *store) advanceSegment(n int) {
	f := s.segment.file
	f.size += int64(n)
	s.usage.resize(filepath.Join(s.dir, f.name), f.size)
}
