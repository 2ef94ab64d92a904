package wal

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"plovershore/internal/mailbox"
)

// Log is an open log. Open creates it; Run serves it and closes it.
//
// Only the goroutine of Run accesses the files. Methods documented as "on the log's
// goroutine" may be called before Run starts, from a function passed to Do, or from the
// done function of a record. Those functions run in the order in which their records were
// submitted, except for the done functions of records that are kept and retried (see
// Submit). They must not block. All other methods may be called from any goroutine.
//
// After HandOff, the log belongs to the next process.
type Log struct {
	// Handoff is the handoff log of the previous process, or nil if that process has exited.
	Handoff *HandoffLog
	// Process is this process's number among those that have opened the log, counted from 1.
	Process int
	// PolicySnapshot is the policy state of the process that handed the log off, or
	// nil if no process did.
	PolicySnapshot []byte
	// Recovery reports what Open found.
	Recovery RecoveryReport
	// ClockSetBack is the time by which the wall clock was behind the log time at the
	// start. It is only set if the machine's other clocks could not tell how long no
	// process ran, so that the length of this pause is unknown. It is 0 otherwise.
	ClockSetBack time.Duration

	store    *store
	requests *mailbox.Mailbox[request]
	done     chan struct{}
	// Entries that were pending at the start and that Next has not reached yet, oldest first.
	unread        []uint32
	startReader   messageReader
	refReader     messageReader
	deferred      []request // records of past events that could not be written yet, in order
	deferredErr   error     // why they could not be written
	deferredCount atomic.Int64
}

// request is either a record to write or a handoff, with a function to call with the result, or
// a function to run on the log's goroutine.
type request struct {
	record    *Record
	snapshots [][]byte    // of a handoff
	done      func(error) // may be nil
	run       func()
}

// messageWindowBytes is how much Read reads at a time. It is small since the messages that
// Read looks for are rarely stored next to each other.
const messageWindowBytes = 8 << 10

// Open recovers the contents of a folder and prepares it for writing. The caller holds the
// folder's lock and then calls Run. Open returns ErrNewerVersion, ErrSyncFailed or an
// error of the file system.
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
		unread:         s.markPendingAtStart(),
		refReader:      messageReader{scanner: scanner{windowBytes: messageWindowBytes}},
	}
	return l, nil
}

// markPendingAtStart marks the entries that are pending at the start and returns them, oldest first.
func (s *store) markPendingAtStart() []uint32 {
	order := make([]uint32, 0, s.index.live)
	for i := range s.index.entryCount {
		if e := s.index.entryAt(i); e.flags&entryLive != 0 {
			e.flags |= entryPendingAtStart
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(s.index.entryAt(a).seq, s.index.entryAt(b).seq), cmp.Compare(a, b))
	})
	return order
}

// Time returns the log time in microseconds, which stamps the records. It advances with
// real time, also while no process runs and when the wall clock is set. Any goroutine may
// call it, also after a handoff.
func (l *Log) Time() int64 { return l.store.clock.now() }

// UnwrittenRecords returns how many records of past events (see Submit) are waiting to be
// written since earlier writes failed. Any goroutine may call it.
func (l *Log) UnwrittenRecords() int64 { return l.deferredCount.Load() }

// PendingUnread returns how many of the messages that were pending at the start Next has
// still to look at. This includes those that Fetch has read or that were completed
// meanwhile, which Next skips. It is called on the log's goroutine.
func (l *Log) PendingUnread() int { return len(l.unread) }

// Next reads up to limit messages that were pending at the start, oldest first. It returns
// none once all have been read. It is called on the log's goroutine.
func (l *Log) Next(limit int) (records []*Record) {
	if l.belongsToSuccessor() {
		return nil
	}
	for len(l.unread) > 0 && len(records) < limit {
		i := l.unread[0]
		l.unread = l.unread[1:]
		if l.isUnread(i) { // otherwise Fetch has read it or it was completed meanwhile
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
	return l.store.index.entryAt(i).flags&(entryPendingAtStart|entryRead) == entryPendingAtStart
}

func (l *Log) readEntry(i uint32) *Record {
	r, err := l.store.readMessage(i, &l.startReader)
	if err != nil {
		l.store.logger.Error("message lost", "id", r.ID, "err", err)
		r.Corrupted = true
	}
	r.Ref = l.store.index.ref(i)
	l.store.index.entryAt(i).flags |= entryRead
	return r
}

// Fetch reads one message that was pending at the start before Next reaches it. It returns nil
// if there is no such message or it was already read. It is called on the log's goroutine.
func (l *Log) Fetch(id string) *Record {
	i, ok := l.find(id)
	if !ok || !l.isUnread(i) {
		return nil
	}
	return l.readEntry(i)
}

// IsPending reports whether a message is pending and has no final notice yet. It is called
// on the log's goroutine.
func (l *Log) IsPending(id string) bool {
	i, ok := l.find(id)
	if !ok {
		return false
	}
	d := l.store.index.details[i]
	return d == nil || d.notice == ""
}

// find returns the index entry of a message. After a handoff it finds none.
func (l *Log) find(id string) (i uint32, ok bool) {
	if l.belongsToSuccessor() {
		return 0, false
	}
	return l.store.index.find(l.store.index.keyOf(id))
}

// Read reads pending messages with their current state. The result is nil for a message
// that is no longer pending, and a record without an id for one that cannot be read now.
// If only the id can be read, the result has it and is marked as Corrupted. Read is
// called on the log's goroutine.
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

// inFileOrder returns the positions in refs of the messages that are still pending, in the
// order of their records in the files.
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
	// The refs were resolved above, so their low 32 bits are a valid index
	// position plus 1 (see Ref).
	entryOf := func(n int) *entry { return l.store.index.entryAt(uint32(refs[n]) - 1) }
	slices.SortFunc(order, func(a, b int) int {
		x, y := entryOf(a), entryOf(b)
		return cmp.Or(cmp.Compare(x.fileRef, y.fileRef), cmp.Compare(x.offset, y.offset))
	})
	return order
}

// Submit queues a record to be written and returns at once. done may be nil. It is called
// on the log's goroutine with the result: nil, ErrFull, ErrNotPending, ErrSyncFailed or an
// error of the file system.
//
// A record of a past event (an outcome, a final notice, a completion or an owner) that
// cannot be written is kept and retried before all later records. done is called once it
// is written or the log gives up on it. Until then later records of past events are kept
// behind it, and all other records fail.
func (l *Log) Submit(r *Record, done func(error)) { l.requests.Put(request{record: r, done: done}) }

// HandOff hands the log off to the next process after everything submitted before is
// written. Records that are submitted later go into the handoff log. Of the policy snapshots,
// which are JSON, the most complete one first, it stores the first that there is space for, or
// else the last. done is called with the result on the log's goroutine; after an error the
// log still belongs to this process.
func (l *Log) HandOff(snapshots [][]byte, done func(error)) {
	l.requests.Put(request{snapshots: snapshots, done: done})
}

// Do runs f on the log's goroutine after everything that was submitted before has been
// written, refused or kept for a retry. It returns at once.
func (l *Log) Do(f func()) { l.requests.Put(request{run: f}) }

// FinishHandoff closes and removes the handoff log of a process that has exited, once this
// log includes all of it. It is called on the log's goroutine.
func (l *Log) FinishHandoff(h *HandoffLog) { l.store.finishHandoff(h) }

// Done is closed once Run has returned.
func (l *Log) Done() <-chan struct{} { return l.done }
