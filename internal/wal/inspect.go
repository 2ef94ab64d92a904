package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// Inspect tells what opening a state folder would find, and changes nothing. fs
// is nil for the machine's own. The folder may be in use: then the end of the log
// may be in the middle of a write.
func Inspect(fs FS, dir string) (*RecoveryReport, error) {
	if fs == nil {
		fs = OS{}
	}
	s, err := readState(fs, dir)
	if err != nil {
		return nil, err
	}
	defer s.close()
	return &s.recovery, nil
}

// Dump gives every sound record of a state folder in the order of the files, and
// the side log's last. It stops where each gives false.
func Dump(fs FS, dir string, each func(file string, at int64, seq uint64, r *Record) bool) error {
	if fs == nil {
		fs = OS{}
	}
	folder := filepath.Join(dir, FolderName)
	_, isDir, err := fs.Stat(folder)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("log: %w", err)
	}
	var paths []string
	if isDir {
		names, err := fs.List(folder)
		if err != nil {
			return fmt.Errorf("log: %w", err)
		}
		slices.Sort(names)
		for _, suffix := range []string{checkpointSuffix, segmentSuffix} {
			for _, name := range names {
				if _, ok := fileNumber(name, suffix); ok {
					paths = append(paths, filepath.Join(FolderName, name))
				}
			}
		}
	} else if err == nil {
		paths = append(paths, FolderName)
	}
	for _, name := range append(paths, HandoffName) {
		src, err := openLogFile(fs, dir, name, ModeRead)
		if errors.Is(err, os.ErrNotExist) {
			continue // gone meanwhile: a checkpoint covers it
		}
		if err != nil {
			return err
		}
		on := dumpFile(src, each)
		src.file.Close()
		if !on {
			return nil
		}
	}
	return nil
}

func dumpFile(src *logFile, each func(file string, at int64, seq uint64, r *Record) bool) bool {
	s := &HandoffLog{file: src.file, legacy: src.validHeaders == 0, salt: ownerSalt(src.owner)}
	if !s.legacy {
		s.offset = headerSize
	}
	scan := scanner{file: src.file, size: src.size, salt: s.salt}
	for at := s.offset; at < src.size; {
		r, n := s.decode(scan.window(at, recordHeadSize+maxRecordBytes))
		if n == 0 {
			if s.legacy {
				at = scan.resyncLegacy(at + 1)
			} else {
				at = scan.resync(at+1, 0)
			}
			continue
		}
		var seq uint64
		if !s.legacy {
			rec, _ := scan.record(at)
			seq = rec.seq
		}
		if !each(src.name, at, seq, r) {
			return false
		}
		at += int64(n)
	}
	return true
}
