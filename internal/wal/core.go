package wal

import (
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"plovershore/internal/clock"
)

// Bounds of the folder.
const (
	roundingReserve      = 16 << 10  // of the disk, never used: file sizes are rounded up
	completionReserve    = 64 << 10  // kept for records on messages that were taken on already
	minCompactionBytes   = 1 << 20   // a log this short is not worth a checkpoint
	maxSegmentBytes      = 16 << 20  // bytes, after which the next segment is begun
	minSegmentBytes      = 64 << 10  //
	segmentsPerLimit     = 6         // parts of the limit that a segment takes at most: bounds the files that are open
	maxBatchBytes        = 256 << 10 // bytes that are written in one call
	checkpointSliceBytes = 128 << 10 // of a checkpoint that is written between two batches
)

// store is the log without its goroutine: each call does one thing and comes
// back, in an order that its user alone decides.
type store struct {
	*state
	options              Options
	fs                   FS
	logger               *slog.Logger
	dir                  string // of the segments
	cur                  *logFile
	at                   int64 // in cur: where the next record goes
	sizes                map[string]int64
	bytes                int64 // of all files, in whole blocks
	stampFile            StampFile
	clock                logClock
	pendingCheckpoint    *checkpointWriter
	ownerRecord          *Record // to be written before all else: this process's mark
	failed               error
	inheritedPolicy      []byte         // the memory of the process that passed the log on; this one's mark clears it there
	handoff              *handoffWriter // what is written to once the log belongs to the next process
	limit                int64
	buffer               []byte
	batch                []batchEntry
	batchPending         map[string]bool // of the batch: taken, or ended
	results              []error
	aside                int64 // bytes of damaged files that are kept
	spaceReserved        bool  // what is written now has its room already
	checkpointRetryBytes int64 // bytes of log at which a checkpoint is begun, after one that failed
	torn                 bool  // a write that failed may have left something at the end of the segment
}

// batchEntry is a record in the buffer.
type batchEntry struct {
	record *Record
	index  int // its place in the batch
	offset int
	size   int
	seq    uint64
}

func newStore(o Options) *store {
	c := &store{options: o, fs: o.FS, logger: o.Log, dir: filepath.Join(o.Dir, FolderName), limit: o.Limit, sizes: map[string]int64{}, batchPending: map[string]bool{}}
	if c.fs == nil {
		c.fs = OS{}
	}
	if c.options.Clock == nil {
		c.options.Clock = clock.Read
	}
	if c.logger == nil {
		c.logger = slog.New(slog.DiscardHandler)
	}
	return c
}

// open recovers what the folder holds and makes it ready. The caller holds the
// lock. Where the process before still lives, its side log comes too, and the
// calls that it has out are left as they are.
func (c *store) open() (side *HandoffLog, err error) {
	if err := c.recoverState(); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	if err := c.finishInterruptedWrites(); err != nil {
		return nil, err
	}
	side, late, err := c.openHandoff()
	if err != nil {
		return nil, err
	}
	living := 0
	if side != nil {
		living = side.Process
	}
	if c.owner == ([16]byte{}) {
		rand.Read(c.owner[:]) // never fails
		c.salt = ownerSalt(c.owner)
	}
	if c.state.recovery.OlderFormat {
		if err := c.convertLegacy(); err != nil {
			return nil, err
		}
	}
	if c.stampFile, err = c.fs.OpenStampFile(filepath.Join(c.dir, stampName)); err != nil {
		c.logger.Warn("log: no mark: a lost end will not be noticed", "err", err)
		c.stampFile = noStampFile{}
	}
	if err := c.countFiles(); err != nil {
		return nil, err
	}
	c.inheritedPolicy = c.policySnapshot
	if side == nil {
		if err := c.mergeHandoff(late); err != nil {
			return nil, err
		}
	}
	c.resolveInFlight(func(by int) bool { return by != living }, c.seq+1)
	c.process++
	c.ownerRecord = &Record{Kind: KindOwner, ID: NoMessage, Process: c.process, HandoffOffset: c.state.handoffOffset, livingProcess: living}
	for _, name := range c.obsolete {
		c.removeFile(name)
	}
	c.obsolete = nil
	if len(c.recovery.Corruptions) > 0 { // what it came to is fixed before anything is built on it
		if err := c.finishCheckpoint(); err != nil {
			c.logger.Error("log: no checkpoint", "err", err)
		}
	} else if len(c.segments) > 2 || c.logBytes() > c.compactionThreshold() {
		if err := c.startCheckpoint(); err != nil {
			c.logger.Error("log: no checkpoint", "err", err)
		}
	}
	return side, nil
}

// finishInterruptedWrites ends what a process before may have left half done: a carrying
// over, and, where power counts, writes that were read here but never synced.
func (c *store) finishInterruptedWrites() error {
	if c.recovery.OlderFormat {
		return nil
	}
	for _, suffix := range []string{temporarySuffix, legacySuffix, secondLegacySuffix} {
		if err := c.fs.Remove(c.dir + suffix); err != nil {
			return fmt.Errorf("log: %w", err)
		}
	}
	if c.options.Durability != SurvivesPowerLoss {
		return nil
	}
	for _, src := range c.files {
		if err := c.syncFile(src); err != nil {
			return err
		}
	}
	return c.syncDir()
}

type noStampFile struct{}

func (noStampFile) Store(Stamp)  {}
func (noStampFile) Close() error { return nil }

// recoverState books the folder, or the file of an older program.
func (c *store) recoverState() error {
	s, err := readState(c.fs, c.options.Dir)
	if err != nil {
		return err
	}
	c.state = s
	c.clock = newLogClock(c.options.Clock, s.clockAnchor, s.lastTime)
	if err := c.fs.MakeDir(c.options.Dir); err != nil {
		s.close()
		return fmt.Errorf("log: %w", err)
	}
	if !s.recovery.OlderFormat {
		if err := c.fs.MakeDir(c.dir); err != nil {
			s.close()
			return fmt.Errorf("log: %w", err)
		}
		if c.options.Durability == SurvivesPowerLoss {
			if err := c.fs.SyncDir(c.options.Dir); err != nil {
				s.close()
				return fmt.Errorf("log: %w", err)
			}
		}
	}
	c.logRecovery()
	return nil
}

// readState books whatever stands in a state folder, and changes nothing.
func readState(fs FS, dir string) (*state, error) {
	_, isDir, err := fs.Stat(filepath.Join(dir, FolderName))
	_, _, oldErr := fs.Stat(filepath.Join(dir, FolderName+legacySuffix))
	if oldErr != nil {
		_, _, oldErr = fs.Stat(filepath.Join(dir, FolderName+secondLegacySuffix))
	}
	switch {
	case err == nil && isDir: // what an older program left beside it was carried over
		return readFolder(fs, filepath.Join(dir, FolderName))
	case err == nil || oldErr == nil:
		// A carrying over that was cut between its steps; where the older program
		// has run again since, its new file comes after.
		return readLegacyFiles(fs, dir, FolderName+legacySuffix, FolderName+secondLegacySuffix, FolderName)
	case errors.Is(err, os.ErrNotExist):
		return readFolder(fs, filepath.Join(dir, FolderName))
	}
	return nil, fmt.Errorf("log: %w", err)
}

// logRecovery names what was found damaged.
func (c *store) logRecovery() {
	for _, d := range c.recovery.Corruptions {
		c.logger.Error("log: damaged: what it may have concerned is held to have been sent", "file", d.File, "at", d.Offset, "bytes", d.Bytes,
			"what", d.Reason, "concerned", d.Affected, "ids", d.IDs)
	}
	for _, d := range c.recovery.Torn {
		c.logger.Warn("log: never booked", "file", d.File, "at", d.Offset, "bytes", d.Bytes, "what", d.Reason, "ids", d.IDs)
	}
	if len(c.recovery.LostIDs) > 0 {
		c.logger.Error("log: messages are lost", "ids", c.recovery.LostIDs)
	}
}

// countFiles counts what the files take up.
func (c *store) countFiles() error {
	c.sizes, c.bytes, c.aside = map[string]int64{}, 0, 0
	for _, dir := range []string{c.options.Dir, c.dir} {
		names, err := c.fs.List(dir)
		if err != nil && !errors.Is(err, os.ErrNotExist) && dir == c.options.Dir {
			return fmt.Errorf("log: %w", err)
		}
		for _, name := range names {
			path := filepath.Join(dir, name)
			size, isDir, err := c.fs.Stat(path)
			if err != nil || isDir || dir == c.options.Dir && name == HandoffName {
				continue
			}
			c.resize(path, size)
			if dir == c.dir && len(name) > len(quarantinePrefix) && name[:len(quarantinePrefix)] == quarantinePrefix {
				c.aside += blockBytes(size)
			}
		}
	}
	return nil
}

// resize books the size of a file.
func (c *store) resize(path string, size int64) {
	c.bytes += blockBytes(size) - blockBytes(c.sizes[path])
	if c.sizes[path] = size; size == 0 {
		delete(c.sizes, path)
	}
}

func (c *store) logBytes() (n int64) {
	for _, src := range c.segments {
		n += src.size
	}
	return n
}

func (c *store) compactionThreshold() int64 { return min(minCompactionBytes, c.limit/3) }

func (c *store) segmentSize() int64 {
	return max(minSegmentBytes, min(maxSegmentBytes, c.limit/segmentsPerLimit))
}

// removeFile takes a file of the log away; one that was damaged is kept aside, where
// there is room for it.
func (c *store) removeFile(name string) {
	path := filepath.Join(c.dir, name)
	size := c.sizes[path]
	for _, d := range c.recovery.Corruptions {
		if d.File == name && d.Bytes > 0 && c.aside+blockBytes(size) <= c.limit/8 {
			to := filepath.Join(c.dir, quarantinePrefix+"-"+name)
			if _, _, err := c.fs.Stat(to); err == nil {
				break // of an earlier damage, by the same name
			}
			if err := c.fs.Rename(path, to); err == nil {
				c.resize(path, 0)
				c.resize(to, size)
				c.aside += blockBytes(size)
				c.logger.Warn("log: damaged file kept", "file", to)
				return
			}
		}
	}
	if err := c.fs.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		c.logger.Error("log: not removed", "file", path, "err", err)
		return
	}
	c.resize(path, 0)
}

// startSegment begins the next segment. The one before is synced first and ends with a
// seal that names it, which is synced before anything is booked here: a loss of
// power can take nothing but the end of the last one.
func (c *store) startSegment() error {
	if err := c.truncateTornEnd(); err != nil {
		return err
	}
	if c.cur != nil && c.options.Durability == SurvivesPowerLoss {
		if err := c.sync(); err != nil {
			return err
		}
	}
	num := c.nextSegment
	name := segmentName(num)
	path := filepath.Join(c.dir, name)
	src, err := c.createFile(path, header{kind: fileSegment, durable: c.options.Durability == SurvivesPowerLoss, number: num, firstSeq: c.seq + 1, process: uint32(c.process)})
	if err != nil {
		return err
	}
	if c.options.Durability == SurvivesPowerLoss {
		if err := c.syncDir(); err != nil {
			src.file.Close()
			return err
		}
	}
	c.nextSegment++
	if c.cur != nil {
		if err := c.writeOwnRecord(&Record{Kind: kindSegmentSeal, ID: NoMessage, At: int64(num)}); err != nil {
			c.logger.Warn("log: segment not sealed", "file", c.cur.name, "err", err)
		}
		if c.options.Durability == SurvivesPowerLoss {
			if err := c.sync(); err != nil {
				src.file.Close()
				return err
			}
		}
	}
	src.name = name
	c.addFile(src)
	c.segments = append(c.segments, src)
	c.cur, c.at = src, headerSize
	return nil
}

func (c *store) encodeHeader(src *logFile) []byte {
	src.owner = c.owner
	c.stampHeader(&src.header)
	return src.header.encode()
}

// stampHeader puts the moment into a header, by the wall clock and by the log's time.
func (c *store) stampHeader(h *header) {
	now := c.options.Clock()
	h.createdAt, h.createdLogTime = now.Wall, c.clock.at(now)
}

// createFile makes a file and writes its header.
func (c *store) createFile(path string, h header) (*logFile, error) {
	f, err := c.fs.Open(path, ModeCreate)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	src := &logFile{name: filepath.Base(path), file: f, header: h, salt: c.salt, validHeaders: 2, size: headerSize}
	if _, err = f.WriteAt(c.encodeHeader(src), 0); err == nil && c.options.Durability == SurvivesPowerLoss {
		err = c.syncFile(src)
	}
	if err != nil {
		c.discardFile(src, path)
		return nil, fmt.Errorf("log: %w", err)
	}
	c.resize(path, headerSize)
	return src, nil
}

func (c *store) discardFile(src *logFile, path string) {
	src.file.Close()
	if err := c.fs.Remove(path); err == nil {
		c.resize(path, 0)
	}
}

func (c *store) sync() error { return c.syncFile(c.cur) }

// syncFile is final where it fails: the kernel may hold the page to be clean by
// then, so that a second try would tell of a success that was none.
func (c *store) syncFile(src *logFile) error {
	if c.failed == nil {
		if err := src.file.Sync(); err != nil {
			c.recordSyncFailure(fmt.Errorf("%s: %w", src.name, err))
		}
	}
	return c.failed
}

func (c *store) syncDir() error {
	if c.failed == nil {
		if err := c.fs.SyncDir(c.dir); err != nil {
			c.recordSyncFailure(fmt.Errorf("%s: %w", c.dir, err))
		}
	}
	return c.failed
}

func (c *store) recordSyncFailure(err error) {
	c.failed = fmt.Errorf("%w: %w", ErrSyncFailed, err)
	c.logger.Error("log: sync failed", "err", err)
	if c.options.OnFailure != nil {
		c.options.OnFailure(c.failed)
	}
}

// writeOwnRecord writes a record of the log's own, with no question of room.
func (c *store) writeOwnRecord(r *Record) error {
	var err error
	if c.buffer, err = appendRecord(c.buffer[:0], r, c.seq+1, c.salt, nil); err != nil {
		return err
	}
	if err := c.write(c.buffer); err != nil {
		return err
	}
	c.seq++
	c.apply(indexKey{}, nil, c.seq, r, c.cur, c.at, int64(len(c.buffer)), false)
	c.advance(len(c.buffer))
	return nil
}

// write puts b at the end of the segment.
func (c *store) write(b []byte) error {
	if err := c.truncateTornEnd(); err != nil {
		return err
	}
	n, err := c.cur.file.WriteAt(b, c.at)
	if err == nil && n < len(b) {
		err = errors.New("short write")
	}
	if err != nil {
		c.torn = true
		return errors.Join(fmt.Errorf("log: %w", err), c.truncateTornEnd())
	}
	return nil
}

// truncateTornEnd cuts off what a write that failed may have left behind. Before that nothing
// more is written: whole records may be among it, which were refused, and behind a
// shorter one they would be read as booked.
func (c *store) truncateTornEnd() error {
	if !c.torn {
		return nil
	}
	if err := c.cur.file.Truncate(c.at); err != nil {
		return fmt.Errorf("log: what a write left behind: %w", err)
	}
	c.torn = false
	return nil
}

func (c *store) advance(n int) {
	c.at += int64(n)
	c.cur.size = c.at
	c.resize(filepath.Join(c.dir, c.cur.name), c.at)
}

// appendRecords writes records as one, each where there is room for it and for a
// checkpoint, and gives for each why not. The answer is good until the next call.
func (c *store) appendRecords(recs []*Record) []error {
	c.results = append(c.results[:0], make([]error, len(recs))...)
	for from := 0; from < len(recs); {
		from += c.appendBatch(recs[from:], c.results[from:])
	}
	return c.results
}

// appendBatch writes the first records, as many as one call takes.
func (c *store) appendBatch(recs []*Record, ends []error) (n int) {
	if c.handoff != nil {
		for i, r := range recs {
			ends[i] = c.handoff.append(r)
		}
		return len(recs)
	}
	c.buffer, c.batch = c.buffer[:0], c.batch[:0]
	clear(c.batchPending)
	if c.failed == nil && (c.cur == nil || c.at > c.segmentSize()) {
		if err := c.startSegment(); err != nil {
			c.logger.Error("log: no new segment", "err", err)
			if c.cur == nil {
				for i := range recs {
					ends[i] = err
				}
				return len(recs)
			}
		}
		c.buffer = c.buffer[:0]
	}
	if c.failed != nil {
		for i := range recs {
			ends[i] = c.failed
		}
		return len(recs)
	}
	if c.ownerRecord != nil {
		if err := c.writeOwnRecord(c.ownerRecord); err != nil {
			c.logger.Error("log: not begun", "err", err)
			for i := range recs {
				ends[i] = err
			}
			return len(recs)
		}
		c.ownerRecord = nil
	}
	if !c.exceedsLimit(recs[0], 0) && !c.hasSpace(recs[0], 0, 0) {
		if err := c.finishCheckpoint(); err != nil {
			c.logger.Error("log: no checkpoint", "err", err)
		}
	}
	c.buffer = c.buffer[:0]
	seq, sync := c.seq, false
	if c.options.Durability == SurvivesPowerLoss {
		seq++
		c.buffer, _ = appendRecord(c.buffer, &Record{Kind: kindBatchStart, ID: NoMessage, At: int64(c.syncedSeq)}, seq, c.salt, nil)
	}
	head := len(c.buffer)
	more := int64(0) // that a checkpoint needs for what the batch takes on
	for n < len(recs) && (len(c.buffer) < maxBatchBytes || n == 0) {
		r := recs[n]
		start := len(c.buffer)
		if n > 0 && !c.exceedsLimit(r, more) && !c.hasSpace(r, int64(start), more) {
			break // a checkpoint may make room, once these are written
		}
		err := c.admit(r, int64(start), &more)
		if err == nil {
			c.buffer, err = appendRecord(c.buffer, r, seq+1, c.salt, nil)
		}
		if err == ErrFull && r.Kind.isFact() { // nothing may come ahead of it
			for ; n < len(recs); n++ {
				ends[n] = ErrFull
			}
			break
		}
		if ends[n] = err; err == nil {
			seq++
			c.batch = append(c.batch, batchEntry{r, n, start, len(c.buffer) - start, seq})
			sync = sync || r.Kind != KindOutcome && r.Kind != KindAttempt || r.Kind == KindAttempt && r.Sync
		}
		n++
	}
	if len(c.buffer) == head {
		return n
	}
	if err := c.write(c.buffer); err != nil {
		c.appendSingly(ends, err)
		return n
	}
	for _, p := range c.batch {
		k := c.recordKey(p.record)
		c.apply(k, nil, p.seq, p.record, c.cur, c.at+int64(p.offset), int64(p.size), false)
		if p.record.Kind == KindAccepted { // one of an id that is owed already names nothing
			if i, ok := c.index.find(k); ok && c.index.at(i).seq == p.seq {
				p.record.Ref = c.index.ref(i)
			}
		}
	}
	c.seq = seq
	c.advance(len(c.buffer))
	if c.options.Durability == SurvivesPowerLoss {
		if !sync {
			return n
		}
		if err := c.sync(); err != nil {
			for _, p := range c.batch {
				ends[p.index] = err
			}
			return n
		}
		c.syncedSeq = c.seq
	}
	now := c.options.Clock()
	c.lastTime = max(c.lastTime, c.clock.at(now))
	c.stampFile.Store(Stamp{ID: c.stampID(), Seq: c.seq, At: c.lastTime, Clock: now})
	return n
}

func (c *store) recordKey(r *Record) indexKey {
	if r.ID == NoMessage {
		return indexKey{}
	}
	return c.index.keyOf(r.ID)
}

// appendSingly writes what failed together apart, what is new last of all: on a disk
// that is nearly full, a small record may still fit.
func (c *store) appendSingly(ends []error, err error) {
	put := append([]batchEntry(nil), c.batch...)
	if len(put) == 1 {
		ends[put[0].index] = err
		return
	}
	missed := false // one that has to come before all later ones
	for _, p := range put {
		if p.record.Kind == KindAccepted || missed {
			ends[p.index] = err
			continue
		}
		one := []error{nil}
		c.appendBatch([]*Record{p.record}, one)
		ends[p.index] = one[0]
		missed = one[0] != nil && p.record.Kind.isFact()
	}
}

// admit refuses a record that is of no message owed, or for which there is no
// room. before are the bytes of the batch that come ahead of it.
func (c *store) admit(r *Record, before int64, more *int64) error {
	if r.ID != NoMessage && r.Kind != KindAccepted {
		taken, known := c.batchPending[r.ID]
		if !known {
			_, taken = c.index.find(c.index.keyOf(r.ID))
		}
		if !taken {
			return ErrNotPending
		}
	}
	if c.exceedsLimit(r, *more) || !c.hasSpace(r, before, *more) {
		return ErrFull
	}
	*more += maxCheckpointGrowth(r)
	switch r.Kind {
	case KindAccepted:
		c.batchPending[r.ID] = true
	case KindCompleted:
		c.batchPending[r.ID] = false
	}
	return nil
}

// maxRecordSize is what a record takes up at most.
func maxRecordSize(r *Record) int64 {
	return int64(recordHeadSize+len(r.ID)+len(r.Class)+len(r.Tenant)+len(r.Key)+len(r.Endpoint)+len(r.Notice)+len(r.Body)) + 64
}

// maxCheckpointGrowth is what a record adds to the next checkpoint at most.
func maxCheckpointGrowth(r *Record) int64 {
	if r.Kind == KindAccepted {
		return maxRecordSize(r) + stateGrowthBytes
	}
	return 0
}

// hasSpace reports whether there is room for a record and for a checkpoint, after
// before bytes of the same batch of which a checkpoint needs more.
func (c *store) hasSpace(r *Record, before, more int64) bool {
	if c.spaceReserved {
		return true
	}
	free := c.limit - roundingReserve
	if r.Kind == KindAccepted {
		free -= completionReserve
	}
	return c.bytes+before+maxRecordSize(r)+c.checkpointBytes+more+maxCheckpointGrowth(r) <= free
}

// exceedsLimit: a checkpoint would not make room for a new message, so that it is
// not tried for each.
func (c *store) exceedsLimit(r *Record, more int64) bool {
	return r.Kind == KindAccepted && !c.spaceReserved && 2*(c.checkpointBytes+more+maxCheckpointGrowth(r)) > c.limit-c.aside-roundingReserve-completionReserve
}
