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
	if s.Fault.Direction != "" {
		text += " " + s.Fault.Direction
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

func newRandom(seed uint64, what string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(what))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Plan draws the schedule of a scenario.
func Plan(s *scenario.Scenario, seed uint64) []Step {
	f := planFleet(s, seed)
	var steps []Step
	for i, fault := range s.Faults {
		r := newRandom(seed, fmt.Sprintf("fault %d", i))
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
func strike(s *scenario.Scenario, f *fleetPlan, fault scenario.Fault, at float64, r *rand.Rand) []Step {
	var could []int
	switch scenario.Kinds[fault.Kind] {
	case "relay":
		could = candidates(s.Fleet.Relays, fault.Relays, func(i int) bool { return fault.Zone == "" || f.relayZone(i) == fault.Zone })
	case "warden":
		could = candidates(s.Registry.Controllers, nil, func(int) bool { return true })
	case "node":
		could = candidates(s.Registry.Nodes, nil, func(int) bool { return true })
	case "endpoint", "registration":
		could = candidates(len(f.endpoints), nil, func(i int) bool {
			e := f.endpoints[i]
			return (fault.Zone == "" || e.zone == fault.Zone) && (len(fault.Destinations) == 0 || slices.Contains(fault.Destinations, e.destination)) &&
				(len(fault.Kinds) == 0 || slices.Contains(fault.Kinds, f.upstreams[e.destination].kind))
		})
	case "partner":
		could = candidates(len(f.upstreams), fault.Destinations, func(i int) bool { return len(fault.Kinds) == 0 || slices.Contains(fault.Kinds, f.upstreams[i].kind) })
	case "link", "discovery":
		could = candidates(s.Fleet.Relays, fault.Relays, func(int) bool { return true })
	}
	if share := fault.Fraction; share > 0 && len(could) > 0 {
		r.Shuffle(len(could), func(a, b int) { could[a], could[b] = could[b], could[a] })
		could = could[:max(1, int(math.Round(share*float64(len(could)))))]
		slices.Sort(could)
	}
	step := Step{At: scenario.Seconds(at), Fault: fault, Targets: could}
	if fault.For > 0 {
		step.Until = scenario.Seconds(at + fault.For)
	}
	if fault.Spread <= 0 || len(could) < 2 {
		step.Draw = r.Uint64()
		return []Step{step}
	}
	var steps []Step
	for i, t := range could {
		one, later := step, scenario.Seconds(fault.Spread*float64(i)/float64(len(could)))
		one.At, one.Targets, one.Draw = step.At+later, []int{t}, r.Uint64()
		if step.Until > 0 {
			one.Until = step.Until + later
		}
		steps = append(steps, one)
	}
	return steps
}

func candidates(n int, named []int, ok func(int) bool) (all []int) {
	for i := range n {
		if (len(named) == 0 || slices.Contains(named, i)) && ok(i) {
			all = append(all, i)
		}
	}
	return all
}
