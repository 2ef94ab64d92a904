package model

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/history"
)

// Phases of an endpoint in the list.
const (
	Up       = discovery.Up
	Draining = discovery.Draining
	Removed  = discovery.Removed
)

// Member is one endpoint in the list.
type Member = discovery.Member

// List is the complete endpoint list, or a change of it.
type List = discovery.List

const discoverySeed = 0x64697363

// Discovery simulates the discovery service: it passes changes of the endpoint list to
// one agent for each relay. It is safe for concurrent use; its creator closes it.
type Discovery struct {
	world *World
	wg    sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	revision int64
	agents   []*Agent

	// A token bucket that limits the requests for the list, watches included, to all
	// agents together.
	rateLimit  float64 // requests a second; 0 for no limit
	tokens     float64
	lastRefill time.Time
}

// NewDiscovery returns a discovery service without agents. It draws from a seed how
// late each agent learns of a change.
func NewDiscovery(w *World, seed uint64) *Discovery {
	return &Discovery{world: w, random: rand.New(rand.NewPCG(seed, discoverySeed)), revision: 1, lastRefill: time.Now()}
}

// LimitRate limits the requests for the list, watches included, that all agents together
// serve in a second; 0 lifts the limit. Notices are not limited.
func (d *Discovery) LimitRate(perSecond float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rateLimit, d.tokens, d.lastRefill = perSecond, 1, time.Now()
}

// admits reports whether the rate limit allows one more request for the list, and counts
// the request if so.
func (d *Discovery) admits() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rateLimit <= 0 {
		return true
	}
	now := time.Now()
	burst := max(1, d.rateLimit*burstSeconds)
	d.tokens = min(burst, d.tokens+now.Sub(d.lastRefill).Seconds()*d.rateLimit)
	d.lastRefill = now
	if d.tokens < 1 {
		return false
	}
	d.tokens--
	return true
}

// Change puts an endpoint into another phase. Each agent learns of it after a random
// delay of its own, up to maxDelay, unless ctx ends first.
func (d *Discovery) Change(ctx context.Context, id, phase string, maxDelay time.Duration) {
	d.mu.Lock()
	d.revision++
	revision, agents := d.revision, slices.Clone(d.agents)
	delays := make([]time.Duration, len(agents))
	for i := range delays {
		delays[i] = time.Duration(d.random.Float64() * float64(maxDelay))
	}
	d.mu.Unlock()
	d.world.Recorder.Record(history.Event{Kind: history.EndpointChanged, Endpoint: id, Phase: phase})
	for i, agent := range agents {
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			if Sleep(ctx, delays[i]) {
				agent.applyChange(revision, id, phase)
			}
		}()
	}
}

// Close closes all agents and waits for the changes that they have not learned of yet.
// The ctx of each Change must have ended.
func (d *Discovery) Close() {
	for _, agent := range d.agents {
		agent.Close()
	}
	d.wg.Wait()
}
