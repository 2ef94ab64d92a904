package scenario

import "fmt"

// Scale is a fleet at its target size on one machine: hollow relays, many in a
// process, beside a few real ones, a real list service and real agents. Where
// Relays is above 0 the scenario is played that way, and of the other tables
// fleet.zones, registry.nodes and registry.ttl alone count.
type Scale struct {
	Relays     int     `toml:"relays"`    // hollow ones; 0 for an ordinary scenario
	Processes  int     `toml:"processes"` // that hold them
	Real       int     `toml:"real"`      // relays that are processes of relay; every second has an operator address
	Agents     int     `toml:"agents"`    // that the hollow relays share; each real relay has one of its own
	Watchers   int     `toml:"watchers"`  // plain watches on the list service, in place of the agents that are not run
	Fleet      int     `toml:"fleet"`     // relays that each relay and agent believes in: their retries are spread over so many
	Members    int     `toml:"members"`   // each the one endpoint of its destination
	Down       float64 `toml:"down"`      // share of the destinations that answer no connection at any time
	DownFor    float64 `toml:"down_for"`  // seconds that each of them stays down
	Quiet      float64 `toml:"quiet"`     // seconds with neither changes nor messages, first
	Control    float64 `toml:"control"`   // seconds of configuration changes with no messages, then; the load comes last
	Settle     float64 `toml:"settle"`    // seconds at most, after the load, until every relay has the service's list
	Rate       float64 `toml:"rate"`      // messages a second, of each relay, hollow or real
	Deadline   float64 `toml:"deadline"`  // seconds within which a message may still be delivered; its class's at most
	ChangesDay float64 `toml:"changes_a_day"`
	Speed      float64 `toml:"speed"`     // times by which the changes of a day are sped up
	ExpiryAt   float64 `toml:"lapse_at"`  // the registrations of fleet.zones' last stop, in seconds of the load; 0 for never
	ExpiryFor  float64 `toml:"lapse_for"` // and are back after so many seconds
	Writers    int     `toml:"writers"`   // that register members at once

	// The agents' folders are in memory (/dev/shm): on one machine, where all share a
	// disk, their syncs would slow the nodes', which stand elsewhere in a fleet.
	AgentsInMemory bool `toml:"agents_in_memory"`
}

// scaleDefaults are the keys that a scale scenario may leave out.
func scaleDefaults() Scale {
	return Scale{Processes: 4, Real: 2, Agents: 2, Fleet: 450, Members: 31000, Down: 0.019, DownFor: 30, Quiet: 5, Control: 10, Settle: 30, Rate: 10,
		Deadline: 16, ChangesDay: 1900, Speed: 60, Writers: 32}
}

// checkScale tells the first key of a scale scenario that cannot be.
func (s *Scenario) checkScale() (key, text string) {
	c := &s.Scale
	for _, b := range []struct {
		key       string
		v         float64
		low, high float64
	}{{"relays", float64(c.Relays), 0, 1000}, {"processes", float64(c.Processes), 1, 64}, {"real", float64(c.Real), 1, 32},
		{"agents", float64(c.Agents), 1, 32}, {"watchers", float64(c.Watchers), 0, 10000}, {"fleet", float64(c.Fleet), 1, 100000},
		{"members", float64(c.Members), 2, 60000}, {"down", c.Down, 0, 0.5}, {"down_for", c.DownFor, 1, 3600}, {"quiet", c.Quiet, 1, 3600}, {"control", c.Control, 1, 3600},

		{"settle", c.Settle, 1, 600}, {"rate", c.Rate, 0, 1000}, {"deadline", c.Deadline, 0.5, 60}, {"changes_a_day", c.ChangesDay, 0, 1e6},
		{"speed", c.Speed, 1, 10000}, {"lapse_at", c.ExpiryAt, 0, s.Seconds}, {"lapse_for", c.ExpiryFor, 0, 3600}, {"writers", float64(c.Writers), 1, 256}} {
		if !(b.v >= b.low && b.v <= b.high) {
			return "scale." + b.key, fmt.Sprintf("%v; from %v to %v is allowed", b.v, b.low, b.high)
		}
	}
	switch {
	case c.Relays == 0:
		return "", ""
	case s.Registry.Nodes == 0:
		return "scale.relays", "a list service is wanted: registry.nodes is 0"
	case s.Registry.Controllers > 0:
		return "registry.wardens", "a scale scenario has none"
	case len(s.Faults) > 0:
		return "fault[0].kind", "a scale scenario has none of its own: see scale.down and scale.lapse_at"
	case c.Processes > c.Relays:
		return "scale.processes", fmt.Sprintf("%d; at most one for each of the %d hollow relays", c.Processes, c.Relays)
	case c.ExpiryAt > 0 && c.ExpiryFor < s.Registry.TTL:
		return "scale.lapse_for", fmt.Sprintf("%v; registry.ttl, %v, at least", c.ExpiryFor, s.Registry.TTL)
	}
	return "", ""
}
