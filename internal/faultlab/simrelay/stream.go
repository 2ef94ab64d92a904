package simrelay

import (
	"math"
	"math/rand/v2"
	"time"
)

const downSeed = 0x646f776e

// Stream is the synthetic traffic of one relay.
type Stream struct {
	Rate           float64       `json:"rate"` // messages a second
	Deadline       time.Duration `json:"deadline_ns"`
	Body           int           `json:"body"` // bytes of a message
	Classes        []StreamClass `json:"classes"`
	ConnectTimeout time.Duration `json:"connect_ns"` // for a destination that is down
	Down           Down          `json:"down"`
	Destinations   int           `json:"destinations"`
}

// StreamClass is one class of message and how long an endpoint takes for it.
type StreamClass struct {
	Name        string           `json:"name"`
	Fraction    float64          `json:"share"`
	ServiceTime [2]time.Duration `json:"took_ns"`
}

// Down says which destinations answer no connection at a moment. It is the same
// function in all processes: the destinations, shuffled by the seed, pass through a
// window that moves at a constant rate. Prepare must be called before use; At is
// then safe for concurrent use.
type Down struct {
	Seed     uint64        `json:"seed"`
	Fraction float64       `json:"share"`
	For      time.Duration `json:"for_ns"` // that each stays down
	Origin   int64         `json:"origin"` // Unix µs

	positions []int // of each destination in the shuffled order
}

// Prepare shuffles the destinations.
func (d *Down) Prepare(destinations int) {
	d.positions = rand.New(rand.NewPCG(d.Seed, downSeed)).Perm(destinations)
}

// Count is how many destinations are down at any moment.
func (d *Down) Count() int { return int(math.Round(d.Fraction * float64(len(d.positions)))) }

// At reports whether a destination is down at a moment, in Unix µs.
func (d *Down) At(destination int, now int64) bool {
	count, all := d.Count(), len(d.positions)
	if count == 0 || destination >= all {
		return false
	}
	moved := int(float64(max(0, now-d.Origin)) / float64(d.For.Microseconds()) * float64(count))
	return ((d.positions[destination]-moved)%all+all)%all < count
}
