// Package relays are hollow relays: the real watch, list, notices, policy and log
// of a relay, with a synthetic stream of messages and outcomes in place of clients
// and endpoints. It promises what package hollow says of them. It is run as a
// process of its own, so that the lab links none of the relay's code.
package relays

import (
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/faultlab/simrelay"
)

const maxLateness = 60_000_000 // µs that lateness is told up to

// lateness is that of all relays of a process.
type lateness struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func (l *lateness) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hist.RecordValue(min(max(1, d.Microseconds()), maxLateness))
}

func (l *lateness) quantiles() (p99, most time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.hist.ValueAtQuantile(99)) * time.Microsecond, time.Duration(l.hist.Max()) * time.Microsecond
}

// Main runs the hollow relays of a configuration until hollow.End, or until ctx ends.
// Lines of hollow.Status go to out, and what goes wrong to errOut.
func Main(ctx context.Context, path string, out, errOut io.Writer) error {
	signals := make(chan os.Signal, 8) // before anything else: unhandled, they would end the process
	signal.Notify(signals, simrelay.StartTraffic, simrelay.StopTraffic, simrelay.Finish)
	defer signal.Stop(signals)
	c, err := simrelay.LoadConfig(path)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(errOut, &slog.HandlerOptions{Level: slog.LevelWarn}))
	late := &lateness{hist: hdrhistogram.New(1, maxLateness, 3)}
	var relays []*relay
	for i := range c.Settings {
		r, err := newRelay(c, i, log, late.record)
		if err != nil {
			return err
		}
		relays = append(relays, r)
	}
	var all sync.WaitGroup
	for _, r := range relays {
		all.Add(1)
		go func() { defer all.Done(); r.run() }()
	}
	tick := time.NewTicker(simrelay.StatusInterval)
	defer tick.Stop()
	lines := json.NewEncoder(out)
	for ended := false; !ended; {
		select {
		case <-ctx.Done():
			ended = true
		case s := <-signals:
			ended = s == simrelay.Finish
			broadcast(relays, s)
		case <-tick.C:
			if err := lines.Encode(collectStatus(relays, late)); err != nil {
				return fmt.Errorf("hollow: status: %w", err)
			}
		}
	}
	broadcast(relays, simrelay.Finish)
	all.Wait()
	return writeResult(c.Result, relays, late)
}

// broadcast passes a signal on to all relays.
func broadcast(relays []*relay, s os.Signal) {
	for _, r := range relays {
		r.inbox.Put(event{command: map[os.Signal]command{simrelay.StartTraffic: commandStartTraffic, simrelay.StopTraffic: commandStopTraffic, simrelay.Finish: commandFinish}[s]})
	}
}

func collectStatus(relays []*relay, late *lateness) simrelay.Status {
	s := simrelay.Status{Relays: len(relays), Hashes: map[string]int{}, Members: map[int]int{}}
	for _, r := range relays {
		r.addStatus(&s)
	}
	s.LateP99, s.LateMax = late.quantiles()
	return s
}

// writeResult keeps the result of a process.
func writeResult(path string, relays []*relay, late *lateness) (err error) {
	var result simrelay.Result
	for _, r := range relays {
		result.Relays = append(result.Relays, r.result())
	}
	result.LateP99, result.LateMax = late.quantiles()
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	if err := gob.NewEncoder(f).Encode(result); err != nil {
		f.Close()
		return fmt.Errorf("hollow: %w", err)
	}
	return f.Close()
}
