package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestBatchOfOneTurn: what waits for one endpoint shares a call and a slot, and the call counts once.
func TestBatchOfOneTurn(t *testing.T) {
	s := baseSettings()
	s.Kinds[0].MaxBatch = 3
	r := newRig(t, s, ready(1, 10))
	r.step(r.message(0, 0), r.message(0, 0), r.message(0, 0))
	if len(r.sends) != 3 || r.p.callsInFlight != 1 {
		t.Fatalf("%d sends in %d calls, want 3 in 1", len(r.sends), r.p.callsInFlight)
	}
	r.now += second / 5
	r.step(answer(r.sends[0], Delivered))
	if r.p.callsInFlight != 1 {
		t.Fatal("the slot was freed before the call's last outcome")
	}
}

// TestCallEndsInTime: the messages of a call share one fate, so that none of them is waited for beyond the time
// of another, whichever leads the call.
func TestCallEndsInTime(t *testing.T) {
	s := baseSettings()
	s.Kinds[0].MaxBatch = 3
	unsafe := s.Classes[0]
	unsafe.Idempotency = NonIdempotent
	s.Classes = append(s.Classes, unsafe)
	for seed := range 200 {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		r := newRig(t, s, ready(1, 1000))
		var events []Event
		first := Time(math.MaxInt64)
		for range 3 {
			e := r.message(rng.IntN(2), 0)
			e.TimeLeft = 3*second + Time(rng.Int64N(20*second)) // each leaves the others their time
			first = min(first, r.now+e.TimeLeft)
			events = append(events, e)
		}
		r.step(events...)
		if len(r.sends) != 3 || r.p.callsInFlight != 1 {
			t.Fatalf("seed %d: %d sends in %d calls, want 3 in 1", seed, len(r.sends), r.p.callsInFlight)
		}
		for _, a := range r.sends {
			if a.Call != r.sends[0].Call || a.Deadline >= first || a.Deadline <= r.now {
				t.Errorf("seed %d: message %d of call %d is waited for until %d, the first deadline of call %d is at %d",
					seed, a.Message, a.Call, a.Deadline, r.sends[0].Call, first)
			}
		}
	}
}

// TestCallCutsNobodyShort: a message whose time is nearly up shares no call, whether it leads or follows: its end would
// be that of others, which have more time and may not be sent again.
func TestCallCutsNobodyShort(t *testing.T) {
	s := baseSettings()
	s.Kinds[0].MaxBatch = 3
	unsafe := s.Classes[0]
	unsafe.Idempotency = NonIdempotent
	s.Classes = append(s.Classes, unsafe)
	for _, class := range []int{0, 1} {
		for _, nearFirst := range []bool{false, true} {
			r := newRig(t, s, ready(1, 1000))
			near, far := r.message(0, 0), r.message(class, 0)
			near.TimeLeft = second / 5
			events := []Event{far, near}
			if nearFirst {
				events = []Event{near, far}
			}
			r.step(events...)
			var sends []Action
			for end := r.now + second; r.now < end && len(sends) < 2; r.now += 5000 {
				sends = append(sends, r.sends...)
				events = nil
				for _, a := range r.sends {
					events = append(events, answer(a, Delivered))
				}
				r.step(events...)
			}
			for _, a := range sends {
				if a.Message == far.Message && a.Deadline < 1000*second+s.Classes[0].LatencyObjective {
					t.Errorf("class %d, near first %v: the far one is waited for %d ms", class, nearFirst, (a.Deadline-1000*second)/1000)
				}
			}
			if len(sends) != 2 {
				t.Errorf("class %d, near first %v: %d sends", class, nearFirst, len(sends))
			}
		}
	}
}

// TestHangingCallsAreNotShared: where many calls end in silence, an unsafe message, for which a call is waited
// for far longer, does not hold up others in it; where few do, it shares its call as ever.
func TestHangingCallsAreNotShared(t *testing.T) {
	s := baseSettings()
	s.Kinds[0].MaxBatch = 4
	unsafe := s.Classes[0]
	unsafe.Idempotency = NonIdempotent
	s.Classes = append(s.Classes, unsafe)
	for _, hang := range []bool{false, true} {
		r := newRig(t, s, ready(1, 1000))
		ep := r.p.endpoints[1]
		for i := range 100 { // one in five is called off, or none
			o := Delivered
			if hang && i%5 == 0 {
				o, ep.lastSuccessAt = Cancelled, r.now // others were answered since
			}
			r.p.observeCall(&callState{endpoint: ep, sentAt: r.now - second}, &Event{Kind: EventAttemptDone, Outcome: o, Latency: second / 10})
		}
		r.p.endpoints[1].route.window = 1 // one call with all, or none
		r.step(r.message(0, 0), r.message(1, 0), r.message(0, 0), r.message(1, 0))
		kinds := map[Idempotency]int{}
		for _, a := range r.sends {
			kinds[r.p.messages[a.Message].class.Idempotency]++
		}
		if len(r.sends) < 2 || (len(kinds) == 1) != hang {
			t.Errorf("hanging %v: sent %v of each kind", hang, kinds)
		}
	}
}
