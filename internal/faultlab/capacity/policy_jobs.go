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
	failedLimit      = 2 * time.Second // of failing calls in one run
)

var errNotFull = errors.New("policy: holds all it may and ends nothing")

func policyJobs() []job {
	queueSizes, queueSmoke := []int{100, 330, 1000, 3300, 10_000}, []int{30, 300}
	quantity := func(name, unit, sizeUnit string, target float64) Quantity {
		return Quantity{Role: "relay", Name: name, Unit: unit, SizeUnit: sizeUnit, Target: target}
	}
	const queued, inFlight, list = "messages in one queue", "messages held", "members"
	longest := float64(targetInFlight) / destinationsDown // in one queue, where all wait for destinations that are down
	memory := quantity("policy's memory of the list", "MB", list, targetMembers)
	memory.Budget = budgetMemory
	inFlightMemory := quantity("policy's memory of held messages, without bodies", "MB", inFlight, targetInFlight)
	inFlightMemory.Budget = budgetMemory
	return []job{
		{name: "policy-list", sizes: memberSizes, smoke: smokeSizes, run: policyList, quantities: []Quantity{
			quantity("a whole list, one step", "ms", list, targetMembers), memory,
			quantity("the same list again", "ms", list, targetMembers),
			quantity("a change of one member", "us", list, targetMembers),
			quantity("a delivery at a destination that told its limit", "us", list, targetMembers),
			quantity("a delivery at a destination that told none", "us", list, targetMembers),
			quantity("a failed trial call of one that is down", "us", list, targetMembers)}},
		{name: "owed-list", sizes: memberSizes, smoke: []int{1000, 3000}, run: pendingNotices, quantities: []Quantity{
			quantity("taking up 2,000 owed messages for 589 destinations", "ms", list, targetMembers),
			quantity("each failed call of those", "us", list, targetMembers)}},
		{name: "queue", sizes: queueSizes, smoke: queueSmoke, run: queueUp, quantities: []Quantity{
			quantity("an outcome", "us", queued, longest), quantity("a message handed in", "us", queued, longest),
			quantity("working the whole queue off", "ms", queued, longest)}},
		{name: "queue-down", sizes: queueSizes, smoke: queueSmoke, run: queueDown, quantities: []Quantity{
			quantity("a message handed in for a destination that is down", "us", queued, longest)}},
		{name: "held", sizes: []int{1000, 10_000, 100_000, 300_000, 1_000_000}, smoke: []int{1000, 10_000}, run: messagesInFlight, quantities: []Quantity{
			inFlightMemory, quantity("a delivery, safe class", "us", inFlight, targetInFlight), quantity("a delivery, unsafe class", "us", inFlight, targetInFlight),
			quantity("an outcome, unsafe class, all slots taken", "us", inFlight, targetInFlight)}},
		{name: "shed", sizes: []int{1000, 3300, 10_000, 33_000, 100_000}, smoke: []int{1000, 10_000}, quantities: []Quantity{
			quantity("a message handed in when full", "us", "messages held at most", targetInFlight)},
			run: func(_ context.Context, e *environment, size int) ([]float64, error) {
				return shed(size, destinationsDown+destinationsUp)
			}},
		{name: "shed-list", sizes: memberSizes, smoke: []int{300, 3000}, quantities: []Quantity{
			quantity("a message handed in when 10,000 fill it", "us", list, targetMembers)},
			run: func(_ context.Context, e *environment, size int) ([]float64, error) {
				return shed(scaled(e, 500, 10_000), size)
			}},
	}
}

// policyList times a complete list in one step, the same again, a change of one
// member, a delivery, and trial calls of a destination that is down.
func policyList(_ context.Context, _ *environment, size int) ([]float64, error) {
	s, err := policySettings(0)
	if err != nil {
		return nil, err
	}
	all := entries(size)
	before := heapBytes()
	p, err := policy.New(s, 1)
	if err != nil {
		return nil, err
	}
	d := &driver{policy: p, now: policyWait, attempts: map[uint32]int{}}
	whole := policy.Event{Kind: policy.EventListUpdate, ListUpdate: policy.ListFull, Entries: all}
	first := d.step(whole)
	memory := heapBytes() - before
	again := d.step(whole)
	changed := d.changes(size)
	told, err := d.deliveries(0, min(size/4, 20), policy.LoadReport{Remaining: 0.5, Limit: 100, Present: true})
	if err != nil {
		return nil, err
	}
	untold, err := d.deliveries(size/4, min(size/4, 20), policy.LoadReport{})
	if err != nil {
		return nil, err
	}
	failed, err := d.trials(size - 1)
	runtime.KeepAlive(all)
	return []float64{first.Seconds() * 1e3, max(memory, 0) / 1e6, again.Seconds() * 1e3, changed, told, untold, failed}, err
}

// changes gives the mean time of a member's change, over members that drain and
// come back.
func (d *driver) changes(members int) float64 {
	const changes = 2000
	var took time.Duration
	for i := range changes {
		d.now += policyMoment
		state := policy.Draining
		if i%2 == 1 {
			state = policy.Ready
		}
		took += d.step(policy.Event{Kind: policy.EventListUpdate, ListUpdate: policy.ListDelta, Entries: []policy.Entry{entry(i/2%members, state)}})
	}
	return micros(took, changes)
}

// trials gives the mean time of a failed call of one destination that is down,
// with a few messages waiting there.
func (d *driver) trials(destination int) (float64, error) {
	const waiting, most = 20, 200
	for range waiting {
		d.step(d.message(destination, safeClass))
	}
	var took time.Duration
	trials := 0
	for end := d.now + policyWait/6; d.now < end && trials < most; d.now += policyMoment * 10 {
		d.step(policy.Event{Kind: policy.EventTimer})
		for len(d.out) > 0 {
			e, err := d.outcome(policy.ConnectFailed, 0)
			if err != nil {
				return 0, err
			}
			took += d.step(e)
			trials++
		}
		if d.completed > 0 { // what was given up is submitted again
			d.completed = 0
			d.step(d.message(destination, safeClass))
		}
	}
	return micros(took, max(trials, 1)), nil
}

// deliveries gives the mean time of a message submitted and its answer with a
// load report, over some destinations that are up.
func (d *driver) deliveries(first, destinations int, load policy.LoadReport) (float64, error) {
	const each = 25
	var took time.Duration
	for round := range each + 1 {
		for i := range destinations {
			d.now += policyMoment * 100
			span := d.step(d.message(first+i, safeClass))
			for len(d.out) > 0 {
				e, err := d.outcome(policy.Delivered, 0)
				if err != nil {
					return 0, err
				}
				e.Load = load
				span += d.step(e)
			}
			if round > 0 { // by the first answer the report is known
				took += span
			}
		}
	}
	return micros(took, each*destinations), nil
}

// pendingNotices times one slice of pending messages, as a start reads them, for
// destinations that refuse connections, and the calls that fail.
func pendingNotices(_ context.Context, _ *environment, size int) ([]float64, error) {
	d, err := newDriver(size, 0)
	if err != nil {
		return nil, err
	}
	const slice = 2000 // as the relay reads
	var pending []policy.Event
	for i := range slice {
		e := d.message(i%min(size, destinationsDown), safeClass)
		e.Recovered = true
		pending = append(pending, e)
	}
	taken := d.step(pending...)
	var failed time.Duration
	calls := 0
	for limit := time.Now().Add(failedLimit); len(d.out) > 0 && time.Now().Before(limit); calls++ {
		d.now += policyMoment / 10
		e, err := d.outcome(policy.ConnectFailed, 0)
		if err != nil {
			return nil, err
		}
		failed += d.step(e)
	}
	return []float64{taken.Seconds() * 1e3, micros(failed, max(calls, 1))}, nil
}

// queueUp times outcomes at a destination whose queue is kept at a length, and
// then how long the whole queue takes.
func queueUp(_ context.Context, _ *environment, size int) ([]float64, error) {
	d, err := newDriver(1, 0)
	if err != nil {
		return nil, err
	}
	for range size {
		d.step(d.message(0, safeClass))
	}
	const rounds = 100
	var outcomes, taken, all time.Duration
	for range rounds {
		took, err := d.deliver()
		if err != nil {
			return nil, err
		}
		outcomes += took
		taken += d.step(d.message(0, safeClass))
	}
	for range size - d.completed {
		took, err := d.deliver()
		if err != nil {
			return nil, err
		}
		all += took
	}
	return []float64{micros(outcomes, rounds), micros(taken, rounds), all.Seconds() * 1e3}, nil
}

// queueDown times messages submitted for a destination that asked the relay to
// wait and has a queue already.
func queueDown(_ context.Context, _ *environment, size int) ([]float64, error) {
	d, err := newDriver(1, 0)
	if err != nil {
		return nil, err
	}
	if err := d.shut(0); err != nil {
		return nil, err
	}
	class := func(i int) int { return i % 10 / 7 } // three in ten are unsafe, as in the traffic
	for i := range size {
		d.step(d.message(0, class(i)))
	}
	rounds := max(10, size/20)
	var took time.Duration
	for i := range rounds {
		took += d.step(d.message(0, class(i)))
	}
	return []float64{micros(took, rounds)}, nil
}

// fill has a policy hold so many messages, for destinations that are down.
func (d *driver) fill(size, from, destinations int) error {
	for i := range destinations {
		if err := d.shut(from + i); err != nil {
			return err
		}
	}
	for i := range size - destinations {
		d.step(d.message(from+i%destinations, safeClass))
	}
	return nil
}

// messagesInFlight measures what a message in flight costs in memory, and what all in flight
// messages cost each delivery at destinations that are up.
func messagesInFlight(_ context.Context, _ *environment, size int) ([]float64, error) {
	d, err := newDriver(destinationsDown+destinationsUp, 0)
	if err != nil {
		return nil, err
	}
	before := heapBytes()
	if err := d.fill(size, destinationsUp, destinationsDown); err != nil {
		return nil, err
	}
	memory := heapBytes() - before
	runtime.KeepAlive(d)
	safe, err := d.ofClass(safeClass)
	if err != nil {
		return nil, err
	}
	unsafe, err := d.ofClass(unsafeClass)
	if err != nil {
		return nil, err
	}
	full, err := d.withAllSlots()
	return []float64{max(memory, 0) / 1e6, safe, unsafe, full}, err
}

const timedRounds = 100

// ofClass gives the mean time of a message of a class and its answer, at
// destinations that are up.
func (d *driver) ofClass(class int) (float64, error) {
	var took time.Duration
	for i := range timedRounds {
		d.now += policyMoment
		took += d.step(d.message(i%destinationsUp, class))
		for len(d.out) > 0 {
			e, err := d.outcome(policy.Delivered, 0)
			if err != nil {
				return 0, err
			}
			took += d.step(e)
		}
	}
	return micros(took, timedRounds), nil
}

// withAllSlots gives the mean time of an answer while every slot has a call of an
// unsafe message and more of them wait.
func (d *driver) withAllSlots() (float64, error) {
	for i := range 4 * policySlots {
		d.now += policyMoment
		d.step(d.message(i%destinationsUp, unsafeClass))
	}
	var took time.Duration
	n := 0
	for ; n < timedRounds && len(d.out) > 0; n++ {
		d.now += policyMoment
		e, err := d.outcome(policy.Delivered, 0)
		if err != nil {
			return 0, err
		}
		took += d.step(e)
	}
	return micros(took, max(n, 1)), nil
}

// shed times messages submitted to a policy that is full.
func shed(most, destinations int) ([]float64, error) {
	d, err := newDriver(destinations, most)
	if err != nil {
		return nil, err
	}
	down := min(destinations/2, destinationsDown, most/2)
	if err := d.fill(most-most/16, destinations-down, down); err != nil {
		return nil, err
	}
	const rounds = 50
	ended := d.completed
	var took time.Duration
	for i := range rounds {
		took += d.step(d.message(destinations-down+i%down, safeClass))
	}
	if d.completed == ended {
		return nil, errNotFull
	}
	return []float64{micros(took, rounds)}, nil
}
