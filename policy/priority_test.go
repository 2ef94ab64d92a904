package policy

import "testing"

// The message that loses most weight by waiting is sent first, and messages of a tenant over its
// quota are last.
func TestMessageThatLosesMostByWaitingGoesFirst(t *testing.T) {
	s := baseSettings()
	s.Classes = append(s.Classes, Class{Name: "valuable", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 3, LateWeight: 0.3})
	s.Tenants = []Tenant{{Name: "a", Quota: 2}, {Name: "b", Quota: 100}}
	r := newRig(t, s, readyEntry(1, 2))
	r.step(r.newMessage(0, 0)) // takes the only place in the window, which is 1
	first := r.sends[0]
	var events []Event
	for i := range 6 {
		e := r.newMessage(i%2, 0)
		e.Tenant = 1
		if i >= 4 {
			e.Tenant = 0
		}
		events = append(events, e)
	}
	r.step(events...)
	r.now += second
	r.step(attemptDone(first, Delivered))
	queue := r.p.destinations[0].queue
	if len(r.sends) == 0 || len(queue) < 2 {
		t.Fatalf("%d sends and %d messages left in the queue, want at least 1 and 2", len(r.sends), len(queue))
	}
	if m := r.p.messages[r.sends[0].Message]; m.class.Name != "valuable" || m.weight < 3 || queue[len(queue)-1].weight > 0.5 {
		t.Fatalf("the first message sent has class %s and weight %v, the last in the queue has weight %v", m.class.Name, m.weight, queue[len(queue)-1].weight)
	}
}

// A queue must not be evaluated at each event while nothing may be sent to its destination: with a
// long queue that would cost more than the useful work.
func TestQueueIsNotSortedWhileWindowIsFull(t *testing.T) {
	r := newRig(t, baseSettings(), readyEntry(1, 2))
	r.step(r.newMessage(0, 0)) // takes the only place in the window, which is 1
	for range 50 {
		r.step(r.newMessage(0, 0))
	}
	for _, m := range r.p.destinations[0].queue {
		if m.delayCost != 0 {
			t.Fatal("the queue was evaluated while its window was full")
		}
	}
}
