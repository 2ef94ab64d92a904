package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// fleetScenario describes a run in which one destination of a fleet fails for a while and comes
// back cold. The test counts what all relays together send it.
type fleetScenario struct {
	relays       int
	capacity     float64 // calls a second
	endpoints    int     // number of endpoints that share the capacity
	load         float64 // rate of new messages, as a fraction of the capacity
	reportsLimit bool    // answers report the limit; otherwise the list does
	outage       Outcome // outcome of calls during the outage
	seed         uint64
}

func (scenario fleetScenario) String() string {
	return fmt.Sprintf("%d relays, %v calls/s, %d endpoints, load %v, reports %v, outcome %d, seed %d", scenario.relays, scenario.capacity,
		scenario.endpoints, scenario.load, scenario.reportsLimit, scenario.outage, scenario.seed)
}

const (
	fleetStart  = 1000 * second
	outageStart = fleetStart + 15*second
	outageEnd   = outageStart + 10*second
	fleetTick   = second / 200
)

func fleetSettings(scenario fleetScenario) Settings {
	s := baseSettings()
	s.Relays, s.MaxCalls, s.MaxMessages, s.MaxAttempts = scenario.relays, 40, 400, 12
	s.ListedRates, s.LoadReports, s.HealthChecks = !scenario.reportsLimit, scenario.reportsLimit, false
	s.SlowStartCapacity, s.SlowStartTime, s.OverloadFactor, s.OverloadWindow = 0.19, 13*second, 2.5, 3*second
	s.Classes = []Class{
		{Name: "idempotent", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 1, LateWeight: 0.3},
		{Name: "idempotent by key", LatencyObjective: 3 * second, Deadline: 15 * second, Weight: 1, LateWeight: 0.3, Idempotency: IdempotentByKey, DedupWindow: 6 * second},
		{Name: "non-idempotent", LatencyObjective: 3 * second, Deadline: 12 * second, Weight: 2, LateWeight: 0.3, Idempotency: NonIdempotent},
	}
	return s
}

// fleetRelay is one relay of the fleet.
type fleetRelay struct {
	*rig
	settings    Settings
	weight      float64
	knowsOutage bool // whether a call has failed or was rejected since the outage began
	calls       []fleetCall
	timers      []Time
	attempts    map[uint32]int
}

type fleetCall struct {
	event Event
	dueAt Time
}

// fleetSimulation simulates the destination and the relays of its fleet. Its arrivals are the calls
// that have reached the destination since its return.
type fleetSimulation struct {
	scenario    fleetScenario
	settings    Settings
	rng         *rand.Rand
	relays      []*fleetRelay
	serveTokens tokenBucket
	arrivals    []fleetArrival
	accepted    int
}

type fleetArrival struct {
	at               Time
	senderKnewOutage bool
}

func newFleetSimulation(t *testing.T, scenario fleetScenario) *fleetSimulation {
	sim := &fleetSimulation{scenario: scenario, settings: fleetSettings(scenario), rng: rand.New(rand.NewPCG(scenario.seed, 11))}
	var entries []Entry
	for i := range scenario.endpoints {
		entries = append(entries, readyEntry(Endpoint(i+1), scenario.capacity/float64(scenario.endpoints)))
	}
	sum := 0.0
	for relay := range scenario.relays {
		r := &fleetRelay{rig: newSeededRig(t, sim.settings, scenario.seed<<16+uint64(relay), entries...), settings: sim.settings, attempts: map[uint32]int{},
			weight: 0.1 + sim.rng.ExpFloat64()} // some relays get several times the mean traffic
		sum += r.weight
		sim.relays = append(sim.relays, r)
	}
	for _, r := range sim.relays {
		r.weight /= sum
	}
	return sim
}

// capacityFraction is the fraction of its capacity that the destination has at a given time.
func (sim *fleetSimulation) capacityFraction(at Time) float64 {
	if at < outageEnd {
		return 1
	}
	least := sim.settings.SlowStartCapacity
	return min(1, least+(1-least)*float64(at-outageEnd)/float64(sim.settings.SlowStartTime))
}

// respond decides the outcome of a call and when its relay learns of it.
func (sim *fleetSimulation) respond(r *fleetRelay, now Time, a Action) fleetCall {
	e := Event{Kind: EventAttemptDone, Message: a.Message, Endpoint: a.Endpoint, Attempt: r.attempts[a.Message], Outcome: sim.scenario.outage}
	r.attempts[a.Message]++
	latency := second/20 + sim.rng.Int64N(second/10)
	switch {
	case now >= outageStart && now < outageEnd:
		switch e.Outcome {
		case TimedOut:
			latency = a.Deadline - now
		case ConnectFailed, Rejected:
			latency = fleetTick
		}
	default:
		if now >= outageEnd {
			sim.arrivals = append(sim.arrivals, fleetArrival{now, r.knowsOutage})
		}
		rate := sim.scenario.capacity * sim.capacityFraction(now)
		e.Outcome = Rejected
		if tokens := sim.serveTokens.level(now, rate, max(1, rate)); tokens >= 1 {
			sim.serveTokens.tokens--
			e.Outcome, e.Final = Delivered, true
		}
		if sim.scenario.reportsLimit {
			e.Load = LoadReport{Remaining: sim.serveTokens.tokens / max(1, rate), Limit: sim.scenario.capacity, Present: true}
		}
	}
	e.Latency = latency
	return fleetCall{e, now + latency}
}

// stepRelay has one relay process the outcomes, new messages and timers that are due.
func (sim *fleetSimulation) stepRelay(r *fleetRelay, now Time, newMessages int) {
	var events []Event
	remaining := r.calls[:0]
	for _, call := range r.calls {
		if call.dueAt > now {
			remaining = append(remaining, call)
			continue
		}
		if call.event.Outcome != Delivered && now >= outageStart {
			r.knowsOutage = true
		}
		if call.event.Outcome == Delivered && now >= outageEnd {
			sim.accepted++
		}
		events = append(events, call.event)
	}
	r.calls = remaining
	for range newMessages {
		events = append(events, r.newMessage(sim.rng.IntN(len(sim.settings.Classes)), 0))
	}
	timerIsDue := false
	timers := r.timers[:0]
	for _, at := range r.timers {
		if at <= now {
			timerIsDue = true
		} else {
			timers = append(timers, at)
		}
	}
	if r.timers = timers; timerIsDue {
		events = append(events, Event{Kind: EventTimer})
	}
	if len(events) == 0 {
		return
	}
	r.now = now
	for _, a := range r.step(events...) {
		switch a.Kind {
		case ActionSend:
			r.calls = append(r.calls, sim.respond(r, now, a))
		case ActionTimer:
			r.timers = append(r.timers, now+a.Delay)
		case ActionCancel:
			r.cancel(now, a)
		}
	}
}

// cancel ends an attempt that its relay has cancelled.
func (r *fleetRelay) cancel(now Time, a Action) {
	for i := range r.calls {
		if call := &r.calls[i]; call.event.Message == a.Message && call.event.Attempt == a.Attempt {
			call.event.Outcome, call.event.Final, call.dueAt = Cancelled, false, now+fleetTick
		}
	}
}

// run simulates the whole scenario.
func (sim *fleetSimulation) run() {
	for now := fleetStart; now < outageEnd+sim.settings.SlowStartTime; now += fleetTick {
		newMessages := map[*fleetRelay]int{}
		expected := sim.scenario.load * sim.scenario.capacity * float64(fleetTick) / float64(second)
		for gap := sim.rng.ExpFloat64(); gap < expected; gap += sim.rng.ExpFloat64() {
			pick := sim.rng.Float64()
			for _, r := range sim.relays {
				if pick -= r.weight; pick <= 0 {
					newMessages[r]++
					break
				}
			}
		}
		for _, r := range sim.relays {
			sim.stepRelay(r, now, newMessages[r])
		}
	}
}

// fleetWindow holds the number of calls that reached the destination in one overload window, and
// the bound on that number.
type fleetWindow struct {
	from, to             Time
	calls, informedCalls int
	bound                float64
}

func (window fleetWindow) String() string {
	return fmt.Sprintf("%d calls (%d of relays that knew of the outage) from %d to %d ms after the return, want at most %.1f", window.calls, window.informedCalls,
		(window.from-outageEnd)/1000, (window.to-outageEnd)/1000, window.bound)
}

// bound is the number of calls that a cold destination can stand in the overload window that ends
// at a given time: the budget of the settings plus an allowance for chance. The budget uses the
// capacity in the middle of the window, which equals the sum over the window. Where more messages
// come than the destination can serve at all, each relay has a queue besides the chance variation,
// so the capacity at the end of the window is used.
func (sim *fleetSimulation) bound(to Time) float64 {
	from := max(to-sim.settings.OverloadWindow, outageEnd)
	capacityAt := from + (to-from)/2
	if sim.scenario.load > 1 {
		capacityAt = to
	}
	budget := sim.settings.OverloadFactor * sim.capacityFraction(capacityAt) * sim.scenario.capacity * float64(sim.settings.OverloadWindow) / float64(second)
	return budget + 2*math.Sqrt(budget) + 2
}

// worstWindow returns the window that has the most calls in relation to its bound.
func (sim *fleetSimulation) worstWindow() (worst fleetWindow) {
	oldest, informed := 0, 0
	for i, a := range sim.arrivals {
		if a.senderKnewOutage {
			informed++
		}
		for sim.arrivals[oldest].at <= a.at-sim.settings.OverloadWindow {
			if sim.arrivals[oldest].senderKnewOutage {
				informed--
			}
			oldest++
		}
		window := fleetWindow{max(a.at-sim.settings.OverloadWindow, outageEnd), a.at, i + 1 - oldest, informed, sim.bound(a.at)}
		if worst.calls == 0 || float64(window.calls)/window.bound > float64(worst.calls)/worst.bound {
			worst = window
		}
	}
	return worst
}

// isViolation reports whether the destination was overloaded and the relays are at fault: more than
// two thirds of the calls came from relays that knew of the outage.
func (window fleetWindow) isViolation() bool {
	return float64(window.calls) > window.bound && 3*window.informedCalls > 2*window.calls
}

// When a destination comes back cold from an outage of any kind, all relays together must not send
// it more calls in an overload window than it can stand, whatever its capacity. In a fleet of 300
// relays, most of which may not have noticed the outage, more calls are a failure only if over two
// thirds of them came from relays that had noticed it.
func TestFleetDoesNotOverloadRecoveringDestination(t *testing.T) {
	for _, relays := range []int{20, 30, 300} {
		for _, capacity := range []float64{3, 8, 25, 120} {
			for i, outage := range []Outcome{Errored, TimedOut, ConnectFailed, Rejected} {
				for variant := range uint64(6) {
					scenario := fleetScenario{relays: relays, capacity: capacity, endpoints: 1 + (i+int(variant))%2, load: []float64{0.5, 0.9, 1.3}[variant/2],
						reportsLimit: variant%2 == 0, outage: outage, seed: 100 + variant/2}
					if relays > 100 && scenario.load > 1 {
						continue // most calls are from relays that have not noticed the outage
					}
					t.Run(scenario.String(), func(t *testing.T) {
						t.Parallel()
						sim := newFleetSimulation(t, scenario)
						sim.run()
						worst := sim.worstWindow()
						t.Logf("%d calls accepted after the return; worst window: %v", sim.accepted, worst)
						if relays < 100 && float64(worst.calls) > worst.bound || worst.isViolation() {
							t.Errorf("the destination was overloaded: %v", worst)
						}
						if sim.accepted == 0 {
							t.Error("no call was accepted after the return, so the scenario tests nothing")
						}
					})
				}
			}
		}
	}
}
