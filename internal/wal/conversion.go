package wal

import "fmt"

// convertLegacy converts a legacy log to the current format. Other processes see the legacy
// file, then for a moment nothing, and then the log's complete folder. A legacy program that
// starts in that moment creates a new file; it fails to open a folder.
func (s *store) convertLegacy() error {
	folder := s.dir
	s.dir = folder + temporarySuffix
	if err := s.writeConverted(); err != nil {
		return fmt.Errorf("wal: convert legacy log: %w", err)
	}
	s.dir = folder
	if err := s.installConverted(); err != nil {
		return fmt.Errorf("wal: convert legacy log: %w", err)
	}
	for _, suffix := range []string{legacySuffix, secondLegacySuffix} {
		if err := s.fs.Remove(folder + suffix); err != nil {
			s.logger.Error("legacy log not removed", "err", err)
		}
	}
	s.logger.Info("legacy log converted", "pending", s.index.live)
	return nil
}

// writeConverted writes a checkpoint into a temporary folder.
func (s *store) writeConverted() error {
	if err := s.fs.Remove(s.dir); err != nil {
		return err
	}
	if err := s.fs.MakeDir(s.dir); err != nil {
		return err
	}
	return s.finishCheckpoint()
}

// installConverted renames the legacy file and then renames the temporary folder to the
// legacy file's name.
func (s *store) installConverted() error {
	converted := s.dir + temporarySuffix
	if s.syncer.enabled {
		if err := s.fs.SyncDir(converted); err != nil {
			return err
		}
	}
	legacy := s.dir + legacySuffix
	if _, _, err := s.fs.Stat(legacy); err == nil {
		legacy = s.dir + secondLegacySuffix
	}
	if _, _, err := s.fs.Stat(s.dir); err == nil {
		if err := s.fs.Rename(s.dir, legacy); err != nil {
			return err
		}
	}
	if err := s.fs.Rename(converted, s.dir); err != nil {
		return err
	}
	if !s.syncer.enabled {
		return nil
	}
	return s.fs.SyncDir(s.options.Dir)
}
