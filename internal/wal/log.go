package wal

import (
	"cmp"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"plovershore/internal/mailbox"
)

// op is a record to write, and what to do once that is done or has failed; or a
// thing to do on the log's goroutine.
type op struct {
	rec  *Record
	then func(error)
	do   func()
}

// Log is a log that is open. Its goroutine alone touches the files; then-functions
// run on it, in the order in which their records were handed over, and may not
// wait. After a Pass, the log belongs to the next process.
type Log struct {
	c              *core
	in             *mailbox.Mailbox[op]
	done           chan struct{}
	order          []uint32 // entries that were not read yet, what was owed longest first
	read           reader
	load           reader // of Read
	kept           []op   // what has happened and could not be written yet, in order
	lastErr        error  // why
	waiting        atomic.Int64
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
	c := newCore(o)
	side, err := c.open()
	if err != nil {
		return nil, err
	}
	l := &Log{c: c, in: mailbox.New[op](), done: make(chan struct{}), Handoff: side, Process: c.by, PolicySnapshot: c.known, Recovery: c.report, ClockSetBack: c.time.behind}
	l.order = make([]uint32, 0, c.idx.live)
	for i := range c.idx.used {
		if c.idx.at(i).flags&entryLive != 0 {
			c.idx.at(i).flags |= entryFirst
			l.order = append(l.order, i)
		}
	}
	slices.SortFunc(l.order, func(a, b uint32) int {
		if x, y := c.idx.at(a).seq, c.idx.at(b).seq; x != y {
			return int(int64(x) - int64(y))
		}
		return int(a) - int(b)
	})
	return l, nil
}

// Time is the time by which records are stamped, in microseconds. It runs on with real
// time, and over the ends of processes, however the wall clock is set. Any goroutine
// may ask, also after a Pass.
func (l *Log) Time() int64 { return l.c.time.now() }

// UnwrittenRecords is how many records of what has happened could not be written yet. Any
// goroutine may ask.
func (l *Log) UnwrittenRecords() int64 { return l.waiting.Load() }

// PendingUnread is how many messages were owed at the start and were not read yet. Before
// Run, and on the log's goroutine.
func (l *Log) PendingUnread() int { return len(l.order) }

// Next reads up to most messages that were owed at the start, what was owed
// longest first; none once all are read. Before Run, and on the log's goroutine.
func (l *Log) Next(most int) (recs []*Record) {
	if l.c.after != nil {
		return nil // they are the next process's
	}
	for len(l.order) > 0 && len(recs) < most {
		i := l.order[0]
		l.order = l.order[1:]
		if l.c.idx.at(i).flags&(entryFirst|entryRead) != entryFirst {
			continue // over since, or read ahead of its turn
		}
		recs = append(recs, l.hand(i))
	}
	if len(l.order) == 0 {
		l.order, l.read = nil, reader{}
	}
	return recs
}

func (l *Log) hand(i uint32) *Record {
	r, err := l.c.message(i, &l.read)
	if err != nil {
		l.c.log.Error("log: message is lost", "id", r.ID, "err", err)
		r.Corrupted = true
	}
	r.Ref = l.c.idx.ref(i)
	l.c.idx.at(i).flags |= entryRead
	return r
}

// Fetch reads one message that was owed at the start ahead of its turn; nil where
// it is not, or was read already. Before Run, and on the log's goroutine.
func (l *Log) Fetch(id string) *Record {
	i, ok := l.c.idx.find(l.c.idx.keyOf(id))
	if !ok || l.c.after != nil || l.c.idx.at(i).flags&(entryFirst|entryRead) != entryFirst {
		return nil
	}
	return l.hand(i)
}

// IsPending reports whether a message is owed and its end is not settled yet. On the
// log's goroutine.
func (l *Log) IsPending(id string) bool {
	i, ok := l.c.idx.find(l.c.idx.keyOf(id))
	if !ok || l.c.after != nil {
		return false
	}
	x := l.c.idx.extras[i]
	return x == nil || x.notice == ""
}

// Read reads messages that are owed, with their state as it is now; nil stands
// for one that is owed no longer, and one with no id cannot be read at present.
// On the log's goroutine.
func (l *Log) Read(refs []Ref) []*Record {
	recs := make([]*Record, len(refs))
	l.load.scan.most = loadWindow
	for _, n := range l.byPlace(refs) {
		ref := refs[n]
		i, _ := l.c.idx.named(ref)
		r, err := l.c.message(i, &l.load)
		if err != nil {
			l.c.log.Error("log: message cannot be read", "id", r.ID, "err", err)
			r.Corrupted = r.ID != ""
		}
		r.Ref = ref
		recs[n] = r
	}
	return recs
}

// loadWindow is how much Read reads at a time: what it wants stands wherever it
// was written, and seldom in a row.
const loadWindow = 8 << 10

// byPlace gives the places in refs of those that are owed, as their records stand
// in the files.
func (l *Log) byPlace(refs []Ref) []int {
	order := make([]int, 0, len(refs))
	for n, ref := range refs {
		if _, ok := l.c.idx.named(ref); ok && l.c.after == nil {
			order = append(order, n)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := l.c.idx.at(uint32(refs[a])-1), l.c.idx.at(uint32(refs[b])-1) // named ones
		return cmp.Or(cmp.Compare(x.src, y.src), cmp.Compare(x.off, y.off))
	})
	return order
}

// Submit hands a record over. It never waits. What tells of something that has
// happened (an outcome, an ending, an end, a mark) is kept where it cannot be written,
// and tried again until it is, before all later records: then is called only once it is
// booked, or cannot be any more. Whatever else comes meanwhile fails.
func (l *Log) Submit(r *Record, then func(error)) { l.in.Put(op{rec: r, then: then}) }

// Do has f run on the log's goroutine, after what was handed over before.
func (l *Log) Do(f func()) { l.in.Put(op{do: f}) }

// FinishHandoff has the log do without the side log, all of which is in here and
// whose process is dead. On the log's goroutine.
func (l *Log) FinishHandoff(s *HandoffLog) { l.c.sideDone(s) }

// Done is closed once Run is over.
func (l *Log) Done() <-chan struct{} { return l.done }

// Run writes until stop is closed and everything handed over before is written.
func (l *Log) Run(stop <-chan struct{}) {
	defer close(l.done)
	defer l.c.shut()
	var ops []op
	var recs []*Record
	for stopping, more := false, l.c.job != nil; ; {
		ops = l.in.TakeAll(ops)
		for from := 0; from < len(ops); {
			from += l.some(ops[from:], &recs)
			more = l.c.tidy()
		}
		if len(ops) > 0 {
			continue
		}
		if stopping {
			l.dropKept()
			return
		}
		if len(l.kept) > 0 {
			select {
			case <-l.in.Ready():
			case <-time.After(keptEvery):
			case <-stop:
				stopping = true
			}
			l.writeKept()
			continue
		}
		if more {
			select {
			case <-l.in.Ready():
			case <-stop:
				stopping = true
			default:
				more = l.c.tidy()
			}
			continue
		}
		select {
		case <-l.in.Ready():
		case <-stop:
			stopping = true
		}
	}
}

const opsMost = 512 // that are written as one

// some carries out the first of ops, as many as go together.
func (l *Log) some(ops []op, recs *[]*Record) (n int) {
	*recs = (*recs)[:0]
	for n < min(len(ops), opsMost) && ops[n].rec != nil && ops[n].rec.Kind != KindHandoff {
		*recs = append(*recs, ops[n].rec)
		n++
	}
	if n == 0 {
		switch x := &ops[0]; {
		case x.do != nil:
			x.do()
		default:
			err := error(nil)
			if l.writeKept() {
				err = l.c.pass(x.rec)
			} else {
				err = l.lastErr
			}
			if err != nil {
				l.c.log.Error("log: not passed on", "err", err)
			}
			if x.then != nil {
				x.then(err)
			}
		}
		return 1
	}
	if !l.writeKept() {
		for _, x := range ops[:n] {
			l.booked(x, l.lastErr)
		}
		return n
	}
	for i, err := range l.c.append(*recs) {
		l.booked(ops[i], err)
	}
	return n
}

// keptEvery is how often what could not be written is tried again.
const keptEvery = 25 * time.Millisecond

// booked tells what became of a record, or keeps it.
func (l *Log) booked(x op, err error) {
	if err != nil && err != ErrNotPending && x.rec.Kind.settles() && !errors.Is(err, ErrSyncFailed) {
		if len(l.kept) == 0 {
			l.c.log.Error("log: cannot be written: what has happened is kept until it can", "kind", x.rec.Kind, "message", x.rec.ID, "err", err)
		}
		l.kept, l.lastErr = append(l.kept, x), err
		l.waiting.Store(int64(len(l.kept)))
		return
	}
	if err != nil && err != ErrNotPending {
		l.c.log.Error("log: record not written", "kind", x.rec.Kind, "message", x.rec.ID, "err", err)
	}
	if x.then != nil {
		x.then(err)
	}
}

// writeKept writes what was kept, and reports whether nothing is left.
func (l *Log) writeKept() bool {
	if len(l.kept) == 0 {
		return true
	}
	again := l.kept
	l.kept = nil
	for len(again) > 0 {
		some := again[:min(len(again), opsMost)]
		recs := make([]*Record, len(some))
		for i := range some {
			recs[i] = some[i].rec
		}
		for i, err := range l.c.append(recs) {
			l.booked(some[i], err)
		}
		again = again[len(some):]
		if len(l.kept) > 0 {
			l.kept = append(l.kept, again...)
			return false
		}
	}
	l.waiting.Store(0)
	l.c.log.Info("log: can be written again")
	return true
}

// dropKept tries once more, and tells what is not booked at the end of the process:
// the next one finds those messages as they are in the log.
func (l *Log) dropKept() {
	if l.writeKept() {
		return
	}
	left := l.kept
	l.kept = nil
	for _, x := range left {
		l.c.log.Error("log: record not written", "kind", x.rec.Kind, "message", x.rec.ID, "err", l.lastErr)
		if x.then != nil {
			x.then(l.lastErr)
		}
	}
}
