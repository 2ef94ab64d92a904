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

const (
	recoveryMembers = 300
	recoveryPoll    = 5 * time.Millisecond
)

// recoveringFleet is the agents and watchers that reconnect to the list service after
// an outage.
type recoveringFleet struct {
	agents   []*agent.Agent
	watchers watcherSet
}

// agentsUp reports whether all agents are connected.
func (f *recoveringFleet) agentsUp() bool {
	return !slices.ContainsFunc(f.agents, func(a *agent.Agent) bool { return !a.State().Up })
}

func (f *recoveringFleet) close() {
	for _, a := range f.agents {
		a.Close()
	}
}

// startAgents starts the agents that reconnect after the outage.
func (b *registryBench) startAgents(f *recoveringFleet) error {
	count := b.options.ReturningAgents
	for i := range count {
		a, err := agent.Start(agent.Options{Listen: "127.0.0.1:0", Folder: filepath.Join(b.dir, "agents", fmt.Sprint(i)), Nodes: b.http, Fleet: count,
			Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		f.agents = append(f.agents, a)
	}
	return nil
}

// measureRecovery measures how soon a whole fleet reconnects after an outage. The outage
// of the options should be so long that every agent and watcher retries at its longest
// interval when the group starts again.
func (b *registryBench) measureRecovery(ctx context.Context, watchers int) error {
	c, err := b.startReady(ctx, benchNodes, recoveryMembers)
	if err != nil {
		return err
	}
	defer b.stop()
	defer c.Close()
	fleet := &recoveringFleet{}
	defer fleet.close()
	if err := b.startAgents(fleet); err != nil {
		return err
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer func() { cancel(); fleet.watchers.wait() }()
	fleet.watchers.start(watchCtx, b.http, watchers, false)
	if err := fleet.watchers.awaitOpen(ctx, 0); err != nil {
		return err
	}
	if err := awaitTrue(ctx, fleet.agentsUp); err != nil {
		return err
	}
	var agentsBack, allBack, elections []float64
	for range benchRepeats {
		recovery, err := b.timeRecovery(ctx, fleet)
		if err != nil {
			return err
		}
		agentsBack = append(agentsBack, recovery.agentsBack)
		allBack = append(allBack, recovery.allBack)
		elections = append(elections, recovery.elections)
	}
	name := fmt.Sprintf("%d agents and %d watchers after %v without a group", b.options.ReturningAgents, watchers, b.options.Outage)
	b.figures.add(name+": ms from its start until all agents are back", agentsBack)
	b.figures.add(name+": ms until all watchers are back too", allBack)
	b.figures.add(name+": elections after the first leader", elections)
	return nil
}

// recoveryResult has the times of one recovery in milliseconds, and the number of
// elections after the first one, which would be due to the load of the reconnecting
// fleet.
type recoveryResult struct {
	agentsBack, allBack, elections float64
}

// timeRecovery stops the group for the outage, starts it again and times the recovery.
// It goes on counting elections for as long again as the recovery took.
func (b *registryBench) timeRecovery(ctx context.Context, fleet *recoveringFleet) (result recoveryResult, err error) {
	b.stop()
	opened := fleet.watchers.opened.Load()
	model.Sleep(ctx, b.options.Outage)
	restartedAt := time.Now()
	if err := b.startNodes(); err != nil {
		return result, err
	}
	var firstTerm uint64
	hasLeader := func() (ok bool) { firstTerm, ok = b.highestTerm(); return ok }
	if err := awaitTrue(ctx, hasLeader); err != nil {
		return result, err
	}
	if err := awaitTrue(ctx, fleet.agentsUp); err != nil {
		return result, err
	}
	result.agentsBack = toMillis(time.Since(restartedAt))
	if err := fleet.watchers.awaitOpen(ctx, opened); err != nil {
		return result, err
	}
	result.allBack = toMillis(time.Since(restartedAt))
	model.Sleep(ctx, time.Since(restartedAt))
	lastTerm, _ := b.highestTerm()
	result.elections = float64(lastTerm - firstTerm)
	return result, nil
}

// awaitTrue waits until a condition holds, or ctx ends.
func awaitTrue(ctx context.Context, condition func() bool) error {
	for !condition() {
		if !model.Sleep(ctx, recoveryPoll) {
			return ctx.Err()
		}
	}
	return nil
}
