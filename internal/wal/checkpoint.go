package wal

import (
	"fmt"
	"path/filepath"
)

// job is a checkpoint that is being written, in slices between the batches of
// the log. It may take in what was booked after it was begun: each message
// carries the number of the last record that its state holds, and records up to
// that are passed over when the log is read. An entry's record counts as moved
// as soon as it is written; only what a restart finds waits for the whole.
type job struct {
	src     *source
	path    string
	num     uint32 // of the first segment that it does not cover
	next    uint32 // entry to be written
	until   uint32 // entries that there were at the beginning
	n       uint64 // records so far
	buf     []byte
	read    reader
	checked int64 // up to here the file was read again
	checks  uint64
	written bool // whole
}

// startCheckpoint begins one. What is booked from here on goes into a new
// segment.
func (c *core) startCheckpoint() error {
	if c.job != nil || c.failed != nil || c.after != nil {
		return c.failed
	}
	if c.cur != nil && c.at == headerSize && c.ckp != nil && c.ckp.num == c.cur.num {
		return nil // nothing was booked since the last one
	}
	if c.cur == nil || c.at > headerSize {
		if err := c.roll(); err != nil {
			return c.abort(err)
		}
	}
	j := &job{num: c.cur.num, until: c.idx.used}
	j.path = filepath.Join(c.dir, ckpName(j.num)+newSuffix)
	src, err := c.create(j.path, header{kind: checkpointFile, power: c.o.Durability == SurvivesPowerLoss, num: j.num, first: c.seq + 1, by: uint32(c.by)})
	if err != nil {
		return c.abort(err)
	}
	j.src = c.addSource(src)
	c.job = j
	return c.jobRecord(&Record{Kind: KindOwner, ID: NoMessage, Process: c.by, HandoffOffset: c.state.side}, nil)
}

func (c *core) abort(err error) error {
	c.rest = c.logBytes() + c.garden()/4
	if j := c.job; j != nil {
		// Entries may stand in the file by now: it stays open until a checkpoint succeeds.
		c.job = nil
		if rerr := c.fs.Remove(j.path); rerr == nil {
			c.resize(j.path, 0)
		}
	}
	return fmt.Errorf("log: checkpoint: %w", err)
}

func (c *core) jobRecord(r *Record, raw []byte) (err error) {
	c.job.buf, err = appendRecord(c.job.buf, r, c.job.n+1, c.salt, raw)
	if err == nil {
		c.job.n++
	}
	return err
}

// stepCheckpoint writes, or checks, so many bytes of it; done once there is
// none, or it is in force.
func (c *core) stepCheckpoint(most int) (done bool, err error) {
	j := c.job
	switch {
	case j == nil:
		return true, nil
	case !j.written:
		err = c.writeSlice(j, most)
	case j.checked < j.src.size:
		err = c.checkSlice(j, most)
	default:
		if err = c.install(j); err == nil {
			return true, nil
		}
	}
	if err != nil {
		return true, c.abort(err)
	}
	return false, nil
}

func (c *core) writeSlice(j *job, most int) error {
	type move struct {
		i         uint32
		off, size int
	}
	var moves []move
	var r Record
	for looked := 0; j.next < j.until && len(j.buf) < most && looked < 1<<16; looked++ {
		i := j.next
		j.next++
		e := c.idx.at(i)
		if e.flags&entryLive == 0 {
			continue
		}
		raw, err := c.load(i, &j.read, &r)
		if err != nil && r.ID == "" {
			return err
		}
		if err != nil { // whose it is, is certain; the rest is gone
			c.log.Error("log: message is lost", "id", r.ID, "err", err)
			c.owed -= c.room(i)
			c.idx.more(i).lost = r.ID
			c.owed += c.room(i)
			r.Corrupted = true
		}
		r.Kind, r.At, r.Latency = held, int64(e.seq), int64(e.seq+uint64(e.asof))
		start := len(j.buf)
		if err := c.jobRecord(&r, raw); err != nil {
			return err
		}
		moves = append(moves, move{i, start, len(j.buf) - start})
	}
	if j.next == j.until {
		if err := c.jobRecord(&Record{Kind: total, ID: NoMessage, At: int64(j.n)}, nil); err != nil {
			return err
		}
	}
	at := j.src.size
	if n, err := j.src.f.WriteAt(j.buf, at); err != nil || n < len(j.buf) {
		return fmt.Errorf("%s: %d of %d bytes written: %w", j.src.name, n, len(j.buf), err)
	}
	j.src.size += int64(len(j.buf))
	c.resize(j.path, j.src.size)
	if c.o.Durability == SurvivesPowerLoss {
		if err := c.syncFile(j.src); err != nil {
			return err
		}
	}
	for _, m := range moves {
		if e := c.idx.at(m.i); c.idx.extras[m.i] == nil || c.idx.extras[m.i].lost == "" {
			c.owed -= c.room(m.i)
			e.src, e.off, e.size = j.src.ref, uint32(at)+uint32(m.off), uint32(m.size)
			c.owed += c.room(m.i)
		}
	}
	j.buf = j.buf[:0]
	j.written = j.next == j.until
	j.checked = headerSize
	return nil
}

// checkSlice reads what was written once more.
func (c *core) checkSlice(j *job, most int) error {
	scan := j.read.of(j.src)
	scan.size = j.src.size
	for end := j.checked + int64(most); j.checked < min(end, j.src.size); {
		rec, st := scan.record(j.checked)
		if st != sound || rec.seq != j.checks+1 {
			return fmt.Errorf("%s: written, but not readable at %d", j.src.name, j.checked)
		}
		j.checks++
		j.checked += rec.size
	}
	return nil
}

// install puts the checkpoint in force; what it makes useless goes.
func (c *core) install(j *job) error {
	name := ckpName(j.num)
	path := filepath.Join(c.dir, name)
	if err := c.fs.Rename(j.path, path); err != nil {
		return err
	}
	size := j.src.size
	c.resize(j.path, 0)
	c.resize(path, size)
	if c.o.Durability == SurvivesPowerLoss {
		if err := c.syncDir(); err != nil {
			return err
		}
	}
	j.src.name = name
	c.ckp, c.job, c.rest = j.src, nil, 0
	var kept []*source
	for _, src := range c.segs {
		if src.num >= j.num {
			kept = append(kept, src)
		}
	}
	c.segs = kept
	for ref, src := range c.sources {
		if src == j.src || src.kind == segmentFile && src.num >= j.num && !src.old {
			continue
		}
		src.f.Close()
		delete(c.sources, ref)
		if !src.old && src.name != filepath.Base(j.path) && src.name != name {
			c.drop(src.name)
		}
	}
	return nil
}

// finishCheckpoint makes one at once, or ends the one that is being written.
func (c *core) finishCheckpoint() error {
	if c.job == nil {
		if err := c.startCheckpoint(); err != nil {
			return err
		}
	}
	for {
		if done, err := c.stepCheckpoint(sliceBytes); done || err != nil {
			return err
		}
	}
}

// tidy goes on with a checkpoint, or begins one that is due.
func (c *core) tidy() (more bool) {
	if c.after != nil || c.failed != nil {
		return false
	}
	if c.job == nil {
		if n := c.logBytes(); n <= max(c.garden(), 4*c.owed, c.rest) {
			return false
		}
		if err := c.startCheckpoint(); err != nil {
			c.log.Error("log: no checkpoint", "err", err)
			return false
		}
	}
	done, err := c.stepCheckpoint(sliceBytes)
	if err != nil {
		c.log.Error("log: no checkpoint", "err", err)
	}
	return !done
}

// carryOver puts what an older program left into this form, in one step for
// whoever looks at the folder: its file makes room for the log's folder, which
// that program cannot mistake for its own.
func (c *core) carryOver() error {
	dir := filepath.Join(c.o.Dir, FolderName)
	c.dir = dir + newSuffix
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
	if c.o.Durability == SurvivesPowerLoss {
		if err := step(c.fs.SyncDir(dir + newSuffix)); err != nil {
			return err
		}
	}
	to := dir + oldSuffix
	if _, _, err := c.fs.Stat(to); err == nil {
		to = dir + olderSuffix
	}
	if _, _, err := c.fs.Stat(dir); err == nil {
		if err := step(c.fs.Rename(dir, to)); err != nil {
			return err
		}
	}
	if err := step(c.fs.Rename(dir+newSuffix, dir)); err != nil {
		return err
	}
	if c.o.Durability == SurvivesPowerLoss {
		if err := step(c.fs.SyncDir(c.o.Dir)); err != nil {
			return err
		}
	}
	for _, suffix := range []string{oldSuffix, olderSuffix} {
		if err := c.fs.Remove(dir + suffix); err != nil {
			c.log.Error("log: older log not removed", "err", err)
		}
	}
	c.log.Info("log: carried over from an older program", "owed", c.idx.live)
	return nil
}
