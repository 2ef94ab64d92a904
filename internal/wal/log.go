package wal

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"plovershore/internal/mailbox"
)

// Log is an open log. Open makes it, Run serves it and closes it.
//
// Only the goroutine of Run touches the files. Methods that say "on the log's goroutine"
// may be called before Run, from a function given to Do, or from the done function of a
// record. Such functions run in the order in which their records were submitted, and must
// not block. All other methods may be called from any goroutine.
//
// After a KindHandoff record, the log belongs to the next process.
type Log struct {
	// Handoff is the handoff log of the process before; nil where that does not live.
	Handoff *HandoffLog
	// Process is this process's number among those that opened the log, from 1.
	Process int
	// PolicySnapshot is the state of the policy of the process that handed the log off;
	// nil where none did.
	PolicySnapshot []byte
	// Recovery is what Open found.
	Recovery RecoveryReport
	// ClockSetBack is by how much the wall clock was behind the log at the start, where
	// nothing else could tell how long no process ran: it was set back, and how long
	// that was is not known. Else 0.
	ClockSetBack time.Duration

	store         *store
	requests      *mailbox.Mailbox[request]
	done          chan struct{}
	unread        []uint32 // entries that were pending at the start and were not read yet, the oldest first
	startReader   messageReader
	refReader     messageReader
	deferred      []request // facts that could not be written yet, in order
	deferredErr   error     // why
	deferredCount atomic.Int64
}

// request is a record to write and a function to call with the result, or a function to
// run on the log's goroutine.
type request struct {
	record *Record
	done   func(error) // may be nil
	run    func()
}

// messageWindowBytes is how much Read reads at a time: what it wants stands wherever it
// was written, and rarely in a row.
const messageWindowBytes = 8 << 10

// Open recovers what a folder holds and makes it ready. The caller holds the folder's lock
// and then calls Run. Errors: ErrNewerVersion, ErrSyncFailed and those of the file system.
func Open(o Options) (*Log, error) {
	s := newStore(o)
	handoff, err := s.open()
	if err != nil {
		return nil, err
	}
	l := &Log{
		Handoff:        handoff,
		Process:        s.process,
		PolicySnapshot: s.inheritedPolicy,
		Recovery:       s.recovery,
		ClockSetBack:   s.clock.setBack,
		store:          s,
		requests:       mailbox.New[request](),
		done:           make(chan struct{}),
		unread:         s.markFromStart(),
		refReader:      messageReader{scanner: scanner{windowBytes: messageWindowBytes}},
	}
	return l, nil
}

// markFromStart gives the entries that are pending at the start, the oldest first.
func (s *store) markFromStart() []uint32 {
	order := make([]uint32, 0, s.index.live)
	for i := range s.index.entryCount {
		if e := s.index.at(i); e.flags&entryLive != 0 {
			e.flags |= entryFromStart
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(s.index.at(a).seq, s.index.at(b).seq), cmp.Compare(a, b))
	})
	return order
}

// Time is the log time, by which records are stamped, in microseconds. It runs on with real
// time, also over the ends of processes and however the wall clock is set. Any goroutine
// may call it, also after a handoff.
func (l *Log) Time() int64 { return l.store.clock.now() }

// UnwrittenRecords is how many records of what has happened could not be written yet. Any
// goroutine may call it.
func (l *Log) UnwrittenRecords() int64 { return l.deferredCount.Load() }

// PendingUnread is how many messages were pending at the start and were not read yet. On
// the log's goroutine.
func (l *Log) PendingUnread() int { return len(l.unread) }

// Next reads up to limit messages that were pending at the start, the oldest first; none
// once all are read. On the log's goroutine.
func (l *Log) Next(limit int) (records []*Record) {
	if l.belongsToSuccessor() {
		return nil
	}
	for len(l.unread) > 0 && len(records) < limit {
		i := l.unread[0]
		l.unread = l.unread[1:]
		if l.isUnread(i) { // else it was completed since, or fetched
			records = append(records, l.readEntry(i))
		}
	}
	if len(l.unread) == 0 {
		l.unread, l.startReader = nil, messageReader{}
	}
	return records
}

func (l *Log) belongsToSuccessor() bool { return l.store.handoff != nil }

func (l *Log) isUnread(i uint32) bool {
	return l.store.index.at(i).flags&(entryFromStart|entryRead) == entryFromStart
}

func (l *Log) readEntry(i uint32) *Record {
	r, err := l.store.readMessage(i, &l.startReader)
	if err != nil {
		l.store.logger.Error("message lost", "id", r.ID, "err", err)
		r.Corrupted = true
	}
	r.Ref = l.store.index.ref(i)
	l.store.index.at(i).flags |= entryRead
	return r
}

// Fetch reads one message that was pending at the start ahead of its turn; nil where there
// is none, or it was read already. On the log's goroutine.
func (l *Log) Fetch(id string) *Record {
	i, ok := l.find(id)
	if !ok || !l.isUnread(i) {
		return nil
	}
	return l.readEntry(i)
}

// IsPending reports whether a message is pending and has no final notice yet. On the log's
// goroutine.
func (l *Log) IsPending(id string) bool {
	i, ok := l.find(id)
	if !ok {
		return false
	}
	d := l.store.index.details[i]
	return d == nil || d.notice == ""
}

// find gives the entry of a message; none after a handoff.
func (l *Log) find(id string) (i uint32, ok bool) {
	if l.belongsToSuccessor() {
		return 0, false
	}
	return l.store.index.find(l.store.index.keyOf(id))
}

// Read reads pending messages with their present state. In the result, nil stands for one
// that is pending no longer, and a record with no id for one that cannot be read at
// present. On the log's goroutine.
func (l *Log) Read(refs []Ref) []*Record {
	records := make([]*Record, len(refs))
	for _, n := range l.inFileOrder(refs) {
		i, _ := l.store.index.resolve(refs[n])
		r, err := l.store.readMessage(i, &l.refReader)
		if err != nil {
			l.store.logger.Error("message unreadable", "id", r.ID, "err", err)
			r.Corrupted = r.ID != ""
		}
		r.Ref = refs[n]
		records[n] = r
	}
	return records
}

// inFileOrder gives the indices in refs of those that are pending, in the order in which
// their records stand in the files.
func (l *Log) inFileOrder(refs []Ref) []int {
	if l.belongsToSuccessor() {
		return nil
	}
	order := make([]int, 0, len(refs))
	for n, ref := range refs {
		if _, ok := l.store.index.resolve(ref); ok {
			order = append(order, n)
		}
	}
	entryOf := func(n int) *entry { return l.store.index.at(uint32(refs[n]) - 1) } // it is resolved: see Ref
	slices.SortFunc(order, func(a, b int) int {
		x, y := entryOf(a), entryOf(b)
		return cmp.Or(cmp.Compare(x.fileRef, y.fileRef), cmp.Compare(x.offset, y.offset))
	})
	return order
}

// Submit queues a record to be written, and returns at once. done may be nil; it is called
// on the log's goroutine with the result: nil, ErrFull, ErrNotPending, ErrSyncFailed, or an
// error of the file system.
//
// A record of something that has happened (an outcome, a final notice, a completion, an
// owner) is retained where it cannot be written, and retried before all later records:
// done is called once it is written, or cannot be any more. All other records fail
// meanwhile.
func (l *Log) Submit(r *Record, done func(error)) { l.requests.Put(request{record: r, done: done}) }

// Do runs f on the log's goroutine, after all that was submitted before. It returns at once.
func (l *Log) Do(f func()) { l.requests.Put(request{run: f}) }

// FinishHandoff removes a handoff log whose process has exited, once all of it is recorded
// here, and closes it. On the log's goroutine.
func (l *Log) FinishHandoff(h *HandoffLog) { l.store.finishHandoff(h) }

// Done is closed once Run has returned.
func (l *Log) Done() <-chan struct{} { return l.done }
