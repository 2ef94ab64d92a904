package policy

import (
	"math/rand/v2"
	"testing"
)

// scanLowestLimit finds the lowest reported limit of a kind by looking at every route.
func scanLowestLimit(p *Policy, kindIndex int) (lowest float64) {
	for _, dest := range p.destinations {
		for _, route := range dest.routes {
			if dest.kindIndex == kindIndex && route.reportedLimit > 0 && (lowest == 0 || route.reportedLimit < lowest) {
				lowest = route.reportedLimit
			}
		}
	}
	return lowest
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
		var inFlight []Action // sends that have no outcome yet
		for range 300 {
			var events []Event
			switch rng.IntN(4) {
			case 0:
				dest := rng.IntN(6)
				entry := Entry{Endpoint: Endpoint(1 + rng.IntN(12)), Dest: dest, Kind: dest % 2, State: Readiness(rng.IntN(3))}
				if rng.IntN(10) == 0 {
					entry.Kind = rng.IntN(2)
				}
				events = append(events, Event{Kind: EventListUpdate, ListUpdate: ListDelta, Entries: []Entry{entry}})
			case 1:
				r.nextMessage++
				events = append(events, Event{Kind: EventMessage, Message: r.nextMessage, Dest: rng.IntN(6), TimeLeft: 10 * second, Tenant: -1})
			default:
				if len(inFlight) == 0 {
					break
				}
				index := rng.IntN(len(inFlight))
				send := inFlight[index]
				inFlight[index] = inFlight[len(inFlight)-1]
				inFlight = inFlight[:len(inFlight)-1]
				if message := r.p.messages[send.Message]; message != nil && message.call != nil {
					events = append(events, Event{Kind: EventAttemptDone, Message: send.Message, Attempt: message.attempts - 1, Endpoint: send.Endpoint,
						Outcome: []Outcome{Delivered, Rejected, Errored}[rng.IntN(3)], Latency: 1000, Load: LoadReport{Present: true, Limit: float64(rng.IntN(4))}})
				}
			}
			r.now += Time(rng.IntN(200_000))
			r.step(events...)
			inFlight = append(inFlight, r.sends...)
			for kindIndex := range s.Kinds {
				if got, want := r.p.lowestReportedLimit(&destination{kindIndex: kindIndex}), scanLowestLimit(r.p, kindIndex); got != want {
					t.Fatalf("seed %d: lowest reported limit of kind %d is %v, the full scan finds %v", seed, kindIndex, got, want)
				}
			}
		}
	}
}
