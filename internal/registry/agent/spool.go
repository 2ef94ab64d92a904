package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"sync"

	"plovershore/internal/discovery"
	"plovershore/internal/registry/client"
)

const (
	spoolName         = "notices"
	maxSpoolBytes     = 16 << 20
	spoolBatchNotices = 256 // most notices in one request to the group
)

// ErrSpoolFull means that the spool has no space for more notices, since the group hasn't
// accepted those that it has.
var ErrSpoolFull = errors.New("full")

// spool keeps notices in a file, one JSON object per line, until the group has accepted or
// rejected them. The file is truncated only once it has done so with all of them: notices
// may be sent twice, so single ones needn't be removed from it. It is safe for concurrent
// use.
type spool struct {
	log  *slog.Logger
	path string
	wake chan struct{} // has an element if notices were added since the sender last looked

	mu      sync.Mutex
	file    *os.File
	size    int64
	pending []discovery.Notice
}

// openSpool opens the file and reads its notices. It ignores a torn last line, whose
// notices were never answered with 204.
func openSpool(path string, log *slog.Logger) (*spool, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	s := &spool{log: log, path: path, file: f, wake: make(chan struct{}, 1)}
	if err := s.read(); err != nil {
		f.Close()
		return nil, fmt.Errorf("spool: %w", err)
	}
	if len(s.pending) > 0 {
		s.wakeSender()
	}
	return s, nil
}

func (s *spool) read() error {
	in := bufio.NewReader(s.file)
	for {
		line, err := in.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		notices, err := discovery.ReadNotices(bytes.NewReader(line))
		if err != nil {
			s.log.Error("spool line unreadable", "file", s.path, "offset", s.size, "err", err)
		}
		s.pending = append(s.pending, notices...)
		s.size += int64(len(line))
	}
}

func (s *spool) close() { s.file.Close() }

func (s *spool) wakeSender() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// count returns the number of notices that the group hasn't accepted.
func (s *spool) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// add saves notices. If it returns no error, they survive a crash and a loss of power.
func (s *spool) add(notices []discovery.Notice) error {
	text, err := encodeNotices(notices)
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.size+int64(len(text)) > maxSpoolBytes {
		return fmt.Errorf("spool: %w: %d bytes are pending", ErrSpoolFull, s.size)
	}
	if _, err := s.file.WriteAt(text, s.size); err != nil {
		return errors.Join(fmt.Errorf("spool: %w", err), s.file.Truncate(s.size))
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	s.size += int64(len(text))
	s.pending = append(s.pending, notices...)
	s.wakeSender()
	return nil
}

// sendPending sends the notices to the group until ctx is done. It drops those that the
// group rejects.
func (s *spool) sendPending(ctx context.Context, group *client.Client) {
	for {
		batch := s.nextBatch()
		if len(batch) == 0 {
			select {
			case <-s.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		text, err := encodeNotices(batch)
		if err == nil {
			_, err = group.Do(ctx, http.MethodPost, discovery.NoticePath, text, nil)
		}
		if ctx.Err() != nil && err != nil {
			return
		}
		if err != nil { // the group can't decode them, and wouldn't if they were sent again
			s.log.Error("notices rejected by group", "count", len(batch), "err", err)
		}
		s.drop(len(batch))
	}
}

func (s *spool) nextBatch() []discovery.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending[:min(len(s.pending), spoolBatchNotices)]
}

// drop removes the first n pending notices, and truncates the file if none is left.
func (s *spool) drop(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = s.pending[n:]
	if len(s.pending) > 0 {
		return
	}
	s.pending = nil
	if err := s.file.Truncate(0); err != nil {
		s.log.Error("spool not truncated", "err", err)
		return
	}
	s.size = 0
}

// encodeNotices encodes notices as JSON objects, one per line.
func encodeNotices(notices []discovery.Notice) ([]byte, error) {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	for _, notice := range notices {
		if err := encoder.Encode(notice); err != nil {
			return nil, err
		}
	}
	return text.Bytes(), nil
}
