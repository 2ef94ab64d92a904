package relays

import (
	"container/heap"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/simrelay"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// attempt is one attempt to deliver a message. Its outcome and its end are drawn at random
// when it begins.
type attempt struct {
	message   *message
	number    int
	endpoint  policy.Endpoint
	endsAt    time.Time
	began     time.Time
	outcome   policy.Outcome
	heapIndex int // index in the relay's heap of attempts in flight; -1 if it is not there
}

// attempts is a heap of attempts in flight, ordered by the time at which they end.
type attempts []*attempt

// Len implements heap.Interface.
func (a attempts) Len() int { return len(a) }

// Less orders the attempts by the time at which they end.
func (a attempts) Less(i, j int) bool { return a[i].endsAt.Before(a[j].endsAt) }

// Swap exchanges two attempts and updates their heapIndex.
func (a attempts) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].heapIndex, a[j].heapIndex = i, j
}

// Push implements heap.Interface: it appends an attempt.
func (a *attempts) Push(x any) {
	pushed := x.(*attempt)
	pushed.heapIndex = len(*a)
	*a = append(*a, pushed)
}

// Pop implements heap.Interface: it removes the last attempt.
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

// logAttempt writes an attempt to the message log. The attempt starts once the write has
// finished. One that may no longer be sent ends at once with the outcome NotSent.
func (r *relay) logAttempt(m *message, action *policy.Action) {
	deadline := r.began.Add(time.Duration(action.Deadline-clockStart) * time.Microsecond)
	next := &attempt{message: m, number: m.attempts - 1, endpoint: action.Endpoint, heapIndex: -1, endsAt: deadline}
	target := r.list.byNumber[action.Endpoint]
	if !r.maySend(m, target, action) {
		next.outcome = policy.NotSent
		r.finishAttempt(next, time.Now())
		return
	}
	m.inFlight = next
	record := &wal.Record{Kind: wal.KindAttempt, ID: m.record.ID, At: time.Now().UnixMicro(), Endpoint: target.id, Process: r.wal.Process}
	r.wal.Submit(record, func(error) { r.inbox.Put(event{attemptLogged: next}) })
}

// maySend reports whether an attempt may still start: its deadlines have not passed, and
// its endpoint is up and serves the message's destination.
func (r *relay) maySend(m *message, target *endpoint, action *policy.Action) bool {
	now := r.now()
	inTime := action.Deadline > now && (action.SendBy == 0 || action.SendBy > now)
	return inTime && !m.completed && target != nil && target.phase == discovery.Up && target.destination == m.record.Dest
}

// startAttempt starts an attempt that the message log contains.
func (r *relay) startAttempt(started *attempt) {
	if started.message.inFlight != started {
		return // the attempt was cancelled during the write to the log
	}
	r.updateCounts(func(c *simrelay.Counts) { c.Calls++ })
	started.began = time.Now()
	r.arrivals.drawOutcome(started, started.endsAt.Sub(started.began))
	heap.Push(&r.inFlight, started)
}

// finishAttempt reports the end of an attempt to the policy and logs it. A delivery
// completes the message.
func (r *relay) finishAttempt(finished *attempt, now time.Time) {
	m := finished.message
	m.inFlight = nil
	wasCompleted, isDelivered := m.completed, finished.outcome == policy.Delivered
	r.events = append(r.events, finished.event(wasCompleted || isDelivered, now))
	record := &wal.Record{Kind: wal.KindOutcome, ID: m.record.ID, MayHaveRun: !finished.outcome.NeverRan()}
	if isDelivered {
		record.Kind = wal.KindCompleted
	}
	r.wal.Submit(record, nil)
	if isDelivered && !wasCompleted {
		r.complete(m, func(c *simrelay.Counts) { c.Delivered++ })
	}
	if m.completed { // a message that was completed before this attempt ended has had its response
		delete(r.messages, m.number)
	}
}

// event returns the policy event that reports the attempt's outcome.
func (a *attempt) event(final bool, now time.Time) policy.Event {
	e := policy.Event{Kind: policy.EventAttemptDone, Message: a.message.number, Attempt: a.number, Endpoint: a.endpoint,
		Outcome: a.outcome, Final: final, NewConnection: true}
	if !a.began.IsZero() {
		e.Latency = now.Sub(a.began).Microseconds()
	}
	if a.outcome == policy.Delivered {
		e.Load = policy.LoadReport{Remaining: 1, Present: true}
	}
	return e
}
