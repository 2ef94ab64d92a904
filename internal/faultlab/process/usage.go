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

// Usage holds what a process uses at one time.
type Usage struct {
	RSS  int64         // resident memory in bytes
	FDs  int           // open file descriptors
	CPU  time.Duration // user and system time since the process began
	Disk int64         // bytes of the files in its directory, each rounded up to whole blocks
}

// ErrShortStat means that /proc/PID/stat has fewer fields than expected.
var ErrShortStat = errors.New("measure: stat is short")

const (
	ticksPerSecond = 100 // unit of CPU time in /proc/PID/stat
	blockSize      = 512 // bytes

	// Indexes of fields in /proc/PID/stat, counted from the field after the process's
	// name.
	statUserTicks   = 11
	statSystemTicks = 12
	statRSSPages    = 21
)

// Measure returns what the process uses, and the disk space of dir.
func (p *Process) Measure(dir string) (Usage, error) {
	usage, err := Measure(p.PID)
	if err != nil {
		return usage, err
	}
	usage.Disk = DiskUse(dir)
	return usage, nil
}

// Measure returns what the process with the given ID uses, without disk space.
func Measure(pid int) (Usage, error) {
	var usage Usage
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	text, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return usage, fmt.Errorf("measure: %w", err)
	}
	// The process's name is in parentheses and may contain spaces.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= statRSSPages {
		return usage, ErrShortStat
	}
	user, _ := strconv.ParseInt(fields[statUserTicks], 10, 64) // errors are ignored, because the kernel always writes numbers
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

// DiskUse returns the size in bytes of the files in a directory and those below it, each
// rounded up to whole blocks. It returns 0 if dir is empty.
func DiskUse(dir string) (bytes int64) {
	if dir == "" {
		return 0
	}
	filepath.WalkDir(dir, func(_ string, entry os.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return nil // the file may have been renamed or removed
		}
		if info, err := entry.Info(); err == nil {
			bytes += (info.Size() + blockSize - 1) / blockSize * blockSize
		}
		return nil
	})
	return bytes
}
