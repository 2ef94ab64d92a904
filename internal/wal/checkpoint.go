package wal

import (
	"fmt"
	"io"
	"path/filepath"
)

// checkpointWriter writes a checkpoint in slices, between the batches of the log. The
// checkpoint may include records that were written after it was begun. Each message in it
// carries the sequence number of the last record that its state includes; a restart
// ignores the message's records up to that one.
//
// A message can be read from the new file as soon as it is written there. Only a restart
// ignores the checkpoint until it is installed.
type checkpointWriter struct {
	store           *store
	file            *logFile
	path            string
	segment         uint32 // the first segment that the checkpoint does not cover
	nextEntry       uint32 // position in the index of the next entry to write
	endEntry        uint32 // number of entries in the index at the beginning
	records         uint64 // number of records written so far
	buffer          []byte
	reader          messageReader
	verifiedBytes   int64
	verifiedRecords uint64
	complete        bool // all records are written
}

// entriesPerSlice limits the entries that one slice visits, so that it ends soon even if
// few of them are in use.
const entriesPerSlice = 1 << 16

// startCheckpoint begins a checkpoint, unless one is already being written. Later records
// go into a new segment.
func (s *store) startCheckpoint() error {
	if s.pendingCheckpoint != nil || s.syncer.err != nil || s.handoff != nil {
		return s.syncer.err
	}
	current := s.segment.file
	isEmpty := current != nil && current.size == headerSize
	if isEmpty && s.checkpointFile != nil && s.checkpointFile.number == current.number {
		return nil // nothing was recorded since the last checkpoint
	}
	if !isEmpty {
		if err := s.startSegment(); err != nil {
			return s.abortCheckpoint(err)
		}
	}
	number := s.segment.file.number
	w := &checkpointWriter{store: s, segment: number, endEntry: s.index.entryCount}
	w.path = filepath.Join(s.dir, checkpointName(number)+temporarySuffix)
	file, err := s.createFile(w.path, s.newHeader(fileCheckpoint, number))
	if err != nil {
		return s.abortCheckpoint(err)
	}
	w.file = s.addFile(file)
	s.pendingCheckpoint = w
	return w.add(&Record{Kind: KindOwner, ID: NoMessage, Process: s.process, HandoffOffset: s.handoffOffset}, nil)
}

// abortCheckpoint abandons the checkpoint because of an error and delays the next one.
func (s *store) abortCheckpoint(err error) error {
	s.checkpointRetryBytes = s.logBytes() + s.compactionThreshold()/4
	if w := s.pendingCheckpoint; w != nil {
		// The file stays open until a later checkpoint is installed, as entries may
		// already refer to it.
		s.pendingCheckpoint = nil
		if err := s.fs.Remove(w.path); err == nil {
			s.usage.resize(w.path, 0)
		}
	}
	return fmt.Errorf("wal: checkpoint: %w", err)
}

// stepCheckpoint writes or verifies a slice of about sliceBytes, or installs the
// checkpoint. done is true if it was installed, if it failed, or if there is none.
func (s *store) stepCheckpoint(sliceBytes int) (done bool, err error) {
	w := s.pendingCheckpoint
	switch {
	case w == nil:
		return true, nil
	case !w.complete:
		err = w.writeSlice(sliceBytes)
	case w.verifiedBytes < w.file.size:
		err = w.verifySlice(sliceBytes)
	default:
		if err = w.install(); err == nil {
			return true, nil
		}
	}
	if err != nil {
		return true, s.abortCheckpoint(err)
	}
	return false, nil
}

// finishCheckpoint completes the checkpoint that is being written, or begins and completes one.
func (s *store) finishCheckpoint() error {
	if s.pendingCheckpoint == nil {
		if err := s.startCheckpoint(); err != nil {
			return err
		}
	}
	for {
		if done, err := s.stepCheckpoint(checkpointSliceBytes); done || err != nil {
			return err
		}
	}
}

// compact continues the checkpoint that is being written, or begins one if it is due. It
// reports whether there is more to do.
func (s *store) compact() (more bool) {
	if s.handoff != nil || s.syncer.err != nil {
		return false
	}
	if s.pendingCheckpoint == nil {
		due := max(s.compactionThreshold(), compactionFactor*s.checkpointBytes, s.checkpointRetryBytes)
		if s.logBytes() <= due {
			return false
		}
		if err := s.startCheckpoint(); err != nil {
			s.logCheckpointFailure(err)
			return false
		}
	}
	done, err := s.stepCheckpoint(checkpointSliceBytes)
	if err != nil {
		s.logCheckpointFailure(err)
	}
	return !done
}

func (s *store) logCheckpointFailure(err error) { s.logger.Error("checkpoint failed", "err", err) }

// add encodes a record into the buffer. message is the encoded message of a
// kindMessageState record.
func (w *checkpointWriter) add(r *Record, message []byte) (err error) {
	w.buffer, err = appendRecord(w.buffer, r, w.records+1, w.store.checksumSeed, message)
	if err == nil {
		w.records++
	}
	return err
}

// relocatedRecord is the position of an entry's record in the buffer.
type relocatedRecord struct {
	entry        uint32
	offset, size int
}

// writeSlice writes the messages of the next entries and, after the last one, the
// checkpoint's end record.
func (w *checkpointWriter) writeSlice(sliceBytes int) error {
	relocated, err := w.encodeEntries(sliceBytes)
	if err != nil {
		return err
	}
	if w.nextEntry == w.endEntry {
		if err := w.add(&Record{Kind: kindCheckpointEnd, ID: NoMessage, At: int64(w.records)}, nil); err != nil {
			return err
		}
	}
	start := w.file.size
	if err := w.flush(); err != nil {
		return err
	}
	s := w.store
	for _, m := range relocated {
		if d := s.index.details[m.entry]; d == nil || d.corruptedID == "" {
			s.relocate(m.entry, recordPlace{w.file, start + int64(m.offset), int64(m.size)})
		}
	}
	w.complete = w.nextEntry == w.endEntry
	w.verifiedBytes = headerSize
	return nil
}

// encodeEntries encodes the messages of the next entries into the buffer, up to about sliceBytes.
func (w *checkpointWriter) encodeEntries(sliceBytes int) (relocated []relocatedRecord, err error) {
	var r Record
	for visited := 0; w.nextEntry < w.endEntry && len(w.buffer) < sliceBytes && visited < entriesPerSlice; visited++ {
		i := w.nextEntry
		w.nextEntry++
		e := w.store.index.entryAt(i)
		if e.flags&entryLive == 0 {
			continue
		}
		message, err := w.readEntry(i, &r)
		if err != nil {
			return nil, err
		}
		r.Kind, r.At, r.Latency = kindMessageState, int64(e.seq), int64(e.lastSeq()) // At and Latency hold sequence numbers: see appendMessageState
		start := len(w.buffer)
		if err := w.add(&r, message); err != nil {
			return nil, err
		}
		relocated = append(relocated, relocatedRecord{i, start, len(w.buffer) - start})
	}
	return relocated, nil
}

// readEntry reads an entry's message. If its record can no longer be read but its id is
// valid, the message is marked as lost and has no body.
func (w *checkpointWriter) readEntry(i uint32, r *Record) (message []byte, err error) {
	s := w.store
	message, err = s.readRecord(i, &w.reader, r)
	if err == nil {
		return message, nil
	}
	if r.ID == "" {
		return nil, err
	}
	s.logger.Error("message lost", "id", r.ID, "err", err)
	s.markCorrupted(i, r.ID)
	r.Corrupted = true
	return nil, nil
}

// flush writes the buffer to the end of the file.
func (w *checkpointWriter) flush() error {
	s := w.store
	n, err := w.file.file.WriteAt(w.buffer, w.file.size)
	if err == nil && n < len(w.buffer) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return fmt.Errorf("%s: %d of %d bytes written: %w", w.file.name, n, len(w.buffer), err)
	}
	w.file.size += int64(len(w.buffer))
	w.buffer = w.buffer[:0]
	s.usage.resize(w.path, w.file.size)
	return s.syncer.syncFile(w.file)
}

// verifySlice reads back a slice of what was written.
func (w *checkpointWriter) verifySlice(sliceBytes int) error {
	scan := w.reader.scannerOf(w.file)
	scan.size = w.file.size
	end := min(w.verifiedBytes+int64(sliceBytes), w.file.size)
	for w.verifiedBytes < end {
		rec, status := scan.record(w.verifiedBytes)
		if status != recordValid || rec.seq != w.verifiedRecords+1 {
			return fmt.Errorf("%s: written, but not readable at %d", w.file.name, w.verifiedBytes)
		}
		w.verifiedRecords++
		w.verifiedBytes += rec.size
	}
	return nil
}

// install gives the checkpoint its final name and removes the files that it replaces.
func (w *checkpointWriter) install() error {
	s := w.store
	name := checkpointName(w.segment)
	path := filepath.Join(s.dir, name)
	if err := s.fs.Rename(w.path, path); err != nil {
		return err
	}
	s.usage.resize(w.path, 0)
	s.usage.resize(path, w.file.size)
	if err := s.syncer.syncDir(s.dir); err != nil {
		return err
	}
	w.file.name = name
	s.checkpointFile, s.pendingCheckpoint, s.checkpointRetryBytes = w.file, nil, 0
	w.removeReplaced()
	return nil
}

// removeReplaced closes and removes the files that the checkpoint replaces.
func (w *checkpointWriter) removeReplaced() {
	s := w.store
	var segments []*logFile
	for _, f := range s.segments {
		if f.number >= w.segment {
			segments = append(segments, f)
		}
	}
	s.segments = segments
	for ref, f := range s.files {
		if f == w.file || f.kind == fileSegment && f.number >= w.segment && !f.legacy {
			continue
		}
		f.file.Close()
		delete(s.files, ref)
		if !f.legacy && f.name != filepath.Base(w.path) && f.name != w.file.name {
			s.removeFile(f.name)
		}
	}
}
