package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Messages that wait for one endpoint in the same step share one call, which takes one slot until
// its last outcome.
func TestMessagesOfOneStepShareOneCallAndSlot(t *testing.T) {
	s := baseSettings()
	s.Kinds[0].MaxBatch = 3
	r := newRig(t, s, readyEntry(1, 10))
	r.step(r.newMessage(0, 0), r.newMessage(0, 0), r.newMessage(0, 0))
	if len(r.sends) != 3 || r.p.callsInFlight != 1 {
		t.Fatalf("%d sends in %d calls, want 3 in 1", len(r.sends), r.p.callsInFlight)
	}
	r.now += second / 5
	r.step(attemptDone(r.sends[0], Delivered))
	if r.p.callsInFlight != 1 {
		t.Fatal("the slot was freed before the call's last outcome")
	}
}

// The messages of a call share its outcome, so no attempt of the call may time out after the
// deadline of another of its messages, whichever message comes first.
func TestCallTimesOutBeforeEarliestDeadline(t *testing.T) {
	s := baseSettings()
	s.Kinds[0].MaxBatch = 3
	nonIdempotent := s.Classes[0]
	nonIdempotent.Idempotency = NonIdempotent
	s.Classes = append(s.Classes, nonIdempotent)
	for seed := range 200 {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		r := newRig(t, s, readyEntry(1, 1000))
		var events []Event
		earliestDeadline := Time(math.MaxInt64)
		for range 3 {
			e := r.newMessage(rng.IntN(2), 0)
			e.TimeLeft = 3*second + Time(rng.Int64N(20*second)) // long enough that any of them may share a call with the others
			earliestDeadline = min(earliestDeadline, r.now+e.TimeLeft)
			events = append(events, e)
		}
		r.step(events...)
		if len(r.sends) != 3 || r.p.callsInFlight != 1 {
			t.Fatalf("seed %d: %d sends in %d calls, want 3 in 1", seed, len(r.sends), r.p.callsInFlight)
		}
		for _, a := range r.sends {
			if a.Call != r.sends[0].Call || a.Deadline >= earliestDeadline || a.Deadline <= r.now {
				t.Errorf("seed %d: message %d of call %d times out at %d, want the same call for all and a time-out before the earliest deadline of call %d, %d",
					seed, a.Message, a.Call, a.Deadline, r.sends[0].Call, earliestDeadline)
			}
		}
	}
}

// A message near its deadline must share no call with others, whether it comes first or second: the
// call would end at its time-out, and the others would lose time that they have and may not be sent
// again.
func TestMessageNearDeadlineDoesNotShortenOtherAttempts(t *testing.T) {
	s := baseSettings()
	s.Kinds[0].MaxBatch = 3
	nonIdempotent := s.Classes[0]
	nonIdempotent.Idempotency = NonIdempotent
	s.Classes = append(s.Classes, nonIdempotent)
	for _, class := range []int{0, 1} {
		for _, nearFirst := range []bool{false, true} {
			r := newRig(t, s, readyEntry(1, 1000))
			nearDeadline, farDeadline := r.newMessage(0, 0), r.newMessage(class, 0)
			nearDeadline.TimeLeft = second / 5
			events := []Event{farDeadline, nearDeadline}
			if nearFirst {
				events = []Event{nearDeadline, farDeadline}
			}
			r.step(events...)
			var sends []Action
			for endTime := r.now + second; r.now < endTime && len(sends) < 2; r.now += 5000 {
				sends = append(sends, r.sends...)
				events = nil
				for _, a := range r.sends {
					events = append(events, attemptDone(a, Delivered))
				}
				r.step(events...)
			}
			for _, a := range sends {
				if a.Message == farDeadline.Message && a.Deadline < 1000*second+s.Classes[0].LatencyObjective {
					t.Errorf("class %d, near deadline first %v: the other message times out after only %d ms", class, nearFirst, (a.Deadline-1000*second)/1000)
				}
			}
			if len(sends) != 2 {
				t.Errorf("class %d, near deadline first %v: %d sends, want 2", class, nearFirst, len(sends))
			}
		}
	}
}

// Where many calls go unanswered, a non-idempotent message, whose call is waited for far longer,
// must not hold up other messages in its call. Where few do, it shares calls as usual.
func TestIdempotentAndNonIdempotentMessagesShareNoCallWhenManyGoUnanswered(t *testing.T) {
	s := baseSettings()
	s.Kinds[0].MaxBatch = 4
	nonIdempotent := s.Classes[0]
	nonIdempotent.Idempotency = NonIdempotent
	s.Classes = append(s.Classes, nonIdempotent)
	for _, manyUnanswered := range []bool{false, true} {
		r := newRig(t, s, readyEntry(1, 1000))
		endpoint := r.p.endpoints[1]
		for i := range 100 { // one call in five is cancelled, or none is
			outcome := Delivered
			if manyUnanswered && i%5 == 0 {
				outcome, endpoint.lastSuccessAt = Cancelled, r.now // a later call was answered, so the cancellation says nothing about the endpoint
			}
			r.p.observeCall(&callState{endpoint: endpoint, sentAt: r.now - second}, &Event{Kind: EventAttemptDone, Outcome: outcome, Latency: second / 10})
		}
		r.p.endpoints[1].route.window = 1 // room for a single call
		r.step(r.newMessage(0, 0), r.newMessage(1, 0), r.newMessage(0, 0), r.newMessage(1, 0))
		sentByIdempotency := map[Idempotency]int{}
		for _, a := range r.sends {
			sentByIdempotency[r.p.messages[a.Message].class.Idempotency]++
		}
		if len(r.sends) < 2 || (len(sentByIdempotency) == 1) != manyUnanswered {
			t.Errorf("many unanswered calls %v: messages sent in one call by idempotency: %v", manyUnanswered, sentByIdempotency)
		}
	}
}
