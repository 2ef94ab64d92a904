package capacity

import (
	"context"
	"errors"
	"runtime"
	"time"

	"plovershore/policy"
)

const (
	destinationsDown = 589
	destinationsUp   = 200             // beside those that are down
	failedCallsLimit = 2 * time.Second // of failing calls in one run
)

var errNothingShed = errors.New("policy: holds all it may and ends nothing")

func policyJobs() []job {
	queueSizes, queueSmoke := []int{100, 330, 1000, 3300, 10_000}, []int{30, 300}
	quantity := func(name, unit, sizeUnit string, target float64) Quantity {
		return Quantity{Role: "relay", Name: name, Unit: unit, SizeUnit: sizeUnit, Target: target}
	}
	const queued, inFlight, list = "messages in one queue", "messages held", "members"
	longestQueue := float64(targetInFlight) / destinationsDown // in one queue, where all wait for destinations that are down
	memory := quantity("policy's memory of the list", "MB", list, targetMembers)
	memory.Budget = budgetMemory
	inFlightMemory := quantity("policy's memory of held messages, without bodies", "MB", inFlight, targetInFlight)
	inFlightMemory.Budget = budgetMemory
	return []job{
		{name: "policy-list", sizes: memberSizes, smoke: smokeSizes, run: measureListUpdates, quantities: []Quantity{
			quantity("a whole list, one step", "ms", list, targetMembers), memory,
			quantity("the same list again", "ms", list, targetMembers),
			quantity("a change of one member", "us", list, targetMembers),
			quantity("a delivery at a destination that told its limit", "us", list, targetMembers),
			quantity("a delivery at a destination that told none", "us", list, targetMembers),
			quantity("a failed trial call of one that is down", "us", list, targetMembers)}},
		{name: "owed-list", sizes: memberSizes, smoke: []int{1000, 3000}, run: measureRecovery, quantities: []Quantity{
			quantity("taking up 2,000 owed messages for 589 destinations", "ms", list, targetMembers),
			quantity("each failed call of those", "us", list, targetMembers)}},
		{name: "queue", sizes: queueSizes, smoke: queueSmoke, run: measureAvailableQueue, quantities: []Quantity{
			quantity("an outcome", "us", queued, longestQueue), quantity("a message handed in", "us", queued, longestQueue),
			quantity("working the whole queue off", "ms", queued, longestQueue)}},
		{name: "queue-down", sizes: queueSizes, smoke: queueSmoke, run: measurePausedQueue, quantities: []Quantity{
			quantity("a message handed in for a destination that is down", "us", queued, longestQueue)}},
		{name: "held", sizes: []int{1000, 10_000, 100_000, 300_000, 1_000_000}, smoke: []int{1000, 10_000}, run: measurePendingMessages, quantities: []Quantity{
			inFlightMemory, quantity("a delivery, safe class", "us", inFlight, targetInFlight), quantity("a delivery, unsafe class", "us", inFlight, targetInFlight),
			quantity("an outcome, unsafe class, all slots taken", "us", inFlight, targetInFlight)}},
		{name: "shed", sizes: []int{1000, 3300, 10_000, 33_000, 100_000}, smoke: []int{1000, 10_000}, quantities: []Quantity{
			quantity("a message handed in when full", "us", "messages held at most", targetInFlight)},
			run: func(_ context.Context, e *environment, size int) ([]float64, error) {
				return measureShedding(size, destinationsDown+destinationsUp)
			}},
		{name: "shed-list", sizes: memberSizes, smoke: []int{300, 3000}, quantities: []Quantity{
			quantity("a message handed in when 10,000 fill it", "us", list, targetMembers)},
			run: func(_ context.Context, e *environment, size int) ([]float64, error) {
				return measureShedding(scaled(e, 500, 10_000), size)
			}},
	}
}

// measureListUpdates times a complete list in one step, the same again, a change of one
// member, a delivery, and trial calls of a destination that is down.
func measureListUpdates(_ context.Context, _ *environment, size int) ([]float64, error) {
	s, err := policySettings(0)
	if err != nil {
		return nil, err
	}
	entries := listEntries(size)
	before := heapBytes()
	p, err := policy.New(s, 1)
	if err != nil {
		return nil, err
	}
	d := &policyDriver{policy: p, now: retryAfterDelay, attemptCounts: map[uint32]int{}}
	complete := policy.Event{Kind: policy.EventListUpdate, ListUpdate: policy.ListFull, Entries: entries}
	first := d.step(complete)
	memory := heapBytes() - before
	again := d.step(complete)
	changed := d.meanChangeTime(size)
	withReport, err := d.meanDeliveryTime(0, min(size/4, 20), policy.LoadReport{Remaining: 0.5, Limit: 100, Present: true})
	if err != nil {
		return nil, err
	}
	withoutReport, err := d.meanDeliveryTime(size/4, min(size/4, 20), policy.LoadReport{})
	if err != nil {
		return nil, err
	}
	failed, err := d.meanFailedCallTime(size - 1)
	runtime.KeepAlive(entries)
	return []float64{first.Seconds() * 1e3, max(memory, 0) / 1e6, again.Seconds() * 1e3, changed, withReport, withoutReport, failed}, err
}

// changes gives the mean time of a member's change, over members that drain and
// come back.
func (d *policyDriver) meanChangeTime(members int) float64 {
	const changes = 2000
	var took time.Duration
	for i := range changes {
		d.now += stepInterval
		state := policy.Draining
		if i%2 == 1 {
			state = policy.Ready
		}
		took += d.step(policy.Event{Kind: policy.EventListUpdate, ListUpdate: policy.ListDelta, Entries: []policy.Entry{listEntry(i/2%members, state)}})
	}
	return meanMicros(took, changes)
}

// trials gives the mean time of a failed call of one destination that is down,
// with a few messages waiting there.
func (d *policyDriver) meanFailedCallTime(destination int) (float64, error) {
	const waitingMessages, maxTrials = 20, 200
	for range waitingMessages {
		d.step(d.newMessage(destination, safeClass))
	}
	var took time.Duration
	trials := 0
	for end := d.now + retryAfterDelay/6; d.now < end && trials < maxTrials; d.now += stepInterval * 10 {
		d.step(policy.Event{Kind: policy.EventTimer})
		for len(d.inFlight) > 0 {
			e, err := d.finishOldestAttempt(policy.ConnectFailed, 0)
			if err != nil {
				return 0, err
			}
			took += d.step(e)
			trials++
		}
		if d.completed > 0 { // what was given up is submitted again
			d.completed = 0
			d.step(d.newMessage(destination, safeClass))
		}
	}
	return meanMicros(took, max(trials, 1)), nil
}

// deliveries gives the mean time of a message submitted and its answer with a
// load report, over some destinations that are up.
func (d *policyDriver) meanDeliveryTime(first, destinations int, load policy.LoadReport) (float64, error) {
	const perDestination = 25
	var took time.Duration
	for round := range perDestination + 1 {
		for i := range destinations {
			d.now += stepInterval * 100
			sinceSubmit := d.step(d.newMessage(first+i, safeClass))
			for len(d.inFlight) > 0 {
				e, err := d.finishOldestAttempt(policy.Delivered, 0)
				if err != nil {
					return 0, err
				}
				e.Load = load
				sinceSubmit += d.step(e)
			}
			if round > 0 { // by the first answer the report is known
				took += sinceSubmit
			}
		}
	}
	return meanMicros(took, perDestination*destinations), nil
}

// measureRecovery times one slice of pending messages, as a start reads them, for
// destinations that refuse connections, and the calls that fail.
func measureRecovery(_ context.Context, _ *environment, size int) ([]float64, error) {
	d, err := newPolicyDriver(size, 0)
	if err != nil {
		return nil, err
	}
	const messageCount = 2000 // as the relay reads
	var pending []policy.Event
	for i := range messageCount {
		e := d.newMessage(i%min(size, destinationsDown), safeClass)
		e.Recovered = true
		pending = append(pending, e)
	}
	recovered := d.step(pending...)
	var failed time.Duration
	calls := 0
	for limit := time.Now().Add(failedCallsLimit); len(d.inFlight) > 0 && time.Now().Before(limit); calls++ {
		d.now += stepInterval / 10
		e, err := d.finishOldestAttempt(policy.ConnectFailed, 0)
		if err != nil {
			return nil, err
		}
		failed += d.step(e)
	}
	return []float64{recovered.Seconds() * 1e3, meanMicros(failed, max(calls, 1))}, nil
}

// measureAvailableQueue times outcomes at a destination whose queue is kept at a length, and
// then how long the whole queue takes.
func measureAvailableQueue(_ context.Context, _ *environment, size int) ([]float64, error) {
	d, err := newPolicyDriver(1, 0)
	if err != nil {
		return nil, err
	}
	for range size {
		d.step(d.newMessage(0, safeClass))
	}
	const rounds = 100
	var outcomes, submitted, drained time.Duration
	for range rounds {
		took, err := d.deliverOldest()
		if err != nil {
			return nil, err
		}
		outcomes += took
		submitted += d.step(d.newMessage(0, safeClass))
	}
	for range size - d.completed {
		took, err := d.deliverOldest()
		if err != nil {
			return nil, err
		}
		drained += took
	}
	return []float64{meanMicros(outcomes, rounds), meanMicros(submitted, rounds), drained.Seconds() * 1e3}, nil
}

// measurePausedQueue times messages submitted for a destination that asked the relay to
// wait and has a queue already.
func measurePausedQueue(_ context.Context, _ *environment, size int) ([]float64, error) {
	d, err := newPolicyDriver(1, 0)
	if err != nil {
		return nil, err
	}
	if err := d.pauseDestination(0); err != nil {
		return nil, err
	}
	class := func(i int) int { return i % 10 / 7 } // three in ten are unsafe, as in the traffic
	for i := range size {
		d.step(d.newMessage(0, class(i)))
	}
	rounds := max(10, size/20)
	var took time.Duration
	for i := range rounds {
		took += d.step(d.newMessage(0, class(i)))
	}
	return []float64{meanMicros(took, rounds)}, nil
}

// fill has a policy hold so many messages, for destinations that are down.
func (d *policyDriver) fillWithMessages(size, from, destinations int) error {
	for i := range destinations {
		if err := d.pauseDestination(from + i); err != nil {
			return err
		}
	}
	for i := range size - destinations {
		d.step(d.newMessage(from+i%destinations, safeClass))
	}
	return nil
}

// measurePendingMessages measures what a message in flight costs in memory, and what all in flight
// messages cost each delivery at destinations that are up.
func measurePendingMessages(_ context.Context, _ *environment, size int) ([]float64, error) {
	d, err := newPolicyDriver(destinationsDown+destinationsUp, 0)
	if err != nil {
		return nil, err
	}
	before := heapBytes()
	if err := d.fillWithMessages(size, destinationsUp, destinationsDown); err != nil {
		return nil, err
	}
	memory := heapBytes() - before
	runtime.KeepAlive(d)
	safe, err := d.meanTimeOfClass(safeClass)
	if err != nil {
		return nil, err
	}
	unsafe, err := d.meanTimeOfClass(unsafeClass)
	if err != nil {
		return nil, err
	}
	allSlotsUsed, err := d.meanTimeWithAllSlots()
	return []float64{max(memory, 0) / 1e6, safe, unsafe, allSlotsUsed}, err
}

const timedRounds = 100

// meanTimeOfClass gives the mean time of a message of a class and its answer, at
// destinations that are up.
func (d *policyDriver) meanTimeOfClass(class int) (float64, error) {
	var took time.Duration
	for i := range timedRounds {
		d.now += stepInterval
		took += d.step(d.newMessage(i%destinationsUp, class))
		for len(d.inFlight) > 0 {
			e, err := d.finishOldestAttempt(policy.Delivered, 0)
			if err != nil {
				return 0, err
			}
			took += d.step(e)
		}
	}
	return meanMicros(took, timedRounds), nil
}

// meanTimeWithAllSlots gives the mean time of an answer while every slot has a call of an
// unsafe message and more of them wait.
func (d *policyDriver) meanTimeWithAllSlots() (float64, error) {
	for i := range 4 * callSlots {
		d.now += stepInterval
		d.step(d.newMessage(i%destinationsUp, unsafeClass))
	}
	var took time.Duration
	n := 0
	for ; n < timedRounds && len(d.inFlight) > 0; n++ {
		d.now += stepInterval
		e, err := d.finishOldestAttempt(policy.Delivered, 0)
		if err != nil {
			return 0, err
		}
		took += d.step(e)
	}
	return meanMicros(took, max(n, 1)), nil
}

// shed times messages submitted to a policy that is full.
func measureShedding(maxMessages, destinations int) ([]float64, error) {
	d, err := newPolicyDriver(destinations, maxMessages)
	if err != nil {
		return nil, err
	}
	down := min(destinations/2, destinationsDown, maxMessages/2)
	if err := d.fillWithMessages(maxMessages-maxMessages/16, destinations-down, down); err != nil {
		return nil, err
	}
	const rounds = 50
	completedBefore := d.completed
	var took time.Duration
	for i := range rounds {
		took += d.step(d.newMessage(destinations-down+i%down, safeClass))
	}
	if d.completed == completedBefore {
		return nil, errNothingShed
	}
	return []float64{meanMicros(took, rounds)}, nil
}
