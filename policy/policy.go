// Package policy decides for one relay: which messages it admits, when and to which endpoint it
// sends each, and how it reacts to overload and faults. It is a deterministic state machine without
// sockets, clock or files: the host passes in events with the time and carries out the actions it
// gets back. The same settings, seed and events always give the same actions.
//
// The interface is in settings.go, event.go and action.go. The state is in state.go; each other
// file holds one rule with its constants, or a type that the rules use. Calls to a destination are
// normally limited by adaptive throttling (throttle.go) and by a window on concurrent calls; a rule
// that departs from this says under which condition.
package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// second is the number of Time units in a second.
const second = Time(1e6)

// seedStream is the fixed second word of the random generator's seed; the caller chooses the first.
const seedStream = 0x9e3779b97f4a7c15

// minTick is the lower bound of Settings.Tick; it is also used where the settings give no tick.
const minTick = second / 1000

// Policy makes the decisions of one relay. New creates one; the zero value is not usable. A Policy
// is not safe for concurrent use and holds nothing that needs closing.
type Policy struct {
	settings        Settings
	rng             *rand.Rand // source of all random draws, whose order affects every later action
	now             Time
	actions         []Action       // emitted so far by the current Step
	destinations    []*destination // sorted by id
	endpoints       map[Endpoint]*endpointState
	messages        map[uint32]*messageState
	pending         []*messageState // messages that are not yet completed
	orderedQueues   map[uint64]*orderedQueue
	timers          timerQueue[timerTask]
	changed         []*destination // destinations to be examined in this step
	maybeUnused     []*destination // destinations that may be forgotten at the end of this step
	awaitingSlot    []*destination // destinations that could send if a call slot were free
	spill           spillState
	tenantQuotas    []tokenBucket
	callsInFlight   int
	lastCallID      uint32
	pendingInFlight int  // pending messages with an attempt in flight
	shedPass        int  // number of the latest search for a message to shed
	timerAt         Time // when the timer last requested from the host is due
	polledAt        Time // when the endpoint list was last requested; 0 if never
	// connectionShortage is the smoothed fraction of calls that found no connection, indexed by kind
	// of destination.
	connectionShortage []float64
	lowestLimits       []lowestLimit   // lowest reported limits, indexed by kind of destination
	latency            latencyEstimate // latency of all deliveries
	unansweredFraction float64         // smoothed fraction of calls without an answer
	saturatedSince     Time            // since when messages wait while no call slot is free; 0 if none do
}

// New returns a policy with the given settings. All its random draws follow from the seed. The
// error is that of Settings.Validate.
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

// Step processes the events that happened up to now and appends the resulting actions to actions.
// Time never runs backwards: if now is earlier than in a previous call, the latest time seen is
// used.
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
	p.forgetUnusedDestinations()
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
	}
}

func (p *Policy) emit(action Action) { p.actions = append(p.actions, action) }

func (p *Policy) logf(format string, args ...any) {
	p.emit(Action{Kind: ActionLog, Text: fmt.Sprintf(format, args...)})
}

// seconds converts a span of time to seconds.
func seconds(span Time) float64 { return float64(span) / float64(second) }
