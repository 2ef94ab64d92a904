package policy

import "testing"

// Calls that are never answered must not hold the last slots while messages wait. The cancellation
// of a call does not count against an endpoint that has answered other calls since.
func TestStuckCallIsCancelledWhenSlotsRunOut(t *testing.T) {
	s := baseSettings()
	s.MaxCalls = 2
	r := newRig(t, s, Entry{Endpoint: 1, State: Ready, Dest: 0, Rate: 1000}, Entry{Endpoint: 2, State: Ready, Dest: 1, Rate: 1000})
	for dest := range 2 { // one answer each, from which the expected latency is known
		r.step(r.newMessage(0, dest))
		r.now += second / 10
		r.step(attemptDone(r.sends[0], Delivered))
	}
	r.now += second
	r.step(r.newMessage(0, 0), r.newMessage(0, 1), r.newMessage(0, 1))
	if r.p.callsInFlight != 2 {
		t.Fatalf("%d calls in flight, want 2", r.p.callsInFlight)
	}
	cancels := 0
	for range 400 {
		r.now += 5000
		r.step()
		cancels += countActions(r.actions, ActionCancel)
		if cancels > 0 {
			break
		}
	}
	if cancels == 0 {
		t.Fatal("no overdue call was cancelled")
	}
	endpoint := r.p.endpoints[1]
	endpoint.lastSuccessAt = r.now
	scoreBefore := endpoint.failureScore
	r.p.observeCall(&callState{endpoint: endpoint, sentAt: r.now - second}, &Event{Kind: EventAttemptDone, Outcome: Cancelled})
	if endpoint.failureScore != scoreBefore {
		t.Error("a cancelled call counted against an endpoint that has answered since")
	}
}

// A call that a non-idempotent message shares is waited for longer, even if an idempotent message
// comes first in it: once cancelled, the non-idempotent message can't be sent again.
func TestBatchWithNonIdempotentMessageIsCancelledLater(t *testing.T) {
	s := baseSettings()
	s.MaxCalls = 1
	s.Kinds[0].MaxBatch = 2
	nonIdempotent := s.Classes[0]
	nonIdempotent.Idempotency, nonIdempotent.Weight = NonIdempotent, 0.5
	s.Classes = append(s.Classes, nonIdempotent)
	cancelDelay := func(class int) Time {
		r := newRig(t, s, readyEntry(1, 1000))
		r.step(r.newMessage(0, 0)) // one answer, from which the expected latency is known
		r.now += second / 10
		r.step(attemptDone(r.sends[0], Delivered))
		r.now += second
		r.step(r.newMessage(0, 0), r.newMessage(class, 0), r.newMessage(0, 0))
		if len(r.sends) != 2 || r.p.callsInFlight != 1 || r.p.messages[r.sends[0].Message].class.Idempotency != Idempotent {
			t.Fatalf("%d sends in %d calls, want 2 in 1 whose first message is idempotent", len(r.sends), r.p.callsInFlight)
		}
		for start := r.now; ; r.step() {
			if countActions(r.actions, ActionCancel) > 0 {
				return r.now - start
			}
			r.now += 5000
		}
	}
	if idempotentDelay, mixedDelay := cancelDelay(0), cancelDelay(1); mixedDelay < 3*idempotentDelay {
		t.Errorf("cancelled after %d ms, with a non-idempotent message after %d ms", idempotentDelay/1000, mixedDelay/1000)
	}
}

// A non-idempotent call that hangs, where a call sent much later was answered, is cancelled before
// its deadline. If no later call was answered, or only one sent shortly after, it is waited for.
func TestStuckNonIdempotentCallIsCancelledAfterLaterSuccess(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Idempotency = NonIdempotent
	for sentLater, want := range map[Time]bool{0: false, second / 10: false, 5 * second: true} {
		r := newRig(t, s, readyEntry(1, 1000))
		r.step(r.newMessage(0, 0)) // one answer: the expected latency is known and the window is 2
		r.now += second / 10
		r.step(attemptDone(r.sends[0], Delivered))
		r.now += second
		r.step(r.newMessage(0, 0))
		stuck := r.sends[0]
		if sentLater > 0 {
			r.now += sentLater
			r.step(r.newMessage(0, 0))
			other := r.sends[0]
			r.now += second / 10
			r.step(attemptDone(other, Delivered))
		}
		var cancelledAfter Time
		for start := r.now; r.now < start+10*second && cancelledAfter == 0; r.step() {
			for _, a := range r.actions {
				if a.Kind == ActionCancel && a.Message == stuck.Message {
					cancelledAfter = r.now - start
				}
			}
			r.now += second / 100
		}
		if isCancelled := cancelledAfter > 0; isCancelled != want {
			t.Errorf("other call sent %d ms later: cancelled %v, after %d ms", sentLater/1000, isCancelled, cancelledAfter/1000)
		}
	}
}

// The answer to a call that was sent much later leads to the cancellation within two expected
// latency bounds, even if no slot was needed when the stuck call was last checked.
func TestStuckCallIsRecheckedAfterLaterSuccess(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Idempotency = NonIdempotent
	r := newRig(t, s, readyEntry(1, 1000))
	r.step(r.newMessage(0, 0))
	r.now += second / 10
	r.step(attemptDone(r.sends[0], Delivered))
	r.now += second
	r.step(r.newMessage(0, 0))
	stuck := r.sends[0]
	latencyBound := r.p.expectedLatencyBound(r.p.endpoints[1])
	r.now += (nonIdempotentWaitFactor + 1) * latencyBound
	r.step(r.newMessage(0, 0))
	other := r.sends[0]
	r.now += second / 100
	r.step(attemptDone(other, Delivered))
	for endTime := r.now + 2*latencyBound; r.now < endTime; r.now += 5000 {
		if r.step(); countActions(r.actions, ActionCancel) == 1 && r.actions[0].Message == stuck.Message {
			return
		}
	}
	t.Error("the stuck call was not cancelled")
}

// Where a third of the slots is held by overdue calls, non-idempotent ones too are cancelled
// sooner. If each were waited for as long as a single one
// (TestBatchWithNonIdempotentMessageIsCancelledLater), no slot would be left for messages that can
// be delivered.
func TestNonIdempotentCallsAreCancelledSoonerWhenManyAreOverdue(t *testing.T) {
	s := baseSettings()
	s.MaxCalls = 4
	s.Classes[0].Idempotency = NonIdempotent
	r := newRig(t, s, readyEntry(1, 1000), Entry{Endpoint: 2, State: Ready, Dest: 1, Rate: 1000})
	for dest := range 2 { // one answer each: the expected latency is known and the windows are 2
		r.step(r.newMessage(0, dest))
		r.now += second / 10
		r.step(attemptDone(r.sends[0], Delivered))
	}
	r.now += second
	r.step(r.newMessage(0, 0), r.newMessage(0, 0), r.newMessage(0, 1), r.newMessage(0, 1), r.newMessage(0, 0))
	if r.p.callsInFlight != 4 || r.p.countOverdueCalls() != 0 {
		t.Fatalf("%d calls in flight, %d of them overdue, want 4 and 0", r.p.callsInFlight, r.p.countOverdueCalls())
	}
	start, latencyBound := r.now, r.p.expectedLatencyBound(r.p.endpoints[1])
	for r.step(); countActions(r.actions, ActionCancel) == 0 && r.now < start+10*second; r.step() {
		r.now += 5000
	}
	if cancelledAfter := r.now - start; cancelledAfter < 2*latencyBound || cancelledAfter > 3*latencyBound {
		t.Errorf("cancelled after %d ms, want two to three times the expected latency bound of %d ms", cancelledAfter/1000, latencyBound/1000)
	}
}
