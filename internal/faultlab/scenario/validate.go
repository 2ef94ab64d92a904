package scenario

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"plovershore/internal/clock"
)

// bound is the value of a key and the range that is allowed for it.
type bound struct {
	key       string
	value     float64
	low, high float64
}

// check returns an Error, without file and line, if the value is out of range or is
// NaN.
func (b bound) check() *Error {
	if b.value >= b.low && b.value <= b.high {
		return nil
	}
	return &Error{Key: b.key, Text: fmt.Sprintf("%v; from %v to %v is allowed", b.value, b.low, b.high)}
}

func checkBounds(bounds []bound) *Error {
	for _, b := range bounds {
		if err := b.check(); err != nil {
			return err
		}
	}
	return nil
}

// checkChoice returns an Error, without file and line, unless the value is empty or
// one of those allowed.
func checkChoice(key, value string, allowed []string) *Error {
	if value == "" || slices.Contains(allowed, value) {
		return nil
	}
	return &Error{Key: key, Text: fmt.Sprintf("%q; allowed: %s", value, strings.Join(allowed, ", "))}
}

// validate returns an Error, without file and line, for the first key with a value
// that cannot be used.
func (s *Scenario) validate() *Error {
	if err := checkBounds(s.bounds()); err != nil {
		return err
	}
	if err := s.Registry.validate(); err != nil {
		return err
	}
	fleet := &s.Fleet
	if fleet.Durability != "" && fleet.Durability != DurableProcess && fleet.Durability != DurablePower {
		return &Error{Key: "fleet.promise", Text: fmt.Sprintf("%q; process and power are allowed", fleet.Durability)}
	}
	if len(fleet.Zones) == 0 {
		return &Error{Key: "fleet.zones", Text: "none; at least one is wanted"}
	}
	if err := s.validateScale(); err != nil {
		return err
	}
	for i := range s.Faults {
		if err := s.validateFault(&s.Faults[i]); err != nil {
			err.Key = fmt.Sprintf("fault[%d].%s", i, err.Key)
			return err
		}
	}
	return nil
}

// bounds returns the bounds of all numbers except those in the tables registry, fault
// and scale.
func (s *Scenario) bounds() []bound {
	fleet, upstreams, load := &s.Fleet, &s.Upstreams, &s.Load
	return []bound{
		{"seconds", s.Seconds, 1, 7200},
		{"fleet.relays", float64(fleet.Relays), 1, 64},
		{"fleet.memory_mb", float64(fleet.MemoryMB), 32, 4096},
		{"fleet.sockets", float64(fleet.Sockets), 256, 65536},
		{"fleet.disk_mb", float64(fleet.DiskMB), 1, 4096},
		{"fleet.slots", float64(fleet.MaxCalls), 2, 1000},
		{"fleet.held", float64(fleet.MaxMessages), 12, 1e6},
		{"fleet.resident", float64(fleet.Resident), 0, 1e6},
		{"fleet.batch", float64(fleet.MaxBatch), 1, 64},
		{"partners.destinations", float64(upstreams.Destinations), 1, 200},
		{"partners.endpoints", float64(upstreams.Endpoints), float64(upstreams.Destinations), 400},
		{"partners.telcos", upstreams.Telcos, 0, 1},
		{"partners.room", upstreams.CapacityFactor, 0.1, 100},
		{"partners.delay_ms", upstreams.DelayMS, 0, 2000},
		{"partners.cross_ms", upstreams.CrossMS, 0, 2000},
		{"partners.jitter_ms", upstreams.JitterMS, 0, 2000},
		{"partners.conns", upstreams.ConnsFactor, 1, 1000},
		{"load.rate", load.Rate, 0.1, 100000},
		{"load.retries", float64(load.Retries), 0, 10},
		{"load.leavers", load.LeaverFraction, 0, 1},
		{"load.clumps", load.BurstFraction, 0, 0.9},
		{"discovery.late", s.Discovery.MaxDelaySeconds, 0, 60},
		{"bad_peers.every", s.InvalidPeers.Every, 0, 3600},
	}
}

func (r *Registry) validate() *Error {
	if n := r.Nodes; n != 0 && n != 1 && n != 3 && n != 5 {
		return &Error{Key: "registry.nodes", Text: fmt.Sprintf("%d; 0, 1, 3 and 5 are allowed", n)}
	}
	if err := (bound{"registry.ttl", r.TTL, 0.5, 3600}).check(); err != nil {
		return err
	}
	if n := r.Controllers; n < 0 || n > 16 || n > 0 && r.Nodes == 0 {
		return &Error{Key: "registry.wardens", Text: fmt.Sprintf("%d; from 0 to 16 is allowed, and a list service is wanted", n)}
	}
	if err := (bound{"registry.warden_ttl", r.ControllerTTL, 0.3, 60}).check(); err != nil {
		return err
	}
	if err := checkClocks("registry.node_clocks", r.NodeClocks); err != nil {
		return err
	}
	return checkClocks("registry.warden_clocks", r.ControllerClocks)
}

// checkClocks returns an Error if a clock drill is not in the format of package clock.
func checkClocks(key string, drills []string) *Error {
	for _, drill := range drills {
		if _, err := clock.Parse(drill); err != nil {
			return &Error{Key: key, Text: strings.TrimPrefix(err.Error(), "clock: ")}
		}
	}
	return nil
}

// Upper bounds of Fault.MS, in milliseconds.
const (
	maxDelayMS     = 60_000
	maxClockStepMS = 3 * 3600 * 1000
)

func (f *Fault) maxMS() float64 {
	if f.Kind == FaultClock {
		return maxClockStepMS
	}
	return maxDelayMS
}

// validateFault returns an Error, without file and line and with a key relative to the
// fault, for the first key with a value that cannot be used.
func (s *Scenario) validateFault(f *Fault) *Error {
	target, ok := Targets[f.Kind]
	if !ok {
		kinds := slices.Sorted(maps.Keys(Targets))
		return &Error{Key: "kind", Text: fmt.Sprintf("%q; allowed: %s", f.Kind, strings.Join(kinds, ", "))}
	}
	for _, choice := range []struct {
		key, value string
		allowed    []string
	}{{"zone", f.Zone, s.Fleet.Zones}, {"way", f.Direction, directions}, {"folder", f.Folder, folders}, {"node", f.Node, nodes}} {
		if err := checkChoice(choice.key, choice.value, choice.allowed); err != nil {
			return err
		}
	}
	err := checkBounds([]bound{
		{"at", f.At, 0, s.Seconds},
		{"for", f.For, 0, 3600},
		{"every", f.Every, 0, 3600},
		{"share", f.Fraction, 0, 1},
		{"spread", f.Spread, 0, 3600},
		{"ms", f.MS, 0, f.maxMS()},
		{"factor", f.Factor, 0, 1000},
		{"rate", f.Rate, 0, 1e9},
	})
	if err != nil {
		return err
	}
	if f.Every > 0 && f.For+f.Spread >= f.Every && f.Kind != FaultKill && f.Kind != FaultTerm {
		return &Error{Key: "every", Text: fmt.Sprintf("%v; it has to be more than for and spread together", f.Every)}
	}
	if err := s.validateTargets(f, target); err != nil {
		return err
	}
	return s.validateNeeds(f, target)
}

// validateTargets checks the numbers of the relays and destinations that a fault names.
func (s *Scenario) validateTargets(f *Fault, target Target) *Error {
	if len(f.Relays) > 0 && target != TargetRelay && target != TargetLink && target != TargetDiscovery {
		return &Error{Key: "relays", Text: "a fault of kind " + f.Kind + " strikes no relay"}
	}
	if err := checkNumbers("relays", f.Relays, s.Fleet.Relays); err != nil {
		return err
	}
	return checkNumbers("cells", f.Destinations, s.Upstreams.Destinations)
}

// checkNumbers checks that all numbers are at least 0 and below count.
func checkNumbers(key string, numbers []int, count int) *Error {
	for _, n := range numbers {
		if n < 0 || n >= count {
			return &Error{Key: key, Text: fmt.Sprintf("%d; from 0 to %d is allowed", n, count-1)}
		}
	}
	return nil
}

// validateNeeds checks that a fault has the keys it needs, and the scenario the
// controllers or the list service that it needs.
func (s *Scenario) validateNeeds(f *Fault, target Target) *Error {
	needsControllers := target == TargetController || target == TargetFleet || target == TargetZone || f.Kind == FaultFailover
	needsService := target == TargetNode || target == TargetRegistration || target == TargetGroup
	switch {
	case needsControllers && s.Registry.Controllers == 0:
		return &Error{Key: "kind", Text: f.Kind + " wants wardens: registry.wardens is 0"}
	case target == TargetZone && f.Zone == "":
		return &Error{Key: "zone", Text: "none; evacuate wants one"}
	case f.Node == NodeHolder && target != TargetController:
		return &Error{Key: "node", Text: "holder is of warden-* alone"}
	case needsService && s.Registry.Nodes == 0:
		return &Error{Key: "kind", Text: f.Kind + " wants a list service: registry.nodes is 0"}
	case f.Corrupts() && (f.File == "" || f.File != filepath.Base(f.File)):
		return &Error{Key: "file", Text: fmt.Sprintf("%q; the name of a file in the relay's folder is wanted", f.File)}
	}
	return nil
}
