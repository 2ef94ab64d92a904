package wal

import (
	"fmt"
	"path/filepath"
)

// checkpointWriter is a checkpoint that is being written, in slices between the batches of
// the log. It may take in what was booked after it was begun: each message
// carries the number of the last record that its state holds, and records up to
// that are passed over when the log is read. An entry's record counts as moved
// as soon as it is written; only what a restart finds waits for the whole.
type checkpointWriter struct {
	file            *logFile
	path            string
	segment         uint32 // of the first segment that it does not cover
	nextEntry       uint32 // entry to be written
	endEntry        uint32 // entries that there were at the beginning
	records         uint64 // records so far
	buffer          []byte
	reader          messageReader
	verifiedBytes   int64 // up to here the file was read again
	verifiedRecords uint64
	complete        bool // whole
}

// startCheckpoint begins one. What is booked from here on goes into a new
// segment.
func (c *store) startCheckpoint() error {
	if c.pendingCheckpoint != nil || c.failed != nil || c.handoff != nil {
		return c.failed
	}
	if c.cur != nil && c.at == headerSize && c.checkpointFile != nil && c.checkpointFile.number == c.cur.number {
		return nil // nothing was booked since the last one
	}
	if c.cur == nil || c.at > headerSize {
		if err := c.startSegment(); err != nil {
			return c.abortCheckpoint(err)
		}
	}
	j := &checkpointWriter{segment: c.cur.number, endEntry: c.index.entryCount}
	j.path = filepath.Join(c.dir, checkpointName(j.segment)+temporarySuffix)
	src, err := c.createFile(j.path, header{kind: fileCheckpoint, durable: c.options.Durability == SurvivesPowerLoss, number: j.segment, firstSeq: c.seq + 1, process: uint32(c.process)})
	if err != nil {
		return c.abortCheckpoint(err)
	}
	j.file = c.addFile(src)
	c.pendingCheckpoint = j
	return c.addCheckpointRecord(&Record{Kind: KindOwner, ID: NoMessage, Process: c.process, HandoffOffset: c.state.handoffOffset}, nil)
}

func (c *store) abortCheckpoint(err error) error {
	c.checkpointRetryBytes = c.logBytes() + c.compactionThreshold()/4
	if j := c.pendingCheckpoint; j != nil {
		// Entries may stand in the file by now: it stays open until a checkpoint succeeds.
		c.pendingCheckpoint = nil
		if rerr := c.fs.Remove(j.path); rerr == nil {
			c.resize(j.path, 0)
		}
	}
	return fmt.Errorf("log: checkpoint: %w", err)
}

func (c *store) addCheckpointRecord(r *Record, raw []byte) (err error) {
	c.pendingCheckpoint.buffer, err = appendRecord(c.pendingCheckpoint.buffer, r, c.pendingCheckpoint.records+1, c.salt, raw)
	if err == nil {
		c.pendingCheckpoint.records++
	}
	return err
}

// stepCheckpoint writes, or checks, so many bytes of it; done once there is
// none, or it is in force.
func (c *store) stepCheckpoint(most int) (done bool, err error) {
	j := c.pendingCheckpoint
	switch {
	case j == nil:
		return true, nil
	case !j.complete:
		err = c.writeCheckpointSlice(j, most)
	case j.verifiedBytes < j.file.size:
		err = c.verifyCheckpointSlice(j, most)
	default:
		if err = c.installCheckpoint(j); err == nil {
			return true, nil
		}
	}
	if err != nil {
		return true, c.abortCheckpoint(err)
	}
	return false, nil
}

func (c *store) writeCheckpointSlice(j *checkpointWriter, most int) error {
	type move struct {
		i         uint32
		off, size int
	}
	var moves []move
	var r Record
	for looked := 0; j.nextEntry < j.endEntry && len(j.buffer) < most && looked < 1<<16; looked++ {
		i := j.nextEntry
		j.nextEntry++
		e := c.index.at(i)
		if e.flags&entryLive == 0 {
			continue
		}
		raw, err := c.readRecord(i, &j.reader, &r)
		if err != nil && r.ID == "" {
			return err
		}
		if err != nil { // whose it is, is certain; the rest is gone
			c.logger.Error("log: message is lost", "id", r.ID, "err", err)
			c.checkpointBytes -= c.entryBytes(i)
			c.index.detail(i).corruptedID = r.ID
			c.checkpointBytes += c.entryBytes(i)
			r.Corrupted = true
		}
		r.Kind, r.At, r.Latency = kindMessageState, int64(e.seq), int64(e.seq+uint64(e.stateSeq))
		start := len(j.buffer)
		if err := c.addCheckpointRecord(&r, raw); err != nil {
			return err
		}
		moves = append(moves, move{i, start, len(j.buffer) - start})
	}
	if j.nextEntry == j.endEntry {
		if err := c.addCheckpointRecord(&Record{Kind: kindCheckpointEnd, ID: NoMessage, At: int64(j.records)}, nil); err != nil {
			return err
		}
	}
	at := j.file.size
	if n, err := j.file.file.WriteAt(j.buffer, at); err != nil || n < len(j.buffer) {
		return fmt.Errorf("%s: %d of %d bytes written: %w", j.file.name, n, len(j.buffer), err)
	}
	j.file.size += int64(len(j.buffer))
	c.resize(j.path, j.file.size)
	if c.options.Durability == SurvivesPowerLoss {
		if err := c.syncFile(j.file); err != nil {
			return err
		}
	}
	for _, m := range moves {
		if e := c.index.at(m.i); c.index.details[m.i] == nil || c.index.details[m.i].corruptedID == "" {
			c.checkpointBytes -= c.entryBytes(m.i)
			e.fileRef, e.offset, e.size = j.file.ref, uint32(at)+uint32(m.off), uint32(m.size)
			c.checkpointBytes += c.entryBytes(m.i)
		}
	}
	j.buffer = j.buffer[:0]
	j.complete = j.nextEntry == j.endEntry
	j.verifiedBytes = headerSize
	return nil
}

// verifyCheckpointSlice reads what was written once more.
func (c *store) verifyCheckpointSlice(j *checkpointWriter, most int) error {
	scan := j.reader.scannerOf(j.file)
	scan.size = j.file.size
	for end := j.verifiedBytes + int64(most); j.verifiedBytes < min(end, j.file.size); {
		rec, st := scan.record(j.verifiedBytes)
		if st != recordValid || rec.seq != j.verifiedRecords+1 {
			return fmt.Errorf("%s: written, but not readable at %d", j.file.name, j.verifiedBytes)
		}
		j.verifiedRecords++
		j.verifiedBytes += rec.size
	}
	return nil
}

// installCheckpoint puts the checkpoint in force; what it makes useless goes.
func (c *store) installCheckpoint(j *checkpointWriter) error {
	name := checkpointName(j.segment)
	path := filepath.Join(c.dir, name)
	if err := c.fs.Rename(j.path, path); err != nil {
		return err
	}
	size := j.file.size
	c.resize(j.path, 0)
	c.resize(path, size)
	if c.options.Durability == SurvivesPowerLoss {
		if err := c.syncDir(); err != nil {
			return err
		}
	}
	j.file.name = name
	c.checkpointFile, c.pendingCheckpoint, c.checkpointRetryBytes = j.file, nil, 0
	var kept []*logFile
	for _, src := range c.segments {
		if src.number >= j.segment {
			kept = append(kept, src)
		}
	}
	c.segments = kept
	for ref, src := range c.files {
		if src == j.file || src.kind == fileSegment && src.number >= j.segment && !src.legacy {
			continue
		}
		src.file.Close()
		delete(c.files, ref)
		if !src.legacy && src.name != filepath.Base(j.path) && src.name != name {
			c.removeFile(src.name)
		}
	}
	return nil
}

// finishCheckpoint makes one at once, or ends the one that is being written.
func (c *store) finishCheckpoint() error {
	if c.pendingCheckpoint == nil {
		if err := c.startCheckpoint(); err != nil {
			return err
		}
	}
	for {
		if done, err := c.stepCheckpoint(checkpointSliceBytes); done || err != nil {
			return err
		}
	}
}

// compact goes on with a checkpoint, or begins one that is due.
func (c *store) compact() (more bool) {
	if c.handoff != nil || c.failed != nil {
		return false
	}
	if c.pendingCheckpoint == nil {
		if n := c.logBytes(); n <= max(c.compactionThreshold(), 4*c.checkpointBytes, c.checkpointRetryBytes) {
			return false
		}
		if err := c.startCheckpoint(); err != nil {
			c.logger.Error("log: no checkpoint", "err", err)
			return false
		}
	}
	done, err := c.stepCheckpoint(checkpointSliceBytes)
	if err != nil {
		c.logger.Error("log: no checkpoint", "err", err)
	}
	return !done
}

// convertLegacy puts what an older program left into this form, in one step for
// whoever looks at the folder: its file makes room for the log's folder, which
// that program cannot mistake for its own.
func (c *store) convertLegacy() error {
	dir := filepath.Join(c.options.Dir, FolderName)
	c.dir = dir + temporarySuffix
	step := func(err error) error {
		if err != nil {
			return fmt.Errorf("log: carried over: %w", err)
		}
		return nil
	}
	if err := step(c.fs.Remove(c.dir)); err != nil {
		return err
	}
	if err := step(c.fs.MakeDir(c.dir)); err != nil {
		return err
	}
	if err := step(c.finishCheckpoint()); err != nil {
		return err
	}
	c.dir = dir
	if c.options.Durability == SurvivesPowerLoss {
		if err := step(c.fs.SyncDir(dir + temporarySuffix)); err != nil {
			return err
		}
	}
	to := dir + legacySuffix
	if _, _, err := c.fs.Stat(to); err == nil {
		to = dir + secondLegacySuffix
	}
	if _, _, err := c.fs.Stat(dir); err == nil {
		if err := step(c.fs.Rename(dir, to)); err != nil {
			return err
		}
	}
	if err := step(c.fs.Rename(dir+temporarySuffix, dir)); err != nil {
		return err
	}
	if c.options.Durability == SurvivesPowerLoss {
		if err := step(c.fs.SyncDir(c.options.Dir)); err != nil {
			return err
		}
	}
	for _, suffix := range []string{legacySuffix, secondLegacySuffix} {
		if err := c.fs.Remove(dir + suffix); err != nil {
			c.logger.Error("log: older log not removed", "err", err)
		}
	}
	c.logger.Info("log: carried over from an older program", "owed", c.index.live)
	return nil
}
