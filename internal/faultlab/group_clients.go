package faultlab

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

// register has an endpoint on the list.
func (g *group) register(ctx context.Context, e *model.Endpoint) error {
	_, err := g.client.Do(ctx, http.MethodPost, registry.MembersPath, registry.Registration{ID: e.ID, Address: e.Addr(), Zone: e.Zone,
		Flavor: e.Upstream.Kind, Cell: e.Upstream.Destination, TTLMS: g.ttl().Milliseconds(), Holder: e.ID}, nil)
	return err
}

func (g *group) ttl() time.Duration { return scenario.Seconds(g.run.scenario.Registry.TTL) }

// changeEndpoint puts a member into another phase, as an operator does.
func (g *group) changeEndpoint(ctx context.Context, e *model.Endpoint, phase string) {
	g.mu.Lock()
	g.withdrawn[e.ID] = phase == model.Removed
	g.mu.Unlock()
	var err error
	switch phase {
	case model.Removed:
		_, err = g.client.Do(ctx, http.MethodDelete, registry.MembersPath+"/"+e.ID, nil, nil)
	case model.Up:
		err = g.register(ctx, e)
	default:
		_, err = g.client.Do(ctx, http.MethodPost, registry.MembersPath+"/"+e.ID+"/phase", map[string]string{"phase": phase}, nil)
	}
	if err == nil {
		g.run.recorder.Record(history.Event{Kind: history.EndpointChanged, Endpoint: e.ID, Phase: phase})
	}
}

// serve keeps the endpoints registered, the watchers watching and the register
// used, until ctx ends.
func (g *group) serve(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Add(1)
	go func() { defer wg.Done(); g.sendHeartbeats(ctx) }()
	for i := range g.nodes { // a watcher that begins at each node
		wg.Add(1)
		go func() { defer wg.Done(); g.watch(ctx, i) }()
	}
	for i := range 3 {
		wg.Add(1)
		go func() { defer wg.Done(); g.useRegister(ctx, i) }()
	}
}

// sendHeartbeats sends the endpoints' heartbeats, and registers those anew that the group
// does not know.
func (g *group) sendHeartbeats(ctx context.Context) {
	byID := map[string]*model.Endpoint{}
	for _, e := range g.run.endpoints {
		byID[e.ID] = e
	}
	for model.Sleep(ctx, g.ttl()/3) {
		var beats []registry.Heartbeat
		g.mu.Lock()
		for id := range byID {
			if !g.muted[id] && !g.withdrawn[id] {
				beats = append(beats, registry.Heartbeat{ID: id, Holder: id})
			}
		}
		g.mu.Unlock()
		var a struct{ Unknown []string }
		short, cancel := context.WithTimeout(ctx, g.ttl())
		if _, err := g.client.Do(short, http.MethodPost, registry.HeartbeatsPath, beats, &a); err == nil {
			for _, id := range a.Unknown {
				g.mu.Lock()
				off := g.muted[id] || g.withdrawn[id]
				g.mu.Unlock()
				if !off {
					g.register(short, byID[id]) // asked again with the next heartbeat
				}
			}
		}
		cancel()
	}
}

// watch follows the list as an agent does, beginning at one node, and records
// what it hears.
func (g *group) watch(ctx context.Context, i int) {
	var nodes []string
	for k := range g.nodes {
		nodes = append(nodes, g.nodes[(i+k)%len(g.nodes)].proxy.Addr())
	}
	c, err := client.New(nodes, len(g.nodes), slog.New(slog.DiscardHandler))
	if err != nil {
		g.run.fail(err)
		return
	}
	defer c.Close()
	c.Follow(ctx, client.Position{}, func(n client.Update) {
		h := fnv.New64a()
		for _, m := range n.Members {
			fmt.Fprintln(h, m.ID, m.HostPort, m.Phase, m.Cell)
		}
		phase := "change"
		if n.Complete {
			phase = "whole"
		}
		g.run.recorder.Record(history.Event{Kind: history.ListUpdate, Relay: fmt.Sprint("watcher-", i+1), Text: n.Epoch, DueAt: n.Revision, Phase: phase,
			FirstMessage: strconv.FormatUint(h.Sum64(), 16)})
	}, func(bool) {})
}

// useRegister writes and reads a register in the group, one operation after the other.
func (g *group) useRegister(ctx context.Context, i int) {
	d := newRandom(g.run.seed, fmt.Sprint("probe ", i))
	addr := net.JoinHostPort(g.run.ip, strconv.Itoa(lockPort))
	for model.Sleep(ctx, registerInterval) {
		e := history.Event{Kind: history.RegisterOperation, Relay: fmt.Sprint("probe-", i+1), DueAt: g.run.recorder.Now()}
		short, cancel := context.WithTimeout(ctx, registerTimeout)
		var err error
		if d.IntN(2) == 0 {
			e.Text, e.ValidFor = "write", g.lastValue.Add(1)
			_, err = g.client.Do(short, http.MethodPost, registry.MembersPath, registry.Registration{ID: registerID, Address: addr, Zone: "lab", Flavor: "probe", Cell: int(e.ValidFor % 60000)}, nil)
			e.ValidFor %= 60000
		} else {
			e.Text = "read"
			var all []registry.Member
			_, err = g.client.Do(short, http.MethodGet, registry.MembersPath+"?consistent=1", nil, &all)
			for _, m := range all {
				if m.ID == registerID {
					e.ValidFor = int64(m.Cell)
				}
			}
		}
		cancel()
		if e.Status = 1; err != nil {
			e.Status = 0 // it may or may not have been taken
		}
		g.run.recorder.Record(e)
	}
}
