package policy

import (
	"fmt"
	"testing"
)

// benchHost plays the host's part for spilled messages without a log: a load returns new messages
// at once.
type benchHost struct {
	p           *Policy
	now         Time
	nextMessage uint32
	sends       []Action
	loaded      []Event
}

func newBenchHost(b *testing.B, resident, held int) *benchHost {
	settings := baseSettings()
	settings.MaxMessages, settings.MaxResidentMessages, settings.MaxCalls, settings.Cancellation = 0, resident, 100, false
	settings.Classes[0].Deadline = 36000 * second
	p, err := New(settings, 1)
	if err != nil {
		b.Fatal(err)
	}
	h := &benchHost{p: p, now: 1000 * second}
	for range held {
		h.step(h.newMessage())
	}
	return h
}

func (h *benchHost) newMessage() Event {
	h.nextMessage++
	return Event{Kind: EventMessage, Message: h.nextMessage, TimeLeft: 36000*second - Time(h.nextMessage)}
}

func (h *benchHost) step(events ...Event) {
	h.now += 100
	for _, a := range h.p.Step(h.now, events, nil) {
		switch a.Kind {
		case ActionSend:
			h.sends = append(h.sends, a)
		case ActionLoad:
			for range a.Count {
				e := h.newMessage()
				e.Spilled = true
				h.loaded = append(h.loaded, e)
			}
		}
	}
}

var benchResidentLimits = map[string]int{"all": 0, "bounded": 5000}

// BenchmarkAdmitWhileDown admits messages for a destination that is down and already has a backlog
// of the given size.
func BenchmarkAdmitWhileDown(b *testing.B) {
	for _, held := range []int{100, 1000, 10_000, 50_000} {
		for _, name := range []string{"all", "bounded"} {
			b.Run(fmt.Sprintf("%s/held=%d", name, held), func(b *testing.B) {
				h := newBenchHost(b, benchResidentLimits[name], held)
				b.ResetTimer()
				for range b.N {
					h.step(h.newMessage())
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
				h := newBenchHost(b, benchResidentLimits[name], held)
				h.step(Event{Kind: EventListUpdate, ListUpdate: ListFull, Entries: []Entry{{Endpoint: 1, State: Ready, Rate: 1e6}}})
				b.ResetTimer()
				for n := 0; n < b.N; {
					var events []Event
					if len(h.sends) > 0 {
						a := h.sends[0]
						h.sends = h.sends[1:]
						events = append(events, Event{Kind: EventAttemptDone, Message: a.Message, Endpoint: 1, Outcome: Delivered, Final: true, Latency: second / 10})
						events = append(events, h.newMessage()) // keeps the size of the backlog constant
						n++
					}
					events, h.loaded = append(events, h.loaded...), nil
					h.step(events...)
				}
			})
		}
	}
}
