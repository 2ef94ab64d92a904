// Package scenario reads scenario files, which describe a fleet, its upstreams, its
// load and a schedule of faults. A scenario that it returns can be run; its errors
// name the file, the line, the key and the values that are allowed.
package scenario

import (
	"time"
)

// Scenario holds the contents of one scenario file. Durations are in seconds.
type Scenario struct {
	Name         string       `toml:"name"`
	About        string       `toml:"about"`
	Seconds      float64      `toml:"seconds"` // length of the load; the run then waits for pending messages
	Fleet        Fleet        `toml:"fleet"`
	Upstreams    Upstreams    `toml:"partners"`
	Load         Load         `toml:"load"`
	Discovery    Discovery    `toml:"discovery"`
	Registry     Registry     `toml:"registry"`
	InvalidPeers InvalidPeers `toml:"bad_peers"`
	Scale        Scale        `toml:"scale"`
	Faults       []Fault      `toml:"fault"`
}

// Fleet describes the relays, and the limits of each and of its machine.
type Fleet struct {
	Relays      int      `toml:"relays"`
	Zones       []string `toml:"zones"`
	MemoryMB    int      `toml:"memory_mb"`
	Sockets     int      `toml:"sockets"`
	DiskMB      int      `toml:"disk_mb"`
	MaxCalls    int      `toml:"slots"`    // limit on the calls in flight of one relay
	MaxMessages int      `toml:"held"`     // limit on the messages that one relay holds
	Resident    int      `toml:"resident"` // limit on the messages that one relay holds in memory; 0 for the relay's default
	MaxBatch    int      `toml:"batch"`    // largest number of messages in one call to a telco
	Durability  string   `toml:"promise"`  // what an accepted message survives: DurableProcess or DurablePower; empty for the default
}

// Values of Fleet.Durability.
const (
	DurableProcess = "process" // the process may end
	DurablePower   = "power"   // the machine may lose power
)

// Upstreams describes the destinations and their endpoints.
type Upstreams struct {
	Destinations   int     `toml:"destinations"`
	Endpoints      int     `toml:"endpoints"`
	Telcos         float64 `toml:"telcos"`              // fraction of the destinations that are telcos
	CapacityFactor float64 `toml:"room"`                // limit of each destination, as a multiple of its mean load
	Limits         bool    `toml:"limits"`              // whether destinations limit their calls
	CountsRejected bool    `toml:"refused_calls_spend"` // whether rejected calls count against the limits as well
	DelayMS        float64 `toml:"delay_ms"`            // one-way delay to an endpoint in the same zone
	CrossMS        float64 `toml:"cross_ms"`            // one-way delay to an endpoint in another zone
	JitterMS       float64 `toml:"jitter_ms"`           // largest random addition to DelayMS and to CrossMS
	ConnsFactor    float64 `toml:"conns"`               // connections that an endpoint serves, as a multiple of the calls that it serves at once
}

// Load describes the traffic of the clients.
type Load struct {
	Rate           float64 `toml:"rate"`    // messages a second, over all relays
	Retries        int     `toml:"retries"` // largest number of times that a client submits one message again
	LeaverFraction float64 `toml:"leavers"` // fraction of clients that may disconnect before their answer
	BurstFraction  float64 `toml:"clumps"`  // fraction of messages that arrive in bursts
}

// Discovery describes the simulated discovery service.
type Discovery struct {
	MaxDelaySeconds float64 `toml:"late"` // longest time until a relay learns of a change
}

// Registry describes a list service of real processes, which replaces the simulated
// discovery service.
type Registry struct {
	Nodes         int     `toml:"nodes"`      // number of nodes; 0 for a simulated discovery service
	TTL           float64 `toml:"ttl"`        // time to live of the endpoints' registrations
	Controllers   int     `toml:"wardens"`    // number of controllers
	ControllerTTL float64 `toml:"warden_ttl"` // time to live of the controllers' sessions

	// The clock drills of the controllers and the nodes, in the format of package clock.
	// They are assigned in turn.
	ControllerClocks []string `toml:"warden_clocks"`
	NodeClocks       []string `toml:"node_clocks"`
}

// InvalidPeers describes the peers that connect to relays and send no valid request.
type InvalidPeers struct {
	Every float64  `toml:"every"` // interval between two such peers; 0 for none
	Kinds []string `toml:"kinds"`
}

// Default returns a small fleet for first experiments: 3 relays, 9 endpoints of 5
// destinations in 3 zones, and about 60 messages a second.
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

// RoundRobin returns the entry for index i of a list whose entries are assigned in
// turn, or an empty string if the list is empty.
func RoundRobin(all []string, i int) string {
	if len(all) == 0 {
		return ""
	}
	return all[i%len(all)]
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
