// Package policy decides for one relay: which messages it admits, when and to which endpoint it
// sends each, and how it reacts to overload and faults. It is a deterministic state machine without
// sockets, clock or files: the host passes in events with the time and carries out the actions it
// gets back. The same settings, seed and events always give the same actions.
//
// The interface is in settings.go, event.go and action.go. The state is in state.go; each other
// file holds one rule with its tuned constants. The ordinary path is adaptive throttling for each
// destination (throttle.go) with a window on concurrent calls; a rule that departs from it names
// its condition.
package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// second is the number of Time units in a second.
const second = Time(1e6)

// seedStream is the second half of the generator's seed, so that only the first is left to the caller.
const seedStream = 0x9e3779b97f4a7c15

// minTick is the least time taken to pass between two events, where the settings give none.
const minTick = second / 1000

// Policy decides for one relay. Its zero value is of no use: New makes one. It is not safe for
// concurrent use and holds nothing that needs closing.
type Policy struct {
	settings        Settings
	rng             *rand.Rand // of all draws, whose order decides every later action
	now             Time
	actions         []Action       // of the step that runs
	destinations    []*destination // by number
	endpoints       map[Endpoint]*endpointState
	messages        map[uint32]*messageState
	pending         []*messageState // not yet completed
	orderedQueues   map[uint64]*orderedQueue
	timers          timerQueue[timerTask]
	changed         []*destination // to be examined in this step
	awaitingSlot    []*destination // could send if a call slot were free
	spill           spillState
	tenantQuotas    []tokenBucket
	callsInFlight   int
	lastCallID      uint32
	pendingInFlight int  // pending messages with an attempt in flight
	shedPass        int  // number of the latest search for a message to shed
	timerAt         Time // for which the host was last asked for a timer
	polledAt        Time // when the endpoint list was last asked for; 0 for never
	// connectionShortage is the fraction of calls that found no connection, by kind of destination.
	connectionShortage []float64
	lowestLimits       []lowestLimit   // by kind of destination
	latency            latencyEstimate // of all deliveries
	unansweredFraction float64         // of calls
	saturatedSince     Time            // when messages began to wait with every call slot taken; 0 for not
	drainingSince      Time            // 0 while not draining
}

// New makes a policy from its settings; the seed feeds all its draws. The error is that of
// Settings.Validate.
func New(s Settings, seed uint64) (*Policy, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	kinds := max(len(s.Kinds), 1)
	p := &Policy{
		settings:           s,
		rng:                rand.New(rand.NewPCG(seed, seedStream)),
		endpoints:          map[Endpoint]*endpointState{},
		messages:           map[uint32]*messageState{},
		orderedQueues:      map[uint64]*orderedQueue{},
		tenantQuotas:       make([]tokenBucket, len(s.Tenants)),
		connectionShortage: make([]float64, kinds),
		lowestLimits:       make([]lowestLimit, kinds),
	}
	p.settings.Classes = slices.Clone(s.Classes)
	p.settings.StreamsPerConnection = max(s.StreamsPerConnection, 1)
	p.settings.Tick = max(s.Tick, minTick)
	return p, nil
}

// Step takes in the events up to now and appends the actions that follow from them to actions. Time
// never runs backwards: an earlier now counts as the latest one seen.
func (p *Policy) Step(now Time, events []Event, actions []Action) []Action {
	p.now, p.actions = max(now, p.now), actions
	p.pollEndpointList()
	for i := range events {
		p.handleEvent(&events[i])
	}
	p.runDueTimers()
	p.shedLoad()
	p.dispatch()
	p.requestLoads()
	p.armTimer()
	actions = p.actions
	p.actions = nil
	return actions
}

func (p *Policy) handleEvent(event *Event) {
	switch event.Kind {
	case EventListUpdate:
		p.updateEndpoints(event)
	case EventMessage:
		p.admitMessage(event)
	case EventResponseStarted:
		p.startResponse(event)
	case EventAttemptDone:
		p.completeAttempt(event)
	case EventWithdraw:
		p.withdrawMessage(event)
	case EventDrain:
		p.startDrain()
	case EventActivate:
		p.endDrain()
	}
}

func (p *Policy) emit(action Action) { p.actions = append(p.actions, action) }

func (p *Policy) logf(format string, args ...any) {
	p.emit(Action{Kind: ActionLog, Text: fmt.Sprintf(format, args...)})
}

// seconds is a span in seconds.
func seconds(span Time) float64 { return float64(span) / float64(second) }
