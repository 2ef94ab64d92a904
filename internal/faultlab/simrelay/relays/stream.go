package relays

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"plovershore/internal/faultlab/simrelay"
	"plovershore/policy"
)

// attempt is one that is out: its end is settled when it begins.
type attempt struct {
	message   *message
	number    int
	endpoint  policy.Endpoint
	endsAt    time.Time
	began     time.Time
	outcome   policy.Outcome
	heapIndex int // in the heap; -1 once it is out of it
}

// attempts are those that are out, the next to end first.
type attempts []*attempt

func (a attempts) Len() int           { return len(a) }
func (a attempts) Less(i, j int) bool { return a[i].endsAt.Before(a[j].endsAt) }
func (a attempts) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].heapIndex, a[j].heapIndex = i, j
}

// Push adds at the end, for package heap.
func (a *attempts) Push(x any) {
	pushed := x.(*attempt)
	pushed.heapIndex = len(*a)
	*a = append(*a, pushed)
}

// Pop takes the last, for package heap.
func (a *attempts) Pop() any {
	last := len(*a) - 1
	popped := (*a)[last]
	(*a)[last], *a = nil, (*a)[:last]
	popped.heapIndex = -1
	return popped
}

func (a *attempts) remove(removed *attempt) {
	if removed.heapIndex >= 0 {
		heap.Remove(a, removed.heapIndex)
	}
}

// arrivals is the open loop by which messages come to one relay.
type arrivals struct {
	stream *simrelay.Stream
	random *rand.Rand
	next   time.Time // zero while nothing comes
}

// start has messages come from now on.
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

// settle settles how an attempt ends: a destination that is down answers no
// connection, another takes the message in its class's time.
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
