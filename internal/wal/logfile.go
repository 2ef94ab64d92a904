package wal

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// Names of files in the log's folder, and suffixes beside it.
const (
	segmentSuffix      = ".seg"
	checkpointSuffix   = ".ckp"
	temporarySuffix    = ".new"  // being written: of no use to anyone else
	legacySuffix       = ".old"  // a legacy log while it is converted
	secondLegacySuffix = ".old2" // likewise, where the legacy program ran again meanwhile
	quarantinePrefix   = "aside" // a corrupted file, kept for a person to look at
	stampName          = "mark"
)

// fileNumberDigits is the length of a file's number in its name, in hexadecimal.
const fileNumberDigits = 8

func segmentName(number uint32) string { return fmt.Sprintf("%08x%s", number, segmentSuffix) }

func checkpointName(number uint32) string { return fmt.Sprintf("%08x%s", number, checkpointSuffix) }

// fileNumber reads a file's number out of its name.
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
	ref  uint32 // names it in the index's entries, from 1
	name string
	file File
	size int64
	header
	salt         uint32
	validHeaders int  // valid copies of its header
	legacy       bool // of the legacy format
	corrupted    bool // quarantined when it is no longer needed
}

// openLogFile opens a file to read it, and reads its header. Errors: ErrNewerVersion and
// those of the file system.
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
	n, _ := f.ReadAt(b, 0) // a shorter file has no valid header
	l.header, l.validHeaders = decodeHeader(b[:n])
	if l.validHeaders > 0 && l.version > formatVersion {
		f.Close()
		return nil, fmt.Errorf("%w: %s has format version %d, %d is known here", ErrNewerVersion, name, l.version, formatVersion)
	}
	return l, nil
}

// diskBlock is what a file's size is rounded up to in the count against the folder's limit.
const diskBlock = 512

// blockBytes rounds a file's size up to whole blocks.
func blockBytes(n int64) int64 { return (n + diskBlock - 1) / diskBlock * diskBlock }
