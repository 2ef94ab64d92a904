package scenario

import "fmt"

// Scale is a fleet at its target size on one machine: simulated relays, many in a
// process, beside a few real ones, a real list service and real agents. If Relays is
// above 0 the scenario is played that way, and of the other tables only fleet.zones,
// registry.nodes and registry.ttl count. Durations are in seconds.
type Scale struct {
	Relays     int     `toml:"relays"`    // simulated ones; 0 for an ordinary scenario
	Processes  int     `toml:"processes"` // of simulated relays
	Real       int     `toml:"real"`      // relays that run the program under test; every second has an operator address
	Agents     int     `toml:"agents"`    // that the simulated relays share; each real relay has one of its own
	Watchers   int     `toml:"watchers"`  // of the list service, in place of the agents that are not run
	Fleet      int     `toml:"fleet"`     // size of the fleet in the relays' and agents' settings
	Members    int     `toml:"members"`   // of the list, each the only endpoint of its destination
	Down       float64 `toml:"down"`      // fraction of the destinations that answer no connection at any time
	DownFor    float64 `toml:"down_for"`  // how long each stays down
	Quiet      float64 `toml:"quiet"`     // the first phase, with neither changes nor messages
	Control    float64 `toml:"control"`   // the second phase, with changes and no messages; the load comes last
	Settle     float64 `toml:"settle"`    // limit after the load, until every relay has the service's list
	Rate       float64 `toml:"rate"`      // messages a second, of each relay
	Deadline   float64 `toml:"deadline"`  // within which a message may be delivered; its class's at most
	ChangesDay float64 `toml:"changes_a_day"`
	Speed      float64 `toml:"speed"`     // factor by which the changes of a day are accelerated
	ExpiryAt   float64 `toml:"lapse_at"`  // when the last zone's registrations expire, from the start of the load; 0 for never
	ExpiryFor  float64 `toml:"lapse_for"` // after which they are back
	Writers    int     `toml:"writers"`   // that register members concurrently

	// The agents' directories are in memory (/dev/shm): on one machine all share a
	// disk, and their syncs would slow down those of the nodes.
	AgentsInMemory bool `toml:"agents_in_memory"`
}

// scaleDefaults are the keys that a scale scenario may leave out.
func scaleDefaults() Scale {
	return Scale{Processes: 4, Real: 2, Agents: 2, Fleet: 450, Members: 31000, Down: 0.019, DownFor: 30, Quiet: 5, Control: 10, Settle: 30, Rate: 10,
		Deadline: 16, ChangesDay: 1900, Speed: 60, Writers: 32}
}

// validateScale returns an Error for the first key of a scale scenario that cannot
// be used.
func (s *Scenario) validateScale() *Error {
	scale := &s.Scale
	if err := checkBounds(s.scaleBounds()); err != nil || scale.Relays == 0 {
		return err
	}
	switch {
	case s.Registry.Nodes == 0:
		return &Error{Key: "scale.relays", Text: "a list service is wanted: registry.nodes is 0"}
	case s.Registry.Controllers > 0:
		return &Error{Key: "registry.wardens", Text: "a scale scenario has none"}
	case len(s.Faults) > 0:
		return &Error{Key: "fault[0].kind", Text: "a scale scenario has none of its own: see scale.down and scale.lapse_at"}
	case scale.Processes > scale.Relays:
		return &Error{Key: "scale.processes", Text: fmt.Sprintf("%d; at most one for each of the %d simulated relays", scale.Processes, scale.Relays)}
	case scale.ExpiryAt > 0 && scale.ExpiryFor < s.Registry.TTL:
		return &Error{Key: "scale.lapse_for", Text: fmt.Sprintf("%v; registry.ttl, %v, at least", scale.ExpiryFor, s.Registry.TTL)}
	}
	return nil
}

func (s *Scenario) scaleBounds() []bound {
	scale := &s.Scale
	return []bound{
		{"scale.relays", float64(scale.Relays), 0, 1000},
		{"scale.processes", float64(scale.Processes), 1, 64},
		{"scale.real", float64(scale.Real), 1, 32},
		{"scale.agents", float64(scale.Agents), 1, 32},
		{"scale.watchers", float64(scale.Watchers), 0, 10000},
		{"scale.fleet", float64(scale.Fleet), 1, 100000},
		{"scale.members", float64(scale.Members), 2, 60000},
		{"scale.down", scale.Down, 0, 0.5},
		{"scale.down_for", scale.DownFor, 1, 3600},
		{"scale.quiet", scale.Quiet, 1, 3600},
		{"scale.control", scale.Control, 1, 3600},
		{"scale.settle", scale.Settle, 1, 600},
		{"scale.rate", scale.Rate, 0, 1000},
		{"scale.deadline", scale.Deadline, 0.5, 60},
		{"scale.changes_a_day", scale.ChangesDay, 0, 1e6},
		{"scale.speed", scale.Speed, 1, 10000},
		{"scale.lapse_at", scale.ExpiryAt, 0, s.Seconds},
		{"scale.lapse_for", scale.ExpiryFor, 0, 3600},
		{"scale.writers", float64(scale.Writers), 1, 256},
	}
}
