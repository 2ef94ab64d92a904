package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// Load describes the traffic of the clients. Fractions are from 0 to 1.
type Load struct {
	Rate             float64       // messages a second, over all relays
	Swing            float64       // fraction of Rate by which the rate rises and falls around it
	Period           time.Duration // length of one rise and fall; 0 for a constant rate
	BurstFraction    float64       // fraction of messages that arrive in bursts, each for one destination
	BurstSize        int           // number of messages in a burst
	Weights          []float64     // share of each destination in the traffic, relative to the others
	Retries          int           // largest number of times that a client submits one message again
	HonorRetryAfter  float64       // fraction of rejections with a Retry-After that the client follows
	LeaverFraction   float64       // fraction of clients that may disconnect before their answer
	Backoff          minMax        // wait of a client before a retry
	BodySize         [2]int        // smallest and largest body of a message, in bytes
	FailureDetection minMax        // time until the load balancer notices that a relay is down
	ResponseTimeout  time.Duration // how long a client waits for an answer
}

// StandardLoad returns the ordinary traffic at a given rate, without leaving clients.
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
	burstSpacing = time.Millisecond // time between two messages of a burst
)

// Arrival is one message that is to be submitted, and when.
type Arrival struct {
	At          time.Duration // time from the start of the load
	Class       int           // index into Classes
	Destination int
	Size        int // of the body, in bytes
}

// Arrivals draws the sequence of messages from a seed alone, so that when they are due
// does not depend on what the relays do. It is not safe for concurrent use.
type Arrivals struct {
	load   Load
	random *rand.Rand
	lastAt time.Duration
	next   []Arrival
}

// NewArrivals returns the sequence of messages for one seed.
func NewArrivals(load Load, seed uint64) *Arrivals {
	return &Arrivals{load: load, random: rand.New(rand.NewPCG(seed, arrivalSeed))}
}

// Next returns the next message of the sequence.
func (a *Arrivals) Next() Arrival {
	if len(a.next) == 0 {
		a.draw()
	}
	first := a.next[0]
	a.next = a.next[1:]
	return first
}

// draw adds the next message or burst to the sequence.
func (a *Arrivals) draw() {
	load := &a.load
	count, destination := 1, pickWeighted(a.random, load.Weights)
	rate := load.Rate
	if load.BurstSize > 1 && load.BurstFraction > 0 { // there are fewer arrivals than messages, since a burst is one arrival
		size := float64(load.BurstSize)
		arrivalsPerMessage := 1 / (1 - load.BurstFraction + load.BurstFraction/size)
		if a.random.Float64() < load.BurstFraction/size*arrivalsPerMessage {
			count = load.BurstSize
		}
		rate /= arrivalsPerMessage
	}
	if load.Period > 0 { // the rate follows a triangle wave between its extremes
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

// pickWeighted draws an index of weights, each with a probability in proportion to its
// weight.
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
