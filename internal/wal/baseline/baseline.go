// Package baseline is an earlier implementation of the relay's log, from before package wal.
// It reads a single file as a whole, rewrites it as a whole, and writes each record with one
// call. It exists only for benchmarks against package wal. It does not detect corruption.
package baseline

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"plovershore/internal/mailbox"
	"plovershore/internal/wal"
)

const fileName = "baseline.wal"

// Limits and reserves, in bytes.
const (
	roundingReserve    = 16 << 10 // part of the limit that stays unused
	completionReserve  = 64 << 10 // part of the limit that is reserved for messages that are already accepted
	minCompactionBytes = 1 << 20  // a shorter file is only rewritten to make space
	stateReserveBytes  = 256      // by how much a message's record may grow
	recordOverhead     = 160      // size of a record's JSON without the message's own texts
)

// compactionFactor is how many times as long as the pending messages a file has to be
// before it is rewritten.
const compactionFactor = 4

// request is a record to write with a function to call with the result.
type request struct {
	record *wal.Record
	done   func(error) // may be nil
}

// message is a pending message.
type message struct {
	record *wal.Record
	order  int // position in the order of acceptance
	size   int64
}

// Log is an open log. Open creates it; Run serves it and closes it.
type Log struct {
	WriteCalls int64 // number of write calls to the file system; read it once Done is closed
	Bytes      int64 // number of bytes written; read it once Done is closed

	path         string
	limit        int64
	file         *os.File
	size         int64
	pending      map[string]*message
	pendingBytes int64
	accepted     int
	requests     *mailbox.Mailbox[request]
	done         chan struct{}
	buffer       []byte
}

// Open reads the log in a folder and rewrites it. It returns the pending messages, oldest
// first. limit is the maximum size of the file in bytes. It returns the errors of the file
// system, and an error if the file cannot be read to its end.
func Open(dir string, limit int64) (*Log, []*wal.Record, error) {
	l := &Log{
		path:     filepath.Join(dir, fileName),
		limit:    limit,
		pending:  map[string]*message{},
		requests: mailbox.New[request](),
		done:     make(chan struct{}),
	}
	text, err := os.ReadFile(l.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, fmt.Errorf("baseline: %w", err)
	}
	for off := 0; off < len(text); {
		r, n := decode(text[off:])
		if n == 0 {
			return nil, nil, fmt.Errorf("baseline: corrupted at %d", off)
		}
		l.apply(r)
		off += n
	}
	l.size = int64(len(text))
	if err := l.compact(); err != nil {
		return nil, nil, err
	}
	var records []*wal.Record
	for _, m := range l.inOrder() {
		r := *m.record
		records = append(records, &r)
	}
	return l, records, nil
}

// apply changes the pending messages by one record.
func (l *Log) apply(r *wal.Record) {
	m := l.pending[r.ID]
	switch {
	case m == nil && r.Kind == wal.KindAccepted:
		l.accepted++
		m = &message{record: r, order: l.accepted, size: maxSize(r)}
		l.pending[r.ID] = m
		l.pendingBytes += m.size
	case m == nil:
	case r.Kind == wal.KindCompleted:
		l.pendingBytes -= m.size
		delete(l.pending, r.ID)
	case r.Kind == wal.KindAttempt:
		m.record.Attempts++
		m.record.InFlightSince, m.record.InFlightEndpoint = r.At, r.Endpoint
	case r.Kind == wal.KindOutcome:
		if r.MayHaveRun && m.record.UnknownOutcomeAt == 0 {
			m.record.UnknownOutcomeAt = m.record.InFlightSince
		}
		m.record.InFlightSince, m.record.InFlightEndpoint = 0, ""
	}
}

// maxSize returns an upper bound of the size of a message's record.
func maxSize(r *wal.Record) int64 {
	texts := len(r.Body) + len(r.ID) + len(r.Key) + len(r.Class) + len(r.Tenant)
	return int64(recordHeadSize + texts + recordOverhead + stateReserveBytes)
}

func (l *Log) inOrder() []*message {
	messages := make([]*message, 0, len(l.pending))
	for _, m := range l.pending {
		messages = append(messages, m)
	}
	slices.SortFunc(messages, func(a, b *message) int { return cmp.Compare(a.order, b.order) })
	return messages
}

// compact rewrites the file with the pending messages.
func (l *Log) compact() error {
	var text []byte
	for _, m := range l.inOrder() {
		r := *m.record
		r.Kind = wal.KindAccepted
		text = encode(text, &r)
	}
	f, err := os.OpenFile(l.path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("baseline: %w", err)
	}
	l.countWrite(len(text))
	if _, err = f.Write(text); err == nil {
		err = os.Rename(l.path+".new", l.path)
	}
	if err != nil {
		f.Close()
		return fmt.Errorf("baseline: %w", err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.size = f, int64(len(text))
	return nil
}

func (l *Log) countWrite(bytes int) {
	l.WriteCalls++
	l.Bytes += int64(bytes)
}

// Submit queues a record to be written and returns at once. done may be nil. It is called
// on Run's goroutine with the result: nil, wal.ErrFull or an error of the file system.
func (l *Log) Submit(r *wal.Record, done func(error)) { l.requests.Put(request{r, done}) }

// Done is closed once Run has returned.
func (l *Log) Done() <-chan struct{} { return l.done }

// Run serves the log until stop is closed and everything submitted before is written. Then
// it closes the log.
func (l *Log) Run(stop <-chan struct{}) {
	defer close(l.done)
	defer func() { l.file.Close() }()
	var requests []request
	for stopping := false; ; {
		requests = l.requests.TakeAll(requests)
		for _, r := range requests {
			err := l.append(r.record)
			if r.done != nil {
				r.done(err)
			}
		}
		if len(requests) > 0 {
			continue
		}
		if stopping {
			return
		}
		select {
		case <-l.requests.Ready():
		case <-stop:
			stopping = true
		}
	}
}

func (l *Log) append(r *wal.Record) error {
	l.buffer = encode(l.buffer[:0], r)
	n, pending, free := int64(len(l.buffer)), l.pendingBytes, l.limit-roundingReserve
	if r.Kind == wal.KindAccepted {
		free -= completionReserve
		if 2*pending > free {
			return wal.ErrFull
		}
	}
	if l.size+n+pending > free || l.size > max(minCompactionBytes, compactionFactor*pending) {
		if err := l.compact(); err != nil {
			return err
		}
		if l.size+n+pending > free {
			return wal.ErrFull
		}
	}
	l.countWrite(len(l.buffer))
	if _, err := l.file.WriteAt(l.buffer, l.size); err != nil {
		return fmt.Errorf("baseline: %w", err)
	}
	l.size += n
	l.apply(r)
	return nil
}
