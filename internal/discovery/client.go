package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Paths of discovery, on the wire.
const (
	ListPath   = "/registry/instances" // the list, and watches on it
	NoticePath = "/reports"            // notices
)

// baseAnswerTimeout is how long a call, or a connection, may take: the agent is on
// this machine, and answers at once or is down.
const baseAnswerTimeout = time.Second

// newHTTPClient makes a client for the agent on this machine: few idle
// connections, no proxy, HTTP/1.1 alone.
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

// SetAddress has the next call go to addr, and ends the one that is under way. A move
// to the present address changes nothing.
func (a *movableAddress) SetAddress(addr string) {
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

// StatusError is an answer of discovery with another status than was wanted.
type StatusError struct {
	Call   string // what was asked for
	Status int    // HTTP status code
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery: %s: status %d", e.Call, e.Status)
}

// turnedAway reports whether discovery answered that it has too much to do, or
// failed: it says nothing about what was asked for.
func (e *StatusError) turnedAway() bool {
	return e.Status == http.StatusTooManyRequests || e.Status >= http.StatusInternalServerError
}
