package relays

import (
	"math/rand/v2"
	"time"

	"plovershore/internal/faultlab/simrelay"
	"plovershore/policy"
)

const arrivalSeed = 0x686f6c6c

// arrivals draws when messages come to one relay, whatever becomes of those before.
type arrivals struct {
	stream *simrelay.Stream
	random *rand.Rand
	next   time.Time // zero while nothing comes
}

// start has messages arrive from now on.
func (a *arrivals) start(now time.Time) {
	if a.stream.Rate > 0 {
		a.next = now.Add(a.drawGap())
	}
}

func (a *arrivals) stop() { a.next = time.Time{} }

func (a *arrivals) drawGap() time.Duration {
	return time.Duration(a.random.ExpFloat64() / a.stream.Rate * float64(time.Second))
}

// drawClass draws the class of a message.
func (a *arrivals) drawClass() int {
	draw := a.random.Float64()
	for i := range a.stream.Classes {
		if draw -= a.stream.Classes[i].Fraction; draw < 0 {
			return i
		}
	}
	return len(a.stream.Classes) - 1
}

// settle draws how an attempt ends within a limit: a destination that is down
// answers no connection, any other delivers the message in its class's time.
func (a *arrivals) settle(settled *attempt, limit time.Duration) {
	stream := a.stream
	took := stream.Classes[settled.message.class].ServiceTime
	span := took[0] + time.Duration(a.random.Float64()*float64(took[1]-took[0]))
	settled.outcome = policy.Delivered
	if stream.Down.At(settled.message.record.Dest, settled.began.UnixMicro()) {
		settled.outcome, span = policy.ConnectFailed, stream.ConnectTimeout
	}
	if span > limit {
		span = max(limit, 0)
		if settled.outcome == policy.Delivered {
			settled.outcome = policy.TimedOut
		}
	}
	settled.endsAt = settled.began.Add(span)
}
