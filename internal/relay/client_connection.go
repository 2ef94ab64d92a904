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
// for the next request, so that a request whose first byte was read before is
// still answered.
type clientConn struct {
	net.Conn
	pendingRequests    int       // number of requests whose first byte was read and that are not answered
	hasReceivedRequest bool      // the first byte of a request was read
	isReadingCommand   bool      // the first byte of a command was read, and its last was not
	commandBeganAt     time.Time // when the first byte of the newest command was read
	readDeadline       time.Time // deadline of the reader, apart from interruptions of it
	readLimit          time.Time // no deadline of the reader is later; zero for no limit
	commandDeadline    time.Time // when the next valid command must be complete; zero for no limit
	idleSince          time.Time // time of the connect or of the last response
	isReleased         bool      // it is closed once all requests that have begun are answered, or at readLimit
	isStopped          bool      // no further command is executed on it
	isPeerGone         bool      // the client has closed it, or only its sending side and may still read a response
}

// markReleased makes the connection close between two requests, soon if the client pauses
// and after releaseTimeout if it does not. The caller holds the mutex.
func (cc *clientConn) markReleased() {
	if !cc.isReleased {
		cc.isReleased, cc.readLimit = true, time.Now().Add(releaseTimeout)
	}
}

// release ends the reader's wait for the next request, so that the connection is
// closed. The caller holds the mutex.
func (cc *clientConn) release() {
	cc.markReleased()
	cc.limitReadUntil(pastDeadline)
}

// limitReadUntil sets the reader's deadline, unless the reader was already stopped.
// The deadline is at most readLimit. The caller holds the mutex.
func (cc *clientConn) limitReadUntil(deadline time.Time) {
	if !cc.readLimit.IsZero() && (deadline.IsZero() || deadline.After(cc.readLimit)) {
		deadline = cc.readLimit
	}
	cc.readDeadline = deadline
	if !cc.isStopped {
		cc.SetReadDeadline(deadline)
	}
}

// resumeReading sets the reader's deadline again after its read was interrupted.
func (c *clientServer) resumeReading(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.limitReadUntil(cc.readDeadline)
}

// beginRequest records that the first byte of a request was read.
func (c *clientServer) beginRequest(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	cc.pendingRequests++
	cc.hasReceivedRequest = true
	cc.isReadingCommand, cc.commandBeganAt = true, now
	deadline := now.Add(c.commandTimeout)
	if !cc.commandDeadline.IsZero() && cc.commandDeadline.Before(deadline) {
		deadline = cc.commandDeadline
	}
	cc.limitReadUntil(deadline)
}

// finishCommandRead records that reading a command has ended, with or without an error.
func (c *clientServer) finishCommandRead(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.isReadingCommand = false
	cc.limitReadUntil(cc.commandDeadline)
}

// recordValidCommand extends the deadline of the next command. A connection that
// has submitted a message belongs to a client and may stay idle without limit. On
// other connections a PING extends the deadline by one commandTimeout.
func (c *clientServer) recordValidCommand(cc *clientConn, isPut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case isPut:
		cc.commandDeadline = time.Time{}
	case !cc.commandDeadline.IsZero():
		cc.commandDeadline = time.Now().Add(c.commandTimeout)
	}
	if cc.pendingRequests == 1 && !c.isClosing { // otherwise the next command is already being read, with its own deadline
		cc.limitReadUntil(cc.commandDeadline)
	}
}

// finishRequest records that a request was answered. On a connection that is to be
// closed, the reader ends after the last request, once no bytes are unread:
// requests that the client pipelined are answered too. From a client that always has a
// further request under way, the reader reads nothing more after readLimit; what was read
// whole until then is answered.
func (c *clientServer) finishRequest(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.pendingRequests--
	cc.idleSince = time.Now()
	if (c.isClosing || cc.isReleased) && cc.pendingRequests == 0 {
		cc.release()
	}
}

// extendForUnread extends the deadline of a reader whose wait has ended although
// bytes of a request had already arrived. It reports false if no byte is to be read any
// more: the client then has no response, and sends the request on another connection.
func (c *clientServer) extendForUnread(cc *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !cc.readLimit.IsZero() && !time.Now().Before(cc.readLimit) {
		return false
	}
	deadline := time.Now().Add(clientTimeout)
	if !c.conns[cc] { // it is evicted and still holds a descriptor that a new connection needs
		deadline = time.Now().Add(evictedReadTimeout)
	}
	if !cc.commandDeadline.IsZero() {
		cc.commandDeadline = deadline
	}
	cc.limitReadUntil(deadline)
	return true
}

// recordReadError records that the client has closed the connection or its sending
// side, if the read error says so. An expired deadline was set by the server and
// says nothing about the client.
func (c *clientServer) recordReadError(cc *clientConn, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.recordPeerGone(cc)
}

// recordPeerGone records that the client has closed the connection or its sending side.
func (c *clientServer) recordPeerGone(cc *clientConn) {
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

// stopReading ends the reader. Its deadline is not extended after that.
func (c *clientServer) stopReading(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.isStopped = true
	cc.SetReadDeadline(pastDeadline)
}

// closeGracefully shuts down the sending side, so that the peer receives all
// that was written: closing a connection with unread bytes resets it, and a
// response that is still in transit may be lost. Until the peer closes its side,
// its bytes are read and dropped, for up to clientTimeout and maxSkippedBytes. On
// an evicted connection it does not wait for the peer. The caller closes the
// connection.
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
