package link

import (
	"errors"
	"io"
	"net"
	"time"
)

// piece is the result of one read from a connection.
type piece struct {
	bytes  []byte
	readAt time.Time
	err    error // set if the sender has ended its side
}

// forward passes on the bytes of one direction until their sender ends its side.
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
	for range pieces { // waits until the reader's goroutine has ended
	}
}

// read reads the bytes of one direction. Faults do not delay it, so that the time at which
// bytes were sent is known in any case.
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

// queue passes a piece to the writer, or returns false if the connection ends first.
func (c *Conn) queue(pieces chan<- piece, p piece) bool {
	select {
	case pieces <- p:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// write writes the pieces of one direction when its faults allow. It returns true if the
// sender closed its side without an error, and false if the connection must be aborted.
func (c *Conn) write(d Direction, to *net.TCPConn, pieces <-chan piece) (inOrder bool) {
	for p := range pieces {
		if !c.delayPiece(d, p) {
			return false
		}
		if p.err != nil {
			return c.endDirection(d, to, p.err)
		}
		// Record the delivery before the write: the client may read the bytes and answer
		// before this goroutine continues, but the history must list the delivery first.
		if d == ToClient {
			c.recordDelivered(len(p.bytes))
		}
		if _, err := to.Write(p.bytes); err != nil {
			if c.clientMuted.Load() && d == ToServer {
				continue // muteClient closed the server's side, so the bytes are discarded
			}
			return false
		}
		if d == ToServer {
			c.recordForwarded(len(p.bytes))
		}
	}
	return false
}

// endDirection passes on the end of the sender's side. Its result is that of write.
func (c *Conn) endDirection(d Direction, to *net.TCPConn, cause error) (inOrder bool) {
	muted := c.clientMuted.Load()
	if muted && d == ToClient {
		<-c.ctx.Done() // the client's side stays open and silent until the client closes it or the link resets it
		return false
	}
	if muted || !errors.Is(cause, io.EOF) {
		return false
	}
	to.CloseWrite()
	if d == ToClient { // the server has closed, so it does not read what the client may still send
		c.closeSoon()
	}
	return true
}

// delayPiece waits until faults let a piece pass, or returns false if the connection ends
// first.
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
		case <-due: // due is nil while the link is cut, so that this case is not taken
			return c.ctx.Err() == nil
		case <-changed:
		case <-c.ctx.Done():
			return false
		}
	}
}
