package policy

import "slices"

// destination is the state of one destination: its queue, and a route for each set of its endpoints
// that share one rate limit.
type destination struct {
	id             int
	kind           DestinationKind
	kindIndex      int // index of kind in Settings.Kinds
	routes         []*routeState
	queue          []*messageState // messages that wait, with no attempt in flight
	callsInFlight  int
	isChanged      bool // listed in Policy.changed
	wasListed      bool // it has or had an endpoint
	pendingCount   int  // number of its messages in Policy.pending
	maybeUnused    bool // listed in Policy.maybeUnused
	isAwaitingSlot bool // listed in Policy.awaitingSlot
	wakeAt         Time // when the next timer has the destination examined

	queueClearAt   Time // estimated time at which the queue is empty
	queueClearPass int  // value of Policy.shedPass when queueClearAt was estimated

	spilledCount   int  // number of messages that only the host's log holds
	loadsRequested int  // number of spilled messages that the host was asked to load
	needsRefill    bool // listed in spillState.awaitingRefill

	nextMessage  *messageState // message to be sent next; nil for none
	nextEndpoint *endpointState
	nextUrgency  float64 // weight at stake for nextMessage, per microsecond of a typical call's latency
}

// routeState is the state of a set of endpoints that share one rate limit, one Retry-After and one
// call history: all endpoints of a destination or, where its kind has separate routes, one of them.
type routeState struct {
	dest              *destination
	endpoints         []*endpointState
	history           callHistory
	window            float64 // maximum number of calls in flight
	callsInFlight     int
	retryAfterUntil   Time    // no call before this time, as the destination asked
	backoffUntil      Time    // no call before this time, after a rejection or a local failure
	nominalRate       float64 // calls a second, from the endpoint list or estimated; 0 for none
	reportedLimit     float64 // calls a second, from load reports; 0 for none
	paceFactor        float64 // factor on this relay's share of the capacity
	paceChangedAt     Time
	tokens            tokenBucket // enforces the pace
	isPaceLimited     bool        // the pace has held a message back since the latest call
	rejectionRun      int         // number of rejections in a row
	rejectionRunStart Time
	localFailureRun   int // number of calls in a row that this machine could not make
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
	backoffUntil  Time // no call before this time, after a failure without ejection or a lack of connections
	idleSince     Time // end of the latest call to it
	hasIdleTimer  bool

	connectionRejections    int // number of calls in a row that it rejected for lack of connections
	connectionRejectedSince Time

	failureScore      float64 // moving average: 1 for a failure, 0 for a success
	isEjected         bool    // treated as an outlier, until the end of its slow start
	isUnresponsive    bool    // no answer came at the latest failure, not even an error
	firstFailureAt    Time    // start of the current run of failures
	lastFailureAt     Time
	recoveredAt       Time // start of its slow start, at the first success after an ejection; 0 for none
	recoverySentAt    Time // when the call that succeeded at recoveredAt was sent
	lastSuccessAt     Time
	lastSuccessSentAt Time        // send time of the newest call that succeeded
	recoveryBudget    tokenBucket // limits the calls to it while it is ejected
	nextCallCost      float64     // tokens of recoveryBudget that the next call takes
	latency           latencyEstimate
}

// awaitsRecovery reports whether an endpoint is ejected and no call to it has succeeded since. Such
// an endpoint gets trial calls only.
func (endpoint *endpointState) awaitsRecovery() bool {
	return endpoint.isEjected && endpoint.recoveredAt == 0
}

// messageState is the state of a message. It is kept until the last attempt has ended, which may be
// after the completion of the message.
type messageState struct {
	id                 uint32
	key                uint64
	class              *Class
	dest               *destination
	objectiveAt        Time // end of its latency objective
	deadline           Time
	weight             float64
	delayCost          float64 // estimated loss of weight if it waits until the queue is empty
	isCompleted        bool
	isOverQuota        bool // its tenant was over its quota when it arrived
	neverSpill         bool
	isRecovered        bool // an earlier process admitted it; it has not run nor reached an endpoint since
	pendingIndex       int  // its index in Policy.pending
	attempts           int
	unknownOutcomeAt   Time // when the first attempt that may have run was sent; 0 for none
	unknownOutcomeZone int
	lastFailedEndpoint *endpointState
	call               *callState // the call in flight with it; nil for none
}

// isOrdered reports whether the message must be sent in order with the others of its key.
func (message *messageState) isOrdered() bool { return message.class.Ordered && message.key != 0 }

// callState is a call in flight, with the messages that share it.
type callState struct {
	endpoint         *endpointState
	sentAt           Time
	timeoutBy        Time // the earliest of the latest time-outs that its messages allow
	minimumWaitUntil Time // when an answer to each of its messages will nearly always have come
	messagesLeft     int  // number of messages whose outcome is not yet known
	isObserved       bool // the outcome of one message has been counted, for all of them
	isLocalFailure   bool // this machine could not make the call
	messages         []*messageState
}

// deleteElement removes an element from a slice that holds it once at most.
func deleteElement[E comparable](elements []E, element E) []E {
	if i := slices.Index(elements, element); i >= 0 {
		return slices.Delete(elements, i, i+1)
	}
	return elements
}
