package link

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is one connection over a link.
type Conn struct {
	link           *Link
	client, server *net.TCPConn // the connecting side, the listening side
	ctx            context.Context
	cancel         context.CancelFunc
	clientMuted    atomic.Bool // half open: the near side is told nothing more

	mu               sync.Mutex
	firstByteAt      time.Time // when the near side wrote the first byte since its last answer
	written          []byte    // what it wrote since then
	forwarded        int       // how much of that got through
	bytesToClient    int64     // bytes written to the near side
	clientClosed     bool      // the near side has ended its sending
	pendingResponses []pendingResponse
	onClientClosed   func() // hears once that the near side has ended its sending
}

type pendingResponse struct {
	offset   int64
	callback func(time.Time)
}

// Source names the process that connects.
func (c *Conn) Source() string { return c.link.Source }

// FirstByteAt is when the connecting side wrote the first byte of what it now asks;
// a call counts from there.
func (c *Conn) FirstByteAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstByteAt
}

// OnDelivered has then called once so many bytes in all have been written to the
// connecting side, if it still listens. It must be called before they are sent.
func (c *Conn) OnDelivered(bytes int64, then func(time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingResponses = append(c.pendingResponses, pendingResponse{bytes, then})
}

// OnClientClosed has then called once, when the connecting side ends the connection or
// its sending, whatever the link does to that word. It replaces the one before.
func (c *Conn) OnClientClosed(then func()) {
	c.mu.Lock()
	gone := c.clientClosed
	if !gone {
		c.onClientClosed = then
	}
	c.mu.Unlock()
	if gone {
		then()
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

// run passes bytes both ways until both sides have ended.
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
	written, passed, first := c.written, c.forwarded, c.firstByteAt
	c.mu.Unlock()
	if passed < len(written) && c.link.onCallLost != nil {
		c.link.onCallLost(c.link, written, first)
	}
}

type piece struct {
	bytes []byte
	at    time.Time
	err   error // the side that sends has ended
}

// forward passes one direction on. Reading never waits for faults, so the moment
// at which a byte was sent is known whatever the link does to it.
func (c *Conn) forward(d Direction, from, to *net.TCPConn) {
	pieces := make(chan piece, maxQueuedPieces)
	go func() {
		defer close(pieces)
		buf := make([]byte, maxPiece)
		for {
			n, err := from.Read(buf)
			now := time.Now()
			if d == ToServer {
				c.recordSent(buf[:n], now, err)
			}
			if n > 0 {
				select {
				case pieces <- piece{bytes: append([]byte(nil), buf[:n]...), at: now}:
				case <-c.ctx.Done():
					return
				}
			}
			if err != nil {
				select {
				case pieces <- piece{at: now, err: err}:
				case <-c.ctx.Done():
				}
				return
			}
		}
	}()
	for p := range pieces {
		if !c.delayPiece(d, p) {
			break
		}
		if p.err != nil && c.clientMuted.Load() && d == ToClient {
			<-c.ctx.Done() // the near side is left open and silent until it ends by itself
			break
		}
		if p.err == io.EOF && !c.clientMuted.Load() {
			to.CloseWrite()
			if d == ToClient { // the far side is done: nothing sent to it arrives any more
				c.closeSoon()
			}
			return
		}
		if p.err != nil {
			break
		}
		// Told before it is written: what is written may be read, and answered,
		// before this goroutine goes on, and the history has to keep the order.
		if d == ToClient {
			c.recordDelivered(len(p.bytes))
		}
		if _, err := to.Write(p.bytes); err != nil {
			if c.clientMuted.Load() && d == ToServer {
				continue // swallowed
			}
			break
		}
		if d == ToServer {
			c.mu.Lock()
			c.forwarded = min(c.forwarded+len(p.bytes), len(c.written))
			c.mu.Unlock()
		}
	}
	c.abort()
	for range pieces { // lets the reader end
	}
}

// closeSoon gives the near side a moment to end by itself, then ends it.
func (c *Conn) closeSoon() {
	t := time.AfterFunc(time.Second, c.abort)
	context.AfterFunc(c.ctx, func() { t.Stop() })
}

// delayPiece waits until a piece may pass; false if the connection ends first.
func (c *Conn) delayPiece(d Direction, p piece) bool {
	drawn := c.link.random()
	for {
		f, changed := c.link.currentFaults(d)
		if f.Cut {
			select {
			case <-changed:
				continue
			case <-c.ctx.Done():
				return false
			}
		}
		due := p.at.Add(f.Delay + time.Duration(drawn*float64(f.Jitter)))
		if f.Rate > 0 {
			due = due.Add(time.Duration(len(p.bytes)) * time.Second / time.Duration(f.Rate))
		}
		left := time.Until(due)
		if left <= 0 {
			return c.ctx.Err() == nil
		}
		t := time.NewTimer(left)
		select {
		case <-t.C:
			return c.ctx.Err() == nil
		case <-changed:
			t.Stop()
		case <-c.ctx.Done():
			t.Stop()
			return false
		}
	}
}

// recordSent books what the near side wrote.
func (c *Conn) recordSent(b []byte, now time.Time, err error) {
	c.mu.Lock()
	var leaves func()
	if err != nil && !c.clientClosed {
		leaves, c.onClientClosed = c.onClientClosed, nil
	}
	defer func() {
		c.mu.Unlock()
		if leaves != nil {
			leaves()
		}
	}()
	if len(b) > 0 && len(c.written) == 0 {
		c.firstByteAt = now
	}
	if len(c.written)+len(b) <= maxRecorded {
		c.written = append(c.written, b...)
	}
	c.clientClosed = c.clientClosed || err != nil
}

// recordDelivered books what is written to the near side: from here on it has heard, and
// what it writes next is a new call. Where it has gone, nobody hears.
func (c *Conn) recordDelivered(n int) {
	now := time.Now()
	c.mu.Lock()
	c.bytesToClient += int64(n)
	c.written, c.forwarded = c.written[:0], 0
	var due []pendingResponse
	for len(c.pendingResponses) > 0 && c.pendingResponses[0].offset <= c.bytesToClient {
		if !c.clientClosed {
			due = append(due, c.pendingResponses[0])
		}
		c.pendingResponses = c.pendingResponses[1:]
	}
	c.mu.Unlock()
	for _, e := range due {
		e.callback(now)
	}
}
