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
	slack       = 16 << 10  // of the disk, never used: file sizes are rounded up
	spare       = 64 << 10  // kept for records on messages that were taken on already
	garden      = 1 << 20   // a log this short is not worth a checkpoint
	segmentMost = 16 << 20  // bytes, after which the next segment is begun
	segmentMin  = 64 << 10  //
	segmentsMax = 6         // parts of the limit that a segment takes at most: bounds the files that are open
	batchMost   = 256 << 10 // bytes that are written in one call
	sliceBytes  = 128 << 10 // of a checkpoint that is written between two batches
)

// core is the log without its goroutine: each call does one thing and comes
// back, in an order that its user alone decides.
type core struct {
	*state
	o      Options
	fs     FS
	log    *slog.Logger
	dir    string // of the segments
	cur    *source
	at     int64 // in cur: where the next record goes
	sizes  map[string]int64
	bytes  int64 // of all files, in whole blocks
	mark   StampFile
	time   timeline
	job    *job
	begin  *Record // to be written before all else: this process's mark
	failed error
	known  []byte      // the memory of the process that passed the log on; this one's mark clears it there
	after  *sideWriter // what is written to once the log belongs to the next process
	limit  int64
	buf    []byte
	put    []placed
	fresh  map[string]bool // of the batch: taken, or ended
	ends   []error
	aside  int64 // bytes of damaged files that are kept
	forced bool  // what is written now has its room already
	rest   int64 // bytes of log at which a checkpoint is begun, after one that failed
	torn   bool  // a write that failed may have left something at the end of the segment
}

// placed is a record in the buffer.
type placed struct {
	r    *Record
	n    int // its place in the batch
	off  int
	size int
	seq  uint64
}

func newCore(o Options) *core {
	c := &core{o: o, fs: o.FS, log: o.Log, dir: filepath.Join(o.Dir, FolderName), limit: o.Limit, sizes: map[string]int64{}, fresh: map[string]bool{}}
	if c.fs == nil {
		c.fs = OS{}
	}
	if c.o.Clock == nil {
		c.o.Clock = clock.Read
	}
	if c.log == nil {
		c.log = slog.New(slog.DiscardHandler)
	}
	return c
}

// open recovers what the folder holds and makes it ready. The caller holds the
// lock. Where the process before still lives, its side log comes too, and the
// calls that it has out are left as they are.
func (c *core) open() (side *HandoffLog, err error) {
	if err := c.recover(); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			c.shut()
		}
	}()
	if err := c.settleFiles(); err != nil {
		return nil, err
	}
	side, late, err := c.openSide()
	if err != nil {
		return nil, err
	}
	living := 0
	if side != nil {
		living = side.Process
	}
	if c.owner == ([16]byte{}) {
		rand.Read(c.owner[:]) // never fails
		c.salt = saltOf(c.owner)
	}
	if c.state.report.OlderFormat {
		if err := c.carryOver(); err != nil {
			return nil, err
		}
	}
	if c.mark, err = c.fs.OpenStampFile(filepath.Join(c.dir, markName)); err != nil {
		c.log.Warn("log: no mark: a lost end will not be noticed", "err", err)
		c.mark = noMark{}
	}
	if err := c.account(); err != nil {
		return nil, err
	}
	c.known = c.memory
	if side == nil {
		if err := c.takeIn(late); err != nil {
			return nil, err
		}
	}
	c.settle(func(by int) bool { return by != living }, c.seq+1)
	c.by++
	c.begin = &Record{Kind: KindOwner, ID: NoMessage, Process: c.by, HandoffOffset: c.state.side, living: living}
	for _, name := range c.spent {
		c.drop(name)
	}
	c.spent = nil
	if len(c.report.Corruptions) > 0 { // what it came to is fixed before anything is built on it
		if err := c.finishCheckpoint(); err != nil {
			c.log.Error("log: no checkpoint", "err", err)
		}
	} else if len(c.segs) > 2 || c.logBytes() > c.garden() {
		if err := c.startCheckpoint(); err != nil {
			c.log.Error("log: no checkpoint", "err", err)
		}
	}
	return side, nil
}

// settleFiles ends what a process before may have left half done: a carrying
// over, and, where power counts, writes that were read here but never synced.
func (c *core) settleFiles() error {
	if c.report.OlderFormat {
		return nil
	}
	for _, suffix := range []string{newSuffix, oldSuffix, olderSuffix} {
		if err := c.fs.Remove(c.dir + suffix); err != nil {
			return fmt.Errorf("log: %w", err)
		}
	}
	if c.o.Durability != SurvivesPowerLoss {
		return nil
	}
	for _, src := range c.sources {
		if err := c.syncFile(src); err != nil {
			return err
		}
	}
	return c.syncDir()
}

type noMark struct{}

func (noMark) Store(Stamp)  {}
func (noMark) Close() error { return nil }

// recover books the folder, or the file of an older program.
func (c *core) recover() error {
	s, err := readState(c.fs, c.o.Dir)
	if err != nil {
		return err
	}
	c.state = s
	c.time = newTimeline(c.o.Clock, s.known, s.last)
	if err := c.fs.MakeDir(c.o.Dir); err != nil {
		s.close()
		return fmt.Errorf("log: %w", err)
	}
	if !s.report.OlderFormat {
		if err := c.fs.MakeDir(c.dir); err != nil {
			s.close()
			return fmt.Errorf("log: %w", err)
		}
		if c.o.Durability == SurvivesPowerLoss {
			if err := c.fs.SyncDir(c.o.Dir); err != nil {
				s.close()
				return fmt.Errorf("log: %w", err)
			}
		}
	}
	c.tell()
	return nil
}

// readState books whatever stands in a state folder, and changes nothing.
func readState(fs FS, dir string) (*state, error) {
	_, isDir, err := fs.Stat(filepath.Join(dir, FolderName))
	_, _, oldErr := fs.Stat(filepath.Join(dir, FolderName+oldSuffix))
	if oldErr != nil {
		_, _, oldErr = fs.Stat(filepath.Join(dir, FolderName+olderSuffix))
	}
	switch {
	case err == nil && isDir: // what an older program left beside it was carried over
		return readFolder(fs, filepath.Join(dir, FolderName))
	case err == nil || oldErr == nil:
		// A carrying over that was cut between its steps; where the older program
		// has run again since, its new file comes after.
		return readOldFile(fs, dir, FolderName+oldSuffix, FolderName+olderSuffix, FolderName)
	case errors.Is(err, os.ErrNotExist):
		return readFolder(fs, filepath.Join(dir, FolderName))
	}
	return nil, fmt.Errorf("log: %w", err)
}

// tell names what was found damaged.
func (c *core) tell() {
	for _, d := range c.report.Corruptions {
		c.log.Error("log: damaged: what it may have concerned is held to have been sent", "file", d.File, "at", d.Offset, "bytes", d.Bytes,
			"what", d.Reason, "concerned", d.Affected, "ids", d.IDs)
	}
	for _, d := range c.report.Torn {
		c.log.Warn("log: never booked", "file", d.File, "at", d.Offset, "bytes", d.Bytes, "what", d.Reason, "ids", d.IDs)
	}
	if len(c.report.LostIDs) > 0 {
		c.log.Error("log: messages are lost", "ids", c.report.LostIDs)
	}
}

// account counts what the files take up.
func (c *core) account() error {
	c.sizes, c.bytes, c.aside = map[string]int64{}, 0, 0
	for _, dir := range []string{c.o.Dir, c.dir} {
		names, err := c.fs.List(dir)
		if err != nil && !errors.Is(err, os.ErrNotExist) && dir == c.o.Dir {
			return fmt.Errorf("log: %w", err)
		}
		for _, name := range names {
			path := filepath.Join(dir, name)
			size, isDir, err := c.fs.Stat(path)
			if err != nil || isDir || dir == c.o.Dir && name == HandoffName {
				continue
			}
			c.resize(path, size)
			if dir == c.dir && len(name) > len(asidePrefix) && name[:len(asidePrefix)] == asidePrefix {
				c.aside += blocks(size)
			}
		}
	}
	return nil
}

// resize books the size of a file.
func (c *core) resize(path string, size int64) {
	c.bytes += blocks(size) - blocks(c.sizes[path])
	if c.sizes[path] = size; size == 0 {
		delete(c.sizes, path)
	}
}

func (c *core) logBytes() (n int64) {
	for _, src := range c.segs {
		n += src.size
	}
	return n
}

func (c *core) garden() int64 { return min(garden, c.limit/3) }

func (c *core) segmentSize() int64 {
	return max(segmentMin, min(segmentMost, c.limit/segmentsMax))
}

// drop takes a file of the log away; one that was damaged is kept aside, where
// there is room for it.
func (c *core) drop(name string) {
	path := filepath.Join(c.dir, name)
	size := c.sizes[path]
	for _, d := range c.report.Corruptions {
		if d.File == name && d.Bytes > 0 && c.aside+blocks(size) <= c.limit/8 {
			to := filepath.Join(c.dir, asidePrefix+"-"+name)
			if _, _, err := c.fs.Stat(to); err == nil {
				break // of an earlier damage, by the same name
			}
			if err := c.fs.Rename(path, to); err == nil {
				c.resize(path, 0)
				c.resize(to, size)
				c.aside += blocks(size)
				c.log.Warn("log: damaged file kept", "file", to)
				return
			}
		}
	}
	if err := c.fs.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		c.log.Error("log: not removed", "file", path, "err", err)
		return
	}
	c.resize(path, 0)
}

// roll begins the next segment. The one before is synced first and ends with a
// seal that names it, which is synced before anything is booked here: a loss of
// power can take nothing but the end of the last one.
func (c *core) roll() error {
	if err := c.mendEnd(); err != nil {
		return err
	}
	if c.cur != nil && c.o.Durability == SurvivesPowerLoss {
		if err := c.sync(); err != nil {
			return err
		}
	}
	num := c.nextNum
	name := segmentName(num)
	path := filepath.Join(c.dir, name)
	src, err := c.create(path, header{kind: segmentFile, power: c.o.Durability == SurvivesPowerLoss, num: num, first: c.seq + 1, by: uint32(c.by)})
	if err != nil {
		return err
	}
	if c.o.Durability == SurvivesPowerLoss {
		if err := c.syncDir(); err != nil {
			src.f.Close()
			return err
		}
	}
	c.nextNum++
	if c.cur != nil {
		if err := c.writeOne(&Record{Kind: seal, ID: NoMessage, At: int64(num)}); err != nil {
			c.log.Warn("log: segment not sealed", "file", c.cur.name, "err", err)
		}
		if c.o.Durability == SurvivesPowerLoss {
			if err := c.sync(); err != nil {
				src.f.Close()
				return err
			}
		}
	}
	src.name = name
	c.addSource(src)
	c.segs = append(c.segs, src)
	c.cur, c.at = src, headerSize
	return nil
}

func (c *core) headerOf(src *source) []byte {
	src.owner = c.owner
	c.date(&src.header)
	return src.header.encode()
}

// date puts the moment into a header, by the wall clock and by the log's time.
func (c *core) date(h *header) {
	now := c.o.Clock()
	h.made, h.logged = now.Wall, c.time.at(now)
}

// create makes a file and writes its header.
func (c *core) create(path string, h header) (*source, error) {
	f, err := c.fs.Open(path, ModeCreate)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	src := &source{name: filepath.Base(path), f: f, header: h, salt: c.salt, sound: 2, size: headerSize}
	if _, err = f.WriteAt(c.headerOf(src), 0); err == nil && c.o.Durability == SurvivesPowerLoss {
		err = c.syncFile(src)
	}
	if err != nil {
		c.abandon(src, path)
		return nil, fmt.Errorf("log: %w", err)
	}
	c.resize(path, headerSize)
	return src, nil
}

func (c *core) abandon(src *source, path string) {
	src.f.Close()
	if err := c.fs.Remove(path); err == nil {
		c.resize(path, 0)
	}
}

func (c *core) sync() error { return c.syncFile(c.cur) }

// syncFile is final where it fails: the kernel may hold the page to be clean by
// then, so that a second try would tell of a success that was none.
func (c *core) syncFile(src *source) error {
	if c.failed == nil {
		if err := src.f.Sync(); err != nil {
			c.fail(fmt.Errorf("%s: %w", src.name, err))
		}
	}
	return c.failed
}

func (c *core) syncDir() error {
	if c.failed == nil {
		if err := c.fs.SyncDir(c.dir); err != nil {
			c.fail(fmt.Errorf("%s: %w", c.dir, err))
		}
	}
	return c.failed
}

func (c *core) fail(err error) {
	c.failed = fmt.Errorf("%w: %w", ErrSyncFailed, err)
	c.log.Error("log: sync failed", "err", err)
	if c.o.OnFailure != nil {
		c.o.OnFailure(c.failed)
	}
}

// writeOne writes a record of the log's own, with no question of room.
func (c *core) writeOne(r *Record) error {
	var err error
	if c.buf, err = appendRecord(c.buf[:0], r, c.seq+1, c.salt, nil); err != nil {
		return err
	}
	if err := c.write(c.buf); err != nil {
		return err
	}
	c.seq++
	c.book(key{}, nil, c.seq, r, c.cur, c.at, int64(len(c.buf)), false)
	c.written(len(c.buf))
	return nil
}

// write puts b at the end of the segment.
func (c *core) write(b []byte) error {
	if err := c.mendEnd(); err != nil {
		return err
	}
	n, err := c.cur.f.WriteAt(b, c.at)
	if err == nil && n < len(b) {
		err = errors.New("short write")
	}
	if err != nil {
		c.torn = true
		return errors.Join(fmt.Errorf("log: %w", err), c.mendEnd())
	}
	return nil
}

// mendEnd cuts off what a write that failed may have left behind. Before that nothing
// more is written: whole records may be among it, which were refused, and behind a
// shorter one they would be read as booked.
func (c *core) mendEnd() error {
	if !c.torn {
		return nil
	}
	if err := c.cur.f.Truncate(c.at); err != nil {
		return fmt.Errorf("log: what a write left behind: %w", err)
	}
	c.torn = false
	return nil
}

func (c *core) written(n int) {
	c.at += int64(n)
	c.cur.size = c.at
	c.resize(filepath.Join(c.dir, c.cur.name), c.at)
}

// append writes records as one, each where there is room for it and for a
// checkpoint, and gives for each why not. The answer is good until the next call.
func (c *core) append(recs []*Record) []error {
	c.ends = append(c.ends[:0], make([]error, len(recs))...)
	for from := 0; from < len(recs); {
		from += c.appendSome(recs[from:], c.ends[from:])
	}
	return c.ends
}

// appendSome writes the first records, as many as one call takes.
func (c *core) appendSome(recs []*Record, ends []error) (n int) {
	if c.after != nil {
		for i, r := range recs {
			ends[i] = c.after.append(r)
		}
		return len(recs)
	}
	c.buf, c.put = c.buf[:0], c.put[:0]
	clear(c.fresh)
	if c.failed == nil && (c.cur == nil || c.at > c.segmentSize()) {
		if err := c.roll(); err != nil {
			c.log.Error("log: no new segment", "err", err)
			if c.cur == nil {
				for i := range recs {
					ends[i] = err
				}
				return len(recs)
			}
		}
		c.buf = c.buf[:0]
	}
	if c.failed != nil {
		for i := range recs {
			ends[i] = c.failed
		}
		return len(recs)
	}
	if c.begin != nil {
		if err := c.writeOne(c.begin); err != nil {
			c.log.Error("log: not begun", "err", err)
			for i := range recs {
				ends[i] = err
			}
			return len(recs)
		}
		c.begin = nil
	}
	if !c.hopeless(recs[0], 0) && !c.fits(recs[0], 0, 0) {
		if err := c.finishCheckpoint(); err != nil {
			c.log.Error("log: no checkpoint", "err", err)
		}
	}
	c.buf = c.buf[:0]
	seq, sync := c.seq, false
	if c.o.Durability == SurvivesPowerLoss {
		seq++
		c.buf, _ = appendRecord(c.buf, &Record{Kind: batch, ID: NoMessage, At: int64(c.synced)}, seq, c.salt, nil)
	}
	head := len(c.buf)
	more := int64(0) // that a checkpoint needs for what the batch takes on
	for n < len(recs) && (len(c.buf) < batchMost || n == 0) {
		r := recs[n]
		start := len(c.buf)
		if n > 0 && !c.hopeless(r, more) && !c.fits(r, int64(start), more) {
			break // a checkpoint may make room, once these are written
		}
		err := c.check(r, int64(start), &more)
		if err == nil {
			c.buf, err = appendRecord(c.buf, r, seq+1, c.salt, nil)
		}
		if err == ErrFull && r.Kind.settles() { // nothing may come ahead of it
			for ; n < len(recs); n++ {
				ends[n] = ErrFull
			}
			break
		}
		if ends[n] = err; err == nil {
			seq++
			c.put = append(c.put, placed{r, n, start, len(c.buf) - start, seq})
			sync = sync || r.Kind != KindOutcome && r.Kind != KindAttempt || r.Kind == KindAttempt && r.Sync
		}
		n++
	}
	if len(c.buf) == head {
		return n
	}
	if err := c.write(c.buf); err != nil {
		c.oneByOne(ends, err)
		return n
	}
	for _, p := range c.put {
		k := c.keyFor(p.r)
		c.book(k, nil, p.seq, p.r, c.cur, c.at+int64(p.off), int64(p.size), false)
		if p.r.Kind == KindAccepted { // one of an id that is owed already names nothing
			if i, ok := c.idx.find(k); ok && c.idx.at(i).seq == p.seq {
				p.r.Ref = c.idx.ref(i)
			}
		}
	}
	c.seq = seq
	c.written(len(c.buf))
	if c.o.Durability == SurvivesPowerLoss {
		if !sync {
			return n
		}
		if err := c.sync(); err != nil {
			for _, p := range c.put {
				ends[p.n] = err
			}
			return n
		}
		c.synced = c.seq
	}
	now := c.o.Clock()
	c.last = max(c.last, c.time.at(now))
	c.mark.Store(Stamp{ID: c.markID(), Seq: c.seq, At: c.last, Clock: now})
	return n
}

func (c *core) keyFor(r *Record) key {
	if r.ID == NoMessage {
		return key{}
	}
	return c.idx.keyOf(r.ID)
}

// oneByOne writes what failed together apart, what is new last of all: on a disk
// that is nearly full, a small record may still fit.
func (c *core) oneByOne(ends []error, err error) {
	put := append([]placed(nil), c.put...)
	if len(put) == 1 {
		ends[put[0].n] = err
		return
	}
	missed := false // one that has to come before all later ones
	for _, p := range put {
		if p.r.Kind == KindAccepted || missed {
			ends[p.n] = err
			continue
		}
		one := []error{nil}
		c.appendSome([]*Record{p.r}, one)
		ends[p.n] = one[0]
		missed = one[0] != nil && p.r.Kind.settles()
	}
}

// check refuses a record that is of no message owed, or for which there is no
// room. before are the bytes of the batch that come ahead of it.
func (c *core) check(r *Record, before int64, more *int64) error {
	if r.ID != NoMessage && r.Kind != KindAccepted {
		taken, known := c.fresh[r.ID]
		if !known {
			_, taken = c.idx.find(c.idx.keyOf(r.ID))
		}
		if !taken {
			return ErrNotPending
		}
	}
	if c.hopeless(r, *more) || !c.fits(r, before, *more) {
		return ErrFull
	}
	*more += needs(r)
	switch r.Kind {
	case KindAccepted:
		c.fresh[r.ID] = true
	case KindCompleted:
		c.fresh[r.ID] = false
	}
	return nil
}

// sizeOf is what a record takes up at most.
func sizeOf(r *Record) int64 {
	return int64(headSize+len(r.ID)+len(r.Class)+len(r.Tenant)+len(r.Key)+len(r.Endpoint)+len(r.Notice)+len(r.Body)) + 64
}

// needs is what a record adds to the next checkpoint at most.
func needs(r *Record) int64 {
	if r.Kind == KindAccepted {
		return sizeOf(r) + stateRoom
	}
	return 0
}

// fits reports whether there is room for a record and for a checkpoint, after
// before bytes of the same batch of which a checkpoint needs more.
func (c *core) fits(r *Record, before, more int64) bool {
	if c.forced {
		return true
	}
	free := c.limit - slack
	if r.Kind == KindAccepted {
		free -= spare
	}
	return c.bytes+before+sizeOf(r)+c.owed+more+needs(r) <= free
}

// hopeless: a checkpoint would not make room for a new message, so that it is
// not tried for each.
func (c *core) hopeless(r *Record, more int64) bool {
	return r.Kind == KindAccepted && !c.forced && 2*(c.owed+more+needs(r)) > c.limit-c.aside-slack-spare
}
