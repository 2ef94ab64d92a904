package faultlab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/leader"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

// LeaderBenchOptions say what of the duties is measured.
type LeaderBenchOptions struct {
	Registry, Controller string // programs
	Out                  string
	TTL                  []time.Duration
	Kills                []int // of the holder, for each time to live
	Handovers            int
	Cuts                 int // of the holder from all nodes, for each time to live
	Roles                []int
	Printf               func(format string, args ...any)
}

// BenchLeader measures how long a duty is nobody's, and what duties cost the store.
func BenchLeader(ctx context.Context, o LeaderBenchOptions) ([]Spread, error) {
	dir, err := filepath.Abs(o.Out)
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	if len(o.Kills) != len(o.TTL) {
		return nil, errors.New("bench: as many kills as times to live are wanted")
	}
	var out []Spread
	var mu sync.Mutex
	add := func(name string, v []float64) {
		mu.Lock()
		defer mu.Unlock()
		s := newSpread(name, v)
		out = append(out, s)
		o.Printf("%-72s n=%-5d p50 %.1f  p90 %.1f  p99 %.1f  max %.1f", s.Name, s.N, s.P50, s.P90, s.P99, s.Max)
	}
	group := func(name string, f func(b *benchGroup, c *client.Client, logs *os.File) error) error {
		ip, lock, err := claimAddress()
		if err != nil {
			return err
		}
		defer lock.Close()
		at := filepath.Join(dir, name)
		if err := os.MkdirAll(at, 0o755); err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		logs, err := os.Create(filepath.Join(at, "log"))
		if err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		defer logs.Close()
		b := &benchGroup{ip: ip, dir: at, program: o.Registry, port: firstPort, logs: logs}
		c, err := b.startReady(ctx, 3, 0)
		if err != nil {
			return err
		}
		defer b.stop()
		defer c.Close()
		return f(b, c, logs)
	}
	var g errgroup.Group // mostly they wait: side by side
	for _, ttl := range o.TTL {
		if o.Cuts == 0 {
			break
		}
		g.Go(func() error {
			return group("cut-"+ttl.String(), func(b *benchGroup, c *client.Client, logs *os.File) error {
				w := &benchControllerSet{group: b, program: o.Controller, ttl: ttl, logs: logs, processes: map[string]*process.Process{}, client: c}
				took, err := w.measureCuts(ctx, o.Cuts)
				add(fmt.Sprintf("time to live %v: ms from the holder's cut to the next one", ttl), took)
				return err
			})
		})
	}
	for i, ttl := range o.TTL {
		if o.Kills[i] == 0 {
			continue
		}
		g.Go(func() error {
			return group("kill-"+ttl.String(), func(b *benchGroup, c *client.Client, logs *os.File) error {
				w := &benchControllerSet{group: b, program: o.Controller, ttl: ttl, logs: logs, processes: map[string]*process.Process{}, client: c}
				took, err := w.measureKills(ctx, o.Kills[i], syscall.SIGKILL)
				add(fmt.Sprintf("time to live %v: ms without a holder after its kill", ttl), took)
				return err
			})
		})
	}
	if err := g.Wait(); err != nil {
		return out, err
	}
	if o.Handovers > 0 {
		err := group("handover", func(b *benchGroup, c *client.Client, logs *os.File) error {
			w := &benchControllerSet{group: b, program: o.Controller, ttl: 2 * time.Second, logs: logs, processes: map[string]*process.Process{}, client: c}
			took, err := w.measureKills(ctx, o.Handovers, syscall.SIGTERM)
			add("ms from SIGTERM of the holder to the next one", took)
			return err
		})
		if err != nil {
			return out, err
		}
	}
	for _, n := range o.Roles {
		if err := group(fmt.Sprint("load-", n), func(b *benchGroup, _ *client.Client, _ *os.File) error { return b.roleCost(ctx, n, add) }); err != nil {
			return out, err
		}
	}
	return out, nil
}

// roleCost measures what so many duties cost the store while all are held.
func (b *benchGroup) roleCost(ctx context.Context, n int, add func(string, []float64)) error {
	work := map[string]leader.Work{}
	for i := range n {
		work[fmt.Sprint("d-", i)] = func(ctx context.Context, _ *leader.Grant) error { <-ctx.Done(); return nil }
	}
	run, stop := context.WithCancel(ctx)
	var g errgroup.Group
	defer func() {
		stop()
		g.Wait() // told by the measurement already
	}()
	c, err := b.client()
	if err != nil {
		return err
	}
	defer c.Close()
	for i := range benchControllers {
		own, err := b.client()
		if err != nil {
			return err
		}
		defer own.Close()
		g.Go(func() error {
			return leader.Run(run, leader.Options{Client: own, Name: fmt.Sprint("w-", i), TTL: 3 * time.Second, Roles: work, Log: slog.New(slog.DiscardHandler)})
		})
	}
	for held := 0; held < n; {
		var l registry.RoleList
		if _, err := c.Do(ctx, http.MethodGet, registry.RolesPath, nil, &l); err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		held = 0
		for _, d := range l.Roles {
			if d.Holder != "" {
				held++
			}
		}
		if !model.Sleep(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
	model.Sleep(ctx, 4*time.Second) // until all are marked as going well
	used := func() (all float64) {
		for _, p := range b.processes {
			if u, err := p.Measure(""); err == nil {
				all += u.CPU.Seconds()
			}
		}
		return all
	}
	var burnt []float64
	for range 3 {
		before := used()
		model.Sleep(ctx, 3*time.Second)
		burnt = append(burnt, (used()-before)/3*1e3)
	}
	add(fmt.Sprintf("%d duties over %d wardens: ms of CPU a second, all nodes", n, benchControllers), burnt)
	return nil
}
