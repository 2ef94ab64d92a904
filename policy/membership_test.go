package policy

import "testing"

// TestGoneAndMoved: an endpoint that has left or moved is sent nothing, and is forgotten.
func TestGoneAndMoved(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 10), ready(2, 10))
	r.p.observeFailure(r.p.endpoints[1], r.now, true)
	r.p.endpoints[1].isEjected = true
	r.step(Event{Kind: EventListUpdate, ListUpdate: ListDelta, Entries: []Entry{{Endpoint: 1, State: Removed}, {Endpoint: 2, State: Ready, Dest: 5}}})
	if len(r.p.endpoints) != 1 || len(r.p.destination(0).routes[0].endpoints) != 0 {
		t.Fatalf("%d endpoints kept, %d at the old place", len(r.p.endpoints), len(r.p.destination(0).routes[0].endpoints))
	}
	if r.step(r.message(0, 0)); len(r.sends) != 0 {
		t.Fatal("sent to an endpoint of another destination")
	}
	if r.step(r.message(0, 5)); len(r.sends) != 1 {
		t.Fatal("not sent to the endpoint that moved here")
	}
}
