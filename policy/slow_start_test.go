package policy

import "testing"

// runOutage sends a message each 100 ms for 40 s. From the first second to the twelfth each attempt
// ends with the given outcome.
func runOutage(t *testing.T, s Settings, rate float64, outcome Outcome) *rig {
	r := newRig(t, s, readyEntry(1, rate/2), readyEntry(2, rate/2))
	start := r.now
	type sentAttempt struct {
		a       Action
		dueAt   Time
		outcome Outcome
	}
	var inFlight []sentAttempt
	attempts := map[uint32]int{}
	for r.now < start+40*second {
		var events []Event
		var remaining []sentAttempt
		for _, f := range inFlight {
			if f.dueAt > r.now {
				remaining = append(remaining, f)
				continue
			}
			events = append(events, attemptDone(f.a, f.outcome))
		}
		inFlight = remaining
		if (r.now-start)%(second/10) == 0 {
			events = append(events, r.newMessage(0, 0))
		}
		r.step(events...)
		for _, a := range r.actions {
			switch a.Kind {
			case ActionSend:
				a.Attempt = attempts[a.Message]
				attempts[a.Message]++
				f := sentAttempt{a, r.now + second/5, Delivered}
				if elapsed := r.now - start; elapsed > second && elapsed < 12*second {
					f.outcome = outcome
					if outcome == TimedOut {
						f.dueAt = a.Deadline
					}
				}
				inFlight = append(inFlight, f)
			}
		}
		r.now += 5000
	}
	return r
}

// After an outage that the relay has noticed, it keeps to its share of the recovery budget in every
// overload window from the return on, for a destination that regains its capacity as slowly as the
// settings allow.
func TestRecoveryBudgetLimitsCallsAfterOutage(t *testing.T) {
	for _, outcome := range []Outcome{Errored, TimedOut, ConnectFailed, ConnectionReset, Rejected} {
		s := baseSettings()
		r := runOutage(t, s, 20, outcome)
		start, outageEnd := 1000*second, 1012*second
		callsInOutage, callsAfterRecovery := 0, 0
		for _, at := range r.sendTimes {
			if at > start+6*second && at < outageEnd {
				callsInOutage++
			}
			if at > outageEnd+15*second {
				callsAfterRecovery++
			}
		}
		for from := outageEnd; from < outageEnd+s.SlowStartTime; from += second / 4 {
			calls := 0
			for _, at := range r.sendTimes {
				if at >= from && at < from+s.OverloadWindow {
					calls++
				}
			}
			capacityFraction := s.SlowStartCapacity + (1-s.SlowStartCapacity)*float64(from-outageEnd)/float64(s.SlowStartTime)
			budget := s.OverloadFactor * capacityFraction * 20 * 3 / float64(s.Relays)
			if float64(calls) > budget+2 { // one trial call at each endpoint is the allowance for chance
				t.Errorf("outcome %d: %d calls in the 3 s from %d ms after the return, want at most %.1f", outcome, calls,
					(from-outageEnd)/1000, budget)
			}
		}
		if callsInOutage == 0 || callsInOutage > 60 || callsAfterRecovery < 50 {
			t.Errorf("outcome %d: %d calls during the outage, want 1 to 60, and %d after it, want at least 50", outcome, callsInOutage, callsAfterRecovery)
		}
	}
}

// After an outage that every relay has noticed, all relays together keep to the recovery budget of
// a cold destination, whether they are two or hundreds.
func TestFleetStaysWithinRecoveryBudget(t *testing.T) {
	for _, relays := range []int{2, 50, 400} {
		s := baseSettings()
		s.Relays, s.MaxMessages = relays, 1000
		const rate = 20.0
		outageEnd := 1012 * second
		calls := make([]float64, 40) // calls in each half second from the return on
		for relay := range relays {
			p, err := New(s, uint64(relay))
			if err != nil {
				t.Fatal(err)
			}
			now := 1000*second + Time(relay)*1000
			events := []Event{{Kind: EventListUpdate, ListUpdate: ListCached, Entries: []Entry{readyEntry(1, rate)}}}
			for i := range max(1, 240/relays) { // twelve seconds of traffic, spread over the relays
				events = append(events, Event{Kind: EventMessage, Message: uint32(i + 1), TimeLeft: 30 * second})
			}
			attempts := map[uint32]int{}
			for now < outageEnd+10*second {
				actions := p.Step(now, events, nil)
				events = nil
				for _, a := range actions {
					if a.Kind == ActionSend {
						if halfSecond := (now - outageEnd) * 2 / second; now >= outageEnd {
							calls[halfSecond]++
						}
						e := attemptDone(a, ConnectFailed)
						e.Attempt = attempts[a.Message]
						attempts[a.Message]++
						events = append(events, e)
					}
				}
				now += second / 20
			}
		}
		for from := 0; from+6 <= 20; from++ {
			sum := 0.0
			for _, c := range calls[from : from+6] {
				sum += c
			}
			if budget := s.OverloadFactor * s.SlowStartCapacity * rate * 3; sum > budget*1.25 {
				t.Errorf("%d relays: %v calls in 3 s from %d ms after the return, budget %v", relays, sum, from*500, budget)
			}
		}
	}
}

// A trial call carries a message that waits, a non-idempotent one only once it is late.
func TestTrialCallsUseWaitingMessages(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		s := baseSettings()
		if nonIdempotent {
			s.Classes[0].Idempotency = NonIdempotent
		}
		r := newRig(t, s, readyEntry(1, 10))
		for range 3 {
			r.p.observeFailure(r.p.endpoints[1], r.now, true)
		}
		start := r.now
		r.step(r.newMessage(0, 0))
		for len(r.sends) == 0 && r.now < start+19*second {
			r.now += second / 20
			r.step()
		}
		if len(r.sends) != 1 || nonIdempotent && r.now <= start+s.Classes[0].LatencyObjective {
			t.Errorf("non-idempotent %v: %d sends after %d ms", nonIdempotent, len(r.sends), (r.now-start)/1000)
		}
	}
}

// A relay of a large fleet finds a destination failing that has never answered it. Its trial calls
// are paced by the lowest limit that other destinations of the same kind have reported, not by one
// call a second for all relays together.
func TestTrialCallsArePacedByLowestReportedLimit(t *testing.T) {
	s := baseSettings()
	s.Relays, s.ListedRates, s.Kinds = 80, false, []DestinationKind{{MaxBatch: 1}, {MaxBatch: 1}}
	entry := func(id Endpoint, dest, kind int) Entry {
		return Entry{Endpoint: id, Dest: dest, Kind: kind, State: Ready}
	}
	r := newRig(t, s, entry(1, 0, 0), entry(2, 1, 0), entry(3, 2, 0), entry(4, 3, 1))
	for dest, limit := range []float64{30, 90} {
		r.step(r.newMessage(0, dest))
		e := attemptDone(r.sends[0], Delivered)
		e.Load = LoadReport{Remaining: 1, Limit: limit, Present: true}
		r.step(e)
	}
	if r.p.estimateCapacity(r.p.endpoints[3].route) != 1 || r.p.lowestReportedLimit(r.p.endpoints[4].route.dest) != 0 {
		t.Error("the lowest limit is used beyond recovery budgets, or for another kind")
	}
	trialCalls := 0
	for range 20000 { // the destination fails for 100 s
		if r.now += s.Tick; len(r.p.pending) == 0 {
			r.step(r.newMessage(0, 2))
		} else {
			r.step()
		}
		for len(r.sends) > 0 {
			e := attemptDone(r.sends[0], ConnectFailed)
			e.Attempt = r.p.messages[e.Message].attempts - 1
			r.step(e)
			trialCalls++
		}
	}
	if trialCalls < 10 || trialCalls > 40 {
		t.Errorf("%d trial calls in 100 s, want 10 to 40", trialCalls)
	}
}
