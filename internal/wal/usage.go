package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// diskUsage counts the sizes of the files in a state folder. It does not count the handoff
// log, which has its own limit. countUsage creates it; the zero value is not usable.
type diskUsage struct {
	sizes       map[string]int64 // size of each file, by path
	bytes       int64            // total size of all files, in whole blocks
	quarantined int64            // total size of quarantined files, in whole blocks
}

func newDiskUsage() diskUsage { return diskUsage{sizes: map[string]int64{}} }

// countUsage counts the files in a state folder and in the log's folder in it.
func countUsage(fs FS, stateDir, logDir string) (diskUsage, error) {
	u := newDiskUsage()
	names, err := fs.List(stateDir)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return u, fmt.Errorf("wal: %w", err)
	}
	for _, name := range names {
		if name != HandoffName {
			u.count(fs, filepath.Join(stateDir, name))
		}
	}
	names, _ = fs.List(logDir) // a file that is not listed is counted when it is written
	for _, name := range names {
		path := filepath.Join(logDir, name)
		u.count(fs, path)
		if isQuarantined(name) {
			u.quarantined += blockBytes(u.sizes[path])
		}
	}
	return u, nil
}

func isQuarantined(name string) bool {
	return len(name) > len(quarantinePrefix) && strings.HasPrefix(name, quarantinePrefix)
}

func (u *diskUsage) count(fs FS, path string) {
	if size, isDir, err := fs.Stat(path); err == nil && !isDir {
		u.resize(path, size)
	}
}

// resize records a file's new size; 0 stands for a removed file.
func (u *diskUsage) resize(path string, size int64) {
	u.bytes += blockBytes(size) - blockBytes(u.sizes[path])
	if size == 0 {
		delete(u.sizes, path)
		return
	}
	u.sizes[path] = size
}

// removeFile removes a file of the log. If the file is corrupted, it is quarantined
// instead, as far as there is space.
func (s *store) removeFile(name string) {
	path := filepath.Join(s.dir, name)
	if s.shouldQuarantine(name, path) && s.quarantine(name, path) {
		return
	}
	if err := s.fs.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		s.logger.Error("file not removed", "file", path, "err", err)
		return
	}
	s.usage.resize(path, 0)
}

// quarantineFraction: quarantined files take up at most the limit divided by this number.
const quarantineFraction = 8

func (s *store) shouldQuarantine(name, path string) bool {
	if s.usage.quarantined+blockBytes(s.usage.sizes[path]) > s.limit/quarantineFraction {
		return false
	}
	for _, c := range s.recovery.Corruptions {
		if c.File == name && c.Bytes > 0 {
			return true
		}
	}
	return false
}

// quarantine renames a corrupted file to keep it, and reports whether it did.
func (s *store) quarantine(name, path string) bool {
	target := filepath.Join(s.dir, quarantinePrefix+"-"+name)
	if _, _, err := s.fs.Stat(target); err == nil { // keeps an earlier quarantined file of the same name
		return false
	}
	if err := s.fs.Rename(path, target); err != nil {
		return false
	}
	size := s.usage.sizes[path]
	s.usage.resize(path, 0)
	s.usage.resize(target, size)
	s.usage.quarantined += blockBytes(size)
	s.logger.Warn("corrupted file kept", "file", target)
	return true
}
