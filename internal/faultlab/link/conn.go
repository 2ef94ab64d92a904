package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is one connection over a link. Its client is the process that connects, its server
// the process that listens. It is safe for concurrent use. Its link closes it.
type Conn struct {
	link           *Link
	client, server *net.TCPConn
	ctx            context.Context // done when the connection ends
	cancel         context.CancelFunc
	clientMuted    atomic.Bool // HalfOpen was called: the client receives nothing more

	mu               sync.Mutex
	firstByteAt      time.Time // when the client wrote the first byte after the last response
	written          []byte    // bytes that the client has written since the last response, up to maxRecorded
	forwarded        int       // how many of the written bytes have reached the server
	bytesToClient    int64
	clientClosed     bool // the client has closed its sending side, or the link has closed the client's connection
	pendingResponses []pendingResponse
	onClientClosed   func() // called once when clientClosed becomes true
}

// pendingResponse is a response whose last byte has not been written to the client.
type pendingResponse struct {
	endOffset int64 // number of bytes to the client up to the response's end
	callback  func(time.Time)
}

// Source returns the name of the process that connects.
func (c *Conn) Source() string { return c.link.Source }

// FirstByteAt returns when the client wrote the first byte of its present request, which
// is when a call begins.
func (c *Conn) FirstByteAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstByteAt
}

// OnDelivered registers callback for the time at which the connection has written the
// given total of bytes to the client. It is not called if the client has closed its side
// before. OnDelivered must be called before those bytes are sent.
func (c *Conn) OnDelivered(bytes int64, callback func(time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingResponses = append(c.pendingResponses, pendingResponse{bytes, callback})
}

// OnClientClosed registers callback to be called once, when the client closes the
// connection or its sending side, even if the link is cut, or when the link closes the
// client's connection. It replaces an earlier callback.
func (c *Conn) OnClientClosed(callback func()) {
	c.mu.Lock()
	closed := c.clientClosed
	if !closed {
		c.onClientClosed = callback
	}
	c.mu.Unlock()
	if closed {
		callback()
	}
}

// abort closes the connection to both processes with a reset.
func (c *Conn) abort() {
	c.cancel()
	c.server.SetLinger(0)
	c.client.SetLinger(0)
	c.server.Close()
	c.client.Close()
}

// muteClient closes the connection to the server with a reset and leaves the client's
// connection open, to which the link then sends nothing more.
func (c *Conn) muteClient() {
	c.clientMuted.Store(true)
	c.server.SetLinger(0)
	c.server.Close()
}

// run forwards bytes in both directions until both have ended.
func (c *Conn) run() {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); c.forward(ToServer, c.client, c.server) }()
	go func() { defer wg.Done(); c.forward(ToClient, c.server, c.client) }()
	wg.Wait()
	c.cancel()
	c.client.Close()
	c.server.Close()
	c.mu.Lock()
	written, forwarded, firstByteAt := c.written, c.forwarded, c.firstByteAt
	c.mu.Unlock()
	if forwarded < len(written) && c.link.onCallLost != nil {
		c.link.onCallLost(c.link, written, firstByteAt)
	}
}

// closeSoon aborts the connection after closeGrace, unless the client closes it before.
func (c *Conn) closeSoon() {
	timer := time.AfterFunc(closeGrace, c.abort)
	context.AfterFunc(c.ctx, func() { timer.Stop() })
}

// recordSent records bytes that the client has written. A non-nil err means that nothing
// more follows: the client has closed its sending side, or the link the connection.
func (c *Conn) recordSent(b []byte, now time.Time, err error) {
	if callback := c.addSent(b, now, err); callback != nil {
		callback()
	}
}

// addSent is recordSent without the call of the callback, which it returns if it is due.
func (c *Conn) addSent(b []byte, now time.Time, err error) (callback func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(b) > 0 && len(c.written) == 0 {
		c.firstByteAt = now
	}
	if len(c.written)+len(b) <= maxRecorded {
		c.written = append(c.written, b...)
	}
	if err != nil && !c.clientClosed {
		c.clientClosed = true
		callback, c.onClientClosed = c.onClientClosed, nil
	}
	return callback
}

// recordForwarded counts bytes that have reached the server.
func (c *Conn) recordForwarded(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwarded = min(c.forwarded+n, len(c.written))
}

// recordDelivered counts n bytes to the client and calls the callbacks of the responses
// that are complete. What the client writes afterwards is a new request.
func (c *Conn) recordDelivered(n int) {
	now := time.Now()
	for _, due := range c.takeDelivered(n) {
		due.callback(now)
	}
}

// takeDelivered counts n bytes to the client and removes the responses that are complete.
// It returns those to report, none if the client has closed its side.
func (c *Conn) takeDelivered(n int) (due []pendingResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesToClient += int64(n)
	c.written, c.forwarded = c.written[:0], 0
	for len(c.pendingResponses) > 0 && c.pendingResponses[0].endOffset <= c.bytesToClient {
		if !c.clientClosed {
			due = append(due, c.pendingResponses[0])
		}
		c.pendingResponses = c.pendingResponses[1:]
	}
	return due
}
