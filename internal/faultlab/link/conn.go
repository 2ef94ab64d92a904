package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is one connection over a link. Its client is the side that connects, its
// server the side that listens. It is safe for concurrent use; the link ends it.
type Conn struct {
	link           *Link
	client, server *net.TCPConn
	ctx            context.Context // ends with the connection
	cancel         context.CancelFunc
	clientMuted    atomic.Bool // half open: the client receives nothing more

	mu               sync.Mutex
	firstByteAt      time.Time // when the client wrote the first byte since its last response
	written          []byte    // what it wrote since then
	forwarded        int       // how many bytes of that reached the server
	bytesToClient    int64
	clientClosed     bool // the client has closed its sending side
	pendingResponses []pendingResponse
	onClientClosed   func() // called once when the client closes its sending side
}

// pendingResponse is a response whose delivery is waited for.
type pendingResponse struct {
	endOffset int64 // in the bytes to the client
	callback  func(time.Time)
}

// Source names the process that connects.
func (c *Conn) Source() string { return c.link.Source }

// FirstByteAt is when the client wrote the first byte of its present request; a
// call counts from there.
func (c *Conn) FirstByteAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstByteAt
}

// OnDelivered has callback called with the moment at which so many bytes in all are
// written to the client, if it still listens. Call it before they are sent.
func (c *Conn) OnDelivered(bytes int64, callback func(time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingResponses = append(c.pendingResponses, pendingResponse{bytes, callback})
}

// OnClientClosed has callback called once, when the client closes the connection or
// its sending side, even if the link does not pass that on. It replaces the callback
// before.
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

// abort ends both sides by a reset.
func (c *Conn) abort() {
	c.cancel()
	c.server.SetLinger(0)
	c.client.SetLinger(0)
	c.server.Close()
	c.client.Close()
}

// muteClient ends the server's side by a reset and leaves the client's side open
// and silent.
func (c *Conn) muteClient() {
	c.clientMuted.Store(true)
	c.server.SetLinger(0)
	c.server.Close()
}

// run forwards bytes both ways until both sides have ended.
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

// closeSoon gives the client a moment to close the connection itself, then ends it.
func (c *Conn) closeSoon() {
	timer := time.AfterFunc(closeGrace, c.abort)
	context.AfterFunc(c.ctx, func() { timer.Stop() })
}

// recordSent records what the client wrote, and err if its sending side has ended.
func (c *Conn) recordSent(b []byte, now time.Time, err error) {
	if callback := c.addSent(b, now, err); callback != nil {
		callback()
	}
}

// addSent does what recordSent says and returns the callback that is due, if any.
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

// recordForwarded records bytes that reached the server.
func (c *Conn) recordForwarded(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwarded = min(c.forwarded+n, len(c.written))
}

// recordDelivered records bytes that are written to the client: what it writes next
// is a new request. A client that has closed the connection receives nothing.
func (c *Conn) recordDelivered(n int) {
	now := time.Now()
	for _, due := range c.takeDelivered(n) {
		due.callback(now)
	}
}

// takeDelivered takes the pending responses that end within n more bytes.
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
