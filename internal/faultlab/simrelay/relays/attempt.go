package relays

import (
	"container/heap"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/simrelay"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// attempt is one attempt of a message; how it ends is drawn when it begins.
type attempt struct {
	message   *message
	number    int
	endpoint  policy.Endpoint
	endsAt    time.Time
	began     time.Time
	outcome   policy.Outcome
	heapIndex int // in the attempts in flight; -1 if it is not there
}

// attempts is a heap of the attempts in flight, the next to end first.
type attempts []*attempt

// Len is for package heap.
func (a attempts) Len() int { return len(a) }

// Less puts the next to end first.
func (a attempts) Less(i, j int) bool { return a[i].endsAt.Before(a[j].endsAt) }

// Swap keeps the attempts' indexes.
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

// logAttempt writes an attempt to the log; the call begins once the log has it.
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

// maySend reports whether an attempt can still begin.
func (r *relay) maySend(m *message, target *endpoint, action *policy.Action) bool {
	now := r.now()
	inTime := action.Deadline > now && (action.SendBy == 0 || action.SendBy > now)
	return inTime && !m.completed && target != nil && target.phase == discovery.Up && target.destination == m.record.Dest
}

// startAttempt begins an attempt that is in the log.
func (r *relay) startAttempt(started *attempt) {
	if started.message.inFlight != started {
		return // cancelled meanwhile
	}
	r.updateCounts(func(c *simrelay.Counts) { c.Calls++ })
	started.began = time.Now()
	r.arrivals.drawOutcome(started, started.endsAt.Sub(started.began))
	heap.Push(&r.inFlight, started)
}

// finishAttempt records the end of an attempt.
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
	if m.completed { // if it was before, its notice is on its way
		delete(r.messages, m.number)
	}
}

// event is the attempt's end, for the policy.
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
