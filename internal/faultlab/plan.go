package faultlab

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"plovershore/internal/faultlab/scenario"
)

// Step is one fault at one moment, with what it strikes. A plan is a function
// of scenario and seed alone, so a run can be played again.
type Step struct {
	At      time.Duration
	Until   time.Duration // when it is undone; 0 for never
	Fault   scenario.Fault
	Targets []int // relays, endpoints or partners, by number
	Draw    uint64
}

func (s Step) String() string {
	text := fmt.Sprintf("%6.2fs %s", s.At.Seconds(), s.Fault.Kind)
	if s.Fault.Zone != "" {
		text += " zone " + s.Fault.Zone
	}
	if s.Fault.Way != "" {
		text += " " + s.Fault.Way
	}
	if s.Fault.Node != "" {
		text += " " + s.Fault.Node
		s.Targets = nil
	}
	if s.Fault.Folder != "" {
		text += " folder " + s.Fault.Folder
	}
	if len(s.Targets) > 0 {
		text += " " + scenario.Kinds[s.Fault.Kind] + " " + strings.Trim(fmt.Sprint(s.Targets), "[]")
	}
	if s.Until > 0 {
		text += fmt.Sprintf(" until %.2fs", s.Until.Seconds())
	}
	return text
}

func seeded(seed uint64, what string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(what))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Plan draws the schedule of a scenario.
func Plan(s *scenario.Scenario, seed uint64) []Step {
	f := buildFleet(s, seed)
	var steps []Step
	for i, fault := range s.Faults {
		r := seeded(seed, fmt.Sprintf("fault %d", i))
		for at := fault.At; at < s.Seconds; at += fault.Every {
			steps = append(steps, strike(s, f, fault, at, r)...)
			if fault.Every <= 0 {
				break
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// strike draws whom one fault strikes, and when each.
func strike(s *scenario.Scenario, f *fleet, fault scenario.Fault, at float64, r *rand.Rand) []Step {
	var could []int
	switch scenario.Kinds[fault.Kind] {
	case "relay":
		could = pickable(s.Fleet.Relays, fault.Relays, func(i int) bool { return fault.Zone == "" || f.relayZone(i) == fault.Zone })
	case "warden":
		could = pickable(s.Registry.Wardens, nil, func(int) bool { return true })
	case "node":
		could = pickable(s.Registry.Nodes, nil, func(int) bool { return true })
	case "endpoint", "registration":
		could = pickable(len(f.ends), nil, func(i int) bool {
			e := f.ends[i]
			return (fault.Zone == "" || e.zone == fault.Zone) && (len(fault.Cells) == 0 || slices.Contains(fault.Cells, e.cell)) &&
				(len(fault.Kinds) == 0 || slices.Contains(fault.Kinds, f.parts[e.cell].kind))
		})
	case "partner":
		could = pickable(len(f.parts), fault.Cells, func(i int) bool { return len(fault.Kinds) == 0 || slices.Contains(fault.Kinds, f.parts[i].kind) })
	case "link", "discovery":
		could = pickable(s.Fleet.Relays, fault.Relays, func(int) bool { return true })
	}
	if share := fault.Share; share > 0 && len(could) > 0 {
		r.Shuffle(len(could), func(a, b int) { could[a], could[b] = could[b], could[a] })
		could = could[:max(1, int(math.Round(share*float64(len(could)))))]
		slices.Sort(could)
	}
	step := Step{At: scenario.Secs(at), Fault: fault, Targets: could}
	if fault.For > 0 {
		step.Until = scenario.Secs(at + fault.For)
	}
	if fault.Spread <= 0 || len(could) < 2 {
		step.Draw = r.Uint64()
		return []Step{step}
	}
	var steps []Step
	for i, t := range could {
		one, later := step, scenario.Secs(fault.Spread*float64(i)/float64(len(could)))
		one.At, one.Targets, one.Draw = step.At+later, []int{t}, r.Uint64()
		if step.Until > 0 {
			one.Until = step.Until + later
		}
		steps = append(steps, one)
	}
	return steps
}

func pickable(n int, named []int, ok func(int) bool) (all []int) {
	for i := range n {
		if (len(named) == 0 || slices.Contains(named, i)) && ok(i) {
			all = append(all, i)
		}
	}
	return all
}

// fleet is what a scenario and a seed make of the partners.
type fleet struct {
	zones   []string
	parts   []partner
	ends    []endpoint
	weights []float64
}

type partner struct {
	kind  string
	rate  float64 // calls a second that it takes
	pace  float64
	spans bool
	ends  int
	tells float64
	every time.Duration
}

type endpoint struct {
	cell    int
	zone    string
	servers int
}

func (f *fleet) relayZone(i int) string { return f.zones[i%len(f.zones)] }

// buildFleet draws partners and endpoints: a few partners get much of the
// traffic and have more endpoints, which stand in different zones.
func buildFleet(s *scenario.Scenario, seed uint64) *fleet {
	r := seeded(seed, "fleet")
	f := &fleet{zones: s.Fleet.Zones}
	all := 0.0
	for i := range s.Part.Destinations {
		w := 1 / math.Pow(float64(i+1), 0.7)
		f.weights = append(f.weights, w)
		all += w
	}
	telcos := int(math.Round(s.Part.Telcos * float64(s.Part.Destinations)))
	counts := make([]int, s.Part.Destinations)
	for i := range s.Part.Endpoints { // one each, then more for the busy ones
		counts[i%s.Part.Destinations]++
	}
	for cell, w := range f.weights {
		mean := s.Load.Rate * w / all
		p := partner{kind: "agent", pace: 0.85 + 0.3*r.Float64(), ends: counts[cell], tells: 0.05 + 0.32*r.Float64(),
			every: time.Duration(140+580*r.Float64()) * time.Millisecond}
		floor := 2.7 + 2*r.Float64()
		if cell < telcos { // the large ones
			p.kind, p.spans, p.tells, floor = "telco", true, 0.53+0.25*r.Float64(), 2.1+1.8*r.Float64()
		}
		p.rate = max(floor, mean*s.Part.Room)
		f.parts = append(f.parts, p)
		servers := int(math.Ceil(p.rate*0.4*p.pace/float64(p.ends))) + 2
		for k := range counts[cell] {
			f.ends = append(f.ends, endpoint{cell, f.zones[(cell+k)%len(f.zones)], servers})
		}
	}
	return f
}
