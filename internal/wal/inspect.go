package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// Inspect reports what opening a state folder would find, without changing anything there.
// fs is nil for the operating system's file system. The folder may be in use; the log may
// then end in an incomplete write.
func Inspect(fs FS, dir string) (*RecoveryReport, error) {
	if fs == nil {
		fs = OS{}
	}
	s, err := readState(fs, dir)
	if err != nil {
		return nil, err
	}
	defer s.closeFiles()
	return &s.recovery, nil
}

// Dump calls each for every valid record of a state folder, file by file and the handoff log
// last. It stops when each returns false. fs is nil for the operating system's file system.
// offset is the record's file offset in bytes; seq is 0 in files of the legacy format.
func Dump(fs FS, dir string, each func(file string, offset int64, seq uint64, r *Record) bool) error {
	if fs == nil {
		fs = OS{}
	}
	names, err := recordFiles(fs, dir)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	for _, name := range append(names, HandoffName) {
		f, err := openLogFile(fs, dir, name)
		if errors.Is(err, os.ErrNotExist) {
			continue // there is no handoff log, or a checkpoint has replaced the file meanwhile
		}
		if err != nil {
			return err
		}
		more := dumpFile(f, each)
		f.file.Close()
		if !more {
			return nil
		}
	}
	return nil
}

// recordFiles lists the files of a log relative to the state folder, checkpoints first.
func recordFiles(fs FS, dir string) (paths []string, err error) {
	folder := filepath.Join(dir, FolderName)
	_, isDir, err := fs.Stat(folder)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if !isDir {
		return []string{FolderName}, nil // a file of the legacy format
	}
	names, err := fs.List(folder)
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	for _, suffix := range []string{checkpointSuffix, segmentSuffix} {
		for _, name := range names {
			if _, ok := fileNumber(name, suffix); ok {
				paths = append(paths, filepath.Join(FolderName, name))
			}
		}
	}
	return paths, nil
}

// dumpFile calls each for the records of a file. It returns false if each returned false.
func dumpFile(f *logFile, each func(file string, offset int64, seq uint64, r *Record) bool) bool {
	decoder := recordDecoder{legacy: f.validHeaders == 0, checksumSeed: f.owner.checksumSeed()}
	scan := scanner{file: f.file, size: f.size, checksumSeed: decoder.checksumSeed}
	off := int64(0)
	if !decoder.legacy {
		off = headerSize
	}
	for off < f.size {
		r, size := decoder.decode(scan.window(off, recordHeadSize+maxRecordBytes))
		if size == 0 {
			if decoder.legacy {
				off = scan.resyncLegacy(off + 1)
			} else {
				off = scan.resync(off+1, 0)
			}
			continue
		}
		var seq uint64
		if !decoder.legacy {
			rec, _ := scan.record(off)
			seq = rec.seq
		}
		if !each(f.name, off, seq, r) {
			return false
		}
		off += int64(size)
	}
	return true
}
