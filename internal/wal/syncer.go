package wal

import (
	"fmt"
	"log/slog"
)

// syncer syncs the files and folders of a log that has to survive a loss of power. It does
// nothing for other logs.
//
// A failure is final. The kernel may have marked the pages as clean after the failed sync,
// so that a second sync would report success without having written them.
type syncer struct {
	enabled   bool
	fs        FS
	logger    *slog.Logger
	onFailure func(error) // may be nil
	err       error       // an ErrSyncFailed after the first sync that failed
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
