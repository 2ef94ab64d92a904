package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Paths of discovery.
const (
	ListPath   = "/registry/instances"
	NoticePath = "/reports"
)

const (
	watchSilenceTimeout = 3500 * time.Millisecond // a watch says something every 2 s
	baseAnswerTimeout   = time.Second             // the agent answers at once, or is down
	reconnectDelay      = 200 * time.Millisecond  // before the next try
	serveTimePerRelay   = 100 * time.Millisecond  // for each relay of the fleet: all may come at one moment, and are served in turn
	maxStartDelay       = time.Second             // within which a start asks: what drains must be left 2 s after its agent has word of it
	maxQueueTimeout     = 2 * time.Second         // that an answer is waited for longer, however large the fleet
	continuationTimeout = 100 * time.Millisecond  // for the rest of a list that goes on after its line: it is written at once
)

// newHTTPClient makes a client for the agent on this machine: few kept
// connections, no proxy, no second protocol.
func newHTTPClient(conns int, answerTimeout time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: baseAnswerTimeout}).DialContext,
			MaxIdleConnsPerHost:   conns,
			MaxConnsPerHost:       conns,
			ResponseHeaderTimeout: answerTimeout,
			IdleConnTimeout:       30 * time.Second,
			DisableCompression:    true,
			Protocols:             http1Only(),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func http1Only() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

// movableAddress is the address of discovery's agent, which the platform may
// change while calls are under way.
type movableAddress struct {
	mu         sync.Mutex
	addr       string
	cancelCall context.CancelFunc // ends the call that is under way at addr
}

// beginCall gives the address, and a context that ends when it is replaced.
func (a *movableAddress) beginCall(ctx context.Context) (context.Context, context.CancelFunc, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	a.cancelCall = cancel
	return ctx, cancel, a.addr
}

// Move has the next call go to addr, and ends the one that is under way. A move
// to the present address changes nothing.
func (a *movableAddress) Move(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr == a.addr {
		return
	}
	a.addr = addr
	if a.cancelCall != nil {
		a.cancelCall()
	}
}

// Watch keeps a watch on the list and hands on its news.
type Watch struct {
	movableAddress
	log            *slog.Logger
	client         *http.Client
	answerTimeout  time.Duration // a call unanswered for so long has failed
	silenceTimeout time.Duration // a watch on which nothing came for so long has failed
	onList         func(*List)   // called in order
	Refused        func()        // called where a try was turned away or the first is put off; may be nil
	random         func() float64
	fleetServeTime time.Duration // what discovery takes to serve every relay of the fleet
	Known          *List         // what the first watch goes on from; nil for nothing
	spread         retrySpread
	failures       int  // tries in a row that were refused, or cut short after the first
	reconnected    bool // a connection ended, and the watch was opened anew at once
	oversized      int  // lists in a row that were larger than listLimit
	listLimit      int  // bytes of a list or a line of a watch
}

// NewWatch makes the watch of one relay of so many. Where many ask at once
// an answer waits for those before it: a relay that hangs up meanwhile and asks
// again goes to the end of the queue and makes it longer.
func NewWatch(addr string, relays int, log *slog.Logger, onList func(*List)) *Watch {
	fleetServeTime := time.Duration(relays) * serveTimePerRelay
	answerTimeout := baseAnswerTimeout + min(fleetServeTime/4, maxQueueTimeout)
	return &Watch{movableAddress: movableAddress{addr: addr}, log: log, client: newHTTPClient(4, answerTimeout), answerTimeout: answerTimeout,
		silenceTimeout: watchSilenceTimeout, onList: onList, random: rand.Float64, fleetServeTime: fleetServeTime, spread: boundedSpread, listLimit: maxListBytes}
}

// Run watches until ctx ends. What is heard is passed on with no delay: the
// grace after word of a drain counts from when discovery wrote it.
func (w *Watch) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	revision, listKnown := int64(0), false
	if w.Known.Sound() { // a watch from there costs discovery one call, and only what has changed
		revision, listKnown = w.Known.Revision, true
	}
	delay := w.startDelay()
	if delay > reconnectDelay && w.Refused != nil {
		w.Refused()
	}
	callCtx, cancel, _ := w.beginCall(ctx)
	sleep(callCtx, delay)
	cancel()
	for ctx.Err() == nil {
		callCtx, cancel, addr := w.beginCall(ctx)
		var err error
		if !listKnown {
			var l *List
			if l, err = w.fetchList(callCtx, addr); err == nil {
				revision, listKnown = l.Revision, true
				w.onList(l)
			}
		}
		if listKnown {
			revision, listKnown, err = w.followChanges(callCtx, addr, revision)
		}
		if callCtx.Err() == nil {
			delay := w.retryDelay(err)
			w.log.Warn("discovery: watch over", "revision", revision, "whole", listKnown, "pause_ms", delay.Milliseconds(), "err", err)
			if isRefusal(err) && w.Refused != nil {
				w.Refused()
			}
			sleep(callCtx, delay)
		}
		if callCtx.Err() != nil {
			w.recovered() // it has moved: what turned calls away is left
		}
		cancel()
	}
}

// startDelay is how long a start puts off its first call. The whole fleet may be
// starting, but whatever the agent has by now counts as told to this relay,
// and the known list may be old.
func (w *Watch) startDelay() time.Duration {
	return time.Duration(float64(min(w.fleetServeTime/2, maxStartDelay)) * w.random())
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// fetchList asks once for the whole list.
func (w *Watch) fetchList(ctx context.Context, addr string) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, w.answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+ListPath, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError("list", resp.StatusCode)
	}
	text, err := readList(resp, w.listLimit)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	l, err := Parse(text)
	if err == nil && !l.Complete {
		err = errors.New("discovery: the whole list was asked for, a part came")
	}
	return l, err
}

// followChanges opens a watch and hands on the changes after a revision, until
// the watch ends. listKnown tells whether the list is still known up to the
// revision that it returns; after a line that cannot be read it is not, and the
// whole list has to be fetched again.
func (w *Watch) followChanges(ctx context.Context, addr string, from int64) (revision int64, listKnown bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(max(w.silenceTimeout, w.answerTimeout), func() { cancel(errWatchSilent) })
	defer silenceTimer.Stop()
	url := "http://" + addr + ListPath + "?watch=1&from=" + strconv.FormatInt(from, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return from, true, fmt.Errorf("discovery: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return from, true, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		err := statusError("watch", resp.StatusCode)
		return from, errors.Is(err, errTurnedAway), err // turned away, it says nothing about the list
	}
	silenceTimer.Reset(w.silenceTimeout)
	reader := newListReader(resp.Body, w.listLimit)
	reader.onBytes = func(partial bool) { // the rest of a list that goes on in the next line is written at once
		silenceTimer.Reset(w.silenceTimeout)
		if partial {
			silenceTimer.Reset(continuationTimeout)
		}
	}
	for revision = from; ; {
		l, err := reader.next()
		if l != nil && !l.Complete && l.Revision < revision {
			err = fmt.Errorf("discovery: a change back from revision %d to %d", revision, l.Revision)
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil && reader.ended {
				err = cause
			}
			return revision, reader.ended, fmt.Errorf("discovery: watch: %w", err)
		}
		w.recovered()
		if l != nil {
			revision = l.Revision
			w.onList(l)
		}
	}
}
