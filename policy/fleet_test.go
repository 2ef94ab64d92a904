package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// fleetScenario describes a run in which one destination of a fleet fails for a while and comes
// back cold. The test counts what all relays together send it.
type fleetDay struct {
	relays    int
	capacity  float64 // calls a second
	endpoints int     // number of endpoints that share the capacity
	load      float64 // rate of new messages, as a fraction of the capacity
	reports   bool    // answers report the limit; otherwise the list does
	outage    Outcome // outcome of calls during the outage
	seed      uint64
}

func (d fleetDay) String() string {
	return fmt.Sprintf("%d relays, %v calls/s, %d endpoints, load %v, reports %v, outcome %d, seed %d", d.relays, d.capacity,
		d.endpoints, d.load, d.reports, d.outage, d.seed)
}

const (
	fleetStart = 1000 * second
	fleetDown  = fleetStart + 15*second
	fleetBack  = fleetDown + 10*second
	fleetTick  = second / 200
)

func fleetSettings(d fleetDay) Settings {
	s := baseSettings()
	s.Relays, s.MaxCalls, s.MaxMessages, s.MaxAttempts = d.relays, 40, 400, 12
	s.ListedRates, s.LoadReports, s.HealthChecks = !d.reports, d.reports, false
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
	set     Settings
	weight  float64
	told    bool // whether a call has failed or was rejected since the outage began
	flights []fleetCall
	timers  []Time
	tries   map[uint32]int
}

type fleetCall struct {
	event Event
	due   Time
}

// fleetSimulation simulates the destination and the relays of its fleet. Its arrivals are the calls
// that have reached the destination since its return.
type fleetWorld struct {
	day      fleetDay
	set      Settings
	rng      *rand.Rand
	relays   []*fleetRelay
	served   tokenBucket
	arrivals []fleetArrival
	accepted int
}

type fleetArrival struct {
	at   Time
	told bool
}

func newFleet(t *testing.T, d fleetDay) *fleetWorld {
	w := &fleetWorld{day: d, set: fleetSettings(d), rng: rand.New(rand.NewPCG(d.seed, 11))}
	var entries []Entry
	for i := range d.endpoints {
		entries = append(entries, ready(Endpoint(i+1), d.capacity/float64(d.endpoints)))
	}
	sum := 0.0
	for k := range d.relays {
		r := &fleetRelay{rig: newSeededRig(t, w.set, d.seed<<16+uint64(k), entries...), set: w.set, tries: map[uint32]int{},
			weight: 0.1 + w.rng.ExpFloat64()} // some relays get several times the mean traffic
		sum += r.weight
		w.relays = append(w.relays, r)
	}
	for _, r := range w.relays {
		r.weight /= sum
	}
	return w
}

// capacityFraction is the fraction of its capacity that the destination has at a given time.
func (w *fleetWorld) present(at Time) float64 {
	if at < fleetBack {
		return 1
	}
	s := w.set.SlowStartCapacity
	return min(1, s+(1-s)*float64(at-fleetBack)/float64(w.set.SlowStartTime))
}

// respond decides the outcome of a call and when its relay learns of it.
func (w *fleetWorld) answer(r *fleetRelay, now Time, a Action) fleetCall {
	e := Event{Kind: EventAttemptDone, Message: a.Message, Endpoint: a.Endpoint, Attempt: r.tries[a.Message], Outcome: w.day.outage}
	r.tries[a.Message]++
	took := second/20 + w.rng.Int64N(second/10)
	switch {
	case now >= fleetDown && now < fleetBack:
		switch e.Outcome {
		case TimedOut:
			took = a.Deadline - now
		case ConnectFailed, Rejected:
			took = fleetTick
		}
	default:
		if now >= fleetBack {
			w.arrivals = append(w.arrivals, fleetArrival{now, r.told})
		}
		rate := w.day.capacity * w.present(now)
		e.Outcome = Rejected
		if left := w.served.level(now, rate, max(1, rate)); left >= 1 {
			w.served.tokens--
			e.Outcome, e.Final = Delivered, true
		}
		if w.day.reports {
			e.Load = LoadReport{Remaining: w.served.tokens / max(1, rate), Limit: w.day.capacity, Present: true}
		}
	}
	e.Latency = took
	return fleetCall{e, now + took}
}

// stepRelay has one relay process the outcomes, new messages and timers that are due.
func (w *fleetWorld) tick(r *fleetRelay, now Time, fresh int) {
	var events []Event
	still := r.flights[:0]
	for _, f := range r.flights {
		if f.due > now {
			still = append(still, f)
			continue
		}
		if f.event.Outcome != Delivered && now >= fleetDown {
			r.told = true
		}
		if f.event.Outcome == Delivered && now >= fleetBack {
			w.accepted++
		}
		events = append(events, f.event)
	}
	r.flights = still
	for range fresh {
		events = append(events, r.message(w.rng.IntN(len(w.set.Classes)), 0))
	}
	due := false
	timers := r.timers[:0]
	for _, at := range r.timers {
		if at <= now {
			due = true
		} else {
			timers = append(timers, at)
		}
	}
	if r.timers = timers; due {
		events = append(events, Event{Kind: EventTimer})
	}
	if len(events) == 0 {
		return
	}
	r.now = now
	for _, a := range r.step(events...) {
		switch a.Kind {
		case ActionSend:
			r.flights = append(r.flights, w.answer(r, now, a))
		case ActionTimer:
			r.timers = append(r.timers, now+a.Delay)
		case ActionCancel:
			r.cancel(now, a)
		}
	}
}

// cancel ends an attempt that its relay has cancelled.
func (r *fleetRelay) cancel(now Time, a Action) {
	for i := range r.flights {
		if f := &r.flights[i]; f.event.Message == a.Message && f.event.Attempt == a.Attempt {
			f.event.Outcome, f.event.Final, f.due = Cancelled, false, now+fleetTick
		}
	}
}

// run simulates the whole scenario.
func (w *fleetWorld) run() {
	for now := fleetStart; now < fleetBack+w.set.SlowStartTime; now += fleetTick {
		fresh := map[*fleetRelay]int{}
		mean := w.day.load * w.day.capacity * float64(fleetTick) / float64(second)
		for gap := w.rng.ExpFloat64(); gap < mean; gap += w.rng.ExpFloat64() {
			at := w.rng.Float64()
			for _, r := range w.relays {
				if at -= r.weight; at <= 0 {
					fresh[r]++
					break
				}
			}
		}
		for _, r := range w.relays {
			w.tick(r, now, fresh[r])
		}
	}
}

// fleetWindow holds the calls that reached the destination in one overload window, and how many
// may.
type fleetWindow struct {
	from, to  Time
	all, told int
	bound     float64
}

func (f fleetWindow) String() string {
	return fmt.Sprintf("%d calls (%d of relays that knew of the outage) from %d to %d ms after the return, want at most %.1f", f.all, f.told,
		(f.from-fleetBack)/1000, (f.to-fleetBack)/1000, f.bound)
}

// bound is the number of calls that a cold destination can stand in the overload window that ends
// at a given time: the budget of the settings plus an allowance for chance. The budget uses the
// capacity in the middle of the window, which equals the sum over the window. Where more messages
// come than the destination can serve at all, each relay has a queue besides the chance variation,
// so the capacity at the end of the window is used.
func (w *fleetWorld) bound(to Time) float64 {
	from := max(to-w.set.OverloadWindow, fleetBack)
	at := from + (to-from)/2
	if w.day.load > 1 {
		at = to
	}
	budget := w.set.OverloadFactor * w.present(at) * w.day.capacity * float64(w.set.OverloadWindow) / float64(second)
	return budget + 2*math.Sqrt(budget) + 2
}

// worstWindow returns the window that has the most calls in relation to its bound.
func (w *fleetWorld) worst() (worst fleetWindow) {
	first, told := 0, 0
	for i, a := range w.arrivals {
		if a.told {
			told++
		}
		for w.arrivals[first].at <= a.at-w.set.OverloadWindow {
			if w.arrivals[first].told {
				told--
			}
			first++
		}
		x := fleetWindow{max(a.at-w.set.OverloadWindow, fleetBack), a.at, i + 1 - first, told, w.bound(a.at)}
		if worst.all == 0 || float64(x.all)/x.bound > float64(worst.all)/worst.bound {
			worst = x
		}
	}
	return worst
}

// isViolation reports whether the destination was overloaded and the relays are at fault: more than
// two thirds of the calls came from relays that knew of the outage.
func (f fleetWindow) broken() bool { return float64(f.all) > f.bound && 3*f.told > 2*f.all }

// Whatever the size of the fleet and of the destination and the kind of the outage, all relays
// together never send a cold destination more than it can stand in an overload window. Where there
// are so many relays that most have not noticed the outage yet, it may be overloaded, but not by
// those that have.
func TestFleetDoesNotOverloadRecoveringDestination(t *testing.T) {
	for _, relays := range []int{20, 30, 300} {
		for _, capacity := range []float64{3, 8, 25, 120} {
			for i, outage := range []Outcome{Errored, TimedOut, ConnectFailed, Rejected} {
				for k := range uint64(6) {
					d := fleetDay{relays: relays, capacity: capacity, endpoints: 1 + (i+int(k))%2, load: []float64{0.5, 0.9, 1.3}[k/2],
						reports: k%2 == 0, outage: outage, seed: 100 + k/2}
					if relays > 100 && d.load > 1 {
						continue // most calls are from relays that have not noticed the outage
					}
					t.Run(d.String(), func(t *testing.T) {
						t.Parallel()
						w := newFleet(t, d)
						w.run()
						x := w.worst()
						t.Logf("%d calls accepted after the return; worst window: %v", w.accepted, x)
						if relays < 100 && float64(x.all) > x.bound || x.broken() {
							t.Errorf("the destination was overloaded: %v", x)
						}
						if w.accepted == 0 {
							t.Error("no call was accepted after the return, so the scenario tests nothing")
						}
					})
				}
			}
		}
	}
}
