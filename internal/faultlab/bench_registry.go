package faultlab

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"plovershore/internal/registry"
)

const (
	benchRepeats  = 3    // of each measurement that is repeated
	benchWriters  = 16   // at once
	fewMembers    = 30   // of the list, where it is not what is measured
	fewWatchers   = 300  // likewise
	maxPolls      = 1000 // more polls a second would measure the poll's own load
	killsPerLarge = 5    // a large list is measured by one kill of so many
)

// RegistryBenchOptions say what of the list service is measured.
type RegistryBenchOptions struct {
	Registry        string // its program
	Out             string // folder
	Watchers        []int
	Members         []int
	Kills           int           // of the leader
	Writes          int           // whose way to the last watcher is timed
	LoadTime        time.Duration // of each measurement of writes
	ReturningAgents int           // that come back after an outage, beside the most watchers
	Outage          time.Duration
	Seed            uint64
	Printf          Printf
}

// registryBench is a benchmark of the list service while it runs.
type registryBench struct {
	*benchGroup
	options RegistryBenchOptions
	figures *figures
}

// BenchRegistry measures the list service beside a poll every second and beside a
// single node.
func BenchRegistry(ctx context.Context, o RegistryBenchOptions) ([]Spread, error) {
	ip, lock, err := claimAddress()
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	dir, err := makeBenchDir(o.Out)
	if err != nil {
		return nil, err
	}
	logs, err := os.Create(filepath.Join(dir, "nodes.log"))
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	defer logs.Close()
	raiseDescriptorLimit()
	b := &registryBench{
		benchGroup: &benchGroup{ip: ip, dir: dir, program: o.Registry, port: firstPort, logs: logs},
		options:    o,
		figures:    &figures{printf: o.Printf, format: "%-64s n=%-5d p50 %.1f  p90 %.1f  p99 %.1f  max %.1f"},
	}
	defer b.stop()
	for _, measure := range []func(context.Context) error{b.measureAllWrites, b.measureAllFanOuts, b.measureAllKills, b.measureLargestRecovery} {
		if err := measure(ctx); err != nil {
			return b.figures.all, err
		}
	}
	return b.figures.all, nil
}

// measureAllWrites measures writes to a single node, and to groups with lists of all sizes.
func (b *registryBench) measureAllWrites(ctx context.Context) error {
	if err := b.measureWrites(ctx, 1, 0); err != nil {
		return err
	}
	for _, members := range append([]int{0}, b.options.Members...) {
		if err := b.measureWrites(ctx, benchNodes, members); err != nil {
			return err
		}
	}
	return nil
}

// measureAllFanOuts measures watchers, beside polls, and lists of all sizes.
func (b *registryBench) measureAllFanOuts(ctx context.Context) error {
	for _, watchers := range b.options.Watchers {
		for _, poll := range []bool{true, false} {
			if poll && watchers > maxPolls {
				continue
			}
			if err := b.measureFanOut(ctx, watchers, fewMembers, poll); err != nil {
				return err
			}
		}
	}
	for _, members := range b.options.Members {
		if err := b.measureFanOut(ctx, fewWatchers, members, false); err != nil {
			return err
		}
	}
	return nil
}

// measureAllKills measures kills of the leader with lists of all sizes.
func (b *registryBench) measureAllKills(ctx context.Context) error {
	kills := b.options.Kills
	if kills == 0 {
		return nil
	}
	if err := b.measureKills(ctx, fewMembers, kills); err != nil {
		return err
	}
	for _, members := range b.options.Members {
		if err := b.measureKills(ctx, members, max(kills/killsPerLarge, 1)); err != nil {
			return err
		}
	}
	return nil
}

// comeback measures the return of a fleet with the most watchers.
func (b *registryBench) measureLargestRecovery(ctx context.Context) error {
	if b.options.ReturningAgents == 0 || len(b.options.Watchers) == 0 {
		return nil
	}
	return b.measureRecovery(ctx, slices.Max(b.options.Watchers))
}

// measureWrites measures how many writes a second a group takes, and how long each
// takes.
func (b *registryBench) measureWrites(ctx context.Context, nodes, members int) error {
	c, err := b.startReady(ctx, nodes, members)
	if err != nil {
		return err
	}
	defer b.stop()
	defer c.Close()
	var took, rates []float64
	for range benchRepeats {
		durations := b.runWriters(ctx)
		took = append(took, durations...)
		rates = append(rates, float64(len(durations))/b.options.LoadTime.Seconds())
	}
	name := fmt.Sprintf("writes, %d nodes, %d members, %d writers: ", nodes, members, benchWriters)
	b.figures.add(name+"ms each", took)
	b.figures.add(name+"a second, over plays", rates)
	return nil
}

// runWriters has all writers write for LoadTime and returns how long each write took.
func (b *registryBench) runWriters(ctx context.Context) (took []float64) {
	ctx, cancel := context.WithTimeout(ctx, b.options.LoadTime+groupTimeout) // the last writes may finish
	defer cancel()
	deadline := time.Now().Add(b.options.LoadTime)
	var mu sync.Mutex
	var writers sync.WaitGroup
	for i := range benchWriters {
		writers.Add(1)
		go func() {
			defer writers.Done()
			written := b.writeUntil(ctx, i, deadline)
			mu.Lock()
			defer mu.Unlock()
			took = append(took, written...)
		}()
	}
	writers.Wait()
	return took
}

// writeUntil writes one member again and again, and returns how long each write took.
func (b *registryBench) writeUntil(ctx context.Context, writer int, deadline time.Time) (took []float64) {
	c, err := b.client()
	if err != nil {
		return nil
	}
	defer c.Close()
	member := registry.Registration{ID: fmt.Sprint("w", writer), Address: fmt.Sprintf("10.8.8.%d:1", writer), Flavor: "x"}
	for n := 0; time.Now().Before(deadline) && ctx.Err() == nil; n++ {
		member.Zone = fmt.Sprint(n)
		began := time.Now()
		if _, err := c.Do(ctx, http.MethodPost, registry.MembersPath, member, nil); err == nil {
			took = append(took, toMillis(time.Since(began)))
		}
	}
	return took
}
