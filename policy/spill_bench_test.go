package policy

import (
	"fmt"
	"testing"
)

// benchHost plays the host's part for spilled messages without a log: a load returns new messages
// at once.
type host struct {
	p     *Policy
	now   Time
	next  uint32
	sends []Action
	due   []Event
}

func newHost(b *testing.B, resident, held int) *host {
	set := baseSettings()
	set.MaxMessages, set.MaxResidentMessages, set.MaxCalls, set.Cancellation = 0, resident, 100, false
	set.Classes[0].Deadline = 36000 * second
	p, err := New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	h := &host{p: p, now: 1000 * second}
	for range held {
		h.step(h.message())
	}
	return h
}

func (h *host) message() Event {
	h.next++
	return Event{Kind: EventMessage, Message: h.next, TimeLeft: 36000*second - Time(h.next)}
}

func (h *host) step(events ...Event) {
	h.now += 100
	for _, a := range h.p.Step(h.now, events, nil) {
		switch a.Kind {
		case ActionSend:
			h.sends = append(h.sends, a)
		case ActionLoad:
			for range a.Count {
				e := h.message()
				e.Spilled = true
				h.due = append(h.due, e)
			}
		}
	}
}

var benchBounds = map[string]int{"all": 0, "bounded": 5000}

// BenchmarkAdmitWhileDown admits messages for a destination that is down and already has a backlog
// of the given size.
func BenchmarkAdmitWhileDown(b *testing.B) {
	for _, held := range []int{100, 1000, 10_000, 50_000} {
		for _, name := range []string{"all", "bounded"} {
			b.Run(fmt.Sprintf("%s/held=%d", name, held), func(b *testing.B) {
				h := newHost(b, benchBounds[name], held)
				b.ResetTimer()
				for range b.N {
					h.step(h.message())
				}
			})
		}
	}
}

// BenchmarkDeliverBacklog delivers the backlog of a destination that is back, with the loads of
// spilled messages that this needs.
func BenchmarkDeliverBacklog(b *testing.B) {
	for _, held := range []int{1000, 10_000, 50_000} {
		for _, name := range []string{"all", "bounded"} {
			b.Run(fmt.Sprintf("%s/held=%d", name, held), func(b *testing.B) {
				h := newHost(b, benchBounds[name], held)
				h.step(Event{Kind: EventListUpdate, ListUpdate: ListFull, Entries: []Entry{{Endpoint: 1, State: Ready, Rate: 1e6}}})
				b.ResetTimer()
				for n := 0; n < b.N; {
					var events []Event
					if len(h.sends) > 0 {
						a := h.sends[0]
						h.sends = h.sends[1:]
						events = append(events, Event{Kind: EventAttemptDone, Message: a.Message, Endpoint: 1, Outcome: Delivered, Final: true, Latency: second / 10})
						events = append(events, h.message()) // keeps the size of the backlog constant
						n++
					}
					events, h.due = append(events, h.due...), nil
					h.step(events...)
				}
			})
		}
	}
}
