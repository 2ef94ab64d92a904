package wal

import (
	"fmt"
	"log/slog"
)

// syncer syncs files and folders of a log that has to survive a loss of power; for any
// other it does nothing.
//
// A failure is final: the kernel may count the page as clean by then, so that a second
// try would report a success that was none.
type syncer struct {
	enabled   bool
	fs        FS
	logger    *slog.Logger
	onFailure func(error) // may be nil
	err       error       // ErrSyncFailed, once a sync has failed
}

func (s *syncer) syncFile(f *logFile) error {
	if !s.enabled || s.err != nil {
		return s.err
	}
	if err := f.file.Sync(); err != nil {
		s.fail(f.name, err)
	}
	return s.err
}

func (s *syncer) syncDir(dir string) error {
	if !s.enabled || s.err != nil {
		return s.err
	}
	if err := s.fs.SyncDir(dir); err != nil {
		s.fail(dir, err)
	}
	return s.err
}

func (s *syncer) fail(name string, err error) {
	s.err = fmt.Errorf("%w: %s: %w", ErrSyncFailed, name, err)
	s.logger.Error("log sync failed", "file", name, "err", err)
	if s.onFailure != nil {
		s.onFailure(s.err)
	}
}
