package policy

import "testing"

// When the relay is nearly full, it rejects the message that would be delivered last, not the next
// one to arrive.
func TestShedsMessageThatIsDeliveredLast(t *testing.T) {
	s := baseSettings()
	s.MaxMessages = 16
	r := newRig(t, s, Entry{Endpoint: 1, State: Ready, Dest: 0, Rate: 4}, Entry{Endpoint: 2, State: Ready, Dest: 1, Rate: 4})
	r.p.endpoints[1].route.backoffUntil = r.now + 15*second
	r.p.endpoints[2].route.backoffUntil = r.now + second
	var events []Event
	destOf := map[uint32]int{}
	for i := range 16 {
		e := r.newMessage(0, i%2)
		destOf[e.Message] = i % 2
		events = append(events, e)
	}
	r.step(events...)
	rejected := 0
	for _, a := range r.actions {
		if a.Kind == ActionReject {
			rejected++
			if destOf[a.Message] != 0 {
				t.Errorf("message %d, whose destination can be called again first, was shed", a.Message)
			}
		}
	}
	if rejected != 1 {
		t.Fatalf("%d messages rejected, want 1", rejected)
	}
}
