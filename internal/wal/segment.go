package wal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
)

// segmentWriter appends to the current segment.
type segmentWriter struct {
	file *logFile // nil until this process has started its first segment
	torn bool     // a failed write may have left bytes after the end of the segment
}

// write writes b at the end of the segment. advanceSegment moves the end past it after the
// records in b have been applied.
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

// repairEnd cuts off bytes that a failed write may have left, before anything else is
// written. They may contain complete records whose writes were reported as failed. A
// shorter write over them would leave some of these records behind it, and a restart would
// read them as recorded.
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

// startSegment begins the next segment. It first syncs the current one and ends it with a
// seal that names the next one. The seal is synced before the next segment gets its first
// record, so a loss of power can only damage the end of the last segment.
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

// sealSegment ends the current segment with a record that holds the number of the next
// one. A failure to write the seal is only logged, as readers do not need it. It returns
// the error of the sync.
func (s *store) sealSegment(next uint32) error {
	if err := s.writeOwnRecord(&Record{Kind: kindSegmentSeal, ID: NoMessage, At: int64(next)}); err != nil {
		s.logger.Warn("segment not sealed", "file", s.segment.file.name, "err", err)
	}
	return s.syncer.syncFile(s.segment.file)
}

// newHeader returns the header of a file that begins with the log's next record.
func (s *store) newHeader(kind fileKind, number uint32) header {
	return header{kind: kind, durable: s.syncer.enabled, number: number, firstSeq: s.seq + 1, owner: s.owner, process: uint32(s.process)}
}

// stampHeader sets a header's creation time to the current time.
func (s *store) stampHeader(h *header) {
	now := s.options.Clock()
	h.createdAt, h.createdLogTime = now.Wall, s.clock.timeAt(now)
}

// createFile creates a file of the log and writes its header.
func (s *store) createFile(path string, h header) (*logFile, error) {
	f, err := s.fs.Open(path, ModeCreate)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	s.stampHeader(&h)
	file := &logFile{name: filepath.Base(path), file: f, header: h, checksumSeed: s.checksumSeed, validHeaders: headerSize / headerCopySize, size: headerSize}
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

// writeOwnRecord writes a record about the log itself, without checking the limit of the folder.
func (s *store) writeOwnRecord(r *Record) error {
	b, err := appendRecord(nil, r, s.seq+1, s.checksumSeed, nil)
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

// advanceSegment moves the end of the current segment forward by the n bytes that were written.
func (s *store) advanceSegment(n int) {
	f := s.segment.file
	f.size += int64(n)
	s.usage.resize(filepath.Join(s.dir, f.name), f.size)
}
