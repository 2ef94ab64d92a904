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

// Phases of an endpoint on the list.
const (
	Up       = discovery.Up
	Draining = discovery.Draining
	Removed  = discovery.Removed
)

// Member is one endpoint on the list.
type Member = discovery.Member

// List is the endpoint list, or a change of it.
type List = discovery.List

const discoverySeed = 0x64697363

// Discovery holds the endpoint list and gives each relay an agent that learns of
// its changes. It is safe for concurrent use; its creator closes it.
type Discovery struct {
	world *World
	wg    sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	revision int64
	agents   []*Agent

	// A token bucket over the calls to all agents.
	rateLimit  float64 // calls a second; 0 for no limit
	tokens     float64
	lastRefill time.Time
}

// NewDiscovery returns one without endpoints.
func NewDiscovery(w *World, seed uint64) *Discovery {
	return &Discovery{world: w, random: rand.New(rand.NewPCG(seed, discoverySeed)), revision: 1, lastRefill: time.Now()}
}

// LimitRate limits the calls a second that all agents serve together; 0 lifts the
// limit.
func (d *Discovery) LimitRate(perSecond float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rateLimit, d.tokens, d.lastRefill = perSecond, 1, time.Now()
}

// admits reports whether one more call is served.
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

// Change puts an endpoint into another phase. Each agent learns of it after a delay
// of its own, up to maxDelay, unless ctx ends first.
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

// Close ends all agents and waits for changes on their way; the ctx of each Change
// must have ended.
func (d *Discovery) Close() {
	for _, agent := range d.agents {
		agent.Close()
	}
	d.wg.Wait()
}
