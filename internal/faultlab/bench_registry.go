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
	benchRepeats  = 3    // runs of each measurement that is repeated
	benchWriters  = 16   // concurrent writers
	fewMembers    = 30   // members of the list where its length is not measured
	fewWatchers   = 300  // watchers where their number is not measured
	maxPolls      = 1000 // polling clients at most: more would measure the load of polling itself
	killsPerLarge = 5    // the number of kills is divided by this for large lists
)

// RegistryBenchOptions selects what is measured of the list service.
type RegistryBenchOptions struct {
	Registry        string        // the list service's program
	Out             string        // folder of the data and logs
	Watchers        []int         // numbers of watchers; each is measured on its own
	Members         []int         // lengths of the list, in members; each is measured on its own
	Kills           int           // kills of the leader with a list of fewMembers; lists of other lengths get fewer
	Writes          int           // writes that are timed until the last watcher has them
	LoadTime        time.Duration // length of each measurement of writes
	ReturningAgents int           // agents that reconnect after an outage, with the largest number of watchers
	Outage          time.Duration // how long the group is stopped before they reconnect
	Seed            uint64
	Printf          Printf
}

// registryBench is a benchmark of the list service while it runs.
type registryBench struct {
	*benchGroup
	options RegistryBenchOptions
	figures *figures
}

// BenchRegistry measures the list service and, for comparison, clients that poll every
// second and a single node.
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
			return b.figures.spreads, err
		}
	}
	return b.figures.spreads, nil
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

// measureAllFanOuts measures the fan-out to all numbers of watchers and, for
// comparison, to polling clients, and the fan-out of lists of all sizes.
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

// measureLargestRecovery measures the recovery of a fleet with the largest number of
// watchers.
func (b *registryBench) measureLargestRecovery(ctx context.Context) error {
	if b.options.ReturningAgents == 0 || len(b.options.Watchers) == 0 {
		return nil
	}
	return b.measureRecovery(ctx, slices.Max(b.options.Watchers))
}

// measureWrites measures how many writes a second a group accepts, and how long each
// takes.
func (b *registryBench) measureWrites(ctx context.Context, nodes, members int) error {
	c, err := b.startReady(ctx, nodes, members)
	if err != nil {
		return err
	}
	defer b.stop()
	defer c.Close()
	var allDurations, rates []float64
	for range benchRepeats {
		durations := b.runWriters(ctx)
		allDurations = append(allDurations, durations...)
		rates = append(rates, float64(len(durations))/b.options.LoadTime.Seconds())
	}
	name := fmt.Sprintf("writes, %d nodes, %d members, %d writers: ", nodes, members, benchWriters)
	b.figures.add(name+"ms each", allDurations)
	b.figures.add(name+"a second, over plays", rates)
	return nil
}

// runWriters has all writers write for LoadTime and returns how long each accepted
// write took.
func (b *registryBench) runWriters(ctx context.Context) (durations []float64) {
	ctx, cancel := context.WithTimeout(ctx, b.options.LoadTime+groupTimeout) // the last writes get time to finish
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
			durations = append(durations, written...)
		}()
	}
	writers.Wait()
	return durations
}

// writeUntil writes one member repeatedly until the deadline, and returns how long each
// accepted write took, in milliseconds.
func (b *registryBench) writeUntil(ctx context.Context, writer int, deadline time.Time) (durations []float64) {
	c, err := b.client()
	if err != nil {
		return nil
	}
	defer c.Close()
	member := registry.Registration{ID: fmt.Sprint("w", writer), Address: fmt.Sprintf("10.8.8.%d:1", writer), Flavor: "x"}
	for n := 0; time.Now().Before(deadline) && ctx.Err() == nil; n++ {
		member.Zone = fmt.Sprint(n)
		submittedAt := time.Now()
		if _, err := c.Do(ctx, http.MethodPost, registry.MembersPath, member, nil); err == nil {
			durations = append(durations, toMillis(time.Since(submittedAt)))
		}
	}
	return durations
}
