package policy

import "testing"

// TestUnknownClass: nothing is known of such a message, and nothing has run.
func TestUnknownClass(t *testing.T) {
	r := newRig(t, baseSettings(), ready(1, 10))
	e := r.message(0, 0)
	e.Class = 9
	if r.step(e); count(r.acts, ActionReject) != 1 || len(r.sends) != 0 {
		t.Fatalf("actions %+v", r.acts)
	}
}

// TestKeptIsTried: what an earlier process took on and never sent is neither dropped by a draw nor shed for want of
// room: it is tried, or waits until its time is up. It may go on to refuse what is new.
func TestKeptIsTried(t *testing.T) {
	s := baseSettings()
	s.MaxMessages = 30
	for seed := range uint64(20) {
		p, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, p: p, now: 1000 * second, next: 1}
		r.step(Event{Kind: EventListUpdate, ListUpdate: ListCached, Entries: []Entry{ready(1, 5)}})
		deadline, kept, sent := map[uint32]Time{}, map[uint32]bool{}, map[uint32]bool{}
		var events []Event
		for range 40 {
			e := r.message(0, 0)
			e.Recovered, e.TimeLeft = true, 10*second
			e.Attempts = int(e.Message) % 3 // turned away before the restart
			kept[e.Message], deadline[e.Message] = true, r.now+e.TimeLeft
			events = append(events, e)
		}
		refused := 0
		for end := r.now + 12*second; r.now < end; r.now += 5000 {
			if r.now%(second/10) == 0 { // new ones press
				events = append(events, r.message(0, 0))
			}
			r.step(events...)
			events = nil
			for _, a := range r.acts {
				switch a.Kind {
				case ActionSend:
					e := answer(a, Errored) // the draw drops nine in ten
					if p.messages[a.Message].attempts%4 == 1 {
						e.Outcome = ConnectFailed // nobody has seen this one
					} else {
						sent[a.Message] = true
					}
					e.Attempt = p.messages[a.Message].attempts - 1
					events = append(events, e)
				case ActionReject, ActionFail:
					if !kept[a.Message] {
						refused++
					} else if !sent[a.Message] && r.now < deadline[a.Message]-4*s.Tick {
						t.Fatalf("seed %d: message %d is ended %d ms before its time, never sent", seed, a.Message, (deadline[a.Message]-r.now)/1000)
					}
				}
			}
		}
		if len(sent) == 0 || refused == 0 {
			t.Errorf("seed %d: %d sent, %d new ones refused", seed, len(sent), refused)
		}
	}
}
