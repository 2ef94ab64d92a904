package faultlab

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

const (
	registerID       = "lab-probe"           // ID of the member that serves as the register: its cell is the value
	registerInterval = 40 * time.Millisecond // pause between two operations of one client
	registerTimeout  = 20 * time.Second      // for one operation, retries included
	registerClients  = 3
	registerValues   = 60000 // number of values, from 0: the cell of a member is 65535 at most

	heartbeatsInTTL = 3
	consistentQuery = "?consistent=1" // URL query that asks for a linearizable read
)

// register puts an endpoint on the list.
func (g *group) register(ctx context.Context, e *model.Endpoint) error {
	_, err := g.client.Do(ctx, http.MethodPost, registry.MembersPath, registry.Registration{
		ID:      e.ID,
		Address: e.Addr(),
		Zone:    e.Zone,
		Flavor:  e.Upstream.Kind,
		Cell:    e.Upstream.Destination,
		TTLMS:   g.ttl().Milliseconds(),
		Holder:  e.ID,
	}, nil)
	return err
}

// ttl returns the time to live of an endpoint's registration.
func (g *group) ttl() time.Duration { return scenario.Seconds(g.run.scenario.Registry.TTL) }

// changeEndpoint puts an endpoint into another phase, as an operator does.
func (g *group) changeEndpoint(ctx context.Context, e *model.Endpoint, phase string) {
	g.mu.Lock()
	g.withdrawn[e.ID] = phase == model.Removed
	g.mu.Unlock()
	path := registry.MembersPath + "/" + e.ID
	var err error
	switch phase {
	case model.Removed:
		_, err = g.client.Do(ctx, http.MethodDelete, path, nil, nil)
	case model.Up:
		err = g.register(ctx, e)
	default:
		_, err = g.client.Do(ctx, http.MethodPost, path+"/phase", map[string]string{"phase": phase}, nil)
	}
	if err == nil {
		g.run.recorder.Record(history.Event{Kind: history.EndpointChanged, Endpoint: e.ID, Phase: phase})
	}
}

// runClients sends heartbeats for the endpoints, and runs the watchers and the clients
// of the register, until ctx ends.
func (g *group) runClients(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	start := func(work func()) {
		running.Add(1)
		go func() { defer running.Done(); work() }()
	}
	start(func() { g.sendHeartbeats(ctx) })
	for i := range g.nodes {
		start(func() { g.watch(ctx, i) })
	}
	for i := range registerClients {
		start(func() { g.runRegisterClient(ctx, i) })
	}
}

// sendHeartbeats sends the endpoints' heartbeats until ctx ends, and registers those
// that the group does not know.
func (g *group) sendHeartbeats(ctx context.Context) {
	byID := map[string]*model.Endpoint{}
	for _, e := range g.run.endpoints {
		byID[e.ID] = e
	}
	for model.Sleep(ctx, g.ttl()/heartbeatsInTTL) {
		var heartbeats []registry.Heartbeat
		for id := range byID {
			if g.sendsHeartbeats(id) {
				heartbeats = append(heartbeats, registry.Heartbeat{ID: id, Holder: id})
			}
		}
		g.sendBatch(ctx, heartbeats, byID)
	}
}

// sendsHeartbeats reports whether an endpoint sends heartbeats now.
func (g *group) sendsHeartbeats(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.muted[id] && !g.withdrawn[id]
}

// sendBatch sends heartbeats, and registers the endpoints that the group does not know.
// A failed call is not repeated, since the next batch covers the same endpoints.
func (g *group) sendBatch(ctx context.Context, heartbeats []registry.Heartbeat, byID map[string]*model.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, g.ttl())
	defer cancel()
	var answer struct{ Unknown []string }
	if _, err := g.client.Do(ctx, http.MethodPost, registry.HeartbeatsPath, heartbeats, &answer); err != nil {
		return
	}
	for _, id := range answer.Unknown {
		if g.sendsHeartbeats(id) {
			_ = g.register(ctx, byID[id])
		}
	}
}

// watch follows the list as an agent does, connecting to one node first, and records
// the updates that it receives.
func (g *group) watch(ctx context.Context, firstNode int) {
	addrs := g.proxyAddrs()
	c, err := client.New(append(addrs[firstNode:len(addrs):len(addrs)], addrs[:firstNode]...), len(g.nodes), slog.New(slog.DiscardHandler))
	if err != nil {
		g.run.failure.set(err)
		return
	}
	defer c.Close()
	c.Follow(ctx, client.Position{}, func(update client.Update) {
		phase := history.ListChange
		if update.Complete {
			phase = history.ListComplete
		}
		g.run.recorder.Record(history.Event{Kind: history.ListUpdate, Relay: fmt.Sprint("watcher-", firstNode+1), Text: update.Epoch,
			DueAt: update.Revision, Phase: phase, FirstMessage: hashMembers(update.Members)})
	}, func(bool) {})
}

// hashMembers returns a hash of the ID, HostPort, Phase and Cell of each member of an
// update. Their order counts: the same members in another order have another hash.
func hashMembers(members []discovery.Member) string {
	hash := fnv.New64a()
	for _, m := range members {
		fmt.Fprintln(hash, m.ID, m.HostPort, m.Phase, m.Cell)
	}
	return strconv.FormatUint(hash.Sum64(), 16)
}

// runRegisterClient writes and reads the register, one operation after the other, until
// ctx ends.
func (g *group) runRegisterClient(ctx context.Context, number int) {
	random := newRandom(g.run.seed, fmt.Sprint("probe ", number))
	for model.Sleep(ctx, registerInterval) {
		e := history.Event{Kind: history.RegisterOperation, Relay: fmt.Sprint("probe-", number+1), DueAt: g.run.recorder.Now()}
		if err := g.runRegisterOperation(ctx, random, &e); err == nil {
			e.Status = 1 // 0 means that the operation may or may not have taken effect
		}
		g.run.recorder.Record(e)
	}
}

// runRegisterOperation reads or writes the register, as drawn, and describes the
// operation in e.
func (g *group) runRegisterOperation(ctx context.Context, random *rand.Rand, e *history.Event) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if random.IntN(2) == 0 {
		e.Text, e.ValidFor = history.OpWrite, g.lastValue.Add(1)%registerValues
		_, err := g.client.Do(ctx, http.MethodPost, registry.MembersPath, registry.Registration{ID: registerID,
			Address: net.JoinHostPort(g.run.ip, strconv.Itoa(lockPort)), Zone: "lab", Flavor: "probe", Cell: int(e.ValidFor)}, nil)
		return err
	}
	e.Text = history.OpRead
	var members []registry.Member
	_, err := g.client.Do(ctx, http.MethodGet, registry.MembersPath+consistentQuery, nil, &members)
	for _, m := range members {
		if m.ID == registerID {
			e.ValidFor = int64(m.Cell)
		}
	}
	return err
}
