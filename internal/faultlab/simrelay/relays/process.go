// Package relays runs simulated relays. Each uses a real relay's watch, endpoint list,
// notices, policy and message log, and replaces its clients and endpoints by synthetic
// messages and outcomes. Package simrelay defines what they report. They run in processes
// of their own, which package faultlab starts by its SimRelayCommand: it imports simrelay
// but not this package, and so does not depend on the relay's policy, settings and wire
// protocol.
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

const (
	maxLateness    = 60_000_000 // microseconds; a longer delay is recorded as this
	latenessDigits = 3
	signalBuffer   = 8
)

// lateness records how late messages were made, over all relays of a process. It is safe
// for concurrent use.
type lateness struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func (l *lateness) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hist.RecordValue(min(max(1, d.Microseconds()), maxLateness))
}

func (l *lateness) quantiles() (p99, maximum time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.hist.ValueAtQuantile(99)) * time.Microsecond, time.Duration(l.hist.Max()) * time.Microsecond
}

// Main runs the relays of a configuration file until the signal simrelay.Finish or the end
// of ctx, and then writes their result file. It writes lines of simrelay.Status to out and
// the log to errOut.
func Main(ctx context.Context, path string, out, errOut io.Writer) error {
	signals := make(chan os.Signal, signalBuffer) // The signals are registered first, because an unhandled one ends the process.
	signal.Notify(signals, simrelay.StartTraffic, simrelay.StopTraffic, simrelay.Finish)
	defer signal.Stop(signals)
	c, err := simrelay.LoadConfig(path)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(errOut, &slog.HandlerOptions{Level: slog.LevelWarn}))
	late := &lateness{hist: hdrhistogram.New(1, maxLateness, latenessDigits)}
	relays, err := newRelays(c, log, late)
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	for _, r := range relays {
		running.Add(1)
		go func() { defer running.Done(); r.run() }()
	}
	err = serve(ctx, relays, signals, late, json.NewEncoder(out))
	broadcast(relays, commandFinish)
	running.Wait()
	if err != nil {
		return err
	}
	return writeResult(c.Result, relays, late)
}

func newRelays(c *simrelay.Config, log *slog.Logger, late *lateness) (relays []*relay, err error) {
	for i := range c.Settings {
		r, err := newRelay(c, i, log, late.record)
		if err != nil {
			return nil, err
		}
		relays = append(relays, r)
	}
	return relays, nil
}

// serve passes signals on to the relays and writes status lines, until the signal
// simrelay.Finish or the end of ctx.
func serve(ctx context.Context, relays []*relay, signals <-chan os.Signal, late *lateness, out *json.Encoder) error {
	tick := time.NewTicker(simrelay.StatusInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			if s == simrelay.Finish {
				return nil
			}
			broadcast(relays, signalCommands[s])
		case <-tick.C:
			if err := out.Encode(collectStatus(relays, late)); err != nil {
				return fmt.Errorf("simrelay: status: %w", err)
			}
		}
	}
}

// signalCommands maps each signal except simrelay.Finish to the command that it gives.
var signalCommands = map[os.Signal]command{
	simrelay.StartTraffic: commandStartTraffic,
	simrelay.StopTraffic:  commandStopTraffic,
}

// broadcast sends a command to all relays.
func broadcast(relays []*relay, c command) {
	for _, r := range relays {
		r.inbox.Put(event{command: c})
	}
}

// collectStatus returns the status of all relays together.
func collectStatus(relays []*relay, late *lateness) simrelay.Status {
	s := simrelay.Status{Relays: len(relays), Hashes: map[string]int{}, Members: map[int]int{}}
	for _, r := range relays {
		r.addStatus(&s)
	}
	s.LateP99, s.LateMax = late.quantiles()
	return s
}

// writeResult writes the result file after all relays have ended.
func writeResult(path string, relays []*relay, late *lateness) (err error) {
	var result simrelay.Result
	for _, r := range relays {
		result.Relays = append(result.Relays, r.result())
	}
	result.LateP99, result.LateMax = late.quantiles()
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("simrelay: %w", err)
	}
	if err := gob.NewEncoder(f).Encode(result); err != nil {
		f.Close()
		return fmt.Errorf("simrelay: %w", err)
	}
	return f.Close()
}
