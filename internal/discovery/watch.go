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
	discSilence = 3500 * time.Millisecond // a watch says something every 2 s
	discAnswer  = time.Second             // the agent answers at once, or is down
	discPause   = 200 * time.Millisecond  // before the next try
	discTurn    = 100 * time.Millisecond  // for each relay of the fleet: all may come at one moment, and are served in turn
	discStart   = time.Second             // within which a start asks: what drains must be left 2 s after its agent has word of it
	discQueue   = 2 * time.Second         // that an answer is waited for longer, however large the fleet
	discRest    = 100 * time.Millisecond  // for the rest of a list that goes on after its line: it is written at once
)

// newPlainClient makes a client for the agent on this machine: few kept
// connections, no proxy, no second protocol.
func newPlainClient(conns int, answer time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: discAnswer}).DialContext,
			MaxIdleConnsPerHost:   conns,
			MaxConnsPerHost:       conns,
			ResponseHeaderTimeout: answer,
			IdleConnTimeout:       30 * time.Second,
			DisableCompression:    true,
			Protocols:             http1(),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func http1() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

// agent is the address of discovery, which the platform may change.
type agent struct {
	mu   sync.Mutex
	addr string
	left context.CancelFunc // ends what goes on at addr
}

// turn gives the address and a context that ends when it is left.
func (a *agent) turn(ctx context.Context) (context.Context, context.CancelFunc, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	a.left = cancel
	return ctx, cancel, a.addr
}

// Move has the next turn go to addr, and the present one end. A move to where
// it is already leaves the watch alone.
func (a *agent) Move(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr == a.addr {
		return
	}
	a.addr = addr
	if a.left != nil {
		a.left()
	}
}

// Watch keeps a watch on the list and hands on its news.
type Watch struct {
	agent
	log      *slog.Logger
	client   *http.Client
	answer   time.Duration // a call unanswered for so long has failed
	silence  time.Duration
	news     func(*List) // called in order
	Refused  func()      // called where a try was turned away or the first is put off; may be nil
	random   func() float64
	all      time.Duration // what discovery takes to serve every relay of the fleet
	Known    *List         // what the first watch goes on from; nil for nothing
	spread   retrySpread
	failed   int  // tries in a row that were refused, or cut short after the first
	ended    bool // one was cut short, and another came soon after it
	tooLarge int  // lists in a row that were larger than maxList
	maxList  int  // bytes of a list or a line of a watch
}

// NewWatch makes the watch of one relay of so many. Where many ask at once
// an answer waits for those before it: a relay that hangs up meanwhile and asks
// again goes to the end of the queue and makes it longer.
func NewWatch(addr string, relays int, log *slog.Logger, news func(*List)) *Watch {
	all := time.Duration(relays) * discTurn
	answer := discAnswer + min(all/4, discQueue)
	return &Watch{agent: agent{addr: addr}, log: log, client: newPlainClient(4, answer), answer: answer,
		silence: discSilence, news: news, random: rand.Float64, all: all, spread: boundedSpread, maxList: maxListBytes}
}

// Run watches until ctx ends. What is heard is passed on with no delay: the
// grace after word of a drain counts from when discovery wrote it.
func (d *Watch) Run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	rev, whole := int64(0), false
	if d.Known.Sound() { // a watch from there costs discovery one call, and only what has changed
		rev, whole = d.Known.Revision, true
	}
	first := d.first()
	if first > discPause && d.Refused != nil {
		d.Refused()
	}
	turn, cancel, _ := d.turn(ctx)
	sleep(turn, first)
	cancel()
	for ctx.Err() == nil {
		turn, cancel, addr := d.turn(ctx)
		var err error
		if !whole {
			var l *List
			if l, err = d.fetch(turn, addr); err == nil {
				rev, whole = l.Revision, true
				d.news(l)
			}
		}
		if whole {
			rev, whole, err = d.watch(turn, addr, rev)
		}
		if turn.Err() == nil {
			pause := d.pause(err)
			d.log.Warn("discovery: watch over", "revision", rev, "whole", whole, "pause_ms", pause.Milliseconds(), "err", err)
			if refused(err) && d.Refused != nil {
				d.Refused()
			}
			sleep(turn, pause)
		}
		if turn.Err() != nil {
			d.recovered() // it has moved: what turned calls away is left
		}
		cancel()
	}
}

// first is how long a start puts off its first call. The whole fleet may be
// starting, but whatever the agent has by now counts as told to this relay,
// and the known list may be old.
func (d *Watch) first() time.Duration {
	return time.Duration(float64(min(d.all/2, discStart)) * d.random())
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// fetch asks once for the whole list.
func (d *Watch) fetch(ctx context.Context, addr string) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, d.answer)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+ListPath, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError("list", resp.StatusCode)
	}
	text, err := readList(resp, d.maxList)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	l, err := Parse(text)
	if err == nil && !l.Complete {
		err = errors.New("discovery: the whole list was asked for, a part came")
	}
	return l, err
}

// watch follows the changes after a version. whole tells whether the list is
// still known up to the version that it returns; after a line that cannot be
// read it is not, and the whole list must be had again.
func (d *Watch) watch(ctx context.Context, addr string, from int64) (rev int64, whole bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(max(d.silence, d.answer), func() { cancel(errSilent) })
	defer quiet.Stop()
	url := "http://" + addr + ListPath + "?watch=1&from=" + strconv.FormatInt(from, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return from, true, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return from, true, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		err := statusError("watch", resp.StatusCode)
		return from, errors.Is(err, errAway), err // turned away, it says nothing about the list
	}
	quiet.Reset(d.silence)
	in := newListReader(resp.Body, d.maxList)
	in.heard = func(open bool) { // the rest of a list that goes on in the next line is written at once
		quiet.Reset(d.silence)
		if open {
			quiet.Reset(discRest)
		}
	}
	for rev = from; ; {
		l, err := in.next()
		if l != nil && !l.Complete && l.Revision < rev {
			err = fmt.Errorf("discovery: a change back from revision %d to %d", rev, l.Revision)
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil && in.ended {
				err = cause
			}
			return rev, in.ended, fmt.Errorf("discovery: watch: %w", err)
		}
		d.recovered()
		if l != nil {
			rev = l.Revision
			d.news(l)
		}
	}
}
