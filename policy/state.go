package policy

import "slices"

// destination is a destination's queue, with a route for each set of endpoints that share one limit.
type destination struct {
	id             int
	kind           DestinationKind
	kindIndex      int // in Settings.Kinds
	routes         []*routeState
	queue          []*messageState // waiting, with no attempt in flight
	callsInFlight  int
	isChanged      bool // listed in Policy.changed
	isAwaitingSlot bool // listed in Policy.awaitingSlot
	wakeAt         Time // the next moment at which a timer has it examined

	queueClearAt   Time // when the queue will be empty, by the estimate of the pass below
	queueClearPass int  // Policy.shedPass of that estimate

	spilledCount   int  // messages that only the log holds
	loadsRequested int  // of these
	needsRefill    bool // listed in spillState.awaitingRefill

	nextMessage  *messageState // to be sent next; nil for none
	nextEndpoint *endpointState
	nextUrgency  float64 // weight lost by each microsecond of waiting
}

// routeState is what shares one rate limit, one Retry-After and one call history: a destination, or
// one endpoint of it where its kind has separate routes.
type routeState struct {
	dest              *destination
	endpoints         []*endpointState
	history           callHistory
	window            float64 // calls in flight at most
	callsInFlight     int
	retryAfterUntil   Time    // as the destination asked
	backoffUntil      Time    // after a rejection without Retry-After
	nominalRate       float64 // calls a second, from the endpoint list or a guess; 0 for none
	reportedLimit     float64 // calls a second, from load reports; 0 for none
	paceFactor        float64 // of this relay's part of the capacity
	paceChangedAt     Time
	tokens            tokenBucket // for the pace
	isPaceLimited     bool        // the pace, not the traffic, decided when the latest call left
	rejectionRun      int         // rejections in a row
	rejectionRunStart Time
	localFailureRun   int // calls in a row that this machine could not make
	latency           latencyEstimate
}

func newRoute(dest *destination) *routeState {
	history := newCallHistory(historySpan, historyBinCount)
	return &routeState{dest: dest, window: 1, paceFactor: 1, history: history}
}

// endpointState is an endpoint with what this relay has seen of its health.
type endpointState struct {
	id            Endpoint
	zone          int
	route         *routeState
	state         Readiness
	callsInFlight int
	connections   int
	backoffUntil  Time // after a failure that does not eject it yet, or for want of a connection
	idleSince     Time // end of the latest call
	hasIdleTimer  bool

	connectionRejections    int // calls in a row that were refused a connection
	connectionRejectedSince Time

	failureScore      float64 // moving average: 1 for a failure, 0 for a success
	isEjected         bool    // as an outlier, until the end of its slow start
	isUnresponsive    bool    // the latest failure was a silence, not an answer
	firstFailureAt    Time    // of the present run
	lastFailureAt     Time
	recoveredAt       Time // first success since the latest failure; 0 for none
	recoverySentAt    Time // when that call left
	lastSuccessAt     Time
	lastSuccessSentAt Time        // when the newest call that was answered left
	recoveryBudget    tokenBucket // calls allowed while ejected
	nextCallCost      float64     // tokens of the budget that the next call takes
	latency           latencyEstimate
}

// awaitsRecovery reports whether an endpoint is ejected and has answered nothing since: it gets
// trial calls only.
func (endpoint *endpointState) awaitsRecovery() bool {
	return endpoint.isEjected && endpoint.recoveredAt == 0
}

// messageState is a message until its last attempt has ended, which may be after its completion.
type messageState struct {
	id                 uint32
	key                uint64
	class              *Class
	dest               *destination
	objectiveAt        Time // end of its latency objective
	deadline           Time
	weight             float64
	delayCost          float64 // weight lost by waiting for the queue, as last estimated
	isCompleted        bool
	isOverQuota        bool // its tenant was over its quota on arrival
	neverSpill         bool
	isRecovered        bool // admitted by an earlier process, surely not run, and has reached nobody since
	pendingIndex       int  // in Policy.pending
	attempts           int
	unknownOutcomeAt   Time // send of the first attempt that may have run; 0 for none
	unknownOutcomeZone int
	lastFailedEndpoint *endpointState
	call               *callState // in flight; nil for none
}

// isOrdered reports whether the message takes its turn among those of its key.
func (message *messageState) isOrdered() bool { return message.class.Ordered && message.key != 0 }

// callState is a call in flight, with the messages that share it.
type callState struct {
	endpoint         *endpointState
	sentAt           Time
	timeoutBy        Time // the earliest of its messages' latest time-outs
	minimumWaitUntil Time // by which each of its messages would nearly always have its answer
	messagesLeft     int  // whose outcome is not yet known
	isObserved       bool // one outcome has been counted for all its messages
	isLocalFailure   bool // this machine could not make the call
	messages         []*messageState
}

// destination gives the state of a destination, which it makes if need be.
func (p *Policy) destination(id int) *destination {
	byID := func(dest *destination, id int) int { return dest.id - id }
	at, ok := slices.BinarySearchFunc(p.destinations, id, byID)
	if !ok {
		dest := &destination{id: id, kind: DestinationKind{MaxBatch: 1}}
		p.destinations = slices.Insert(p.destinations, at, dest)
	}
	return p.destinations[at]
}

// deleteElement removes an element that is in a slice once at most.
func deleteElement[E comparable](elements []E, element E) []E {
	if i := slices.Index(elements, element); i >= 0 {
		return slices.Delete(elements, i, i+1)
	}
	return elements
}
