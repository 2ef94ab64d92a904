package process

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process uses at one moment.
type Usage struct {
	RSS  int64         // bytes of resident memory
	FDs  int           // open descriptors
	CPU  time.Duration // user and system, since it began
	Disk int64         // bytes of its directory, each file in whole blocks
}

// ErrShortStat is a kernel's process file with too few fields.
var ErrShortStat = errors.New("measure: stat is short")

const (
	ticksPerSecond = 100 // of CPU time in the kernel's process files
	blockSize      = 512 // bytes

	// Fields of /proc/PID/stat, from the one after the process's name.
	statUserTicks   = 11
	statSystemTicks = 12
	statRSSPages    = 21
)

// Measure returns what the process uses, with the disk space of its directory.
func (p *Process) Measure(dir string) (Usage, error) {
	usage, err := Measure(p.PID)
	if err != nil {
		return usage, err
	}
	usage.Disk = DiskUse(dir)
	return usage, nil
}

// Measure returns what any process uses, from the kernel's process files; its disk
// space is not known.
func Measure(pid int) (Usage, error) {
	var usage Usage
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	text, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return usage, fmt.Errorf("measure: %w", err)
	}
	// The name is in brackets and may hold spaces.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= statRSSPages {
		return usage, ErrShortStat
	}
	user, _ := strconv.ParseInt(fields[statUserTicks], 10, 64) // the kernel writes numbers
	system, _ := strconv.ParseInt(fields[statSystemTicks], 10, 64)
	pages, _ := strconv.ParseInt(fields[statRSSPages], 10, 64)
	usage.CPU = time.Duration(user+system) * time.Second / ticksPerSecond
	usage.RSS = pages * int64(os.Getpagesize())
	descriptors, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return usage, fmt.Errorf("measure: %w", err)
	}
	usage.FDs = len(descriptors)
	return usage, nil
}

// DiskUse is the size of the files of a directory in bytes, each in whole blocks; 0
// for no directory.
func DiskUse(dir string) (bytes int64) {
	if dir == "" {
		return 0
	}
	filepath.WalkDir(dir, func(_ string, entry os.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return nil // renamed or removed meanwhile
		}
		if info, err := entry.Info(); err == nil {
			bytes += (info.Size() + blockSize - 1) / blockSize * blockSize
		}
		return nil
	})
	return bytes
}
