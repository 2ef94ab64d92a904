package faultlab

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/registry/agent"
)

// measureComeback measures the return of a whole fleet: agents and watchers whose
// group was gone for so long that each tries as seldom as it ever does. It
// counts the elections after the first leader, which the return would have
// caused, for as long again as the return took.
func (b *benchGroup) measureComeback(ctx context.Context, watchers int, o RegistryBenchOptions, add func(Spread)) error {
	c, err := b.startReady(ctx, 3, 300)
	if err != nil {
		return err
	}
	defer b.stop()
	defer c.Close()
	var agents []*agent.Agent
	defer func() {
		for _, a := range agents {
			a.Close()
		}
	}()
	for i := range o.ReturningAgents {
		a, err := agent.Start(agent.Options{Listen: "127.0.0.1:0", Folder: filepath.Join(b.dir, "agents", fmt.Sprint(i)), Nodes: b.http, Fleet: o.ReturningAgents,
			Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		agents = append(agents, a)
	}
	up := func() bool {
		return !slices.ContainsFunc(agents, func(a *agent.Agent) bool { return !a.State().Up })
	}
	until := func(cond func() bool) error {
		for !cond() {
			if !model.Sleep(ctx, 5*time.Millisecond) {
				return ctx.Err()
			}
		}
		return nil
	}
	crowdCtx, cancel := context.WithCancel(ctx)
	w := &watcherSet{}
	defer func() { cancel(); w.wg.Wait() }()
	w.start(crowdCtx, b.http, watchers, false)
	if err := w.awaitOpen(ctx, 0); err != nil {
		return err
	}
	if err := until(up); err != nil {
		return err
	}
	var agentsBack, allBack, elections []float64
	for range 3 {
		b.stop()
		from := w.opened.Load()
		model.Sleep(ctx, o.Outage)
		began := time.Now()
		since := func() float64 { return time.Since(began).Seconds() * 1e3 }
		for i := range b.processes {
			if err := b.startNode(i); err != nil {
				return err
			}
		}
		var first uint64
		if err := until(func() (led bool) { first, led = b.term(); return led }); err != nil {
			return err
		}
		if err := until(up); err != nil {
			return err
		}
		agentsBack = append(agentsBack, since())
		if err := w.awaitOpen(ctx, from); err != nil {
			return err
		}
		allBack = append(allBack, since())
		model.Sleep(ctx, time.Since(began))
		last, _ := b.term()
		elections = append(elections, float64(last-first))
	}
	name := fmt.Sprintf("%d agents and %d watchers after %v without a group", o.ReturningAgents, watchers, o.Outage)
	add(newSpread(name+": ms from its start until all agents are back", agentsBack))
	add(newSpread(name+": ms until all watchers are back too", allBack))
	add(newSpread(name+": elections after the first leader", elections))
	return nil
}
