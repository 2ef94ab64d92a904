package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// Load is the traffic of the clients. Fractions are from 0 to 1.
type Load struct {
	Rate             float64       // messages a second, over all relays
	Swing            float64       // fraction of the rate by which it rises and falls
	Period           time.Duration // of the swing; 0 for none
	BurstFraction    float64       // of messages that come in bursts for one destination
	BurstSize        int           // messages of a burst
	Weights          []float64     // of the destinations
	Retries          int           // of a client, for one message
	HonorRetryAfter  float64       // fraction of rejections after which the client waits as long as asked
	LeaverFraction   float64       // of clients that disconnect before their answer
	Backoff          minMax        // of a client's retry
	BodySize         [2]int        // bytes, smallest and largest
	FailureDetection minMax        // until the load balancer notices that a relay is gone
	ResponseTimeout  time.Duration
}

// StandardLoad is the traffic of a quiet day.
func StandardLoad(rate float64, weights []float64) Load {
	const ms = time.Millisecond
	return Load{
		Rate:             rate,
		Swing:            0.2,
		Period:           20 * time.Second,
		BurstFraction:    0.1,
		BurstSize:        8,
		Weights:          weights,
		Retries:          2,
		HonorRetryAfter:  0.7,
		Backoff:          minMax{570 * ms, 1400 * ms},
		BodySize:         [2]int{40, 400},
		FailureDetection: minMax{1300 * ms, 3500 * ms},
		ResponseTimeout:  400 * ms,
	}
}

const (
	arrivalSeed  = 0x61727269
	burstSpacing = time.Millisecond // between the messages of a burst
)

// Arrival is one message before any client has submitted it.
type Arrival struct {
	At          time.Duration // from the start of the load
	Class       int           // an index into Classes
	Destination int
	Size        int // bytes
}

// Arrivals draws messages ahead of time, so that when they are due depends on
// nothing that the relays do. It is not safe for concurrent use.
type Arrivals struct {
	load   Load
	random *rand.Rand
	lastAt time.Duration
	next   []Arrival
}

// NewArrivals returns the sequence of one seed.
func NewArrivals(load Load, seed uint64) *Arrivals {
	return &Arrivals{load: load, random: rand.New(rand.NewPCG(seed, arrivalSeed))}
}

// Next returns the next message that is due.
func (a *Arrivals) Next() Arrival {
	if len(a.next) == 0 {
		a.draw()
	}
	first := a.next[0]
	a.next = a.next[1:]
	return first
}

// draw draws the next message or burst.
func (a *Arrivals) draw() {
	load := &a.load
	count, destination := 1, pickWeighted(a.random, load.Weights)
	rate := load.Rate
	if load.BurstSize > 1 && load.BurstFraction > 0 { // arrivals are fewer, since some bring many messages
		size := float64(load.BurstSize)
		arrivalsPerMessage := 1 / (1 - load.BurstFraction + load.BurstFraction/size)
		if a.random.Float64() < load.BurstFraction/size*arrivalsPerMessage {
			count = load.BurstSize
		}
		rate /= arrivalsPerMessage
	}
	if load.Period > 0 { // a triangle between the extremes
		phase := float64(a.lastAt%load.Period) / float64(load.Period)
		rate *= 1 + load.Swing*(1-4*math.Abs(phase-0.5))
	}
	a.lastAt += time.Duration(a.random.ExpFloat64() / rate * float64(time.Second))
	for i := range count {
		class := 0
		if a.random.Float64() >= Classes()[0].Fraction {
			class = 1
		}
		size := load.BodySize[0] + a.random.IntN(load.BodySize[1]-load.BodySize[0]+1)
		a.next = append(a.next, Arrival{a.lastAt + time.Duration(i)*burstSpacing, class, destination, size})
	}
}

// pickWeighted draws an index, each in proportion to its weight.
func pickWeighted(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	remaining := random.Float64() * total
	for i, weight := range weights {
		if remaining -= weight; remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}
