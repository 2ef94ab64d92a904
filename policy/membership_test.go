package policy

import "testing"

// An endpoint that was removed, or moved to another destination, gets no call at its old place and
// is forgotten there.
func TestRemovedOrMovedEndpointGetsNoCall(t *testing.T) {
	r := newRig(t, baseSettings(), readyEntry(1, 10), readyEntry(2, 10))
	r.p.observeFailure(r.p.endpoints[1], r.now, true)
	r.p.endpoints[1].isEjected = true
	r.step(Event{Kind: EventListUpdate, ListUpdate: ListDelta, Entries: []Entry{{Endpoint: 1, State: Removed}, {Endpoint: 2, State: Ready, Dest: 5}}})
	if len(r.p.endpoints) != 1 || len(r.p.destination(0).routes[0].endpoints) != 0 {
		t.Fatalf("%d endpoints known and %d at the old destination, want 1 and 0", len(r.p.endpoints), len(r.p.destination(0).routes[0].endpoints))
	}
	if r.step(r.newMessage(0, 0)); len(r.sends) != 0 {
		t.Fatal("a message was sent to an endpoint that belongs to another destination now")
	}
	if r.step(r.newMessage(0, 5)); len(r.sends) != 1 {
		t.Fatal("a message was not sent to the endpoint that moved to its destination")
	}
}
