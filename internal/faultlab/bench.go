package faultlab

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Spread is the distribution of one figure over N values, in milliseconds unless its
// name says otherwise.
type Spread struct {
	Name               string
	N                  int
	P50, P90, P99, Max float64
}

func newSpread(name string, values []float64) Spread {
	slices.Sort(values)
	quantile := func(q float64) float64 {
		if len(values) == 0 {
			return 0
		}
		return values[min(len(values)-1, int(q*float64(len(values))))]
	}
	return Spread{name, len(values), quantile(0.5), quantile(0.9), quantile(0.99), quantile(1)}
}

// Printf prints one line of a benchmark's progress.
type Printf func(format string, args ...any)

// figures collects the figures of a benchmark and prints each. It is safe for
// concurrent use.
type figures struct {
	printf Printf
	format string // of a printed line, for the fields of a Spread in their order

	mu      sync.Mutex
	spreads []Spread
}

func (f *figures) add(name string, values []float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := newSpread(name, values)
	f.spreads = append(f.spreads, s)
	f.printf(f.format, s.Name, s.N, s.P50, s.P90, s.P99, s.Max)
}

// makeBenchDir makes the folder of a benchmark and returns its absolute path.
func makeBenchDir(path string) (string, error) {
	dir, err := filepath.Abs(path)
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		return "", fmt.Errorf("bench: %w", err)
	}
	return dir, nil
}

// toMillis converts a duration to milliseconds.
func toMillis(d time.Duration) float64 { return d.Seconds() * 1e3 }

// raiseDescriptorLimit raises the soft limit on file descriptors, for this process and
// those that it starts, to the hard limit. A failure is ignored, since a process that
// runs out of descriptors reports it.
func raiseDescriptorLimit() {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < limit.Max {
		limit.Cur = limit.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	}
}
