package model

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
)

const (
	acceptBackoff  = 5 * time.Millisecond // wait after a failed accept, as when descriptors run out
	requestTimeout = 10 * time.Second     // limit from a request's first byte to its last
	maxBody        = 64 << 10             // largest body of a request, and largest bulk answer of a relay, in bytes
)

// Endpoint simulates one endpoint of an upstream. The exported fields are set before
// Serve. It is safe for concurrent use after that.
type Endpoint struct {
	ID          string
	Zone        string
	Upstream    *Upstream
	Servers     int           // number of calls that it serves at once
	QueueSize   int           // number of further calls that wait until one of those being served is done
	MaxConns    int           // number of connections whose calls it serves, idle ones included
	MaxBatch    int           // largest number of messages in one call
	IdleTimeout time.Duration // after which an idle connection is closed

	world    *World
	listener net.Listener
	servers  chan struct{} // a semaphore: holds one value for each call being served

	mu      sync.Mutex
	fault   Fault // the fault of this endpoint alone
	isDown  bool
	conns   map[net.Conn]struct{}
	waiting int // number of calls in the queue
}

// Serve starts the endpoint at addr. It serves until ctx ends; done then waits for its
// goroutines.
func (e *Endpoint) Serve(ctx context.Context, w *World, addr string, done *sync.WaitGroup) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("endpoint %s: %w", e.ID, err)
	}
	e.world, e.listener, e.conns = w, listener, map[net.Conn]struct{}{}
	e.servers = make(chan struct{}, e.Servers)
	e.Upstream.addEndpoint()
	context.AfterFunc(ctx, e.close)
	done.Add(1)
	go func() {
		defer done.Done()
		e.accept(ctx, done)
	}()
	return nil
}

// close closes the listener and all connections.
func (e *Endpoint) close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		conn.Close()
	}
}

// accept serves connections until the listener is closed.
func (e *Endpoint) accept(ctx context.Context, done *sync.WaitGroup) {
	for {
		conn, err := e.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		e.mu.Lock()
		e.conns[conn] = struct{}{}
		exceedsMaxConns := len(e.conns) > e.MaxConns
		e.mu.Unlock()
		done.Add(1)
		go func() {
			defer done.Done()
			e.serveConn(ctx, conn, exceedsMaxConns)
			e.mu.Lock()
			delete(e.conns, conn)
			e.mu.Unlock()
		}()
	}
}

// Addr returns the address on which it listens. Serve must have been called.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// SetFault replaces the fault of this endpoint alone.
func (e *Endpoint) SetFault(fault Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
}

// SetDown records whether the endpoint's process is down. It only tells the upstream,
// for its outages; the caller has the links refuse connections.
func (e *Endpoint) SetDown(down bool) {
	e.mu.Lock()
	wasDown := e.isDown
	e.isDown = down
	e.mu.Unlock()
	if wasDown != down {
		e.Upstream.setEndpointDown(down)
	}
}

// currentFault returns the fault that applies to a call now, from the endpoint and its
// upstream together, and whether the upstream is overloaded.
func (e *Endpoint) currentFault() (fault Fault, overloaded bool) {
	e.mu.Lock()
	own := e.fault
	e.mu.Unlock()
	return e.Upstream.faultFor(own)
}

// serveConn serves the calls of one connection one after another, and closes it.
func (e *Endpoint) serveConn(ctx context.Context, conn net.Conn, exceedsMaxConns bool) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var sent int64 // bytes of the responses on this connection
	for ctx.Err() == nil {
		c, ok := e.readCall(conn, in, exceedsMaxConns)
		if !ok {
			return
		}
		answered, isLast := e.serveCall(ctx, conn, in, c, &sent)
		if !answered || isLast {
			return
		}
	}
}

// readCall reads one call. It reports false if the connection ends or is reset before
// the call is complete.
func (e *Endpoint) readCall(conn net.Conn, in *bufio.Reader, exceedsMaxConns bool) (*call, bool) {
	conn.SetReadDeadline(time.Now().Add(e.IdleTimeout))
	if _, err := in.Peek(1); err != nil {
		return nil, false
	}
	conn.SetReadDeadline(time.Now().Add(requestTimeout))
	req, err := http.ReadRequest(in)
	if err != nil {
		return nil, false
	}
	route := e.world.Net.Find(conn)
	if route == nil {
		return nil, false // the link has closed the connection already
	}
	fault, overloaded := e.currentFault()
	if fault.Reset > 0 && e.Upstream.drawFloat() < fault.Reset {
		resetOnClose(conn)
		return nil, false
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
	if err != nil {
		return nil, false // an incomplete request does not count as a call
	}
	conn.SetReadDeadline(time.Time{})
	return &call{id: e.world.callCount.Add(1), route: route, req: req, body: body, fault: fault, overloaded: overloaded, exceedsMaxConns: exceedsMaxConns}, true
}

// serveCall handles one call and writes its response. It reports whether a response
// was written, and whether the connection is closed after it. The call is cancelled
// when the relay closes the connection.
func (e *Endpoint) serveCall(ctx context.Context, conn net.Conn, in *bufio.Reader, c *call, sent *int64) (answered, isLast bool) {
	callCtx, cancel := context.WithCancel(ctx)
	watchDone := make(chan struct{})
	go func() { // cancels the call when the relay closes the connection
		defer close(watchDone)
		if _, err := in.Peek(1); err != nil {
			cancel()
		}
	}()
	defer func() { <-watchDone }()
	recorder := e.world.Recorder
	c.route.OnClientClosed(func() { recorder.Record(history.Event{Kind: history.CallAborted, Call: c.id}) })
	resp := e.handle(callCtx, c)
	aborted := callCtx.Err() != nil
	cancel()
	if aborted || resp.text == nil {
		recorder.Record(history.Event{Kind: history.CallBroken, Call: c.id, Endpoint: e.ID})
		if resp.reset {
			resetOnClose(conn)
		}
		conn.Close()
		return false, true
	}
	recorder.Record(history.Event{Kind: history.ResponseSent, Call: c.id, Endpoint: e.ID, Status: resp.status,
		RetryAfter: resp.retryAfter.Microseconds(), States: resp.states})
	*sent += int64(len(resp.text))
	c.route.OnDelivered(*sent, func(time.Time) { e.recordResponse(c.id, &resp) })
	conn.SetReadDeadline(time.Now().Add(e.IdleTimeout))
	if _, err := conn.Write(resp.text); err != nil || resp.isLast {
		conn.Close()
		return true, true
	}
	return true, false
}

// recordResponse records that the relay has received a response, and which messages
// are completed by it.
func (e *Endpoint) recordResponse(call int64, resp *response) {
	for _, id := range resp.delivered {
		e.world.recordDelivery(id)
	}
	for _, id := range resp.expired {
		e.world.Ledger.Complete(id)
	}
	e.world.Recorder.Record(history.Event{Kind: history.ResponseReceived, Call: call})
}

// resetOnClose makes a connection send a reset when it is closed.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// acquireServer takes one of the endpoint's servers, and waits in the queue if none is
// free. It reports false if the queue is full or ctx ends. The caller releases the
// server with releaseServer.
func (e *Endpoint) acquireServer(ctx context.Context) bool {
	select {
	case e.servers <- struct{}{}:
		return true
	default:
	}
	if !e.enqueue() {
		return false
	}
	defer e.dequeue()
	select {
	case e.servers <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Endpoint) releaseServer() { <-e.servers }

func (e *Endpoint) enqueue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting >= e.QueueSize {
		return false
	}
	e.waiting++
	return true
}

func (e *Endpoint) dequeue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
}

// recordInvalidCall records a call that a relay must not make.
func (e *Endpoint) recordInvalidCall(relay, message, text string) {
	e.world.Recorder.Record(history.Event{Kind: history.InvalidCall, Relay: relay, Endpoint: e.ID, Message: message, Text: text})
}

// route is the link's side of a connection to the endpoint; it knows the relay that
// connected.
type route = *link.Conn
