package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	serveTimePerRelay = 100 * time.Millisecond // all relays of the fleet may call at the same time, and are served one by one
	maxQueueTimeout   = 2 * time.Second        // bounds what the fleet's size adds to the response timeout
	maxStartDelay     = time.Second            // bounds the delay of the first call; must be well below the 2 s in which a relay must stop calling a draining endpoint
)

// Watch follows the endpoint list of one relay's agent. Use NewWatch to make one;
// Known and OnRejected may be set before Run, which is called once. SetAddress
// is safe for concurrent use.
type Watch struct {
	// Known is a complete list that the relay already has, or nil. If it is valid, the
	// first watch asks only for the changes after it, and no complete list is fetched.
	Known *List
	// OnRejected is called when discovery rejects a call, and when the first call
	// is delayed by more than reconnectDelay. It may be nil.
	OnRejected func()

	agentAddress
	log            *slog.Logger
	client         *http.Client
	onList         func(*List)    // called with each list in order, on the goroutine of Run
	random         func() float64 // returns a random number, evenly distributed over [0, 1)
	spread         retrySpread
	fleetServeTime time.Duration // the time that discovery takes to serve each relay of the fleet once
	answerTimeout  time.Duration // a call fails if its response takes longer
	silenceTimeout time.Duration // a watch fails if nothing is received for longer
	listLimit      int           // the maximum size in bytes of a list, or of an update of a watch
	failures       failureCounts
}

// NewWatch returns a watch for one relay of a fleet of that many relays. Run calls
// onList with the complete list and with each change after it, in order.
//
// The response timeout grows with the fleet. When many relays call at once,
// discovery queues their calls; a relay that timed out too early would call again,
// from the end of the queue, and so make the queue longer.
func NewWatch(addr string, relays int, log *slog.Logger, onList func(*List)) *Watch {
	fleetServeTime := time.Duration(relays) * serveTimePerRelay
	answerTimeout := baseAnswerTimeout + min(fleetServeTime/4, maxQueueTimeout)
	return &Watch{
		agentAddress:   agentAddress{addr: addr},
		log:            log,
		client:         newHTTPClient(4, answerTimeout),
		onList:         onList,
		random:         rand.Float64,
		spread:         boundedRetrySpread,
		fleetServeTime: fleetServeTime,
		answerTimeout:  answerTimeout,
		silenceTimeout: watchSilenceTimeout,
		listLimit:      maxListBytes,
	}
}

// Run watches until ctx ends. It delivers each update as soon as it was read, since
// the grace period of a drain may be running already.
func (w *Watch) Run(ctx context.Context) {
	var state listState
	if w.Known.Valid() { // this costs discovery one call, and only the changes since then
		state = listState{revision: w.Known.Revision, known: true}
	}
	w.waitToStart(ctx)
	for ctx.Err() == nil {
		state = w.watchOnce(ctx, state)
	}
}

// waitToStart delays the first call, and ends early if the address is replaced or ctx
// ends. If the delay is longer than reconnectDelay, it first calls OnRejected, if set.
func (w *Watch) waitToStart(ctx context.Context) {
	ctx, cancel, _ := w.beginCall(ctx)
	defer cancel()
	delay := w.startDelay()
	if delay > reconnectDelay && w.OnRejected != nil {
		w.OnRejected()
	}
	sleepContext(ctx, delay)
}

// watchOnce fetches the complete list if it is not known, follows its changes
// until the watch fails, and sleeps until the next attempt may begin. It returns
// the state that was reached.
func (w *Watch) watchOnce(ctx context.Context, state listState) listState {
	ctx, cancel, addr := w.beginCall(ctx)
	defer cancel()
	var err error
	if !state.known {
		state, err = w.fetchState(ctx, addr, state)
	}
	if state.known {
		state, err = w.followChanges(ctx, addr, state)
	}
	if ctx.Err() == nil {
		delay := w.retryDelay(err)
		w.log.Warn("discovery watch ended", "revision", state.revision, "list_known", state.known, "backoff_ms", delay.Milliseconds(), "err", err)
		if isRejection(err) && w.OnRejected != nil {
			w.OnRejected()
		}
		sleepContext(ctx, delay)
	}
	if ctx.Err() != nil {
		w.resetFailures() // the address was replaced, and the failures were those of the old one
	}
	return state
}

// fetchState fetches the complete list and delivers it.
func (w *Watch) fetchState(ctx context.Context, addr string, state listState) (listState, error) {
	l, err := w.fetchList(ctx, addr)
	if err != nil {
		return state, err
	}
	w.onList(l)
	return listState{revision: l.Revision, known: true}, nil
}

// startDelay returns the random delay of the first call. The delay spreads the
// calls of a fleet that starts as a whole. It is bounded because the known list may
// be old: the grace period of a drain that it lacks may be running already.
func (w *Watch) startDelay() time.Duration {
	return time.Duration(float64(min(w.fleetServeTime/2, maxStartDelay)) * w.random())
}
