package policy

import "testing"

// TestWorthOrder: what loses most by waiting goes first; what is over its tenant's share goes last.
func TestWorthOrder(t *testing.T) {
	s := baseSettings()
	s.Classes = append(s.Classes, Class{Name: "dear", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 3, LateWeight: 0.3})
	s.Tenants = []Tenant{{Name: "a", Quota: 2}, {Name: "b", Quota: 100}}
	r := newRig(t, s, ready(1, 2))
	r.step(r.message(0, 0)) // takes the window of one
	first := r.sends[0]
	var events []Event
	for i := range 6 {
		e := r.message(i%2, 0)
		e.Tenant = 1
		if i >= 4 {
			e.Tenant = 0
		}
		events = append(events, e)
	}
	r.step(events...)
	r.now += second
	r.step(answer(first, Delivered))
	q := r.p.destinations[0].queue
	if len(r.sends) == 0 || len(q) < 2 {
		t.Fatalf("%d sends, %d left in the queue", len(r.sends), len(q))
	}
	if m := r.p.messages[r.sends[0].Message]; m.class.Name != "dear" || m.weight < 3 || q[len(q)-1].weight > 0.5 {
		t.Fatalf("first %s of worth %v, last worth %v", m.class.Name, m.weight, q[len(q)-1].weight)
	}
}

// TestClosedQueueCostsNothing: what waits for a destination that nothing may go to is not weighed at each event;
// where the queue is long that would cost more than the work there is.
func TestClosedQueueCostsNothing(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 2))
	r.step(r.message(0, 0)) // takes the window of one
	for range 50 {
		r.step(r.message(0, 0))
	}
	for _, m := range r.p.destinations[0].queue {
		if m.delayCost != 0 {
			t.Fatal("a queue was weighed while its window was full")
		}
	}
}
