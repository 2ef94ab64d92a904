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
	nextAt time.Time // zero while nothing comes
}

// start has messages arrive from now on.
func (a *arrivals) start(now time.Time) {
	if a.stream.Rate > 0 {
		a.nextAt = now.Add(a.drawGap())
	}
}

func (a *arrivals) stop() { a.nextAt = time.Time{} }

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
func (a *arrivals) drawOutcome(started *attempt, limit time.Duration) {
	stream := a.stream
	serviceTime := stream.Classes[started.message.class].ServiceTime
	duration := serviceTime[0] + time.Duration(a.random.Float64()*float64(serviceTime[1]-serviceTime[0]))
	started.outcome = policy.Delivered
	if stream.Down.At(started.message.record.Dest, started.began.UnixMicro()) {
		started.outcome, duration = policy.ConnectFailed, stream.ConnectTimeout
	}
	if duration > limit {
		duration = max(limit, 0)
		if started.outcome == policy.Delivered {
			started.outcome = policy.TimedOut
		}
	}
	started.endsAt = started.began.Add(duration)
}
