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
	destinationsUp   = 200             // destinations in addition to destinationsDown
	failedCallsLimit = 2 * time.Second // longest real time that measureRecovery spends on failed calls
)

var errNothingShed = errors.New("policy: holds all it may and ends nothing")

func policyJobs() []job {
	queueSizes, queueSmoke := []int{100, 330, 1000, 3300, 10_000}, []int{30, 300}
	quantity := func(name, unit, sizeUnit string, target float64) Quantity {
		return Quantity{Role: "relay", Name: name, Unit: unit, SizeUnit: sizeUnit, Target: target}
	}
	const queued, inFlight, list = "messages in one queue", "messages held", "members"
	longestQueue := float64(targetInFlight) / destinationsDown // mean queue length when all messages wait for destinations that are down
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

// measureListUpdates times these steps of a policy: a complete list, the same list again,
// a change of one member, a delivery with and without a load report, and a failed call of
// a destination that is down. It also measures the memory that the list takes.
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

// meanChangeTime returns the mean time of a step with a change of one member, which
// alternates between draining and ready.
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

// meanFailedCallTime returns the mean time of a step with a failed connection attempt to a
// destination that is down, while a few messages wait for it.
func (d *policyDriver) meanFailedCallTime(destination int) (float64, error) {
	const waitingMessages, maxTrials = 20, 200
	for range waitingMessages {
		d.step(d.newMessage(destination, idempotentClass))
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
		if d.undelivered > 0 { // adds a message in place of those that the policy gave up, so that some keep waiting
			d.undelivered = 0
			d.step(d.newMessage(destination, idempotentClass))
		}
	}
	return meanMicros(took, max(trials, 1)), nil
}

// meanDeliveryTime returns the mean time that the policy takes for a message's submission
// and its delivery, whose answer carries the load report. The messages go to the given
// number of destinations, from first on.
func (d *policyDriver) meanDeliveryTime(first, destinations int, load policy.LoadReport) (float64, error) {
	const perDestination = 25
	var took time.Duration
	for round := range perDestination + 1 {
		for i := range destinations {
			d.now += stepInterval * 100
			messageTime := d.step(d.newMessage(first+i, idempotentClass))
			for len(d.inFlight) > 0 {
				e, err := d.finishOldestAttempt(policy.Delivered, 0)
				if err != nil {
					return 0, err
				}
				e.Load = load
				messageTime += d.step(e)
			}
			if round > 0 { // the first round makes the load reports known to the policy and is not timed
				took += messageTime
			}
		}
	}
	return meanMicros(took, perDestination*destinations), nil
}

// measureRecovery times the step in which a policy receives recovered messages, as a
// starting relay passes them on from its log, and then the failed calls to their
// destinations, which refuse connections.
func measureRecovery(_ context.Context, _ *environment, size int) ([]float64, error) {
	d, err := newPolicyDriver(size, 0)
	if err != nil {
		return nil, err
	}
	const messageCount = 2000 // as many as a relay reads from its log at a time
	var pending []policy.Event
	for i := range messageCount {
		e := d.newMessage(i%min(size, destinationsDown), idempotentClass)
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

// measureAvailableQueue times deliveries and submissions at one available destination
// while its queue keeps the given length, and then the delivery of the whole queue.
func measureAvailableQueue(_ context.Context, _ *environment, size int) ([]float64, error) {
	d, err := newPolicyDriver(1, 0)
	if err != nil {
		return nil, err
	}
	for range size {
		d.step(d.newMessage(0, idempotentClass))
	}
	const rounds = 100
	var outcomes, submitted, drained time.Duration
	for range rounds {
		took, err := d.deliverOldest()
		if err != nil {
			return nil, err
		}
		outcomes += took
		submitted += d.step(d.newMessage(0, idempotentClass))
	}
	for range size - d.undelivered {
		took, err := d.deliverOldest()
		if err != nil {
			return nil, err
		}
		drained += took
	}
	return []float64{meanMicros(outcomes, rounds), meanMicros(submitted, rounds), drained.Seconds() * 1e3}, nil
}

// measurePausedQueue times submissions for a destination that has asked the relay to wait
// and already has a queue of the given length.
func measurePausedQueue(_ context.Context, _ *environment, size int) ([]float64, error) {
	d, err := newPolicyDriver(1, 0)
	if err != nil {
		return nil, err
	}
	if err := d.pauseDestination(0); err != nil {
		return nil, err
	}
	class := func(i int) int { return i % 10 / 7 } // 3 of 10 messages are not idempotent, as in the fleet's traffic
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

// fillWithMessages pauses the given number of destinations, beginning with the one
// numbered from, and makes the policy hold size messages for them.
func (d *policyDriver) fillWithMessages(size, from, destinations int) error {
	for i := range destinations {
		if err := d.pauseDestination(from + i); err != nil {
			return err
		}
	}
	for i := range size - destinations {
		d.step(d.newMessage(from+i%destinations, idempotentClass))
	}
	return nil
}

// measurePendingMessages measures the memory that pending messages of unavailable
// destinations take in the policy, and how long deliveries to available destinations take
// meanwhile.
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
	idempotent, err := d.meanTimeOfClass(idempotentClass)
	if err != nil {
		return nil, err
	}
	nonIdempotent, err := d.meanTimeOfClass(nonIdempotentClass)
	if err != nil {
		return nil, err
	}
	allSlotsUsed, err := d.meanTimeWithAllSlots()
	return []float64{max(memory, 0) / 1e6, idempotent, nonIdempotent, allSlotsUsed}, err
}

const timedRounds = 100

// meanTimeOfClass returns the mean time that the policy takes for a message of a class,
// from its submission to its delivery, at available destinations.
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

// meanTimeWithAllSlots returns the mean time of a delivery's outcome while non-idempotent
// messages occupy every call slot and more of them wait for one.
func (d *policyDriver) meanTimeWithAllSlots() (float64, error) {
	for i := range 4 * callSlots {
		d.now += stepInterval
		d.step(d.newMessage(i%destinationsUp, nonIdempotentClass))
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

// measureShedding times submissions to a policy that holds as many messages as it may, its
// maximum less the places that it keeps free, and so must reject or give up one for each.
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
	undeliveredBefore := d.undelivered
	var took time.Duration
	for i := range rounds {
		took += d.step(d.newMessage(destinations-down+i%down, idempotentClass))
	}
	if d.undelivered == undeliveredBefore {
		return nil, errNothingShed
	}
	return []float64{meanMicros(took, rounds)}, nil
}
