// Package relays runs simulated relays: the real watch, endpoint list, notices,
// policy and message log of a relay, with synthetic messages and outcomes in place
// of clients and endpoints. Package simrelay says what they report. They run in a
// process of their own, so that the lab links none of the relay's code.
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
	maxLateness    = 60_000_000 // µs; later counts as this
	latenessDigits = 3
	signalBuffer   = 8
)

// lateness is how late the traffic of all relays of a process was. It is safe for
// concurrent use.
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

// Main runs the simulated relays of a configuration file until simrelay.Finish or
// the end of ctx, and writes their result. Lines of simrelay.Status go to out, the
// log to errOut.
func Main(ctx context.Context, path string, out, errOut io.Writer) error {
	signals := make(chan os.Signal, signalBuffer) // before anything else: unhandled, they would end the process
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

// serve obeys signals and writes the status until simrelay.Finish or the end of ctx.
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

// signalCommands gives the command for each signal but simrelay.Finish.
var signalCommands = map[os.Signal]command{
	simrelay.StartTraffic: commandStartTraffic,
	simrelay.StopTraffic:  commandStopTraffic,
}

// broadcast gives a command to all relays.
func broadcast(relays []*relay, c command) {
	for _, r := range relays {
		r.inbox.Put(event{command: c})
	}
}

// collectStatus adds up the status of all relays.
func collectStatus(relays []*relay, late *lateness) simrelay.Status {
	s := simrelay.Status{Relays: len(relays), Hashes: map[string]int{}, Members: map[int]int{}}
	for _, r := range relays {
		r.addStatus(&s)
	}
	s.LateP99, s.LateMax = late.quantiles()
	return s
}

// writeResult writes the result file of a process.
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
