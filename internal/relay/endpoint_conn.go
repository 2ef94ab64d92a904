package relay

import (
	"bytes"
	"errors"
	"net"
	"sync"
)

const (
	readBufferBytes    = 4 << 10
	maxStatusLineBytes = 256 // the rest of a longer status line is not kept
)

// errUnexpectedBytes reports that bytes which belong to no response were received on
// a connection. Such a connection carries no further call.
var errUnexpectedBytes = errors.New("unexpected bytes on the connection")

// endpointConn is a connection to an endpoint. It adds two functions that net/http
// does not have:
//
// It keeps the status line of the newest response. net/http reports nothing about a
// response whose header it cannot read completely, but a call of one message is
// delivered once the status line says 200.
//
// It ensures that a response belongs to the call in flight. As soon as a response
// is complete, net/http passes the connection to the next waiting call, and would
// read bytes received after that response as the response to the next request.
// Read therefore returns one byte at a time and holds back the rest. If bytes are
// left when a response is complete, the connection becomes stale.
//
// Like any net.Conn it may be used by several goroutines.
type endpointConn struct {
	net.Conn
	onClose    func() // called by each Close; nil for none
	readBuffer []byte // used by Read only

	mu               sync.Mutex
	unread           []byte // the part of readBuffer that Read has not returned
	isRequestStarted bool   // the newest call has begun writing its request
	isStale          bool   // reads and writes fail with errUnexpectedBytes
	readErr          error  // read error that Read returns after the unread bytes
	statusLine       []byte // status line of the newest response, as far as Read has returned it
	isReadDone       bool   // Read has returned an error
	onStatusOK       func() // called once, when a complete status line says 200; nil for none
}

// Close closes the connection and calls onClose.
func (c *endpointConn) Close() error {
	err := c.Conn.Close()
	if c.onClose != nil {
		c.onClose()
	}
	return err
}

// assignCall prepares the connection for a call. onStatusOK is called once the
// status line of the response says 200; it may be nil. assignCall reports false if
// there are already unread bytes, so that the connection can carry no call.
func (c *endpointConn) assignCall(onStatusOK func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isRequestStarted, c.onStatusOK, c.statusLine = false, onStatusOK, c.statusLine[:0]
	c.isStale = c.isStale || len(c.unread) > 0 || hasUnreadBytes(c.Conn)
	return !c.isStale
}

// Write writes to the endpoint. On a stale connection it fails with
// errUnexpectedBytes.
func (c *endpointConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	isStale := c.isStale
	c.isRequestStarted = true
	c.mu.Unlock()
	if isStale {
		return 0, errUnexpectedBytes
	}
	return c.Conn.Write(b)
}

// Read returns at most one byte of the response. On a stale connection it fails
// with errUnexpectedBytes.
func (c *endpointConn) Read(b []byte) (int, error) {
	for len(b) > 0 {
		if n, err := c.nextByte(b); n > 0 || err != nil {
			return n, err
		}
		if c.readBuffer == nil {
			c.readBuffer = make([]byte, readBufferBytes)
		}
		n, err := c.Conn.Read(c.readBuffer)
		c.mu.Lock()
		c.unread, c.readErr = c.readBuffer[:n], err
		c.isStale = c.isStale || n > 0 && !c.isRequestStarted
		c.mu.Unlock()
	}
	return 0, nil
}

// nextByte copies the next unread byte to b and returns 1. If there is none, it
// returns 0 and the read error, if any.
func (c *endpointConn) nextByte(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isStale:
		c.isReadDone = true
		return 0, errUnexpectedBytes
	case len(c.unread) == 0:
		c.isReadDone = c.isReadDone || c.readErr != nil
		return 0, c.readErr
	}
	b[0] = c.unread[0]
	c.unread = c.unread[1:]
	c.appendStatusLine(b[0])
	return 1, nil
}

// appendStatusLine appends a byte to the status line, if that is not complete, and
// calls onStatusOK when it ends and says 200. The caller holds the mutex.
func (c *endpointConn) appendStatusLine(b byte) {
	n := len(c.statusLine)
	if n >= maxStatusLineBytes || n > 0 && c.statusLine[n-1] == '\n' {
		return
	}
	c.statusLine = append(c.statusLine, b)
	if b == '\n' && c.onStatusOK != nil && c.isStatusLineOK() {
		c.onStatusOK()
		c.onStatusOK = nil
	}
}

// hasMalformedResponse reports whether a response has begun and the connection has
// no read error. If the call has failed, the response must then be malformed.
func (c *endpointConn) hasMalformedResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.statusLine) > 0 && !c.isReadDone
}

// hasStatusOK reports whether a complete status line was read and says 200.
func (c *endpointConn) hasStatusOK() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isStatusLineOK()
}

func (c *endpointConn) isStatusLineOK() bool {
	fields := bytes.Fields(c.statusLine)
	return bytes.HasPrefix(c.statusLine, []byte("HTTP/1.")) && bytes.HasSuffix(c.statusLine, []byte("\n")) &&
		len(fields) > 1 && string(fields[1]) == "200"
}
