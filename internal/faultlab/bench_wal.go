package faultlab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plovershore/internal/wal"
	"plovershore/internal/wal/baseline"
)

// WALBenchOptions selects what is measured of the relay's message log.
type WALBenchOptions struct {
	Out     string        // folder, on the disk that is measured
	Pending []int         // numbers of messages pending in the log when it is opened
	Clients []int         // numbers of concurrent clients
	Repeats int           // runs of each measurement
	Span    time.Duration // length of each measurement of writes
	Printf  Printf
}

// messageLog is the message log, or the baseline: the log of package baseline, which the
// message log replaced.
type messageLog interface {
	Submit(*wal.Record, func(error))
	Run(<-chan struct{})
	Done() <-chan struct{}
}

// countFS is a file system that counts the write calls, bytes and syncs.
type countFS struct {
	wal.OS
	calls, bytes, syncs atomic.Int64
}

// countFile is a file of a countFS.
type countFile struct {
	wal.File
	fs *countFS
}

// Open opens a file whose writes are counted.
func (f *countFS) Open(name string, how wal.Mode) (wal.File, error) {
	file, err := f.OS.Open(name, how)
	if err != nil {
		return nil, err
	}
	return countFile{file, f}, nil
}

// WriteAt counts the call and its bytes, and writes them.
func (f countFile) WriteAt(b []byte, off int64) (int, error) {
	f.fs.calls.Add(1)
	f.fs.bytes.Add(int64(len(b)))
	return f.File.WriteAt(b, off)
}

// Sync counts the call, and syncs the file.
func (f countFile) Sync() error {
	f.fs.syncs.Add(1)
	return f.File.Sync()
}

const (
	benchLimit   = 4 << 30  // size limit of a log in bytes
	readBatch    = 2000     // messages in one read, as many as the relay reads
	stallPending = 20000    // messages that are pending while checkpoints are made
	stallLimit   = 64 << 20 // size limit in bytes, so small that checkpoints are made often
	stallRounds  = 6        // records written for each pending message, enough for several checkpoints
	megabyte     = 1e6
	baselineName = "log before"
	processName  = "process" // log with durability wal.SurvivesProcess
	powerName    = "power"   // log with durability wal.SurvivesPowerLoss
)

// benchMessage is the record of one message.
func benchMessage(i int) *wal.Record {
	return &wal.Record{Kind: wal.KindAccepted, ID: fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), Class: "copy-order", Tenant: "acme", Key: "5c0f6e1a2b3d4c59",
		Dest: i % 80, Deadline: 1e15, Body: []byte(strings.Repeat("b", 200))}
}

// heapBytes returns the size of the heap in bytes, after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processCPU returns the CPU time that this process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail for the process itself
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// walBench is a benchmark of the message log while it runs.
type walBench struct {
	options WALBenchOptions
	dir     string
	figures *figures
}

// BenchWAL measures the relay's message log and, for comparison, the log that it replaced.
func BenchWAL(ctx context.Context, o WALBenchOptions) ([]Spread, error) {
	dir, err := makeBenchDir(o.Out)
	if err != nil {
		return nil, err
	}
	b := &walBench{options: o, dir: dir, figures: &figures{printf: o.Printf, format: "%-72s n=%-6d p50 %.3f  p90 %.3f  p99 %.3f  max %.3f"}}
	for _, pending := range o.Pending {
		if err := b.measureStarts(ctx, pending); err != nil {
			return b.figures.spreads, err
		}
	}
	for _, clients := range o.Clients {
		if err := b.measureWrites(ctx, clients); err != nil {
			return b.figures.spreads, err
		}
	}
	return b.figures.spreads, b.measureStalls(ctx)
}

// tempDir makes a folder for one measurement; the caller removes it.
func (b *walBench) tempDir(name string) (string, error) {
	dir := filepath.Join(b.dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("bench: %w", err)
	}
	return dir, nil
}

// drainLog runs a log until it has written what was submitted, and closes it.
func drainLog(log messageLog) {
	stop := make(chan struct{})
	close(stop)
	log.Run(stop)
}

// measureStarts measures how long after a start the IDs of the pending messages are
// known, and how long until all the messages are read.
func (b *walBench) measureStarts(ctx context.Context, pending int) error {
	dir, err := b.tempDir(fmt.Sprint("start-", pending))
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := fillLogs(dir, pending); err != nil {
		return err
	}
	var idsKnown, allRead, heapSizes, baselineRead, baselineHeapSizes []float64
	for range b.options.Repeats {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		start, err := startLog(dir, pending)
		if err != nil {
			return err
		}
		idsKnown, allRead, heapSizes = append(idsKnown, start.idsKnownMS), append(allRead, start.allReadMS), append(heapSizes, start.heapMB)
		if start, err = startBaseline(dir); err != nil {
			return err
		}
		baselineRead, baselineHeapSizes = append(baselineRead, start.allReadMS), append(baselineHeapSizes, start.heapMB)
	}
	name := fmt.Sprintf("%d owed: ", pending)
	b.figures.add(name+"ms until all ids are known", idsKnown)
	b.figures.add(name+"ms until all are read", allRead)
	b.figures.add(name+"ms until all are read, log before", baselineRead)
	b.figures.add(name+"MB of heap for the log, bodies on disk", heapSizes)
	b.figures.add(name+"MB of heap, log before, bodies in it", baselineHeapSizes)
	return nil
}

// fillLogs writes the given number of pending messages to a new log, and the same ones to a
// new baseline in the same folder.
func fillLogs(dir string, pending int) error {
	log, err := wal.Open(wal.Options{Dir: dir, Limit: benchLimit})
	if err != nil {
		return err
	}
	baselineLog, _, err := baseline.Open(dir, benchLimit)
	if err != nil {
		return err
	}
	for _, target := range []messageLog{log, baselineLog} {
		stop := make(chan struct{})
		go target.Run(stop)
		for i := range pending {
			target.Submit(benchMessage(i), nil)
		}
		close(stop)
		<-target.Done()
	}
	return nil
}

// logStart has the times and the memory of one start.
type logStart struct {
	idsKnownMS float64 // ms until all IDs are known
	allReadMS  float64 // ms until all messages are read
	heapMB     float64 // MB of heap
}

// startLog opens a log and reads its pending messages.
func startLog(dir string, pending int) (start logStart, err error) {
	heapBefore, startedAt := heapBytes(), time.Now()
	log, err := wal.Open(wal.Options{Dir: dir, Limit: benchLimit})
	if err != nil {
		return start, err
	}
	if log.PendingUnread() != pending {
		return start, fmt.Errorf("bench: the log has %d of %d messages pending", log.PendingUnread(), pending)
	}
	start.idsKnownMS = toMillis(time.Since(startedAt))
	start.heapMB = (heapBytes() - heapBefore) / megabyte
	startedAt = time.Now()
	for len(log.Next(readBatch)) > 0 { // the messages are dropped
	}
	start.allReadMS = start.idsKnownMS + toMillis(time.Since(startedAt))
	drainLog(log)
	return start, nil
}

// startBaseline opens the baseline, which reads all pending messages while it is opened.
func startBaseline(dir string) (start logStart, err error) {
	heapBefore, startedAt := heapBytes(), time.Now()
	log, pending, err := baseline.Open(dir, benchLimit)
	if err != nil {
		return start, err
	}
	start.allReadMS = toMillis(time.Since(startedAt))
	start.heapMB = (heapBytes() - heapBefore) / megabyte
	runtime.KeepAlive(pending)
	drainLog(log)
	return start, nil
}

// writeCost is the cost of a message that is accepted, sent once and completed.
type writeCost struct {
	rate  float64 // messages a second
	cpu   float64 // µs of CPU time a message, including the clients'
	calls float64 // write calls a message
	bytes float64 // bytes written a message
}

// measureWrites measures the cost of messages with the given number of concurrent
// clients. The kinds of log are measured in turn.
func (b *walBench) measureWrites(ctx context.Context, clients int) error {
	names := []string{baselineName, processName, powerName}
	costs := map[string][]writeCost{}
	for repeat := range b.options.Repeats {
		for _, name := range names {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			dir, err := b.tempDir(fmt.Sprint("writes-", clients, "-", repeat, name[:2]))
			if err != nil {
				return err
			}
			cost, err := b.runWrites(dir, name, clients)
			if err != nil {
				return err
			}
			costs[name] = append(costs[name], cost)
			if err := os.RemoveAll(dir); err != nil {
				return fmt.Errorf("bench: %w", err)
			}
		}
	}
	for _, name := range names {
		var rates, cpus, calls, bytes []float64
		for _, cost := range costs[name] {
			rates, cpus = append(rates, cost.rate), append(cpus, cost.cpu)
			calls, bytes = append(calls, cost.calls), append(bytes, cost.bytes)
		}
		prefix := fmt.Sprintf("%d clients, %s: ", clients, name)
		b.figures.add(prefix+"messages a second", rates)
		b.figures.add(prefix+"µs of CPU a message, clients' too", cpus)
		b.figures.add(prefix+"calls to write a message", calls)
		b.figures.add(prefix+"bytes written a message", bytes)
	}
	return nil
}

// runWrites has clients write to a new log of the named kind for the span of the
// options.
func (b *walBench) runWrites(dir, name string, clients int) (cost writeCost, err error) {
	fs := &countFS{}
	var log messageLog
	var baselineLog *baseline.Log
	switch name {
	case baselineName:
		baselineLog, _, err = baseline.Open(dir, benchLimit)
		log = baselineLog
	case processName:
		log, err = wal.Open(wal.Options{Dir: dir, Limit: benchLimit, FS: fs})
	default:
		log, err = wal.Open(wal.Options{Dir: dir, Limit: benchLimit, FS: fs, Durability: wal.SurvivesPowerLoss})
	}
	if err != nil {
		return cost, err
	}
	stop := make(chan struct{})
	go log.Run(stop)
	startedAt, usedBefore := time.Now(), processCPU()
	messages := float64(writeMessages(log, clients, startedAt.Add(b.options.Span)))
	elapsed, used := time.Since(startedAt), processCPU()-usedBefore
	close(stop)
	<-log.Done()
	calls, bytes := fs.calls.Load(), fs.bytes.Load()
	if baselineLog != nil {
		calls, bytes = int64(baselineLog.WriteCalls), int64(baselineLog.Bytes)
	}
	return writeCost{
		rate:  messages / elapsed.Seconds(),
		cpu:   float64(used.Microseconds()) / messages,
		calls: float64(calls) / messages,
		bytes: float64(bytes) / messages,
	}, nil
}

// writeMessages has clients write messages until the deadline, and returns how many
// messages they wrote. A client submits its next record when the one before is durable.
func writeMessages(log messageLog, clients int, deadline time.Time) int64 {
	var count atomic.Int64
	var writing sync.WaitGroup
	for client := range clients {
		writing.Add(1)
		go func() {
			defer writing.Done()
			durable := make(chan error, 1)
			for i := 0; time.Now().Before(deadline); i++ {
				message := benchMessage(client<<32 | i)
				attempt := &wal.Record{Kind: wal.KindAttempt, ID: message.ID, At: 1e15, Endpoint: "s-12", Process: 1, Sync: true}
				for _, record := range []*wal.Record{message, attempt, {Kind: wal.KindCompleted, ID: message.ID}} {
					log.Submit(record, func(err error) { durable <- err })
					<-durable
				}
				count.Add(1)
			}
		}()
	}
	writing.Wait()
	return count.Load()
}

// measureStalls measures the longest time that a record takes to become durable while
// checkpoints are made and many messages are pending.
func (b *walBench) measureStalls(ctx context.Context) error {
	names := []string{baselineName, processName}
	longest := map[string][]float64{}
	for repeat := range b.options.Repeats {
		for _, name := range names {
			dir, err := b.tempDir(fmt.Sprint("stall-", repeat, name[:2]))
			if err != nil {
				return err
			}
			stall, err := runStall(ctx, dir, name)
			if err != nil {
				return err
			}
			longest[name] = append(longest[name], toMillis(stall))
			if err := os.RemoveAll(dir); err != nil {
				return fmt.Errorf("bench: %w", err)
			}
		}
	}
	for _, name := range names {
		b.figures.add(fmt.Sprintf("%d owed, %s: longest wait of a record, ms", stallPending, name), longest[name])
	}
	return nil
}

// runStall writes to a new log of the named kind and returns the longest time that a
// record took to become durable.
func runStall(ctx context.Context, dir, name string) (longest time.Duration, err error) {
	var log messageLog
	if name == processName {
		log, err = wal.Open(wal.Options{Dir: dir, Limit: stallLimit})
	} else {
		log, _, err = baseline.Open(dir, stallLimit)
	}
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	go log.Run(stop)
	for i := range stallPending {
		log.Submit(benchMessage(i), nil)
	}
	durable := make(chan error, 1)
	for i := range stallRounds * stallPending {
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		message := benchMessage(i % stallPending)
		record := &wal.Record{Kind: wal.KindAttempt, ID: message.ID, At: 1e15, Endpoint: "s-12", Process: 1}
		if i%2 == 1 {
			record = &wal.Record{Kind: wal.KindOutcome, ID: message.ID}
		}
		submittedAt := time.Now()
		log.Submit(record, func(err error) { durable <- err })
		if err := <-durable; err != nil {
			return 0, fmt.Errorf("bench: %w", err)
		}
		if i > 0 { // the first record waits until all pending messages are written
			longest = max(longest, time.Since(submittedAt))
		}
	}
	close(stop)
	<-log.Done()
	return longest, nil
}
