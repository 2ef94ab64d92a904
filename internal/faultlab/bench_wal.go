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

// WALBenchOptions say what of the log is measured, beside the one before it.
type WALBenchOptions struct {
	Out     string
	Pending []int
	Clients []int
	Plays   int
	Span    time.Duration // of each measurement of writes
	Printf  func(format string, args ...any)
}

// anyLog is either of the two.
type anyLog interface {
	Submit(*wal.Record, func(error))
	Run(<-chan struct{})
	Done() <-chan struct{}
}

// countFS counts what is written through it.
type countFS struct {
	wal.OS
	calls, bytes, syncs atomic.Int64
}

type countFile struct {
	wal.File
	fs *countFS
}

func (f *countFS) Open(name string, how wal.Mode) (wal.File, error) {
	x, err := f.OS.Open(name, how)
	if err != nil {
		return nil, err
	}
	return countFile{x, f}, nil
}

func (f countFile) WriteAt(b []byte, off int64) (int, error) {
	f.fs.calls.Add(1)
	f.fs.bytes.Add(int64(len(b)))
	return f.File.WriteAt(b, off)
}

func (f countFile) Sync() error {
	f.fs.syncs.Add(1)
	return f.File.Sync()
}

const benchLimit = 4 << 30

func benchMessage(i int) *wal.Record {
	return &wal.Record{Kind: wal.KindAccepted, ID: fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), Class: "copy-order", Tenant: "acme", Key: "5c0f6e1a2b3d4c59",
		Dest: i % 80, Deadline: 1e15, Body: []byte(strings.Repeat("b", 200))}
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail for the process itself
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchWAL measures the relay's log beside the one before it, in one run.
func BenchWAL(ctx context.Context, o WALBenchOptions) ([]Spread, error) {
	dir, err := filepath.Abs(o.Out)
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	var out []Spread
	add := func(name string, v []float64) {
		s := newSpread(name, v)
		out = append(out, s)
		o.Printf("%-72s n=%-6d p50 %.3f  p90 %.3f  p99 %.3f  max %.3f", s.Name, s.N, s.P50, s.P90, s.P99, s.Max)
	}
	for _, n := range o.Pending {
		if err := benchStart(ctx, dir, n, o.Plays, add); err != nil {
			return out, err
		}
	}
	for _, clients := range o.Clients {
		if err := benchWrites(ctx, dir, clients, o, add); err != nil {
			return out, err
		}
	}
	return out, benchStalls(ctx, dir, o, add)
}

// benchStart measures how soon what is owed is known, and read, after a start.
func benchStart(ctx context.Context, dir string, n, plays int, add func(string, []float64)) error {
	folder := filepath.Join(dir, fmt.Sprint("start-", n))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	defer os.RemoveAll(folder)
	l, err := wal.Open(wal.Options{Dir: folder, Limit: benchLimit})
	if err != nil {
		return err
	}
	old, _, err := baseline.Open(folder, benchLimit)
	if err != nil {
		return err
	}
	for _, x := range []anyLog{l, old} {
		stop := make(chan struct{})
		go x.Run(stop)
		for i := range n {
			x.Submit(benchMessage(i), nil)
		}
		close(stop)
		<-x.Done()
	}
	var known, all, mem, oldAll, oldMem []float64
	for range plays {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		before, began := heap(), time.Now()
		l, err := wal.Open(wal.Options{Dir: folder, Limit: benchLimit})
		if err != nil {
			return err
		}
		if l.PendingUnread() != n {
			return fmt.Errorf("bench: %d of %d owed", l.PendingUnread(), n)
		}
		known = append(known, time.Since(began).Seconds()*1e3)
		mem = append(mem, (heap()-before)/1e6)
		began = time.Now()
		for len(l.Next(2000)) > 0 { // as the relay reads them; they are not kept here
		}
		all = append(all, known[len(known)-1]+time.Since(began).Seconds()*1e3)
		stop := make(chan struct{})
		close(stop)
		l.Run(stop)
		before, began = heap(), time.Now()
		old, owed, err := baseline.Open(folder, benchLimit)
		if err != nil {
			return err
		}
		oldAll = append(oldAll, time.Since(began).Seconds()*1e3)
		oldMem = append(oldMem, (heap()-before)/1e6)
		runtime.KeepAlive(owed)
		old.Run(stop)
	}
	name := fmt.Sprintf("%d owed: ", n)
	add(name+"ms until all ids are known", known)
	add(name+"ms until all are read", all)
	add(name+"ms until all are read, log before", oldAll)
	add(name+"MB of heap for the log, bodies on disk", mem)
	add(name+"MB of heap, log before, bodies in it", oldMem)
	return nil
}

// benchWrites measures messages that are taken on, sent once and over: each
// client goes on when its record is booked. The three logs take turns.
func benchWrites(ctx context.Context, dir string, clients int, o WALBenchOptions, add func(string, []float64)) error {
	rates, cost, calls, bytes := map[string][]float64{}, map[string][]float64{}, map[string][]float64{}, map[string][]float64{}
	names := []string{"log before", "process", "power"}
	for play := range o.Plays {
		for _, name := range names {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			folder := filepath.Join(dir, fmt.Sprint("writes-", clients, "-", play, name[:2]))
			if err := os.MkdirAll(folder, 0o755); err != nil {
				return fmt.Errorf("bench: %w", err)
			}
			fs := &countFS{}
			var x anyLog
			var old *baseline.Log
			var err error
			switch name {
			case "log before":
				old, _, err = baseline.Open(folder, benchLimit)
				x = old
			case "process":
				x, err = wal.Open(wal.Options{Dir: folder, Limit: benchLimit, FS: fs})
			default:
				x, err = wal.Open(wal.Options{Dir: folder, Limit: benchLimit, FS: fs, Durability: wal.SurvivesPowerLoss})
			}
			if err != nil {
				return err
			}
			stop := make(chan struct{})
			go x.Run(stop)
			var n atomic.Int64
			var wg sync.WaitGroup
			began, used := time.Now(), cpu()
			for c := range clients {
				wg.Add(1)
				go func() {
					defer wg.Done()
					booked := make(chan error, 1)
					for i := 0; time.Since(began) < o.Span; i++ {
						m := benchMessage(c<<32 | i)
						for _, r := range []*wal.Record{m, {Kind: wal.KindAttempt, ID: m.ID, At: 1e15, Endpoint: "s-12", Process: 1, Sync: true}, {Kind: wal.KindCompleted, ID: m.ID}} {
							x.Submit(r, func(err error) { booked <- err })
							<-booked
						}
						n.Add(1)
					}
				}()
			}
			wg.Wait()
			took := time.Since(began)
			burnt := cpu() - used
			close(stop)
			<-x.Done()
			rates[name] = append(rates[name], float64(n.Load())/took.Seconds())
			cost[name] = append(cost[name], float64(burnt.Microseconds())/float64(n.Load()))
			written, out := fs.calls.Load(), fs.bytes.Load()
			if old != nil {
				written, out = old.WriteCalls, old.Bytes
			}
			calls[name] = append(calls[name], float64(written)/float64(n.Load()))
			bytes[name] = append(bytes[name], float64(out)/float64(n.Load()))
			if err := os.RemoveAll(folder); err != nil {
				return fmt.Errorf("bench: %w", err)
			}
		}
	}
	for _, name := range names {
		at := fmt.Sprintf("%d clients, %s: ", clients, name)
		add(at+"messages a second", rates[name])
		add(at+"µs of CPU a message, clients' too", cost[name])
		add(at+"calls to write a message", calls[name])
		add(at+"bytes written a message", bytes[name])
	}
	return nil
}

// benchStalls measures the longest that a record waits while checkpoints are made,
// with much owed.
func benchStalls(ctx context.Context, dir string, o WALBenchOptions, add func(string, []float64)) error {
	const owed, limit = 20000, 64 << 20
	longest := map[string][]float64{}
	names := []string{"log before", "process"}
	for play := range o.Plays {
		for _, name := range names {
			folder := filepath.Join(dir, fmt.Sprint("stall-", play, name[:2]))
			if err := os.MkdirAll(folder, 0o755); err != nil {
				return fmt.Errorf("bench: %w", err)
			}
			var x anyLog
			var err error
			if name == "process" {
				x, err = wal.Open(wal.Options{Dir: folder, Limit: limit})
			} else {
				x, _, err = baseline.Open(folder, limit)
			}
			if err != nil {
				return err
			}
			stop := make(chan struct{})
			go x.Run(stop)
			for i := range owed {
				x.Submit(benchMessage(i), nil)
			}
			booked := make(chan error, 1)
			most := time.Duration(0)
			for i := range 6 * owed { // enough for several checkpoints
				if ctx.Err() != nil {
					return ctx.Err()
				}
				m := benchMessage(i % owed)
				kind := &wal.Record{Kind: wal.KindAttempt, ID: m.ID, At: 1e15, Endpoint: "s-12", Process: 1}
				if i%2 == 1 {
					kind = &wal.Record{Kind: wal.KindOutcome, ID: m.ID}
				}
				began := time.Now()
				x.Submit(kind, func(err error) { booked <- err })
				if err := <-booked; err != nil {
					return fmt.Errorf("bench: %w", err)
				}
				if i > 0 { // the first waits for all that are taken on
					most = max(most, time.Since(began))
				}
			}
			close(stop)
			<-x.Done()
			longest[name] = append(longest[name], most.Seconds()*1e3)
			if err := os.RemoveAll(folder); err != nil {
				return fmt.Errorf("bench: %w", err)
			}
		}
	}
	for _, name := range names {
		add(fmt.Sprintf("%d owed, %s: longest wait of a record, ms", owed, name), longest[name])
	}
	return nil
}
