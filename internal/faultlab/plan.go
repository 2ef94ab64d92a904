package faultlab

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"plovershore/internal/faultlab/scenario"
)

// Step is one injection of a fault, with its time and targets. A plan depends on
// scenario and seed alone, so that a run can be repeated.
type Step struct {
	At      time.Duration // from the start of the load
	Until   time.Duration // when it is undone; 0 for the end of the load
	Fault   scenario.Fault
	Targets []int  // relays, endpoints or others, by number
	Draw    uint64 // seed of what is drawn while the step is carried out
}

// String describes the step in one line.
func (s Step) String() string {
	fault := &s.Fault
	text := fmt.Sprintf("%6.2fs %s", s.At.Seconds(), fault.Kind)
	if fault.Zone != "" {
		text += " zone " + fault.Zone
	}
	if fault.Direction != "" {
		text += " " + fault.Direction
	}
	if fault.Node != "" {
		text += " " + fault.Node
	}
	if fault.Folder != "" {
		text += " folder " + fault.Folder
	}
	if len(s.Targets) > 0 && fault.Node == "" {
		text += fmt.Sprintf(" %s %s", scenario.Targets[fault.Kind], strings.Trim(fmt.Sprint(s.Targets), "[]"))
	}
	if s.Until > 0 {
		text += fmt.Sprintf(" until %.2fs", s.Until.Seconds())
	}
	return text
}

// newRandom returns the source of random numbers for one purpose of a run.
func newRandom(seed uint64, purpose string) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(purpose))
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}

// Plan draws the schedule of a scenario.
func Plan(s *scenario.Scenario, seed uint64) []Step {
	fleet := planFleet(s, seed)
	var steps []Step
	for i, fault := range s.Faults {
		random := newRandom(seed, fmt.Sprintf("fault %d", i))
		for startSeconds := fault.At; startSeconds < s.Seconds; startSeconds += fault.Every {
			steps = append(steps, planFault(s, fleet, fault, startSeconds, random)...)
			if fault.Every <= 0 {
				break
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// planFault draws the targets of one occurrence of a fault, and returns its steps: one
// for all targets, or one for each target if the fault is spread over time.
func planFault(s *scenario.Scenario, fleet *fleetPlan, fault scenario.Fault, startSeconds float64, random *rand.Rand) []Step {
	targets := possibleTargets(s, fleet, &fault)
	if fault.Fraction > 0 && len(targets) > 0 {
		random.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
		targets = targets[:max(1, int(math.Round(fault.Fraction*float64(len(targets)))))]
		slices.Sort(targets)
	}
	step := Step{At: scenario.Seconds(startSeconds), Fault: fault, Targets: targets}
	if fault.For > 0 {
		step.Until = scenario.Seconds(startSeconds + fault.For)
	}
	if fault.Spread <= 0 || len(targets) < 2 {
		step.Draw = random.Uint64()
		return []Step{step}
	}
	var steps []Step
	for i, target := range targets {
		targetStep, offset := step, scenario.Seconds(fault.Spread*float64(i)/float64(len(targets)))
		targetStep.At, targetStep.Targets, targetStep.Draw = step.At+offset, []int{target}, random.Uint64()
		if step.Until > 0 {
			targetStep.Until = step.Until + offset
		}
		steps = append(steps, targetStep)
	}
	return steps
}

// possibleTargets returns the numbers of the targets that a fault can affect.
func possibleTargets(s *scenario.Scenario, fleet *fleetPlan, fault *scenario.Fault) []int {
	always := func(int) bool { return true }
	isKind := func(upstream int) bool {
		return len(fault.Kinds) == 0 || slices.Contains(fault.Kinds, fleet.upstreams[upstream].kind)
	}
	switch scenario.Targets[fault.Kind] {
	case scenario.TargetRelay:
		inZone := func(i int) bool { return fault.Zone == "" || fleet.relayZone(i) == fault.Zone }
		return candidates(s.Fleet.Relays, fault.Relays, inZone)
	case scenario.TargetController:
		return candidates(s.Registry.Controllers, nil, always)
	case scenario.TargetNode:
		return candidates(s.Registry.Nodes, nil, always)
	case scenario.TargetEndpoint, scenario.TargetRegistration:
		return candidates(len(fleet.endpoints), nil, func(i int) bool {
			endpoint := fleet.endpoints[i]
			inZone := fault.Zone == "" || endpoint.zone == fault.Zone
			isNamed := len(fault.Destinations) == 0 || slices.Contains(fault.Destinations, endpoint.destination)
			return inZone && isNamed && isKind(endpoint.destination)
		})
	case scenario.TargetUpstream:
		return candidates(len(fleet.upstreams), fault.Destinations, isKind)
	case scenario.TargetLink, scenario.TargetDiscovery:
		return candidates(s.Fleet.Relays, fault.Relays, always)
	}
	return nil
}

// candidates returns the numbers below count that qualify and that are in allowed,
// unless that is empty.
func candidates(count int, allowed []int, qualifies func(int) bool) (numbers []int) {
	for i := range count {
		if (len(allowed) == 0 || slices.Contains(allowed, i)) && qualifies(i) {
			numbers = append(numbers, i)
		}
	}
	return numbers
}
