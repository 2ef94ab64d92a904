// Package scenario reads scenario files: the fleet, its upstreams, the load and the
// schedule of faults. A scenario that it returns can be run; an Error names file,
// line, key and the values that are allowed.
package scenario

import (
	"time"
)

// Scenario is one file. Durations are in seconds.
type Scenario struct {
	Name         string       `toml:"name"`
	About        string       `toml:"about"`
	Seconds      float64      `toml:"seconds"` // of load; pending messages are then waited for
	Fleet        Fleet        `toml:"fleet"`
	Upstreams    Upstreams    `toml:"partners"`
	Load         Load         `toml:"load"`
	Discovery    Discovery    `toml:"discovery"`
	Registry     Registry     `toml:"registry"`
	InvalidPeers InvalidPeers `toml:"bad_peers"`
	Scale        Scale        `toml:"scale"`
	Faults       []Fault      `toml:"fault"`
}

// Fleet describes the relays and the machine of each.
type Fleet struct {
	Relays      int      `toml:"relays"`
	Zones       []string `toml:"zones"`
	MemoryMB    int      `toml:"memory_mb"`
	Sockets     int      `toml:"sockets"`
	DiskMB      int      `toml:"disk_mb"`
	MaxCalls    int      `toml:"slots"`    // calls in flight, of one relay
	MaxMessages int      `toml:"held"`     // messages in flight, of one relay
	Resident    int      `toml:"resident"` // of these, in its memory; 0 for the relay's default
	MaxBatch    int      `toml:"batch"`    // messages in one call to a telco
	Durability  string   `toml:"promise"`  // what an accepted message survives: DurableProcess or DurablePower; empty for the default
}

// Values of Fleet.Durability.
const (
	DurableProcess = "process" // the end of the process
	DurablePower   = "power"   // a loss of power
)

// Upstreams describes the destinations and their endpoints.
type Upstreams struct {
	Destinations   int     `toml:"destinations"`
	Endpoints      int     `toml:"endpoints"`
	Telcos         float64 `toml:"telcos"` // fraction of the destinations
	CapacityFactor float64 `toml:"room"`   // of each destination's limit, over its mean load
	Limits         bool    `toml:"limits"`
	CountsRejected bool    `toml:"refused_calls_spend"`
	DelayMS        float64 `toml:"delay_ms"`  // one way, to an endpoint of the same zone
	CrossMS        float64 `toml:"cross_ms"`  // the same to another zone
	JitterMS       float64 `toml:"jitter_ms"` // added to either
	ConnsFactor    float64 `toml:"conns"`     // connections that an endpoint holds, over the calls it serves at once
}

// Load describes the traffic of the clients.
type Load struct {
	Rate           float64 `toml:"rate"` // messages a second, over all relays
	Retries        int     `toml:"retries"`
	LeaverFraction float64 `toml:"leavers"`
	BurstFraction  float64 `toml:"clumps"`
}

// Discovery is discovery.
type Discovery struct {
	MaxDelaySeconds float64 `toml:"late"` // until a relay learns of a change
}

// Registry describes a list service of real processes in the place of discovery.
type Registry struct {
	Nodes         int     `toml:"nodes"` // 0 for none: discovery is simulated
	TTL           float64 `toml:"ttl"`   // of the endpoints' registrations
	Controllers   int     `toml:"wardens"`
	ControllerTTL float64 `toml:"warden_ttl"` // of the controllers' sessions

	// Drills of package clock for the controllers and nodes, assigned in turn.
	ControllerClocks []string `toml:"warden_clocks"`
	NodeClocks       []string `toml:"node_clocks"`
}

// InvalidPeers are the peers that send no proper request.
type InvalidPeers struct {
	Every float64  `toml:"every"` // interval; 0 for none
	Kinds []string `toml:"kinds"`
}

// Default is the newcomer's fleet: 3 relays, 9 endpoints of 5 destinations in 3
// zones, about 60 messages a second.
func Default() Scenario {
	return Scenario{Name: "up", About: "the newcomer's fleet", Seconds: 25,
		Fleet: Fleet{Relays: 3, Zones: []string{"a", "b", "c"}, MemoryMB: 128, Sockets: 512, DiskMB: 8, MaxCalls: 25, MaxMessages: 340, MaxBatch: 5},
		Upstreams: Upstreams{Destinations: 5, Endpoints: 9, Telcos: 0.34, CapacityFactor: 1.8, Limits: true, DelayMS: 2, CrossMS: 4, JitterMS: 1,
			ConnsFactor: 4},
		Load:         Load{Rate: 60, Retries: 2, BurstFraction: 0.1},
		Discovery:    Discovery{MaxDelaySeconds: 1},
		Registry:     Registry{TTL: 3, ControllerTTL: 1.5},
		InvalidPeers: InvalidPeers{Kinds: []string{"garbage", "silent", "half", "unknown"}},
		Scale:        scaleDefaults()}
}

// RoundRobin returns an entry of a list whose entries are assigned in turn; empty for
// an empty list.
func RoundRobin(all []string, i int) string {
	if len(all) == 0 {
		return ""
	}
	return all[i%len(all)]
}

// Seconds converts seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
