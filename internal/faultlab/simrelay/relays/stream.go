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
	message *message
	number  int
	at      policy.Endpoint
	due     time.Time
	began   time.Time
	outcome policy.Outcome
	place   int // in the heap; -1 once it is out of it
}

// attempts are those that are out, the next to end first.
type attempts []*attempt

func (a attempts) Len() int           { return len(a) }
func (a attempts) Less(i, j int) bool { return a[i].due.Before(a[j].due) }
func (a attempts) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].place, a[j].place = i, j
}

// Push adds at the end, for package heap.
func (a *attempts) Push(x any) {
	one := x.(*attempt)
	one.place = len(*a)
	*a = append(*a, one)
}

// Pop takes the last, for package heap.
func (a *attempts) Pop() any {
	last := len(*a) - 1
	one := (*a)[last]
	(*a)[last], *a = nil, (*a)[:last]
	one.place = -1
	return one
}

func (a *attempts) remove(one *attempt) {
	if one.place >= 0 {
		heap.Remove(a, one.place)
	}
}

// arrivals is the open loop by which messages come to one relay.
type arrivals struct {
	stream *simrelay.Stream
	random *rand.Rand
	next   time.Time // zero while nothing comes
}

// begin has messages come from now on.
func (a *arrivals) begin(now time.Time) {
	if a.stream.Rate > 0 {
		a.next = now.Add(a.gap())
	}
}

func (a *arrivals) end() { a.next = time.Time{} }

func (a *arrivals) gap() time.Duration {
	return time.Duration(a.random.ExpFloat64() / a.stream.Rate * float64(time.Second))
}

// class draws the class of a message.
func (a *arrivals) class() int {
	draw := a.random.Float64()
	for i := range a.stream.Classes {
		if draw -= a.stream.Classes[i].Share; draw < 0 {
			return i
		}
	}
	return len(a.stream.Classes) - 1
}

// call settles how an attempt ends: a destination that is down answers no
// connection, another takes the message in its class's time.
func (a *arrivals) call(one *attempt, limit time.Duration) {
	stream := a.stream
	took := stream.Classes[one.message.class].Took
	span := took[0] + time.Duration(a.random.Float64()*float64(took[1]-took[0]))
	one.outcome = policy.Delivered
	if stream.Down.At(one.message.record.Dest, one.began.UnixMicro()) {
		one.outcome, span = policy.ConnectFailed, stream.Connect
	}
	if span > limit {
		span = max(limit, 0)
		if one.outcome == policy.Delivered {
			one.outcome = policy.TimedOut
		}
	}
	one.due = one.began.Add(span)
}
