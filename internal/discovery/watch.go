package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	serveTimePerRelay = 100 * time.Millisecond // all relays of the fleet may call at one moment, and are served in turn
	maxQueueTimeout   = 2 * time.Second        // that an answer is waited for longer, however large the fleet
	maxStartDelay     = time.Second            // within which a start asks: what drains must be left 2 s after its agent has word of it
)

// Watch follows the list of one relay's agent and hands on its news. Known and
// Refused may be set before Run.
type Watch struct {
	// Known is the list that the first watch goes on from; nil for none.
	Known *List
	// OnRejected is called where a call was refused, and where the first is put off
	// for long. It may be nil.
	OnRejected func()

	movableAddress
	log            *slog.Logger
	client         *http.Client
	onList         func(*List)    // called in order
	random         func() float64 // draws between 0 and 1
	spread         retrySpread
	fleetServeTime time.Duration // what discovery takes to serve every relay of the fleet
	answerTimeout  time.Duration // a call unanswered for so long has failed
	silenceTimeout time.Duration // a watch on which nothing came for so long has failed
	listLimit      int           // bytes of a list or a line of a watch
	failures       failureRun
}

// NewWatch makes the watch of one relay of so many; onList hears of the whole
// list and of each change, in order. Where many relays call at once an answer
// waits for those before it: a relay that hangs up meanwhile and calls again
// goes to the end of the queue and makes it longer.
func NewWatch(addr string, relays int, log *slog.Logger, onList func(*List)) *Watch {
	fleetServeTime := time.Duration(relays) * serveTimePerRelay
	answerTimeout := baseAnswerTimeout + min(fleetServeTime/4, maxQueueTimeout)
	return &Watch{
		movableAddress: movableAddress{addr: addr},
		log:            log,
		client:         newHTTPClient(4, answerTimeout),
		onList:         onList,
		random:         rand.Float64,
		spread:         boundedSpread,
		fleetServeTime: fleetServeTime,
		answerTimeout:  answerTimeout,
		silenceTimeout: watchSilenceTimeout,
		listLimit:      maxListBytes,
	}
}

// Run watches until ctx ends. What is heard is passed on with no delay: the
// grace after word of a drain counts from when discovery wrote it.
func (w *Watch) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	var state listState
	if w.Known.Valid() { // a watch from there costs discovery one call, and only what has changed
		state = listState{revision: w.Known.Revision, known: true}
	}
	w.waitToStart(ctx)
	for ctx.Err() == nil {
		state = w.follow(ctx, state)
	}
}

// waitToStart puts the first call off.
func (w *Watch) waitToStart(ctx context.Context) {
	ctx, cancel, _ := w.beginCall(ctx)
	defer cancel()
	delay := w.startDelay()
	if delay > reconnectDelay && w.OnRejected != nil {
		w.OnRejected()
	}
	sleep(ctx, delay)
}

// follow fetches the whole list if it is not known, follows its changes until
// that fails, and waits until the next try may begin.
func (w *Watch) follow(ctx context.Context, state listState) listState {
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
		w.log.Warn("discovery: watch over", "revision", state.revision, "whole", state.known, "pause_ms", delay.Milliseconds(), "err", err)
		if isRefusal(err) && w.OnRejected != nil {
			w.OnRejected()
		}
		sleep(ctx, delay)
	}
	if ctx.Err() != nil {
		w.recovered() // it has moved: what refused calls is left behind
	}
	return state
}

// fetchState fetches the whole list and hands it on.
func (w *Watch) fetchState(ctx context.Context, addr string, state listState) (listState, error) {
	l, err := w.fetchList(ctx, addr)
	if err != nil {
		return state, err
	}
	w.onList(l)
	return listState{revision: l.Revision, known: true}, nil
}

// startDelay is how long a start puts off its first call. The whole fleet may be
// starting, but whatever the agent has by now counts as told to this relay,
// and the known list may be old.
func (w *Watch) startDelay() time.Duration {
	return time.Duration(float64(min(w.fleetServeTime/2, maxStartDelay)) * w.random())
}
