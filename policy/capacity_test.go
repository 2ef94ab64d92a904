package policy

import (
	"math/rand/v2"
	"testing"
)

// scanLowestLimit finds the lowest reported limit of a kind by looking at every route.
func walkedLeastLimit(p *Policy, kindAt int) (least float64) {
	for _, d := range p.destinations {
		for _, l := range d.routes {
			if d.kindIndex == kindAt && l.reportedLimit > 0 && (least == 0 || l.reportedLimit < least) {
				least = l.reportedLimit
			}
		}
	}
	return least
}

// The lowest limit that is updated with each report must equal that of a full scan while lists
// change: endpoints come, leave and move, destinations change their kind, endpoints report after
// they have left, and limits rise and fall.
func TestLowestReportedLimitMatchesFullScan(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 5))
		s := baseSettings()
		s.Kinds = []DestinationKind{{MaxBatch: 1}, {MaxBatch: 2, SeparateRoutes: true}}
		s.MaxCalls, s.MaxMessages = 64, 0
		r := newSeededRig(t, s, seed)
		var out []Action // sends that have no outcome yet
		for range 300 {
			var events []Event
			switch rng.IntN(4) {
			case 0:
				dest := rng.IntN(6)
				x := Entry{Endpoint: Endpoint(1 + rng.IntN(12)), Dest: dest, Kind: dest % 2, State: Readiness(rng.IntN(3))}
				if rng.IntN(10) == 0 {
					x.Kind = rng.IntN(2)
				}
				events = append(events, Event{Kind: EventListUpdate, ListUpdate: ListDelta, Entries: []Entry{x}})
			case 1:
				r.next++
				events = append(events, Event{Kind: EventMessage, Message: r.next, Dest: rng.IntN(6), TimeLeft: 10 * second, Tenant: -1})
			default:
				if len(out) == 0 {
					break
				}
				at := rng.IntN(len(out))
				send := out[at]
				out[at] = out[len(out)-1]
				out = out[:len(out)-1]
				if m := r.p.messages[send.Message]; m != nil && m.call != nil {
					events = append(events, Event{Kind: EventAttemptDone, Message: send.Message, Attempt: m.attempts - 1, Endpoint: send.Endpoint,
						Outcome: []Outcome{Delivered, Rejected, Errored}[rng.IntN(3)], Latency: 1000, Load: LoadReport{Present: true, Limit: float64(rng.IntN(4))}})
				}
			}
			r.now += Time(rng.IntN(200_000))
			r.step(events...)
			out = append(out, r.sends...)
			for kindAt := range s.Kinds {
				if got, want := r.p.lowestReportedLimit(&destination{kindIndex: kindAt}), walkedLeastLimit(r.p, kindAt); got != want {
					t.Fatalf("seed %d: lowest reported limit of kind %d is %v, the full scan finds %v", seed, kindAt, got, want)
				}
			}
		}
	}
}
