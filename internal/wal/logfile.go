package wal

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// Names of files in the log's folder, and suffixes of names next to the folder.
const (
	segmentSuffix      = ".seg"
	checkpointSuffix   = ".ckp"
	temporarySuffix    = ".new"  // the file or folder is still being written; other processes ignore it
	legacySuffix       = ".old"  // a legacy log during its conversion
	secondLegacySuffix = ".old2" // a second legacy log, if the legacy program ran again during the conversion
	quarantinePrefix   = "aside" // a corrupted file that is kept for an operator to look at
	stampName          = "mark"
)

// fileNumberDigits is the number of hexadecimal digits of a file's number in its name.
const fileNumberDigits = 8

func segmentName(number uint32) string { return fmt.Sprintf("%08x%s", number, segmentSuffix) }

func checkpointName(number uint32) string { return fmt.Sprintf("%08x%s", number, checkpointSuffix) }

// fileNumber parses a file's number from its name.
func fileNumber(name, suffix string) (uint32, bool) {
	text, ok := strings.CutSuffix(name, suffix)
	if !ok || len(text) != fileNumberDigits {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 16, 32)
	return uint32(n), err == nil
}

// logFile is an open file of records.
type logFile struct {
	ref  uint32 // identifies the file in the index's entries, from 1
	name string
	file File
	size int64
	header
	checksumSeed uint32
	validHeaders int  // number of valid copies of the header
	legacy       bool // the file has the legacy format
	corrupted    bool // the file is quarantined instead of removed once it is obsolete
}

// openLogFile opens a file for reading and reads its header. It returns ErrNewerVersion or
// an error of the file system.
func openLogFile(fs FS, dir, name string) (*logFile, error) {
	f, err := fs.Open(filepath.Join(dir, name), ModeRead)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	l := &logFile{name: name, file: f}
	if l.size, err = f.Size(); err != nil {
		f.Close()
		return nil, fmt.Errorf("wal: %w", err)
	}
	b := make([]byte, headerSize)
	n, _ := f.ReadAt(b, 0) // a file that is too short has no valid header
	l.header, l.validHeaders = decodeHeader(b[:n])
	if l.validHeaders > 0 && l.version > formatVersion {
		f.Close()
		return nil, fmt.Errorf("%w: %s has format version %d, %d is known here", ErrNewerVersion, name, l.version, formatVersion)
	}
	return l, nil
}

// diskBlock is the unit in bytes to which file sizes are rounded up when they count
// against the folder's limit.
const diskBlock = 512

// blockBytes rounds a size up to whole blocks.
func blockBytes(n int64) int64 { return (n + diskBlock - 1) / diskBlock * diskBlock }
