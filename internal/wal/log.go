package wal

import (
	"cmp"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"plovershore/internal/mailbox"
)

// request is a record to write, and what to do once that is done or has failed; or a
// thing to do on the log's goroutine.
type request struct {
	record *Record
	done   func(error)
	run    func()
}

// Log is a log that is open. Its goroutine alone touches the files; then-functions
// run on it, in the order in which their records were handed over, and may not
// wait. After a Pass, the log belongs to the next process.
type Log struct {
	store          *store
	requests       *mailbox.Mailbox[request]
	done           chan struct{}
	unread         []uint32 // entries that were not read yet, what was owed longest first
	startReader    messageReader
	refReader      messageReader // of Read
	deferred       []request     // what has happened and could not be written yet, in order
	deferredErr    error         // why
	deferredCount  atomic.Int64
	Handoff        *HandoffLog // of the process before, where that lives
	Process        int         // this process, among those that opened the log
	PolicySnapshot []byte      // of the policy of the process that passed the log on; nil where none did
	Recovery       RecoveryReport
	// ClockSetBack is by how much the wall clock lay behind the log at the start, where
	// nothing but that clock could tell how long no process ran: it was set back, and
	// how long that was is not known. Else 0.
	ClockSetBack time.Duration
}

// Open recovers what a folder holds and makes it ready. The caller holds the
// lock, then runs Run on a goroutine of its own. Errors: ErrNewerVersion, and those of
// the file system.
func Open(o Options) (*Log, error) {
	c := newStore(o)
	side, err := c.open()
	if err != nil {
		return nil, err
	}
	l := &Log{store: c, requests: mailbox.New[request](), done: make(chan struct{}), Handoff: side, Process: c.process, PolicySnapshot: c.inheritedPolicy, Recovery: c.recovery, ClockSetBack: c.clock.setBack}
	l.unread = make([]uint32, 0, c.index.live)
	for i := range c.index.entryCount {
		if c.index.at(i).flags&entryLive != 0 {
			c.index.at(i).flags |= entryFromStart
			l.unread = append(l.unread, i)
		}
	}
	slices.SortFunc(l.unread, func(a, b uint32) int {
		if x, y := c.index.at(a).seq, c.index.at(b).seq; x != y {
			return int(int64(x) - int64(y))
		}
		return int(a) - int(b)
	})
	return l, nil
}

// Time is the time by which records are stamped, in microseconds. It runs on with real
// time, and over the ends of processes, however the wall clock is set. Any goroutine
// may ask, also after a Pass.
func (l *Log) Time() int64 { return l.store.clock.now() }

// UnwrittenRecords is how many records of what has happened could not be written yet. Any
// goroutine may ask.
func (l *Log) UnwrittenRecords() int64 { return l.deferredCount.Load() }

// PendingUnread is how many messages were owed at the start and were not read yet. Before
// Run, and on the log's goroutine.
func (l *Log) PendingUnread() int { return len(l.unread) }

// Next reads up to most messages that were owed at the start, what was owed
// longest first; none once all are read. Before Run, and on the log's goroutine.
func (l *Log) Next(most int) (recs []*Record) {
	if l.store.handoff != nil {
		return nil // they are the next process's
	}
	for len(l.unread) > 0 && len(recs) < most {
		i := l.unread[0]
		l.unread = l.unread[1:]
		if l.store.index.at(i).flags&(entryFromStart|entryRead) != entryFromStart {
			continue // over since, or read ahead of its turn
		}
		recs = append(recs, l.readEntry(i))
	}
	if len(l.unread) == 0 {
		l.unread, l.startReader = nil, messageReader{}
	}
	return recs
}

func (l *Log) readEntry(i uint32) *Record {
	r, err := l.store.readMessage(i, &l.startReader)
	if err != nil {
		l.store.logger.Error("log: message is lost", "id", r.ID, "err", err)
		r.Corrupted = true
	}
	r.Ref = l.store.index.ref(i)
	l.store.index.at(i).flags |= entryRead
	return r
}

// Fetch reads one message that was owed at the start ahead of its turn; nil where
// it is not, or was read already. Before Run, and on the log's goroutine.
func (l *Log) Fetch(id string) *Record {
	i, ok := l.store.index.find(l.store.index.keyOf(id))
	if !ok || l.store.handoff != nil || l.store.index.at(i).flags&(entryFromStart|entryRead) != entryFromStart {
		return nil
	}
	return l.readEntry(i)
}

// IsPending reports whether a message is owed and its end is not settled yet. On the
// log's goroutine.
func (l *Log) IsPending(id string) bool {
	i, ok := l.store.index.find(l.store.index.keyOf(id))
	if !ok || l.store.handoff != nil {
		return false
	}
	x := l.store.index.details[i]
	return x == nil || x.notice == ""
}

// Read reads messages that are owed, with their state as it is now; nil stands
// for one that is owed no longer, and one with no id cannot be read at present.
// On the log's goroutine.
func (l *Log) Read(refs []Ref) []*Record {
	recs := make([]*Record, len(refs))
	l.refReader.scanner.windowBytes = messageWindowBytes
	for _, n := range l.inFileOrder(refs) {
		ref := refs[n]
		i, _ := l.store.index.resolve(ref)
		r, err := l.store.readMessage(i, &l.refReader)
		if err != nil {
			l.store.logger.Error("log: message cannot be read", "id", r.ID, "err", err)
			r.Corrupted = r.ID != ""
		}
		r.Ref = ref
		recs[n] = r
	}
	return recs
}

// messageWindowBytes is how much Read reads at a time: what it wants stands wherever it
// was written, and seldom in a row.
const messageWindowBytes = 8 << 10

// inFileOrder gives the places in refs of those that are owed, as their records stand
// in the files.
func (l *Log) inFileOrder(refs []Ref) []int {
	order := make([]int, 0, len(refs))
	for n, ref := range refs {
		if _, ok := l.store.index.resolve(ref); ok && l.store.handoff == nil {
			order = append(order, n)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := l.store.index.at(uint32(refs[a])-1), l.store.index.at(uint32(refs[b])-1) // named ones
		return cmp.Or(cmp.Compare(x.fileRef, y.fileRef), cmp.Compare(x.offset, y.offset))
	})
	return order
}

// Submit hands a record over. It never waits. What tells of something that has
// happened (an outcome, an ending, an end, a mark) is kept where it cannot be written,
// and tried again until it is, before all later records: then is called only once it is
// booked, or cannot be any more. Whatever else comes meanwhile fails.
func (l *Log) Submit(r *Record, then func(error)) { l.requests.Put(request{record: r, done: then}) }

// Do has f run on the log's goroutine, after what was handed over before.
func (l *Log) Do(f func()) { l.requests.Put(request{run: f}) }

// FinishHandoff has the log do without the side log, all of which is in here and
// whose process is dead. On the log's goroutine.
func (l *Log) FinishHandoff(s *HandoffLog) { l.store.finishHandoff(s) }

// Done is closed once Run is over.
func (l *Log) Done() <-chan struct{} { return l.done }

// Run writes until stop is closed and everything handed over before is written.
func (l *Log) Run(stop <-chan struct{}) {
	defer close(l.done)
	defer l.store.close()
	var ops []request
	var recs []*Record
	for stopping, more := false, l.store.pendingCheckpoint != nil; ; {
		ops = l.requests.TakeAll(ops)
		for from := 0; from < len(ops); {
			from += l.processBatch(ops[from:], &recs)
			more = l.store.compact()
		}
		if len(ops) > 0 {
			continue
		}
		if stopping {
			l.abandonDeferred()
			return
		}
		if len(l.deferred) > 0 {
			select {
			case <-l.requests.Ready():
			case <-time.After(deferredRetryInterval):
			case <-stop:
				stopping = true
			}
			l.writeDeferred()
			continue
		}
		if more {
			select {
			case <-l.requests.Ready():
			case <-stop:
				stopping = true
			default:
				more = l.store.compact()
			}
			continue
		}
		select {
		case <-l.requests.Ready():
		case <-stop:
			stopping = true
		}
	}
}

const maxBatchRecords = 512 // that are written as one

// processBatch carries out the first of ops, as many as go together.
func (l *Log) processBatch(ops []request, recs *[]*Record) (n int) {
	*recs = (*recs)[:0]
	for n < min(len(ops), maxBatchRecords) && ops[n].record != nil && ops[n].record.Kind != KindHandoff {
		*recs = append(*recs, ops[n].record)
		n++
	}
	if n == 0 {
		switch x := &ops[0]; {
		case x.run != nil:
			x.run()
		default:
			err := error(nil)
			if l.writeDeferred() {
				err = l.store.handOff(x.record)
			} else {
				err = l.deferredErr
			}
			if err != nil {
				l.store.logger.Error("log: not passed on", "err", err)
			}
			if x.done != nil {
				x.done(err)
			}
		}
		return 1
	}
	if !l.writeDeferred() {
		for _, x := range ops[:n] {
			l.complete(x, l.deferredErr)
		}
		return n
	}
	for i, err := range l.store.appendRecords(*recs) {
		l.complete(ops[i], err)
	}
	return n
}

// deferredRetryInterval is how often what could not be written is tried again.
const deferredRetryInterval = 25 * time.Millisecond

// complete tells what became of a record, or keeps it.
func (l *Log) complete(x request, err error) {
	if err != nil && err != ErrNotPending && x.record.Kind.isFact() && !errors.Is(err, ErrSyncFailed) {
		if len(l.deferred) == 0 {
			l.store.logger.Error("log: cannot be written: what has happened is kept until it can", "kind", x.record.Kind, "message", x.record.ID, "err", err)
		}
		l.deferred, l.deferredErr = append(l.deferred, x), err
		l.deferredCount.Store(int64(len(l.deferred)))
		return
	}
	if err != nil && err != ErrNotPending {
		l.store.logger.Error("log: record not written", "kind", x.record.Kind, "message", x.record.ID, "err", err)
	}
	if x.done != nil {
		x.done(err)
	}
}

// writeDeferred writes what was kept, and reports whether nothing is left.
func (l *Log) writeDeferred() bool {
	if len(l.deferred) == 0 {
		return true
	}
	again := l.deferred
	l.deferred = nil
	for len(again) > 0 {
		some := again[:min(len(again), maxBatchRecords)]
		recs := make([]*Record, len(some))
		for i := range some {
			recs[i] = some[i].record
		}
		for i, err := range l.store.appendRecords(recs) {
			l.complete(some[i], err)
		}
		again = again[len(some):]
		if len(l.deferred) > 0 {
			l.deferred = append(l.deferred, again...)
			return false
		}
	}
	l.deferredCount.Store(0)
	l.store.logger.Info("log: can be written again")
	return true
}

// abandonDeferred tries once more, and tells what is not booked at the end of the process:
// the next one finds those messages as they are in the log.
func (l *Log) abandonDeferred() {
	if l.writeDeferred() {
		return
	}
	left := l.deferred
	l.deferred = nil
	for _, x := range left {
		l.store.logger.Error("log: record not written", "kind", x.record.Kind, "message", x.record.ID, "err", l.deferredErr)
		if x.done != nil {
			x.done(l.deferredErr)
		}
	}
}
