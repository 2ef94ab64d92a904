package faultlab

import (
	"context"
	"net/http"
	"syscall"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/registry"
)

// injectServiceFault injects a step's fault into the list service.
func (g *group) injectServiceFault(ctx context.Context, step Step) error {
	switch step.Fault.Kind {
	case scenario.FaultExpiry:
		g.setMuted(step.Targets, true)
		g.run.waitUntilUndone(ctx, step)
		g.setMuted(step.Targets, false)
		return nil
	case scenario.FaultRestore:
		g.restore(ctx, step)
		return nil
	}
	return g.run.forEach(g.targets(step), func(i int) error { return g.injectNodeFault(ctx, step, g.nodes[i]) })
}

// injectNodeFault injects a step's fault into one node.
func (g *group) injectNodeFault(ctx context.Context, step Step, n *node) error {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	switch step.Fault.Kind {
	case scenario.FaultNodeKill:
		n.signal(syscall.SIGKILL)
		g.run.waitUntilUndone(ctx, step)
		return n.start()
	case scenario.FaultNodeSuspend:
		n.signal(syscall.SIGSTOP)
		g.run.waitUntilUndone(ctx, step)
		n.signal(syscall.SIGCONT)
	case scenario.FaultNodeCut:
		n.setCut(true)
		g.run.waitUntilUndone(ctx, step)
		n.setCut(false)
	}
	return nil
}

// targets returns the numbers of the nodes that a step affects.
func (g *group) targets(step Step) []int {
	leader := -1
	if step.Fault.Node == scenario.NodeLeader || step.Fault.Node == scenario.NodeFollower {
		leader = g.leader()
	}
	for i := range g.nodes {
		switch {
		case step.Fault.Node == scenario.NodeLeader && i == leader:
			return []int{i}
		case step.Fault.Node == scenario.NodeFollower && i != leader:
			return []int{i}
		}
	}
	switch step.Fault.Node {
	case scenario.NodeLeader, scenario.NodeFollower:
		return nil
	case scenario.NodeAll:
		numbers := make([]int, len(g.nodes))
		for i := range numbers {
			numbers[i] = i
		}
		return numbers
	}
	return step.Targets
}

// leader returns the number of the node that reports itself as the leader, or -1.
func (g *group) leader() int {
	addrs := make([]string, len(g.nodes))
	for i, n := range g.nodes {
		addrs[i] = n.http
	}
	return findLeader(addrs)
}

// restore takes a backup of the list, and restores it when the step is to be undone.
func (g *group) restore(ctx context.Context, step Step) {
	var backup []byte
	if _, err := g.client.Do(ctx, http.MethodGet, registry.SnapshotPath, nil, &backup); err != nil {
		return // no answer: the load is over
	}
	g.run.waitUntilUndone(ctx, step)
	e := history.Event{Kind: history.RegisterOperation, Relay: "operator", Text: history.OpRestore, DueAt: g.run.recorder.Now(), Status: 1}
	if _, err := g.client.Do(ctx, http.MethodPut, registry.SnapshotPath, backup, nil); err != nil {
		e.Status = 0
	}
	g.run.recorder.Record(e)
}

// setMuted makes endpoints stop sending heartbeats, or send them again.
func (g *group) setMuted(endpoints []int, muted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range endpoints {
		g.muted[g.run.endpoints[i].ID] = muted
	}
}
