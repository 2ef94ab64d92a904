package link

import (
	"errors"
	"io"
	"net"
	"time"
)

// piece is what one read returned.
type piece struct {
	bytes  []byte
	readAt time.Time
	err    error // the side that sends has ended
}

// forward passes one direction on until the side that sends has ended.
func (c *Conn) forward(d Direction, from, to *net.TCPConn) {
	pieces := make(chan piece, maxQueuedPieces)
	go func() {
		defer close(pieces)
		c.read(d, from, pieces)
	}()
	if c.write(d, to, pieces) {
		return
	}
	c.abort()
	for range pieces { // until the reader has ended
	}
}

// read reads one direction. It never waits for faults, so the moment at which a
// byte was sent is known whatever the link does to it.
func (c *Conn) read(d Direction, from *net.TCPConn, pieces chan<- piece) {
	buf := make([]byte, maxPiece)
	for {
		n, err := from.Read(buf)
		now := time.Now()
		if d == ToServer {
			c.recordSent(buf[:n], now, err)
		}
		if n > 0 && !c.queue(pieces, piece{bytes: append([]byte(nil), buf[:n]...), readAt: now}) {
			return
		}
		if err != nil {
			c.queue(pieces, piece{readAt: now, err: err})
			return
		}
	}
}

// queue hands a piece to the writer; false if the connection ends first.
func (c *Conn) queue(pieces chan<- piece, p piece) bool {
	select {
	case pieces <- p:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// write writes the pieces of one direction as its faults let them pass. It returns
// true if the side that sends ended in order, false if the connection is to be
// aborted.
func (c *Conn) write(d Direction, to *net.TCPConn, pieces <-chan piece) (inOrder bool) {
	for p := range pieces {
		if !c.delayPiece(d, p) {
			return false
		}
		if p.err != nil {
			return c.endDirection(d, to, p.err)
		}
		// Recorded before it is written: what is written may be read, and answered,
		// before this goroutine continues, and the history has to keep the order.
		if d == ToClient {
			c.recordDelivered(len(p.bytes))
		}
		if _, err := to.Write(p.bytes); err != nil {
			if c.clientMuted.Load() && d == ToServer {
				continue // lost
			}
			return false
		}
		if d == ToServer {
			c.recordForwarded(len(p.bytes))
		}
	}
	return false
}

// endDirection passes on that a side has ended its sending; results as of write.
func (c *Conn) endDirection(d Direction, to *net.TCPConn, cause error) (inOrder bool) {
	muted := c.clientMuted.Load()
	if muted && d == ToClient {
		<-c.ctx.Done() // the client is left open and silent until it ends by itself
		return false
	}
	if muted || !errors.Is(cause, io.EOF) {
		return false
	}
	to.CloseWrite()
	if d == ToClient { // nothing that is sent to the server arrives any more
		c.closeSoon()
	}
	return true
}

// delayPiece waits until a piece may pass; false if the connection ends first.
func (c *Conn) delayPiece(d Direction, p piece) bool {
	drawn := c.link.random()
	for {
		faults, changed := c.link.currentFaults(d)
		var due <-chan time.Time
		if !faults.Cut {
			left := time.Until(p.readAt.Add(faults.delayOf(len(p.bytes), drawn)))
			if left <= 0 {
				return c.ctx.Err() == nil
			}
			timer := time.NewTimer(left)
			defer timer.Stop()
			due = timer.C
		}
		select {
		case <-due: // never while the link is cut
			return c.ctx.Err() == nil
		case <-changed:
		case <-c.ctx.Done():
			return false
		}
	}
}
