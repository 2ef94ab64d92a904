package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// clientConn is the connection of one client. Its fields are guarded by the
// mutex of the clientServer. A connection is closed by ending its reader's wait
// for the next request: a request whose first byte was read by then is still
// answered.
type clientConn struct {
	net.Conn
	pendingRequests    int       // requests begun and not answered
	hasReceivedRequest bool      // a request has begun on it
	commandDeadline    time.Time // for its next valid command; zero for none
	idleSince          time.Time // the connect or the last response
	isReleased         bool      // it closes after the response to the last request begun
	isStopped          bool      // no further command on it is executed
	isPeerGone         bool      // the client has closed it, or its sending side, and may still read a response
}

// release ends the wait for a next request. The caller holds the mutex.
func (cc *clientConn) release() {
	cc.isReleased = true
	cc.limitReadUntil(pastDeadline)
}

// limitReadUntil sets the reader's deadline unless the reader is to end
// already. The caller holds the mutex.
func (cc *clientConn) limitReadUntil(deadline time.Time) {
	if !cc.isStopped {
		cc.SetReadDeadline(deadline)
	}
}

// beginRequest records that the first byte of a request was read.
func (c *clientServer) beginRequest(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.pendingRequests++
	cc.hasReceivedRequest = true
	deadline := time.Now().Add(c.commandTimeout)
	if !cc.commandDeadline.IsZero() && cc.commandDeadline.Before(deadline) {
		deadline = cc.commandDeadline
	}
	cc.limitReadUntil(deadline)
}

// finishCommandRead records that a command was read, valid or not.
func (c *clientServer) finishCommandRead(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.limitReadUntil(cc.commandDeadline)
}

// recordValidCommand extends the time for the next command. A connection that
// submits messages is a client's and may stay idle without limit; a PING gives
// one more commandTimeout.
func (c *clientServer) recordValidCommand(cc *clientConn, isPut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case isPut:
		cc.commandDeadline = time.Time{}
	case !cc.commandDeadline.IsZero():
		cc.commandDeadline = time.Now().Add(c.commandTimeout)
	}
	if cc.pendingRequests == 1 && !c.isClosing { // with more, the next command is being read under its own deadline
		cc.limitReadUntil(cc.commandDeadline)
	}
}

// finishRequest records that a request was answered. After the last one on a
// connection that is to close, the reader ends as soon as nothing is unread:
// requests that were sent ahead are answered too.
func (c *clientServer) finishRequest(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.pendingRequests--
	cc.idleSince = time.Now()
	if (c.isClosing || cc.isReleased) && cc.pendingRequests == 0 {
		cc.release()
	}
}

// extendForUnread gives a reader whose wait has ended a little time for a
// request that had arrived by then.
func (c *clientServer) extendForUnread(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(clientTimeout)
	if !c.conns[cc] { // evicted, and yet it holds a descriptor
		deadline = time.Now().Add(evictedReadTimeout)
	}
	if !cc.commandDeadline.IsZero() {
		cc.commandDeadline = deadline
	}
	cc.limitReadUntil(deadline)
}

// recordReadError records why the reader ends. A deadline is the server's own
// and says nothing about the client.
func (c *clientServer) recordReadError(cc *clientConn, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.isPeerGone = true
}

// isPeerGone reports whether the client has ended its sending side.
func (c *clientServer) isPeerGone(cc *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cc.isPeerGone
}

// stopReading ends the reader; it will not be given more time.
func (c *clientServer) stopReading(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.isStopped = true
	cc.SetReadDeadline(pastDeadline)
}

// closeGracefully shuts down the sending side, so that the peer receives all
// that was written: a close with unread bytes resets the connection, and a
// response under way may be lost with it. What the peer sends until it closes
// its side is dropped, for up to clientTimeout and maxSkippedBytes. An evicted
// connection does not wait for the peer. The caller closes the connection.
func (c *clientServer) closeGracefully(cc *clientConn) {
	writer, ok := cc.Conn.(interface{ CloseWrite() error })
	if !ok || writer.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	isEvicted := !c.conns[cc]
	if !isEvicted {
		cc.SetReadDeadline(time.Now().Add(clientTimeout))
	}
	c.mu.Unlock()
	if !isEvicted {
		io.CopyN(io.Discard, cc, maxSkippedBytes)
	}
	discardUnread(cc.Conn)
}
