package faultlab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/registry"
)

// RegistryBenchOptions say what of the list service is measured.
type RegistryBenchOptions struct {
	Registry        string // its program
	Out             string
	Watchers        []int
	Members         []int
	Kills           int
	Writes          int           // whose way to the last watcher is timed
	LoadTime        time.Duration // of each measurement of writes
	ReturningAgents int           // that come back beside the most watchers after an outage
	Outage          time.Duration
	Seed            uint64
	Printf          func(format string, args ...any)
}

// BenchRegistry measures the list service beside a poll every second and beside
// a single node.
func BenchRegistry(ctx context.Context, o RegistryBenchOptions) ([]Spread, error) {
	ip, lock, err := claimAddress()
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	dir, err := filepath.Abs(o.Out)
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	logs, err := os.Create(filepath.Join(dir, "nodes.log"))
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	defer logs.Close()
	var most syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &most) == nil && most.Cur < most.Max {
		most.Cur = most.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &most)
	}
	b := &benchGroup{ip: ip, dir: dir, program: o.Registry, port: firstPort, logs: logs}
	defer b.stop()
	var out []Spread
	add := func(s Spread) {
		out = append(out, s)
		o.Printf("%-64s n=%-5d p50 %.1f  p90 %.1f  p99 %.1f  max %.1f", s.Name, s.N, s.P50, s.P90, s.P99, s.Max)
	}
	if err := b.measureWrites(ctx, 1, 0, o, add); err != nil {
		return out, err
	}
	for _, members := range append([]int{0}, o.Members...) {
		if err := b.measureWrites(ctx, 3, members, o, add); err != nil {
			return out, err
		}
	}
	for _, watchers := range o.Watchers {
		for _, poll := range []bool{true, false} {
			if poll && watchers > 1000 {
				continue // as many polls a second would measure the poll's own load
			}
			if err := b.measureFanOut(ctx, watchers, 30, poll, o, add); err != nil {
				return out, err
			}
		}
	}
	for _, members := range o.Members {
		if err := b.measureFanOut(ctx, 300, members, false, o, add); err != nil {
			return out, err
		}
	}
	if o.Kills > 0 {
		if err := b.measureKills(ctx, 30, o.Kills, o, add); err != nil {
			return out, err
		}
		for _, members := range o.Members {
			if err := b.measureKills(ctx, members, max(o.Kills/5, 1), o, add); err != nil {
				return out, err
			}
		}
	}
	if o.ReturningAgents > 0 && len(o.Watchers) > 0 {
		if err := b.measureComeback(ctx, slices.Max(o.Watchers), o, add); err != nil {
			return out, err
		}
	}
	return out, nil
}

// measureWrites measures how many writes a second a group takes, and how long each is.
func (b *benchGroup) measureWrites(ctx context.Context, nodes, members int, o RegistryBenchOptions, add func(Spread)) error {
	c, err := b.startReady(ctx, nodes, members)
	if err != nil {
		return err
	}
	defer b.stop()
	defer c.Close()
	var mu sync.Mutex
	var took, rates []float64
	for range 3 { // plays
		var wg sync.WaitGroup
		var n atomic.Int64
		end := time.Now().Add(o.LoadTime)
		for i := range 16 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				own, err := b.client()
				if err != nil {
					return
				}
				defer own.Close()
				for k := 0; time.Now().Before(end) && ctx.Err() == nil; k++ {
					began := time.Now()
					id := fmt.Sprint("w", i)
					_, err := own.Do(ctx, http.MethodPost, registry.MembersPath, registry.Registration{ID: id, Address: fmt.Sprintf("10.8.8.%d:1", i), Zone: fmt.Sprint(k), Flavor: "x"}, nil)
					if err == nil {
						n.Add(1)
						mu.Lock()
						took = append(took, time.Since(began).Seconds()*1e3)
						mu.Unlock()
					}
				}
			}()
		}
		wg.Wait()
		rates = append(rates, float64(n.Load())/o.LoadTime.Seconds())
	}
	add(newSpread(fmt.Sprintf("writes, %d nodes, %d members, 16 writers: ms each", nodes, members), took))
	add(newSpread(fmt.Sprintf("writes, %d nodes, %d members, 16 writers: a second, over plays", nodes, members), rates))
	return nil
}

// measureFanOut measures the way of a write to the last of many watchers, what a
// watcher costs in memory, and how soon all are back after the group was gone.
func (b *benchGroup) measureFanOut(ctx context.Context, watchers, members int, poll bool, o RegistryBenchOptions, add func(Spread)) error {
	c, err := b.startReady(ctx, 3, members)
	if err != nil {
		return err
	}
	defer b.stop()
	defer c.Close()
	name := fmt.Sprintf("%d watchers, %d members", watchers, members)
	if poll {
		name = fmt.Sprintf("%d polls every second, %d members", watchers, members)
	}
	rss := func() (all float64) {
		for _, p := range b.processes {
			if u, err := p.Measure(""); err == nil {
				all += float64(u.RSS)
			}
		}
		return all
	}
	before := rss()
	crowdCtx, cancel := context.WithCancel(ctx)
	w := &watcherSet{}
	defer func() { cancel(); w.wg.Wait() }()
	w.start(crowdCtx, b.http, watchers, poll)
	if err := w.awaitOpen(ctx, 0); err != nil {
		return err
	}
	model.Sleep(ctx, 500*time.Millisecond)
	if !poll {
		add(newSpread(name+": KB of all three nodes, a watcher", []float64{(rss() - before) / 1024 / float64(watchers)}))
	}
	var took []float64
	for n := range o.Writes {
		var a registry.Result
		// The revision that the write will have is not known before: the next one is waited for.
		var list discovery.List
		if _, err := c.Do(ctx, http.MethodGet, discovery.ListPath+"?consistent=1", nil, &list); err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		all := w.expect(list.Revision + 1)
		if _, err := c.Do(ctx, http.MethodPost, registry.MembersPath, registry.Registration{ID: "bench", Address: "10.9.9.9:1", Zone: fmt.Sprint("f", n), Flavor: "bench"}, &a); err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		answered := time.Now()
		select {
		case <-all:
		case <-time.After(30 * time.Second):
			return errors.New("bench: a write never came to all watchers")
		case <-ctx.Done():
			return ctx.Err()
		}
		w.mu.Lock()
		took = append(took, max(0, w.last.Sub(answered).Seconds()*1e3))
		w.mu.Unlock()
	}
	add(newSpread(name+": ms from the write's answer to the last", took))
	if poll || members != 30 {
		return nil
	}
	var back []float64
	for range 3 {
		b.stop()
		from := w.opened.Load()
		model.Sleep(ctx, time.Second)
		began := time.Now()
		for i := range b.processes {
			if err := b.startNode(i); err != nil {
				return err
			}
		}
		if err := w.awaitOpen(ctx, from); err != nil {
			return err
		}
		back = append(back, time.Since(began).Seconds()*1e3)
	}
	add(newSpread(name+": ms from the group's start until all are back", back))
	return nil
}

// measureKills measures how long no write is taken after the leader was killed.
func (b *benchGroup) measureKills(ctx context.Context, members, kills int, o RegistryBenchOptions, add func(Spread)) error {
	c, err := b.startReady(ctx, 3, members)
	if err != nil {
		return err
	}
	defer b.stop()
	defer c.Close()
	r := rand.New(rand.NewPCG(o.Seed, 1))
	var took []float64
	for n := range kills {
		at := b.leader()
		if at < 0 {
			model.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		model.Sleep(ctx, time.Duration(r.IntN(300))*time.Millisecond)
		b.processes[at].Kill()
		began := time.Now()
		for ctx.Err() == nil { // asked closely, so that the client's own pauses are not measured
			short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			err := benchWrite(short, c, n)
			cancel()
			if err == nil {
				break
			}
		}
		took = append(took, time.Since(began).Seconds()*1e3)
		if err := b.startNode(at); err != nil {
			return err
		}
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); model.Sleep(ctx, 20*time.Millisecond) { // until it follows
			if resp, err := http.Get("http://" + b.http[at] + registry.StatusPath); err == nil {
				var s registry.Status
				json.NewDecoder(resp.Body).Decode(&s)
				resp.Body.Close()
				if !s.Stale && s.Leader != "" {
					break
				}
			}
		}
	}
	add(newSpread(fmt.Sprintf("%d members: ms without a leader after its kill, until a write is taken", members), took))
	return nil
}
