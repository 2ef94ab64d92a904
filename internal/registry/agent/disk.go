package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/registry/client"
)

const (
	listName          = "list"
	listHeader        = "troutlist 1 %08x %d\n" // version, CRC-32C and length of what follows
	maxSpoolBytes     = 16 << 20
	spoolBatchNotices = 256
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeList gives the file's form.
func encodeList(k *savedList) ([]byte, error) {
	text, err := json.Marshal(k)
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return append(fmt.Appendf(nil, listHeader, crc32.Checksum(text, castagnoli), len(text)), text...), nil
}

// decodeList reads it back; what cannot be relied on is an error.
func decodeList(text []byte) (*savedList, error) {
	head, body, ok := bytes.Cut(text, []byte{'\n'})
	var sum uint32
	var size int
	if _, err := fmt.Sscanf(string(head)+"\n", listHeader, &sum, &size); !ok || err != nil {
		return nil, errors.New("list: no head that can be read")
	}
	if len(body) != size || crc32.Checksum(body, castagnoli) != sum {
		return nil, fmt.Errorf("list: %d bytes of %d, or damaged", len(body), size)
	}
	k := &savedList{}
	if err := json.Unmarshal(body, k); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	for id, m := range k.Members {
		if err := m.Validate(); err != nil || id != m.ID {
			return nil, fmt.Errorf("list: member %q: %w", id, errors.Join(err, errors.New("cannot be used")))
		}
	}
	if k.Members == nil {
		k.Members = map[string]discovery.Member{}
	}
	return k, nil
}

// loadList takes up the list on disk. A damaged one is kept aside; the group tells
// the list anew.
func (a *Agent) loadList() error {
	path := filepath.Join(a.options.Folder, listName)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	k, err := decodeList(text)
	if err != nil {
		a.options.Log.Error("the list on disk is not used", "file", path, "err", err)
		if err := os.Rename(path, path+".damaged"); err != nil {
			return fmt.Errorf("agent: %w", err)
		}
		return nil
	}
	a.list = *k
	a.journal.base = int64(len(text))
	return a.journal.load(&a.list, crc32.Checksum(text, castagnoli))
}

// saveChanges books what has changed: in the journal, or with the whole list where that
// is due.
func (a *Agent) saveChanges(entries []journalEntry) error {
	if !a.journal.isFull() {
		err := a.journal.append(entries)
		if err == nil {
			return nil
		}
		a.options.Log.Warn("the journal of the list is begun anew", "err", err)
	}
	a.list.Saved = time.Now()
	text, err := encodeList(&a.list)
	if err != nil {
		return err
	}
	a.journal.close() // it goes on from the list that is replaced now
	if err := a.writeList(text); err != nil {
		return err
	}
	return a.journal.reset(crc32.Checksum(text, castagnoli), int64(len(text)))
}

// writeList writes the list beside the old one and renames it into place, so
// that a crash at any moment leaves one of the two.
func (a *Agent) writeList(text []byte) error {
	path := filepath.Join(a.options.Folder, listName)
	f, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(path+".new", path)
	}
	if err == nil {
		err = syncDir(a.options.Folder)
	}
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	return nil
}

func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// spool keeps notices on disk until the group has taken them: a JSON object a
// line. Repeats are harmless, so what was sent is cut off only once all is.
type spool struct {
	log  *slog.Logger
	path string

	mu      sync.Mutex
	file    *os.File
	size    int64
	pending []discovery.Notice
	wake    chan struct{}
}

func openSpool(path string, log *slog.Logger) (*spool, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	s := &spool{log: log, path: path, file: f, wake: make(chan struct{}, 1)}
	in := bufio.NewReader(f)
	for {
		line, err := in.ReadBytes('\n')
		if err == io.EOF {
			break // a torn last line was never answered
		}
		if err != nil {
			f.Close()
			return nil, fmt.Errorf("spool: %w", err)
		}
		all, err := discovery.ReadNotices(bytes.NewReader(line))
		if err != nil {
			log.Error("spool: a line cannot be read", "file", path, "at", s.size, "err", err)
		}
		s.pending = append(s.pending, all...)
		s.size += int64(len(line))
	}
	if len(s.pending) > 0 {
		s.wake <- struct{}{}
	}
	return s, nil
}

func (s *spool) close() { s.file.Close() }

func (s *spool) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// add keeps notices on disk; once it returns with no error they are not lost.
func (s *spool) add(all []discovery.Notice) error {
	var text bytes.Buffer
	for _, n := range all {
		if err := json.NewEncoder(&text).Encode(n); err != nil {
			return fmt.Errorf("spool: %w", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.size+int64(text.Len()) > maxSpoolBytes {
		return fmt.Errorf("spool: full: %d bytes that the group has not taken", s.size)
	}
	if _, err := s.file.WriteAt(text.Bytes(), s.size); err != nil {
		return errors.Join(fmt.Errorf("spool: %w", err), s.file.Truncate(s.size))
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	s.size += int64(text.Len())
	s.pending = append(s.pending, all...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

// sendPending has the group take what waits, until ctx ends.
func (s *spool) sendPending(ctx context.Context, c *client.Client) {
	for {
		s.mu.Lock()
		batch := s.pending[:min(len(s.pending), spoolBatchNotices)]
		s.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-s.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		var text bytes.Buffer
		for _, n := range batch {
			json.NewEncoder(&text).Encode(n) // strings and a number: cannot fail
		}
		if _, err := c.Do(ctx, http.MethodPost, discovery.NoticePath, text.Bytes(), nil); err != nil {
			if ctx.Err() != nil {
				return
			}
			s.log.Error("spool: refused by the group, and dropped", "count", len(batch), "err", err) // it cannot be read there: asking again changes nothing
		}
		s.mu.Lock()
		s.pending = s.pending[len(batch):]
		if len(s.pending) == 0 {
			s.pending = nil
			if err := s.file.Truncate(0); err != nil {
				s.log.Error("spool: not cut", "err", err)
			} else {
				s.size = 0
			}
		}
		s.mu.Unlock()
	}
}
