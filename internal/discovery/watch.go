package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	serveTimePerRelay = 100 * time.Millisecond // all relays of the fleet may call at one moment, and are served one by one
	maxQueueTimeout   = 2 * time.Second        // added to the response timeout at most, however large the fleet
	maxStartDelay     = time.Second            // of the first call: a draining endpoint must be left 2 s after the agent has the drain
)

// Watch follows the endpoint list of one relay's agent. It is made by NewWatch;
// Known and OnRejected may be set before Run, which is called once. SetAddress
// is safe for concurrent use.
type Watch struct {
	// Known is a complete list from which the first watch goes on, so that no
	// list is fetched; nil for none.
	Known *List
	// OnRejected is called when discovery rejects a call, and when the first call
	// is delayed for long. It may be nil.
	OnRejected func()

	agentAddress
	log            *slog.Logger
	client         *http.Client
	onList         func(*List)    // called in order, by the goroutine of Run
	random         func() float64 // draws from [0, 1)
	spread         retrySpread
	fleetServeTime time.Duration // what discovery takes to serve each relay of the fleet once
	answerTimeout  time.Duration // a call without a response for so long has failed
	silenceTimeout time.Duration // a watch on which nothing was received for so long has failed
	listLimit      int           // bytes of a list, or of an update of a watch
	failures       failureCounts
}

// NewWatch returns a watch for one of the fleet's relays. Run calls onList with
// the complete list and with each change after it, in order. Where many relays
// call at once, a response waits for those before it: a relay that gave up
// meanwhile and called again would go to the end of the queue and make it longer,
// so the timeout grows with the fleet.
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

// Run watches until ctx ends. Updates are delivered without delay: the grace
// period of a drain counts from when discovery wrote it.
func (w *Watch) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	var state listState
	if w.Known.Valid() { // costs discovery one call, and only the changes since
		state = listState{revision: w.Known.Revision, known: true}
	}
	w.waitToStart(ctx)
	for ctx.Err() == nil {
		state = w.watchOnce(ctx, state)
	}
}

// waitToStart delays the first call.
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
// until that fails, and sleeps until the next attempt may begin.
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
		w.resetFailures() // the address was replaced: the failures were those of the old one
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

// startDelay draws the delay of the first call. The whole fleet may be starting,
// but changes that the agent has by now count as received by this relay, and the
// known list may be old.
func (w *Watch) startDelay() time.Duration {
	return time.Duration(float64(min(w.fleetServeTime/2, maxStartDelay)) * w.random())
}
