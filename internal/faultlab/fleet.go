package faultlab

import (
	"math"
	"math/rand/v2"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
)

const (
	weightExponent  = 0.7 // a destination's weight is its rank to the power of minus this
	serviceSeconds  = 0.4 // time that a call occupies a server; the number of servers follows from it
	spareServers    = 2
	minLatency      = 0.85 // lowest factor of the service time; latencySpread is the range above it
	latencySpread   = 0.3
	minLoadMillis   = 140 // shortest interval of load reports; loadMillisRange is the range above it
	loadMillisRange = 580
)

// fleetPlan is the upstreams and endpoints that follow from a scenario and a seed.
type fleetPlan struct {
	zones     []string
	upstreams []plannedUpstream
	endpoints []plannedEndpoint
	weights   []float64 // relative share of each upstream in the traffic
}

// plannedUpstream describes one upstream.
type plannedUpstream struct {
	kind               string
	rate               float64 // calls a second that it accepts
	latencyFactor      float64
	hasWindow          bool // its rate limit counts calls over windows of time
	endpoints          int
	retryAfterFraction float64
	loadInterval       time.Duration // interval between two load reports
}

// plannedEndpoint describes one endpoint.
type plannedEndpoint struct {
	destination int
	zone        string
	servers     int
}

func (f *fleetPlan) relayZone(relay int) string { return f.zones[relay%len(f.zones)] }

// planFleet draws upstreams and endpoints: a few upstreams get much of the traffic
// and have more endpoints, in different zones.
func planFleet(s *scenario.Scenario, seed uint64) *fleetPlan {
	random := newRandom(seed, "fleet")
	settings := &s.Upstreams
	plan := &fleetPlan{zones: s.Fleet.Zones}
	totalWeight := 0.0
	for i := range settings.Destinations {
		weight := 1 / math.Pow(float64(i+1), weightExponent)
		plan.weights = append(plan.weights, weight)
		totalWeight += weight
	}
	counts := make([]int, settings.Destinations)
	for i := range settings.Endpoints { // one each, then further ones for the first, which are the busiest
		counts[i%settings.Destinations]++
	}
	for destination, weight := range plan.weights {
		upstream := drawUpstream(random, settings, destination, s.Load.Rate*weight/totalWeight)
		upstream.endpoints = counts[destination]
		plan.upstreams = append(plan.upstreams, upstream)
		servers := int(math.Ceil(upstream.rate*serviceSeconds*upstream.latencyFactor/float64(upstream.endpoints))) + spareServers
		for k := range upstream.endpoints {
			plan.endpoints = append(plan.endpoints, plannedEndpoint{destination, plan.zones[(destination+k)%len(plan.zones)], servers})
		}
	}
	return plan
}

// drawUpstream draws one upstream, given its mean load in calls a second. The first
// upstreams, which get the highest load, are telcos.
func drawUpstream(random *rand.Rand, settings *scenario.Upstreams, destination int, meanLoad float64) plannedUpstream {
	upstream := plannedUpstream{
		kind:               model.Newsagent,
		latencyFactor:      minLatency + latencySpread*random.Float64(),
		retryAfterFraction: 0.05 + 0.32*random.Float64(),
		loadInterval:       time.Duration(minLoadMillis+loadMillisRange*random.Float64()) * time.Millisecond,
	}
	minRate := 2.7 + 2*random.Float64()
	telcos := int(math.Round(settings.Telcos * float64(settings.Destinations)))
	if destination < telcos {
		upstream.kind, upstream.hasWindow = model.Telco, true
		upstream.retryAfterFraction = 0.53 + 0.25*random.Float64()
		minRate = 2.1 + 1.8*random.Float64()
	}
	upstream.rate = max(minRate, meanLoad*settings.CapacityFactor)
	return upstream
}
