package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// hostLog is the simplest form of the host's log of spilled messages: a list that is searched anew
// each time.
type hostLog struct {
	entries     []Action // spilled messages, in the order in which they were spilled
	requested   map[int]int
	withdrawals []Event // withdrawals of messages that the same step spilled
}

func (l *hostLog) spill(a Action) { l.entries = append(l.entries, a) }

// takeLoads removes and returns the messages to load: first those that are due, an ordered one after
// all ordered messages of its destination that were spilled before it, then those that were
// requested, the earliest deadline first and ordered ones in the order in which they were spilled.
func (l *hostLog) takeLoads(now Time) (loads []Action) {
	take := func(i int) {
		if a := l.entries[i]; l.requested[a.Dest] > 0 {
			l.requested[a.Dest]--
		}
		loads = append(loads, l.entries[i])
		l.entries = slices.Delete(l.entries, i, i+1)
	}
	firstOrdered := func(dest int) int { // index of the first ordered message of a destination
		return slices.IndexFunc(l.entries, func(a Action) bool { return a.Ordered && a.Dest == dest })
	}
	for {
		i := slices.IndexFunc(l.entries, func(a Action) bool { return a.Deadline <= now })
		if i < 0 {
			break
		}
		if l.entries[i].Ordered {
			i = firstOrdered(l.entries[i].Dest)
		}
		take(i)
	}
	for dest := range 5 {
		for l.requested[dest] > 0 {
			best, nextOrdered := -1, firstOrdered(dest)
			for i, a := range l.entries {
				if a.Dest == dest && (!a.Ordered || i == nextOrdered) && (best < 0 || a.Deadline < l.entries[best].Deadline) {
					best = i
				}
			}
			if best < 0 {
				break
			}
			take(best)
		}
	}
	return loads
}

// loadSpilled returns the events for loaded messages: those that are due at once, those that were
// requested after a random time.
func (c *checker) loadSpilled(now Time, rng *rand.Rand) (events []Event) {
	events, c.log.withdrawals = c.log.withdrawals, nil
	if len(c.log.entries) == 0 {
		return events
	}
	requested := c.log.requested
	if rng.IntN(3) == 0 {
		c.log.requested = map[int]int{}
	}
	remaining := requested
	for _, a := range c.log.takeLoads(now) {
		m := c.messages[a.Message]
		m.isSpilled = false
		c.loads++
		e := Event{Kind: EventMessage, Message: a.Message, Class: m.class, Dest: m.dest, Tenant: m.tenant, Key: m.key,
			TimeLeft: m.deadline - now, Attempts: m.attempts, Spilled: true, Recovered: a.Recovered, OverQuota: a.OverQuota}
		if m.mayHaveRun {
			e.UnknownOutcomeAt, e.UnknownOutcomeZone = m.firstMayHaveRunAt, m.mayHaveRunZone
		}
		if len(c.log.requested) == 0 && remaining[a.Dest] > 0 {
			remaining[a.Dest]--
		}
		events = append(events, e)
	}
	c.log.requested = requested
	return events
}

// checkResident checks that a destination with spilled messages has one in memory or requested,
// since nothing else would ever cause the rest to be sent.
func (c *checker) checkResident(now Time, p *Policy) {
	spilled, resident := map[int]int{}, map[int]int{}
	for _, m := range c.messages {
		if m.isSpilled {
			spilled[m.dest]++
		} else if !m.isCompleted {
			resident[m.dest]++
		}
	}
	for dest, count := range spilled {
		if resident[dest] == 0 && c.log.requested[dest] == 0 {
			c.addViolation(now, "%d messages of destination %d are spilled, and none is in memory or requested", count, dest)
		}
		if state := p.destination(dest); state.spilledCount != count && len(c.log.withdrawals) == 0 {
			c.addViolation(now, "the policy counts %d spilled messages of destination %d, there are %d", state.spilledCount, dest, count)
		}
	}
}

// Every rule, a single final response for each message and the order of keys hold over random
// events while a limit on the messages in memory has waiting ones spilled.
func TestRulesHoldWithSpilledMessages(t *testing.T) {
	for _, resident := range []int{1, 2, 7, 30} {
		var sends, rejected, failed, loads int
		for seed := range uint64(40) {
			c, _ := runWithResidentLimit(t, seed, 400, resident)
			for i, e := range c.violations {
				if i < 3 {
					t.Errorf("limit of %d in memory, seed %d: %s", resident, seed, e)
				}
			}
			sends, rejected, failed, loads = sends+c.sends, rejected+c.rejected, failed+c.failed, loads+c.loads
		}
		t.Logf("limit of %d in memory: %d sends, %d rejected, %d failed, %d loads", resident, sends, rejected, failed, loads)
		if sends < 2000 || rejected < 50 || failed < 50 || loads < 50 {
			t.Errorf("limit of %d in memory: too few events to test anything: %d sends, %d rejected, %d failed, %d loads", resident, sends, rejected, failed, loads)
		}
	}
}

// A policy whose limit on messages in memory is never reached takes the same actions as one without
// a limit, and so makes the same random draws.
func TestUnreachedResidentLimitChangesNoAction(t *testing.T) {
	for seed := range uint64(20) {
		_, a := runWithResidentLimit(t, seed, 300, 0)
		_, b := runWithResidentLimit(t, seed, 300, maxResidentPerDestination-1)
		if len(a) == 0 || len(a) != len(b) {
			t.Fatalf("seed %d: %d actions without a limit, %d with one", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: action %s without a limit, %s with one", seed, a[i], b[i])
			}
		}
	}
}

// newSpillRig returns a rig whose policy keeps a limited number of messages in memory, and whose
// list has no endpoints, so that nothing can be sent.
func newSpillRig(t *testing.T, resident int) *rig {
	settings := baseSettings()
	settings.MaxMessages, settings.MaxResidentMessages = 0, resident
	settings.Classes = append(settings.Classes,
		Class{Name: "idempotent by key", LatencyObjective: 2 * second, Deadline: 3600 * second, Weight: 1, Idempotency: IdempotentByKey, DedupWindow: 60 * second},
		Class{Name: "non-idempotent", LatencyObjective: 2 * second, Deadline: 3600 * second, Weight: 1, Idempotency: NonIdempotent},
		Class{Name: "ordered", LatencyObjective: 2 * second, Deadline: 3600 * second, Weight: 1, Ordered: true})
	settings.Classes[0].Deadline = 3600 * second
	return newRig(t, settings)
}

// Neither the messages nor the timers in memory grow with the number of spilled messages.
func TestMessagesAndTimersInMemoryAreBounded(t *testing.T) {
	for _, resident := range []int{2, 100, 5000} {
		r := newSpillRig(t, resident)
		for range 30 * 1000 {
			r.now += second / 1000
			r.step(r.newMessage(0, 7))
		}
		if n := len(r.p.messages); n > resident || n > maxResidentPerDestination {
			t.Errorf("limit of %d in memory: %d messages in memory", resident, n)
		}
		if n := len(r.p.timers.items); n > 2*minCompaction+2*resident {
			t.Errorf("limit of %d in memory: %d timers", resident, n)
		}
		if n := r.p.spill.messages + len(r.p.pending); n != 30*1000 {
			t.Errorf("%d messages held, want %d", n, 30*1000)
		}
	}
}

// The messages with the latest deadlines are spilled.
func TestMessagesWithEarliestDeadlinesStayInMemory(t *testing.T) {
	r := newSpillRig(t, 3)
	for _, left := range []Time{50, 10, 90, 20, 70, 30, 60} {
		e := r.newMessage(0, 7)
		e.TimeLeft = left * second
		r.step(e)
	}
	var left []Time
	for _, m := range r.p.pending {
		left = append(left, (m.deadline-r.now)/second)
	}
	if slices.Sort(left); fmt.Sprint(left) != "[10 20 30]" {
		t.Errorf("seconds left to the deadlines of the messages in memory: %v", left)
	}
}

// Spilled messages are requested as the destination takes those in memory, and no more than fit in
// memory.
func TestSpilledMessagesAreLoadedWithinResidentLimit(t *testing.T) {
	r := newSpillRig(t, 20)
	for range 100 {
		r.step(r.newMessage(0, 7))
	}
	actions := r.step(Event{Kind: EventListUpdate, ListUpdate: ListDelta, Entries: []Entry{{Endpoint: 1, Dest: 7, State: Ready, Rate: 1000}}})
	requested, sends := 0, []Action{}
	for range 2000 {
		for _, a := range actions {
			switch a.Kind {
			case ActionLoad:
				requested += a.Count
				if n := len(r.p.pending) + requested; n > 20 {
					t.Fatalf("%d messages in memory or requested, want 20 at most", n)
				}
			case ActionSend:
				sends = append(sends, a)
			}
		}
		if len(sends) == 0 && requested == 0 {
			break
		}
		var events []Event
		for _, a := range sends {
			events = append(events, attemptDone(a, Delivered))
		}
		sends = nil
		for ; requested > 0; requested-- {
			e := r.newMessage(0, 7)
			e.Spilled = true
			events = append(events, e)
		}
		r.now += second / 10
		actions = r.step(append(events, Event{Kind: EventTimer})...)
	}
	if r.p.spill.messages != 0 || r.p.spill.loadsRequested != 0 || len(r.sendTimes) < 95 { // adaptive throttling may drop a few
		t.Errorf("%d messages still spilled, %d requested, %d of 100 sent", r.p.spill.messages, r.p.spill.loadsRequested, len(r.sendTimes))
	}
}

// A spilled message keeps that it was recovered and that its tenant was over quota. One that is
// idempotent by key and may have run is loaded before its deduplication window ends. A
// non-idempotent one that may have run is not spilled but fails.
func TestSpillKeepsMessageState(t *testing.T) {
	r := newSpillRig(t, 1)
	recovered := r.newMessage(2, 7)
	recovered.Recovered = true
	byKey := r.newMessage(1, 7)
	byKey.Attempts, byKey.UnknownOutcomeAt = 1, r.now-second
	actions := r.step(r.newMessage(0, 7), recovered, byKey)
	var spilledAsRecovered, loadedInWindow bool
	for _, a := range actions {
		if a.Kind == ActionSpill && a.Message == recovered.Message {
			spilledAsRecovered = a.Recovered
		}
		if a.Kind == ActionSpill && a.Message == byKey.Message {
			loadedInWindow = a.Deadline < r.now+59*second
		}
	}
	if !spilledAsRecovered || !loadedInWindow {
		t.Errorf("spilled as recovered %v, to be loaded before its window ends %v: %+v", spilledAsRecovered, loadedInWindow, actions)
	}
	recovered.Spilled, recovered.OverQuota = true, true
	r.step(recovered)
	if m := r.p.messages[recovered.Message]; m != nil && (!m.isRecovered || !m.isOverQuota || m.weight >= 1) {
		t.Errorf("the loaded message has the state %+v", m)
	}
	mayHaveRun := r.newMessage(2, 7)
	mayHaveRun.Attempts, mayHaveRun.UnknownOutcomeAt = 1, r.now-second
	if actions = r.step(mayHaveRun); countActions(actions, ActionFail) != 1 || strings.Contains(fmt.Sprint(actions), fmt.Sprintf("Kind:%d", ActionSpill)) {
		t.Errorf("a non-idempotent message that may have run did not simply fail: %+v", actions)
	}
}

// While a message of a key is spilled, later messages of the key are spilled too, and loaded
// messages are back in their order.
func TestSpilledMessagesOfAKeyKeepTheirOrder(t *testing.T) {
	r := newSpillRig(t, 1)
	newKeyMessage := func(timeLeft Time) Event {
		e := r.newMessage(3, 7)
		e.Key, e.TimeLeft = 9, timeLeft
		return e
	}
	first, middle, last := newKeyMessage(500*second), newKeyMessage(400*second), newKeyMessage(3*second/2)
	actions := append(slices.Clone(r.step(first)), r.step(middle)...)
	actions = append(actions, r.step(last)...)
	var spilled []uint32
	for _, a := range actions {
		if a.Kind == ActionSpill {
			spilled = append(spilled, a.Message)
			if !a.Ordered {
				t.Error("a message of a key was spilled without Ordered")
			}
		}
	}
	if fmt.Sprint(spilled) != fmt.Sprint([]uint32{middle.Message, last.Message}) {
		t.Fatalf("spilled %v, want the second and third message", spilled)
	}
	middle.Spilled, last.Spilled = true, true
	r.step(middle, last)
	queue := r.p.orderedQueues[9]
	if len(queue.messages) != 3 || queue.messages[1].id != middle.Message || queue.messages[2].id != last.Message || queue.spilledCount != 0 {
		t.Errorf("ordered queue %+v", queue)
	}
}
