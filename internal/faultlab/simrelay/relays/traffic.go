package relays

import (
	"math/rand/v2"
	"time"

	"plovershore/internal/faultlab/simrelay"
	"plovershore/policy"
)

const arrivalSeed = 0x686f6c6c

// arrivals makes the times, classes and outcomes of one relay's messages. The times do not
// depend on what happened to earlier messages.
type arrivals struct {
	stream *simrelay.Stream
	random *rand.Rand
	nextAt time.Time // time of the next message; zero while none are made
}

// start makes the first message due after a random gap from now.
func (a *arrivals) start(now time.Time) {
	if a.stream.Rate > 0 {
		a.nextAt = now.Add(a.drawGap())
	}
}

func (a *arrivals) stop() { a.nextAt = time.Time{} }

func (a *arrivals) drawGap() time.Duration {
	return time.Duration(a.random.ExpFloat64() / a.stream.Rate * float64(time.Second))
}

// drawClass draws a message's class by the classes' fractions.
func (a *arrivals) drawClass() int {
	draw := a.random.Float64()
	for i := range a.stream.Classes {
		if draw -= a.stream.Classes[i].Fraction; draw < 0 {
			return i
		}
	}
	return len(a.stream.Classes) - 1
}

// drawOutcome draws the outcome and the end of an attempt, which lasts at most limit. An
// attempt at a destination that is down fails to connect; any other delivers the message
// within its class's range of service times, or times out.
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
