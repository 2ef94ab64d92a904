package faultlab

import (
	"math"
	"time"

	"plovershore/internal/faultlab/scenario"
)

// fleetPlan is what a scenario and a seed make of the partners.
type fleetPlan struct {
	zones     []string
	upstreams []plannedUpstream
	endpoints []plannedEndpoint
	weights   []float64
}

type plannedUpstream struct {
	kind               string
	rate               float64 // calls a second that it takes
	latencyFactor      float64
	hasWindow          bool
	endpoints          int
	retryAfterFraction float64
	loadReportInterval time.Duration
}

type plannedEndpoint struct {
	destination int
	zone        string
	servers     int
}

func (f *fleetPlan) relayZone(i int) string { return f.zones[i%len(f.zones)] }

// planFleet draws partners and endpoints: a few partners get much of the
// traffic and have more endpoints, which stand in different zones.
func planFleet(s *scenario.Scenario, seed uint64) *fleetPlan {
	r := newRandom(seed, "fleet")
	f := &fleetPlan{zones: s.Fleet.Zones}
	all := 0.0
	for i := range s.Upstreams.Destinations {
		w := 1 / math.Pow(float64(i+1), 0.7)
		f.weights = append(f.weights, w)
		all += w
	}
	telcos := int(math.Round(s.Upstreams.Telcos * float64(s.Upstreams.Destinations)))
	counts := make([]int, s.Upstreams.Destinations)
	for i := range s.Upstreams.Endpoints { // one each, then more for the busy ones
		counts[i%s.Upstreams.Destinations]++
	}
	for cell, w := range f.weights {
		mean := s.Load.Rate * w / all
		p := plannedUpstream{kind: "agent", latencyFactor: 0.85 + 0.3*r.Float64(), endpoints: counts[cell], retryAfterFraction: 0.05 + 0.32*r.Float64(),
			loadReportInterval: time.Duration(140+580*r.Float64()) * time.Millisecond}
		floor := 2.7 + 2*r.Float64()
		if cell < telcos { // the large ones
			p.kind, p.hasWindow, p.retryAfterFraction, floor = "telco", true, 0.53+0.25*r.Float64(), 2.1+1.8*r.Float64()
		}
		p.rate = max(floor, mean*s.Upstreams.CapacityFactor)
		f.upstreams = append(f.upstreams, p)
		servers := int(math.Ceil(p.rate*0.4*p.latencyFactor/float64(p.endpoints))) + 2
		for k := range counts[cell] {
			f.endpoints = append(f.endpoints, plannedEndpoint{cell, f.zones[(cell+k)%len(f.zones)], servers})
		}
	}
	return f
}
