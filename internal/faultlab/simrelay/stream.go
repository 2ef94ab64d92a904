package simrelay

import (
	"math"
	"math/rand/v2"
	"time"
)

const downSeed = 0x646f776e

// Stream describes the synthetic messages of one relay.
type Stream struct {
	Rate           float64       `json:"rate"` // messages a second
	Deadline       time.Duration `json:"deadline_ns"`
	Body           int           `json:"body"` // bytes of a message's body
	Classes        []StreamClass `json:"classes"`
	ConnectTimeout time.Duration `json:"connect_ns"` // time after which an attempt fails at a destination that is down
	Down           Down          `json:"down"`
	Destinations   int           `json:"destinations"`
}

// StreamClass is one class of messages, its fraction of all and the range of times that an
// endpoint takes for one.
type StreamClass struct {
	Name        string           `json:"name"`
	Fraction    float64          `json:"share"`
	ServiceTime [2]time.Duration `json:"took_ns"`
}

// Down determines which destinations accept no connections at a given time. All processes
// compute the same result: the destinations, shuffled by the seed, pass through a window
// that moves at a constant rate, and those inside it are down. Call Prepare before use; At
// is then safe for concurrent use.
type Down struct {
	Seed     uint64        `json:"seed"`
	Fraction float64       `json:"share"`
	For      time.Duration `json:"for_ns"` // how long a destination stays down
	Origin   int64         `json:"origin"` // start of the window's movement, in microseconds of Unix time

	positions []int // each destination's position in the shuffled order
}

// Prepare shuffles the destinations, of which there are the given number.
func (d *Down) Prepare(destinations int) {
	d.positions = rand.New(rand.NewPCG(d.Seed, downSeed)).Perm(destinations)
}

// Count returns how many destinations are down at any time.
func (d *Down) Count() int { return int(math.Round(d.Fraction * float64(len(d.positions)))) }

// At reports whether a destination is down at a time in microseconds of Unix time.
func (d *Down) At(destination int, now int64) bool {
	count, total := d.Count(), len(d.positions)
	if count == 0 || destination >= total {
		return false
	}
	shift := int(float64(max(0, now-d.Origin)) / float64(d.For.Microseconds()) * float64(count))
	return ((d.positions[destination]-shift)%total+total)%total < count
}
