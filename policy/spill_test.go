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
	entries []Action // spilled messages, in the order in which they were spilled
	asked   map[int]int
	gone    []Event // withdrawals of messages that the same step spilled
}

func (l *hostLog) spill(a Action) { l.entries = append(l.entries, a) }

// takeLoads removes and returns the messages to load: first those that are due, each after all
// ordered messages of its destination that were spilled before it, then those that were requested,
// the earliest deadline first and ordered ones in the order in which they were spilled.
func (l *hostLog) take(now Time) (out []Action) {
	take := func(i int) {
		if a := l.entries[i]; l.asked[a.Dest] > 0 {
			l.asked[a.Dest]--
		}
		out = append(out, l.entries[i])
		l.entries = slices.Delete(l.entries, i, i+1)
	}
	first := func(dest int) int { // index of the first ordered message of a destination
		return slices.IndexFunc(l.entries, func(a Action) bool { return a.Ordered && a.Dest == dest })
	}
	for {
		i := slices.IndexFunc(l.entries, func(a Action) bool { return a.Deadline <= now })
		if i < 0 {
			break
		}
		if l.entries[i].Ordered {
			i = first(l.entries[i].Dest)
		}
		take(i)
	}
	for dest := range 5 {
		for l.asked[dest] > 0 {
			best, line := -1, first(dest)
			for i, a := range l.entries {
				if a.Dest == dest && (!a.Ordered || i == line) && (best < 0 || a.Deadline < l.entries[best].Deadline) {
					best = i
				}
			}
			if best < 0 {
				break
			}
			take(best)
		}
	}
	return out
}

// loadSpilled returns the events for loaded messages: those that are due at once, those that were
// requested after a random time.
func (c *checker) load(now Time, r *rand.Rand) (events []Event) {
	events, c.log.gone = c.log.gone, nil
	if len(c.log.entries) == 0 {
		return events
	}
	was := c.log.asked
	if r.IntN(3) == 0 {
		c.log.asked = map[int]int{}
	}
	before := was
	for _, a := range c.log.take(now) {
		m := c.msgs[a.Message]
		m.spilled = false
		c.loads++
		e := Event{Kind: EventMessage, Message: a.Message, Class: m.class, Dest: m.dest, Tenant: m.tenant, Key: m.key,
			TimeLeft: m.deadline - now, Attempts: m.tries, Spilled: true, Recovered: a.Recovered, OverQuota: a.OverQuota}
		if m.doubt {
			e.UnknownOutcomeAt, e.UnknownOutcomeZone = m.firstDoubt, m.zone
		}
		if len(c.log.asked) == 0 && before[a.Dest] > 0 {
			before[a.Dest]--
		}
		events = append(events, e)
	}
	c.log.asked = was
	return events
}

// checkResident checks that a destination with spilled messages has one in memory or requested,
// since nothing else would ever cause the rest to be sent.
func (c *checker) oneInMemory(now Time, p *Policy) {
	spilled, memory := map[int]int{}, map[int]int{}
	for _, m := range c.msgs {
		if m.spilled {
			spilled[m.dest]++
		} else if !m.done {
			memory[m.dest]++
		}
	}
	for dest, n := range spilled {
		if memory[dest] == 0 && c.log.asked[dest] == 0 {
			c.fault(now, "%d messages of destination %d are spilled, and none is in memory or requested", n, dest)
		}
		if d := p.destination(dest); d.spilledCount != n && len(c.log.gone) == 0 {
			c.fault(now, "the policy counts %d spilled messages of destination %d, there are %d", d.spilledCount, dest, n)
		}
	}
}

// Every rule, a single final response for each message and the order of keys hold over random
// events in which most of the waiting messages are spilled.
func TestRulesHoldWithSpilledMessages(t *testing.T) {
	for _, resident := range []int{1, 2, 7, 30} {
		var sends, refused, failed, loads int
		for seed := range uint64(40) {
			c, _ := playResident(t, seed, 400, resident)
			for i, e := range c.errs {
				if i < 3 {
					t.Errorf("limit of %d in memory, seed %d: %s", resident, seed, e)
				}
			}
			sends, refused, failed, loads = sends+c.sends, refused+c.refused, failed+c.failed, loads+c.loads
		}
		t.Logf("limit of %d in memory: %d sends, %d rejected, %d failed, %d loads", resident, sends, refused, failed, loads)
		if sends < 2000 || refused < 50 || failed < 50 || loads < 50 {
			t.Errorf("limit of %d in memory: too few events to test anything: %d sends, %d rejected, %d failed, %d loads", resident, sends, refused, failed, loads)
		}
	}
}

// A policy whose limit on messages in memory is never reached takes the same actions as one without
// a limit, and so makes the same random draws.
func TestUnreachedResidentLimitChangesNoAction(t *testing.T) {
	for seed := range uint64(20) {
		_, a := playResident(t, seed, 300, 0)
		_, b := playResident(t, seed, 300, maxResidentPerDestination-1)
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
func backlogRig(t *testing.T, resident int) *rig {
	set := baseSettings()
	set.MaxMessages, set.MaxResidentMessages = 0, resident
	set.Classes = append(set.Classes,
		Class{Name: "idempotent by key", LatencyObjective: 2 * second, Deadline: 3600 * second, Weight: 1, Idempotency: IdempotentByKey, DedupWindow: 60 * second},
		Class{Name: "non-idempotent", LatencyObjective: 2 * second, Deadline: 3600 * second, Weight: 1, Idempotency: NonIdempotent},
		Class{Name: "ordered", LatencyObjective: 2 * second, Deadline: 3600 * second, Weight: 1, Ordered: true})
	set.Classes[0].Deadline = 3600 * second
	return newRig(t, set)
}

// Neither the messages nor the timers in memory grow with the number of spilled messages.
func TestMessagesAndTimersInMemoryAreBounded(t *testing.T) {
	for _, resident := range []int{2, 100, 5000} {
		r := backlogRig(t, resident)
		for range 30 * 1000 {
			r.now += second / 1000
			r.step(r.message(0, 7))
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
	r := backlogRig(t, 3)
	for _, left := range []Time{50, 10, 90, 20, 70, 30, 60} {
		e := r.message(0, 7)
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
	r := backlogRig(t, 20)
	for range 100 {
		r.step(r.message(0, 7))
	}
	acts := r.step(Event{Kind: EventListUpdate, ListUpdate: ListDelta, Entries: []Entry{{Endpoint: 1, Dest: 7, State: Ready, Rate: 1000}}})
	asked, next := 0, []Action{}
	for range 2000 {
		for _, a := range acts {
			switch a.Kind {
			case ActionLoad:
				asked += a.Count
				if n := len(r.p.pending) + asked; n > 20 {
					t.Fatalf("%d messages in memory or requested, want 20 at most", n)
				}
			case ActionSend:
				next = append(next, a)
			}
		}
		if len(next) == 0 && asked == 0 {
			break
		}
		var events []Event
		for _, a := range next {
			events = append(events, answer(a, Delivered))
		}
		next = nil
		for ; asked > 0; asked-- {
			e := r.message(0, 7)
			e.Spilled = true
			events = append(events, e)
		}
		r.now += second / 10
		acts = r.step(append(events, Event{Kind: EventTimer})...)
	}
	if r.p.spill.messages != 0 || r.p.spill.loadsRequested != 0 || len(r.sentAt) < 95 { // adaptive throttling may drop a few
		t.Errorf("%d messages still spilled, %d requested, %d of 100 sent", r.p.spill.messages, r.p.spill.loadsRequested, len(r.sentAt))
	}
}

// A spilled message keeps that it was recovered and that its tenant was over quota. One that is
// idempotent by key and may have run is loaded before its deduplication window ends. A
// non-idempotent one that may have run is not spilled but fails.
func TestSpillKeepsMessageState(t *testing.T) {
	r := backlogRig(t, 1)
	e := r.message(2, 7)
	e.Recovered = true
	keyed := r.message(1, 7)
	keyed.Attempts, keyed.UnknownOutcomeAt = 1, r.now-second
	acts := r.step(r.message(0, 7), e, keyed)
	var kept, window bool
	for _, a := range acts {
		if a.Kind == ActionSpill && a.Message == e.Message {
			kept = a.Recovered
		}
		if a.Kind == ActionSpill && a.Message == keyed.Message {
			window = a.Deadline < r.now+59*second
		}
	}
	if !kept || !window {
		t.Errorf("spilled as recovered %v, to be loaded before its window ends %v: %+v", kept, window, acts)
	}
	e.Spilled, e.OverQuota = true, true
	r.step(e)
	if m := r.p.messages[e.Message]; m != nil && (!m.isRecovered || !m.isOverQuota || m.weight >= 1) {
		t.Errorf("the loaded message has the state %+v", m)
	}
	doubt := r.message(2, 7)
	doubt.Attempts, doubt.UnknownOutcomeAt = 1, r.now-second
	if acts = r.step(doubt); count(acts, ActionFail) != 1 || strings.Contains(fmt.Sprint(acts), fmt.Sprintf("Kind:%d", ActionSpill)) {
		t.Errorf("a non-idempotent message that may have run did not simply fail: %+v", acts)
	}
}

// While a message of a key is spilled, later messages of the key are spilled too, and loaded
// messages are back in their order.
func TestSpilledMessagesOfAKeyKeepTheirOrder(t *testing.T) {
	r := backlogRig(t, 1)
	msg := func(left Time) Event {
		e := r.message(3, 7)
		e.Key, e.TimeLeft = 9, left
		return e
	}
	first, second2, third := msg(500*second), msg(400*second), msg(3*second/2)
	acts := append(slices.Clone(r.step(first)), r.step(second2)...)
	acts = append(acts, r.step(third)...)
	var spilled []uint32
	for _, a := range acts {
		if a.Kind == ActionSpill {
			spilled = append(spilled, a.Message)
			if !a.Ordered {
				t.Error("a message of a key was spilled without Ordered")
			}
		}
	}
	if fmt.Sprint(spilled) != fmt.Sprint([]uint32{second2.Message, third.Message}) {
		t.Fatalf("spilled %v, want the second and third message", spilled)
	}
	second2.Spilled, third.Spilled = true, true
	r.step(second2, third)
	line := r.p.orderedQueues[9]
	if len(line.messages) != 3 || line.messages[1].id != second2.Message || line.messages[2].id != third.Message || line.spilledCount != 0 {
		t.Errorf("ordered queue %+v", line)
	}
}
