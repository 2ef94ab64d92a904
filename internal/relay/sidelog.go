package relay

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// During an upgrade the old process goes on for a while: its calls end, and
// clients that it still has hand messages in. The log is the new process's by
// then, so the old one tells of this in a log of its own, the side log, which
// the new one follows. Its form is the log's.

const (
	sideTaken = 16 << 10  // of the side log's room, never used for new messages
	sideChunk = 256 << 10 // longer than any record
)

// pass ends this process's part in the log. All that it writes from here on
// goes into a side log; the lock on that tells that it lives. The log is left
// as it was where an error comes.
func (w *wal) pass(r *record) error {
	if err := w.compact(); err != nil {
		return err
	}
	// The next process compacts, too: what it needs for that is not given away.
	room := max(min(w.limit/4, w.limit-2*w.owed-walSlack-walSpare), 2*sideTaken)
	path := filepath.Join(w.dir, sideName)
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("side log: %w", err)
	}
	head, err := (&record{Kind: recMark, ID: noMessage, By: w.by, Room: room}).encode(nil)
	if err == nil {
		var got bool
		if got, err = tryLock(f); err == nil && !got {
			err = errors.New("locked by another")
		}
	}
	if err == nil {
		_, err = f.Write(head)
	}
	if err == nil {
		err = w.append(r)
	}
	if err != nil {
		f.Close()
		os.Remove(path)
		return fmt.Errorf("side log: %w", err)
	}
	w.file.Close()
	w.file, w.size, w.room = f, int64(len(head)), room
	return nil
}

// appendSide writes the record in the buffer, if the side log has room for it.
func (w *wal) appendSide(r *record) error {
	free := w.room
	if r.Kind == recTaken {
		free -= sideTaken
	}
	if w.size+int64(len(w.buffer)) > free {
		return errDiskFull
	}
	return w.write()
}

// openSide takes in a side log. That of a dead process is folded into what is
// owed, and goes with the next compaction; that of a living one is given back,
// to be followed.
func (w *wal) openSide() (*sideLog, error) {
	f, err := os.OpenFile(filepath.Join(w.dir, sideName), os.O_RDWR, 0)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("side log: %w", err)
	}
	s := &sideLog{f: f}
	dead, err := tryLock(f)
	if err != nil {
		f.Close()
		return nil, err
	}
	if dead {
		s.at = w.side
		for _, r := range s.read() {
			w.apply(r)
		}
		w.stale = true
		f.Close()
		return nil, nil
	}
	for _, r := range s.read() {
		if r.Kind == recMark {
			s.by, s.room = r.By, r.Room
		}
	}
	if s.by == 0 {
		f.Close()
		return nil, errors.New("side log: its head cannot be read")
	}
	w.limit -= s.room
	s.at = w.side
	return s, nil
}

// sideDone has the log do without the side log, all of which is in here and
// whose process is dead. It is called on the log's goroutine.
func (w *wal) sideDone(s *sideLog) {
	w.limit += s.room
	w.stale = false
	os.Remove(filepath.Join(w.dir, sideName))
	s.f.Close()
}

// sideLog is the side log of another process, as it is followed.
type sideLog struct {
	f    *os.File
	by   int // its process
	room int64
	at   int64 // read up to here
	text []byte
}

// read gives what has come since, each record with its place.
func (s *sideLog) read() []*record {
	if s.text == nil {
		s.text = make([]byte, sideChunk)
	}
	var all []*record
	for {
		n, _ := s.f.ReadAt(s.text, s.at) // its end is no error: more may come
		at := 0
		for at < n {
			r, size := decodeRecord(s.text[at:n])
			if size == 0 {
				break
			}
			at += size
			r.Side = s.at + int64(at)
			all = append(all, r)
		}
		if s.at += int64(at); at == 0 {
			return all
		}
	}
}

// dead reports whether the other process is gone: nothing more will come.
func (s *sideLog) dead() bool {
	got, err := tryLock(s.f)
	return got && err == nil
}
