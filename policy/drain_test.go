package policy

import "testing"

// When a drain starts, the policy emits ActionStopAccepting at once, and ActionReleaseClients after
// clientReleaseDelay. It emits each of them once, even if the drain is requested twice. If the drain
// ends before the delay is over, the clients are not released. A message that arrives between the
// two actions is sent as usual.
func TestDrainReleasesClientsOnceUnlessEnded(t *testing.T) {
	r := newRig(t, baseSettings(), readyEntry(1, 1000))
	if a := r.step(Event{Kind: EventDrain}, Event{Kind: EventDrain}); countActions(a, ActionStopAccepting) != 1 || countActions(a, ActionReleaseClients) != 0 {
		t.Errorf("at the start of the drain: %+v", a)
	}
	r.now += clientReleaseDelay / 2
	if a := r.step(r.newMessage(0, 0)); countActions(a, ActionSend) != 1 || countActions(a, ActionReleaseClients) != 0 {
		t.Errorf("before the release of the clients: %+v", a)
	}
	r.now += clientReleaseDelay/2 + 1
	if a := r.step(Event{Kind: EventTimer}); countActions(a, ActionReleaseClients) != 1 {
		t.Errorf("no release of the clients after the delay: %+v", a)
	}
	if a := r.step(Event{Kind: EventActivate}, Event{Kind: EventActivate}); countActions(a, ActionAcceptClients) != 1 {
		t.Errorf("at the end of the drain: %+v", a)
	}
	r.step(Event{Kind: EventDrain})
	r.step(Event{Kind: EventActivate})
	r.now += 2 * clientReleaseDelay
	if a := r.step(Event{Kind: EventTimer}); countActions(a, ActionReleaseClients) != 0 {
		t.Errorf("clients released after the drain has ended: %+v", a)
	}
}
