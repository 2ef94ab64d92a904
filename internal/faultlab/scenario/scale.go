package scenario

import "fmt"

// Scale describes a fleet at its target size on one machine: simulated relays, many in
// a process, beside a few real relays, a real list service and real agents. If Relays
// is above 0, the scenario is run that way, and of the other tables only fleet.zones,
// registry.nodes and registry.ttl are used. Durations are in seconds.
type Scale struct {
	Relays     int     `toml:"relays"`        // number of simulated relays; 0 for an ordinary scenario
	Processes  int     `toml:"processes"`     // number of processes that run the simulated relays
	Real       int     `toml:"real"`          // number of relays that run the program under test; every second one has an operator address
	Agents     int     `toml:"agents"`        // number of agents that the simulated relays share; each real relay has an agent of its own
	Watchers   int     `toml:"watchers"`      // number of watchers of the list service, in place of the agents that are not run
	Fleet      int     `toml:"fleet"`         // size of the fleet in the relays' and agents' settings
	Members    int     `toml:"members"`       // number of endpoints in the list, each the only one of its destination
	Down       float64 `toml:"down"`          // fraction of the destinations that answer no connection, at each moment
	DownFor    float64 `toml:"down_for"`      // how long a destination stays down
	Quiet      float64 `toml:"quiet"`         // length of the first phase, with neither changes nor messages
	Control    float64 `toml:"control"`       // length of the second phase, with changes and no messages; the load follows it
	Settle     float64 `toml:"settle"`        // limit from the end of the load until every relay has the service's list
	Rate       float64 `toml:"rate"`          // messages a second for each relay
	Deadline   float64 `toml:"deadline"`      // time within which a message may be delivered, if its class does not allow less
	ChangesDay float64 `toml:"changes_a_day"` // changes of the list in a day, before Speed is applied
	Speed      float64 `toml:"speed"`         // factor by which the changes of a day are accelerated
	ExpiryAt   float64 `toml:"lapse_at"`      // when the last zone's registrations expire, from the start of the load; 0 for never
	ExpiryFor  float64 `toml:"lapse_for"`     // how long after that they are back
	Writers    int     `toml:"writers"`       // number of writers that register members concurrently

	// AgentsInMemory puts the agents' directories in memory (/dev/shm). On one machine
	// all processes share a disk, and the agents' syncs would slow down the nodes' syncs.
	AgentsInMemory bool `toml:"agents_in_memory"`
}

// scaleDefaults returns the values of the keys that a scale scenario may leave out.
func scaleDefaults() Scale {
	return Scale{Processes: 4, Real: 2, Agents: 2, Fleet: 450, Members: 31000, Down: 0.019, DownFor: 30, Quiet: 5, Control: 10, Settle: 30, Rate: 10,
		Deadline: 16, ChangesDay: 1900, Speed: 60, Writers: 32}
}

// validateScale returns an Error, without file and line, for the first key of a scale
// scenario with a value that cannot be used.
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
