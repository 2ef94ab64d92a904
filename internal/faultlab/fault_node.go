package faultlab

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/registry"
)

// targets gives the nodes that a fault strikes now.
func (g *group) targets(s Step) []*node {
	var out []*node
	switch s.Fault.Node {
	case "all":
		return g.nodes
	case "leader", "follower":
		leader := g.leader()
		for _, n := range g.nodes {
			if (n == leader) == (s.Fault.Node == "leader") {
				out = append(out, n)
			}
		}
		return out[:min(1, len(out))]
	}
	for _, i := range s.Targets {
		out = append(out, g.nodes[i])
	}
	return out
}

// leader is the node that says it leads; nil for none.
func (g *group) leader() *node {
	c := http.Client{Timeout: 500 * time.Millisecond}
	for _, n := range g.nodes {
		resp, err := c.Get("http://" + n.http + registry.StatusPath)
		if err != nil {
			continue
		}
		var s registry.Status
		err = json.NewDecoder(resp.Body).Decode(&s)
		resp.Body.Close()
		if err == nil && s.RaftRole == "Leader" {
			return n
		}
	}
	return nil
}

// strike carries out a fault on the group.
func (g *group) strike(ctx context.Context, s Step) error {
	switch s.Fault.Kind {
	case "lapse":
		g.setMuted(s.Targets, true)
		g.run.waitUntilUndone(ctx, s)
		g.setMuted(s.Targets, false)
		return nil
	case "restore":
		var text []byte
		if _, err := g.client.Do(ctx, http.MethodGet, registry.SnapshotPath, nil, &text); err != nil {
			return nil // the load is over
		}
		g.run.waitUntilUndone(ctx, s)
		e := history.Event{Kind: history.RegisterOperation, Relay: "operator", Text: "restore", DueAt: g.run.recorder.Now(), Status: 1}
		if _, err := g.client.Do(ctx, http.MethodPut, registry.SnapshotPath, text, nil); err != nil {
			e.Status = 0
		}
		g.run.recorder.Record(e)
		return nil
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all error
	for _, n := range g.targets(s) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.busy.Lock()
			defer n.busy.Unlock()
			switch s.Fault.Kind {
			case "node-kill":
				n.signal(syscall.SIGKILL)
				g.run.waitUntilUndone(ctx, s)
				if err := n.start(); err != nil {
					mu.Lock()
					all = errors.Join(all, err)
					mu.Unlock()
				}
			case "node-pause":
				n.signal(syscall.SIGSTOP)
				g.run.waitUntilUndone(ctx, s)
				n.signal(syscall.SIGCONT)
			case "node-cut":
				n.setCut(true)
				g.run.waitUntilUndone(ctx, s)
				n.setCut(false)
			}
		}()
	}
	wg.Wait()
	return all
}

func (g *group) setMuted(ends []int, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range ends {
		g.muted[g.run.endpoints[i].ID] = on
	}
}
