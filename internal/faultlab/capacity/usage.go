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

// usage holds what one process, or the sum of several, has used so far.
type usage struct {
	cpu          time.Duration
	rssBytes     float64 // resident memory at present
	writtenBytes float64 // bytes written by system calls to files and sockets
}

// readUsage reads a process's usage from /proc. It takes the processor time from the
// threads, which count in nanoseconds, because the process's own figure counts in
// hundredths of a second.
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

// threadCPUTime returns the sum of the processor time of a process's threads. The time of
// a thread that ended would be missing, but Go programs keep their threads.
func threadCPUTime(pid int) (sum time.Duration, err error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, fmt.Errorf("measure: process %d has no threads", pid)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // The thread has ended since the directory was read.
		}
		var runNanos int64
		if _, err := fmt.Sscan(string(text), &runNanos); err != nil {
			return 0, fmt.Errorf("measure: %s: %w", file, err)
		}
		sum += time.Duration(runNanos)
	}
	return sum, nil
}

// peakRSS returns the largest resident memory of a process since its start, in bytes.
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
