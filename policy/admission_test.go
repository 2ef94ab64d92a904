package policy

import "testing"

// A message of an unknown class can't be sent, so it is rejected at once as not run.
func TestMessageOfUnknownClassIsRejected(t *testing.T) {
	r := newRig(t, baseSettings(), readyEntry(1, 10))
	e := r.newMessage(0, 0)
	e.Class = 9
	if r.step(e); countActions(r.actions, ActionReject) != 1 || len(r.sends) != 0 {
		t.Fatalf("actions %+v, want a rejection and no send", r.actions)
	}
}

// A message that an earlier process admitted and that has certainly not run must not be dropped by
// adaptive throttling nor shed because the relay is full: it is sent, or waits until its deadline.
// New messages may be rejected meanwhile.
func TestRecoveredMessagesAreSentOrHeldUntilDeadline(t *testing.T) {
	s := baseSettings()
	s.MaxMessages = 30
	for seed := range uint64(20) {
		p, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, p: p, now: 1000 * second, nextMessage: 1}
		r.step(Event{Kind: EventListUpdate, ListUpdate: ListCached, Entries: []Entry{readyEntry(1, 5)}})
		deadline, isRecovered, sent := map[uint32]Time{}, map[uint32]bool{}, map[uint32]bool{}
		var events []Event
		for range 40 {
			e := r.newMessage(0, 0)
			e.Recovered, e.TimeLeft = true, 10*second
			e.Attempts = int(e.Message) % 3 // attempts before the restart, all rejected
			isRecovered[e.Message], deadline[e.Message] = true, r.now+e.TimeLeft
			events = append(events, e)
		}
		rejectedNew := 0
		for endTime := r.now + 12*second; r.now < endTime; r.now += 5000 {
			if r.now%(second/10) == 0 { // new messages fill up the relay
				events = append(events, r.newMessage(0, 0))
			}
			r.step(events...)
			events = nil
			for _, a := range r.actions {
				switch a.Kind {
				case ActionSend:
					e := attemptDone(a, Errored) // errors make adaptive throttling drop nine in ten
					if p.messages[a.Message].attempts%4 == 1 {
						e.Outcome = ConnectFailed // this attempt has reached no endpoint
					} else {
						sent[a.Message] = true
					}
					e.Attempt = p.messages[a.Message].attempts - 1
					events = append(events, e)
				case ActionReject, ActionFail:
					if !isRecovered[a.Message] {
						rejectedNew++
					} else if !sent[a.Message] && r.now < deadline[a.Message]-4*s.Tick {
						t.Fatalf("seed %d: recovered message %d had its final response %d ms before its deadline and was never sent", seed, a.Message, (deadline[a.Message]-r.now)/1000)
					}
				}
			}
		}
		if len(sent) == 0 || rejectedNew == 0 {
			t.Errorf("seed %d: %d recovered messages sent and %d new ones rejected, want some of each", seed, len(sent), rejectedNew)
		}
	}
}
