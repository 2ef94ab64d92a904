package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"plovershore/internal/faultlab/process"
)

// usage is what one process or several use.
type usage struct {
	cpu          time.Duration
	rssBytes     float64 // bytes
	writtenBytes float64 // bytes that it handed to the kernel, for files and sockets
}

// readUsage reads what a process uses from the kernel's process files. Its
// processor time is that of its threads, in nanoseconds: the process's own
// figure counts in hundredths of a second.
func readUsage(p *process.Process) (usage, error) {
	u, err := p.Measure("")
	if err != nil {
		return usage{}, err
	}
	result := usage{rssBytes: float64(u.RSS)}
	if result.cpu, err = threadCPUTime(p.PID); err != nil {
		return result, err
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", p.PID))
	if err != nil {
		return usage{}, fmt.Errorf("measure: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, "wchar: "); ok {
			result.writtenBytes, err = strconv.ParseFloat(strings.TrimSpace(v), 64)
		}
	}
	return result, err
}

// threadCPUTime adds up the processor time of a process's threads. Programs in Go
// keep theirs, so none is missed.
func threadCPUTime(pid int) (sum time.Duration, err error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, fmt.Errorf("measure: process %d has no threads", pid)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // ended meanwhile
		}
		var runNanos int64
		if _, err := fmt.Sscan(string(text), &runNanos); err != nil {
			return 0, fmt.Errorf("measure: %s: %w", file, err)
		}
		sum += time.Duration(runNanos)
	}
	return sum, nil
}

// peakRSS is the most that a process has held so far, in bytes.
func peakRSS(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("measure: %w", err)
	}
	for line := range bytes.Lines(text) {
		if v, ok := bytes.CutPrefix(line, []byte("VmHWM:")); ok {
			fields := strings.Fields(string(v))
			n, err := strconv.ParseFloat(fields[0], 64)
			return n * 1024, err
		}
	}
	return 0, errors.New("measure: no peak is told")
}
