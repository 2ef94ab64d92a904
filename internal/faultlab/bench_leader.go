package faultlab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/leader"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

const (
	handoverTTL  = 2 * time.Second
	roleTTL      = 3 * time.Second // time to live of the sessions whose cost is measured
	rolePoll     = 20 * time.Millisecond
	roleWarmUp   = 4 * time.Second // until all roles are marked as healthy
	roleCostTime = 3 * time.Second // length of one measurement
)

// errKillsPerTTL reports options whose Kills and TTL differ in length.
var errKillsPerTTL = errors.New("bench: the numbers of kills and of times to live differ")

// LeaderBenchOptions selects what is measured of the leader election.
type LeaderBenchOptions struct {
	Registry   string // the list service's program
	Controller string // the controllers' program
	Out        string // folder of the data and logs
	TTL        []time.Duration
	Kills      []int // kills of the leader, one number for each TTL
	Handovers  int
	Cuts       int   // times that the leader is cut off from all nodes, for each TTL
	Roles      []int // numbers of roles whose cost is measured
	Printf     Printf
}

// leaderBench is a benchmark of the leader election while it runs.
type leaderBench struct {
	options LeaderBenchOptions
	dir     string
	figures *figures
}

// BenchLeader measures how long a role has no leader, and what roles cost the list
// service.
func BenchLeader(ctx context.Context, o LeaderBenchOptions) ([]Spread, error) {
	dir, err := makeBenchDir(o.Out)
	if err != nil {
		return nil, err
	}
	if len(o.Kills) != len(o.TTL) {
		return nil, errKillsPerTTL
	}
	b := &leaderBench{options: o, dir: dir,
		figures: &figures{printf: o.Printf, format: "%-72s n=%-5d p50 %.1f  p90 %.1f  p99 %.1f  max %.1f"}}
	for _, measure := range []func(context.Context) error{b.measureFailures, b.measureHandovers, b.measureCosts} {
		if err := measure(ctx); err != nil {
			return b.figures.spreads, err
		}
	}
	return b.figures.spreads, nil
}

// measureFailures measures cuts and kills of the leader for all times to live
// concurrently, since the measurements mostly wait.
func (b *leaderBench) measureFailures(ctx context.Context) error {
	var measuring errgroup.Group
	for i, ttl := range b.options.TTL {
		if b.options.Cuts > 0 {
			measuring.Go(func() error {
				return b.withControllers(ctx, "cut-"+ttl.String(), ttl, func(s *benchControllerSet) error {
					durations, err := s.measureCuts(ctx, b.options.Cuts)
					b.figures.add(fmt.Sprintf("time to live %v: ms from the holder's cut to the next one", ttl), durations)
					return err
				})
			})
		}
		if kills := b.options.Kills[i]; kills > 0 {
			measuring.Go(func() error {
				return b.withControllers(ctx, "kill-"+ttl.String(), ttl, func(s *benchControllerSet) error {
					durations, err := s.measureKills(ctx, kills, syscall.SIGKILL)
					b.figures.add(fmt.Sprintf("time to live %v: ms without a holder after its kill", ttl), durations)
					return err
				})
			})
		}
	}
	return measuring.Wait()
}

// measureHandovers measures graceful shutdowns of the leader.
func (b *leaderBench) measureHandovers(ctx context.Context) error {
	if b.options.Handovers == 0 {
		return nil
	}
	return b.withControllers(ctx, "handover", handoverTTL, func(s *benchControllerSet) error {
		durations, err := s.measureKills(ctx, b.options.Handovers, syscall.SIGTERM)
		b.figures.add("ms from SIGTERM of the holder to the next one", durations)
		return err
	})
}

// measureCosts measures what roles cost the list service.
func (b *leaderBench) measureCosts(ctx context.Context) error {
	for _, roles := range b.options.Roles {
		err := b.withGroup(ctx, fmt.Sprint("load-", roles), func(g *benchGroup, c *client.Client) error {
			used, err := g.roleCost(ctx, c, roles)
			if err == nil {
				b.figures.add(fmt.Sprintf("%d duties over %d wardens: ms of CPU a second, all nodes", roles, benchControllers), used)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// withGroup calls measure with a new group and a client of it, in a folder of the given
// name.
func (b *leaderBench) withGroup(ctx context.Context, name string, measure func(*benchGroup, *client.Client) error) error {
	ip, lock, err := claimAddress()
	if err != nil {
		return err
	}
	defer lock.Close()
	dir := filepath.Join(b.dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	logs, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	defer logs.Close()
	g := &benchGroup{ip: ip, dir: dir, program: b.options.Registry, port: firstPort, logs: logs}
	c, err := g.startReady(ctx, benchNodes, 0)
	if err != nil {
		return err
	}
	defer g.stop()
	defer c.Close()
	return measure(g, c)
}

// withControllers calls measure with a new group and a set of controllers, none of
// which is started.
func (b *leaderBench) withControllers(ctx context.Context, name string, ttl time.Duration, measure func(*benchControllerSet) error) error {
	return b.withGroup(ctx, name, func(g *benchGroup, c *client.Client) error {
		return measure(&benchControllerSet{group: g, program: b.options.Controller, ttl: ttl, client: c, processes: map[string]*process.Process{}})
	})
}

// roleCost measures the CPU time that the nodes use while the given number of roles
// have a leader, in milliseconds a second.
func (b *benchGroup) roleCost(ctx context.Context, c *client.Client, roles int) (used []float64, err error) {
	leadCtx, stop := context.WithCancel(ctx)
	var leaders errgroup.Group
	defer func() {
		stop()
		leaders.Wait() // errors are ignored: a leader that failed shows in the measurement
	}()
	for i := range benchControllers {
		leaderClient, err := b.client()
		if err != nil {
			return nil, err
		}
		leaders.Go(func() error {
			defer leaderClient.Close()
			return leader.Run(leadCtx, leader.Options{Client: leaderClient, Name: fmt.Sprint("w-", i), TTL: roleTTL, Roles: idleRoles(roles), Log: slog.New(slog.DiscardHandler)})
		})
	}
	if err := awaitLeaders(ctx, c, roles); err != nil {
		return nil, err
	}
	model.Sleep(ctx, roleWarmUp)
	for range benchRepeats {
		before := b.cpu()
		model.Sleep(ctx, roleCostTime)
		used = append(used, toMillis(b.cpu()-before)/roleCostTime.Seconds())
	}
	return used, nil
}

// idleRoles returns roles whose leader does nothing.
func idleRoles(count int) map[string]leader.Work {
	roles := map[string]leader.Work{}
	for i := range count {
		roles[fmt.Sprint("d-", i)] = func(ctx context.Context, _ *leader.Grant) error {
			<-ctx.Done()
			return nil
		}
	}
	return roles
}

// awaitLeaders waits until the given number of roles have a leader.
func awaitLeaders(ctx context.Context, c *client.Client, roles int) error {
	for ledRoles := -1; ledRoles < roles; {
		var list registry.RoleList
		if _, err := c.Do(ctx, http.MethodGet, registry.RolesPath, nil, &list); err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		ledRoles = 0
		for _, role := range list.Roles {
			if role.Holder != "" {
				ledRoles++
			}
		}
		if !model.Sleep(ctx, rolePoll) {
			return ctx.Err()
		}
	}
	return nil
}

// cpu returns the CPU time that the nodes have used.
func (b *benchGroup) cpu() (used time.Duration) {
	for _, p := range b.processes {
		if usage, err := p.Measure(""); err == nil {
			used += usage.CPU
		}
	}
	return used
}
