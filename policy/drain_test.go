package policy

import "testing"

// TestDrain: the no comes at once and the release later, once however often it is asked; an end of the drain
// before the release calls it off, and what is held goes out all the while.
func TestDrain(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 1000))
	if a := r.step(Event{Kind: EventDrain}, Event{Kind: EventDrain}); count(a, ActionStopAccepting) != 1 || count(a, ActionReleaseClients) != 0 {
		t.Errorf("at once: %+v", a)
	}
	r.now += clientReleaseDelay / 2
	if a := r.step(r.message(0, 0)); count(a, ActionSend) != 1 || count(a, ActionReleaseClients) != 0 {
		t.Errorf("before the release: %+v", a)
	}
	r.now += clientReleaseDelay/2 + 1
	if a := r.step(Event{Kind: EventTimer}); count(a, ActionReleaseClients) != 1 {
		t.Errorf("then: %+v", a)
	}
	if a := r.step(Event{Kind: EventActivate}, Event{Kind: EventActivate}); count(a, ActionAcceptClients) != 1 {
		t.Errorf("taken back: %+v", a)
	}
	r.step(Event{Kind: EventDrain})
	r.step(Event{Kind: EventActivate})
	r.now += 2 * clientReleaseDelay
	if a := r.step(Event{Kind: EventTimer}); count(a, ActionReleaseClients) != 0 {
		t.Errorf("a release that was called off: %+v", a)
	}
}
