// Package baseline is the relay's log as it was before package wal: one file,
// read whole, rewritten in one go, a call for each record. It is kept to measure
// against, and serves nothing else: it tells no damage.
package baseline

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"

	"plovershore/internal/mailbox"
	"plovershore/internal/wal"
)

const (
	mark   = "\xf7TRW"
	head   = 12
	slack  = 16 << 10
	spare  = 64 << 10
	garden = 1 << 20
	room   = 256
)

type op struct {
	rec  *wal.Record
	then func(error)
}

type live struct {
	rec  *wal.Record
	seq  int
	size int64
}

// Log is an open one.
type Log struct {
	path       string
	limit      int64
	file       *os.File
	size       int64
	live       map[string]*live
	owed       int64
	taken      int
	in         *mailbox.Mailbox[op]
	done       chan struct{}
	buffer     []byte
	WriteCalls int64 // of the file system, to write
	Bytes      int64 // written
}

func encode(r *wal.Record, to []byte) []byte {
	line, _ := json.Marshal(r) // plain data
	n := len(line) + 1 + len(r.Body)
	start := len(to)
	to = append(to, mark...)
	to = binary.BigEndian.AppendUint32(to, uint32(n))
	to = append(to, 0, 0, 0, 0)
	to = append(append(append(to, line...), '\n'), r.Body...)
	binary.BigEndian.PutUint32(to[start+8:], crc32.ChecksumIEEE(to[start+head:]))
	return to
}

func decode(b []byte) (r *wal.Record, size int) {
	if len(b) < head || string(b[:4]) != mark {
		return nil, 0
	}
	n := int(binary.BigEndian.Uint32(b[4:]))
	if head+n > len(b) {
		return nil, 0
	}
	payload := b[head : head+n]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(b[8:]) {
		return nil, 0
	}
	line, body, ok := bytes.Cut(payload, []byte{'\n'})
	r = &wal.Record{}
	if !ok || json.Unmarshal(line, r) != nil {
		return nil, 0
	}
	r.Body = slices.Clone(body)
	return r, head + n
}

// Open reads the log of a folder and rewrites it.
func Open(dir string, limit int64) (*Log, []*wal.Record, error) {
	l := &Log{path: filepath.Join(dir, "baseline.wal"), limit: limit, live: map[string]*live{}, in: mailbox.New[op](), done: make(chan struct{})}
	text, err := os.ReadFile(l.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, fmt.Errorf("baseline: %w", err)
	}
	for at := 0; at < len(text); {
		r, n := decode(text[at:])
		if n == 0 {
			return nil, nil, fmt.Errorf("baseline: damaged at %d", at)
		}
		l.apply(r)
		at += n
	}
	l.size = int64(len(text))
	if err := l.compact(); err != nil {
		return nil, nil, err
	}
	var owed []*wal.Record
	for _, x := range l.inOrder() {
		c := *x.rec
		owed = append(owed, &c)
	}
	return l, owed, nil
}

func (l *Log) apply(r *wal.Record) {
	x := l.live[r.ID]
	switch {
	case r.Kind == wal.KindAccepted && x == nil:
		l.taken++
		x = &live{r, l.taken, int64(head + len(r.Body) + len(r.ID) + len(r.Key) + len(r.Class) + len(r.Tenant) + 160 + room)}
		l.live[r.ID] = x
		l.owed += x.size
	case x == nil:
	case r.Kind == wal.KindCompleted:
		l.owed -= x.size
		delete(l.live, r.ID)
	case r.Kind == wal.KindAttempt:
		x.rec.Attempts++
		x.rec.InFlightSince, x.rec.InFlightEndpoint = r.At, r.Endpoint
	case r.Kind == wal.KindOutcome:
		if r.MayHaveRun && x.rec.UnknownOutcomeAt == 0 {
			x.rec.UnknownOutcomeAt = x.rec.InFlightSince
		}
		x.rec.InFlightSince, x.rec.InFlightEndpoint = 0, ""
	}
}

func (l *Log) inOrder() []*live {
	all := make([]*live, 0, len(l.live))
	for _, x := range l.live {
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b *live) int { return a.seq - b.seq })
	return all
}

func (l *Log) compact() error {
	var text []byte
	for _, x := range l.inOrder() {
		c := *x.rec
		c.Kind = wal.KindAccepted
		text = encode(&c, text)
	}
	f, err := os.OpenFile(l.path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("baseline: %w", err)
	}
	l.WriteCalls, l.Bytes = l.WriteCalls+1, l.Bytes+int64(len(text))
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

// Submit hands a record over.
func (l *Log) Submit(r *wal.Record, then func(error)) { l.in.Put(op{r, then}) }

// Done is closed once Run is over.
func (l *Log) Done() <-chan struct{} { return l.done }

// Run writes until stop is closed.
func (l *Log) Run(stop <-chan struct{}) {
	defer close(l.done)
	defer l.file.Close()
	var ops []op
	for stopping := false; ; {
		ops = l.in.TakeAll(ops)
		for _, x := range ops {
			err := l.append(x.rec)
			if x.then != nil {
				x.then(err)
			}
		}
		if len(ops) > 0 {
			continue
		}
		if stopping {
			return
		}
		select {
		case <-l.in.Ready():
		case <-stop:
			stopping = true
		}
	}
}

func (l *Log) append(r *wal.Record) error {
	l.buffer = encode(r, l.buffer[:0])
	n, owed, free := int64(len(l.buffer)), l.owed, l.limit-slack
	if r.Kind == wal.KindAccepted {
		free -= spare
		if 2*owed > free {
			return wal.ErrFull
		}
	}
	if l.size+n+owed > free || l.size > max(garden, 4*owed) {
		if err := l.compact(); err != nil {
			return err
		}
		if l.size+n+owed > free {
			return wal.ErrFull
		}
	}
	l.WriteCalls, l.Bytes = l.WriteCalls+1, l.Bytes+n
	if _, err := l.file.WriteAt(l.buffer, l.size); err != nil {
		return fmt.Errorf("baseline: %w", err)
	}
	l.size += n
	l.apply(r)
	return nil
}
