package faultlab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"plovershore/internal/faultlab/link"
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

const benchControllers = 5

// benchControllerSet are processes that hold list-keeper among them.
type benchControllerSet struct {
	group     *benchGroup
	program   string
	ttl       time.Duration
	logs      *os.File
	processes map[string]*process.Process
	links     map[string][]*link.Link // of each warden to each node; none where nobody is cut off
	client    *client.Client
}

// addLinks puts links between a warden and the nodes.
func (w *benchControllerSet) addLinks(net *link.Net, name string) error {
	for _, node := range w.group.http {
		w.group.port += 2 // a node has two
		l, err := net.Listen(name, node, fmt.Sprintf("%s:%d", w.group.ip, w.group.port), node, 1, nil)
		if err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		w.links[name] = append(w.links[name], l)
	}
	return nil
}

// setCut cuts a warden off, or heals it.
func (w *benchControllerSet) setCut(name string, on bool) {
	for _, l := range w.links[name] {
		l.SetFaults(link.ToServer, link.Faults{Cut: on})
		l.SetFaults(link.ToClient, link.Faults{Cut: on})
	}
}

// measureCuts cuts the holder off again and again, and gives how long it took until the
// next one held the duty.
func (w *benchControllerSet) measureCuts(ctx context.Context, n int) (took []float64, err error) {
	w.links = map[string][]*link.Link{}
	defer func() {
		for _, p := range w.processes {
			p.Kill()
		}
		for _, all := range w.links {
			for _, l := range all {
				l.Close()
			}
		}
	}()
	net := link.NewNet()
	for i := range benchControllers {
		name := fmt.Sprint("w-", i)
		if err := w.addLinks(net, name); err != nil {
			return nil, err
		}
		if err := w.start(name); err != nil {
			return nil, err
		}
	}
	token := int64(0)
	for range n {
		d, err := w.awaitGrant(ctx, token, benchControllers)
		if err != nil {
			return took, err
		}
		model.Sleep(ctx, w.ttl+200*time.Millisecond) // as in kills
		began := time.Now()
		w.setCut(d.Controller, true)
		_, err = w.awaitGrant(ctx, d.Token, 0)
		if err != nil {
			return took, err
		}
		took = append(took, time.Since(began).Seconds()*1e3)
		token = d.Token
		w.setCut(d.Controller, false)
	}
	return took, nil
}

func (w *benchControllerSet) start(name string) error {
	nodes := slices.Clone(w.group.http)
	for i, l := range w.links[name] {
		nodes[i] = l.Addr()
	}
	p, err := process.Start(name, w.program, []string{"--nodes", strings.Join(nodes, ","), "--name", name, "--ttl", w.ttl.String()}, nil, w.logs)
	if err != nil {
		return err
	}
	w.processes[name] = p
	return nil
}

// awaitGrant waits for a grant after a token, and for as many wardens as there are.
func (w *benchControllerSet) awaitGrant(ctx context.Context, after int64, sessions int) (registry.Role, error) {
	revision := int64(0)
	for ctx.Err() == nil {
		var l registry.RoleList
		if _, err := w.client.Do(ctx, http.MethodGet, fmt.Sprintf("%s?after=%d&wait_ms=1000", registry.RolesPath, revision), nil, &l); err != nil {
			return registry.Role{}, fmt.Errorf("bench: %w", err)
		}
		revision = l.Revision
		for _, d := range l.Roles {
			if d.Name == leader.RegistrationExpiry && d.Holder != "" && d.Token > after && len(l.Sessions) >= sessions {
				return d, nil
			}
		}
	}
	return registry.Role{}, ctx.Err()
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

// measureKills ends the holder again and again, and gives how long nobody held the duty.
func (w *benchControllerSet) measureKills(ctx context.Context, n int, s syscall.Signal) (took []float64, err error) {
	defer func() {
		for _, p := range w.processes {
			p.Kill()
		}
	}()
	for i := range benchControllers {
		if err := w.start(fmt.Sprint("w-", i)); err != nil {
			return nil, err
		}
	}
	token := int64(0)
	for k := range n {
		d, err := w.awaitGrant(ctx, token, benchControllers)
		if err != nil {
			return took, err
		}
		if s == syscall.SIGKILL { // until it counts as one that does not kill its holder
			model.Sleep(ctx, w.ttl+200*time.Millisecond)
		}
		began := time.Now()
		if err := w.processes[d.Controller].Signal(s); err != nil {
			return took, err
		}
		if _, err := w.awaitGrant(ctx, d.Token, 0); err != nil {
			return took, err
		}
		took = append(took, time.Since(began).Seconds()*1e3)
		token = d.Token
		w.processes[d.Controller].Kill()
		if err := w.start(fmt.Sprintf("%s.%d", strings.SplitN(d.Controller, ".", 2)[0], k)); err != nil {
			return took, err
		}
		delete(w.processes, d.Controller)
	}
	return took, nil
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
