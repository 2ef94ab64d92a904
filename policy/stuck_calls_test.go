package policy

import "testing"

// TestReclaim: calls that never come back do not hold the last slots while messages wait, and a call to an
// endpoint that has answered others since does not count against it.
func TestReclaim(t *testing.T) {
	s := baseSettings()
	s.MaxCalls = 2
	r := newRig(t, s, Entry{Endpoint: 1, State: Ready, Dest: 0, Rate: 1000}, Entry{Endpoint: 2, State: Ready, Dest: 1, Rate: 1000})
	for dest := range 2 { // both have answered once, so what is usual is known
		r.step(r.message(0, dest))
		r.now += second / 10
		r.step(answer(r.sends[0], Delivered))
	}
	r.now += second
	r.step(r.message(0, 0), r.message(0, 1), r.message(0, 1))
	if r.p.callsInFlight != 2 {
		t.Fatalf("%d calls out, want both slots taken", r.p.callsInFlight)
	}
	cancels := 0
	for range 400 {
		r.now += 5000
		r.step()
		cancels += count(r.acts, ActionCancel)
		if cancels > 0 {
			break
		}
	}
	if cancels == 0 {
		t.Fatal("no overdue call was called off")
	}
	ep := r.p.endpoints[1]
	ep.lastSuccessAt = r.now
	before := ep.failureScore
	r.p.observeCall(&callState{endpoint: ep, sentAt: r.now - second}, &Event{Kind: EventAttemptDone, Outcome: Cancelled})
	if ep.failureScore != before {
		t.Error("a call called off counted against an endpoint that has answered since")
	}
}

// TestReclaimMixedBatch: a call that an unsafe message shares is waited for as long as one of its own, whatever
// message leads it: called off, the unsafe one has had its only try.
func TestReclaimMixedBatch(t *testing.T) {
	s := baseSettings()
	s.MaxCalls = 1
	s.Kinds[0].MaxBatch = 2
	unsafe := s.Classes[0]
	unsafe.Idempotency, unsafe.Weight = NonIdempotent, 0.5
	s.Classes = append(s.Classes, unsafe)
	calledOff := func(class int) Time {
		r := newRig(t, s, ready(1, 1000))
		r.step(r.message(0, 0)) // what is usual is known
		r.now += second / 10
		r.step(answer(r.sends[0], Delivered))
		r.now += second
		r.step(r.message(0, 0), r.message(class, 0), r.message(0, 0))
		if len(r.sends) != 2 || r.p.callsInFlight != 1 || r.p.messages[r.sends[0].Message].class.Idempotency != Idempotent {
			t.Fatalf("%d sends in %d calls, want 2 in 1 led by a safe one", len(r.sends), r.p.callsInFlight)
		}
		for start := r.now; ; r.step() {
			if count(r.acts, ActionCancel) > 0 {
				return r.now - start
			}
			r.now += 5000
		}
	}
	if safe, mixed := calledOff(0), calledOff(1); mixed < 3*safe {
		t.Errorf("called off after %d ms, with an unsafe message after %d ms", safe/1000, mixed/1000)
	}
}

// TestHungUnsafeCall: an unsafe call that hangs where calls sent much later are answered gives its place back
// before its deadline; where nothing sent later was answered, or only just later, it is waited for.
func TestHungUnsafeCall(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Idempotency = NonIdempotent
	for later, want := range map[Time]bool{0: false, second / 10: false, 5 * second: true} {
		r := newRig(t, s, ready(1, 1000))
		r.step(r.message(0, 0)) // what is usual is known, and the window has room for two
		r.now += second / 10
		r.step(answer(r.sends[0], Delivered))
		r.now += second
		r.step(r.message(0, 0))
		hung := r.sends[0]
		if later > 0 {
			r.now += later
			r.step(r.message(0, 0))
			other := r.sends[0]
			r.now += second / 10
			r.step(answer(other, Delivered))
		}
		var off Time
		for start := r.now; r.now < start+10*second && off == 0; r.step() {
			for _, a := range r.acts {
				if a.Kind == ActionCancel && a.Message == hung.Message {
					off = r.now - start
				}
			}
			r.now += second / 100
		}
		if called := off > 0; called != want {
			t.Errorf("another sent %d ms later: called off %v, after %d ms", later/1000, called, off/1000)
		}
	}
}

// TestHungCallIsLookedAtAgain: that a call sent much later was answered is seen within one patience, also where
// no slot was wanted when the hung call was last looked at.
func TestHungCallIsLookedAtAgain(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Idempotency = NonIdempotent
	r := newRig(t, s, ready(1, 1000))
	r.step(r.message(0, 0))
	r.now += second / 10
	r.step(answer(r.sends[0], Delivered))
	r.now += second
	r.step(r.message(0, 0))
	hung := r.sends[0]
	patience := r.p.expectedLatencyBound(r.p.endpoints[1])
	r.now += (nonIdempotentWaitFactor + 1) * patience
	r.step(r.message(0, 0))
	other := r.sends[0]
	r.now += second / 100
	r.step(answer(other, Delivered))
	for end := r.now + 2*patience; r.now < end; r.now += 5000 {
		if r.step(); count(r.acts, ActionCancel) == 1 && r.acts[0].Message == hung.Message {
			return
		}
	}
	t.Error("not called off")
}

// TestManyOverdue: where a third of the slots is held by calls that hang, unsafe ones too are called off sooner:
// waited for as long as a single one is (TestReclaimMixedBatch), they would leave no slot to what can be delivered.
func TestManyOverdue(t *testing.T) {
	s := baseSettings()
	s.MaxCalls = 4
	s.Classes[0].Idempotency = NonIdempotent
	r := newRig(t, s, ready(1, 1000), Entry{Endpoint: 2, State: Ready, Dest: 1, Rate: 1000})
	for dest := range 2 { // what is usual is known, and the windows have room
		r.step(r.message(0, dest))
		r.now += second / 10
		r.step(answer(r.sends[0], Delivered))
	}
	r.now += second
	r.step(r.message(0, 0), r.message(0, 0), r.message(0, 1), r.message(0, 1), r.message(0, 0))
	if r.p.callsInFlight != 4 || r.p.countOverdueCalls() != 0 {
		t.Fatalf("%d calls out, %d overdue", r.p.callsInFlight, r.p.countOverdueCalls())
	}
	start, patience := r.now, r.p.expectedLatencyBound(r.p.endpoints[1])
	for r.step(); count(r.acts, ActionCancel) == 0 && r.now < start+10*second; r.step() {
		r.now += 5000
	}
	if after := r.now - start; after < 2*patience || after > 3*patience {
		t.Errorf("called off after %d ms, patience %d ms", after/1000, patience/1000)
	}
}
