package relay

import (
	"bytes"
	"errors"
	"net"
	"sync"
)

const (
	readBufferBytes    = 4 << 10
	maxStatusLineBytes = 256 // what follows is not kept
)

// errUnexpectedBytes reports a connection on which bytes came that answer no
// request. It carries no further call.
var errUnexpectedBytes = errors.New("bytes on the connection that answer nothing")

// endpointConn is a connection to an endpoint. It adds what net/http does not
// do:
//
// It keeps the status line of the newest response. net/http reports nothing of a
// response whose header it cannot read to its end, but a call of one message is
// delivered once the status line says so.
//
// It makes sure that a response answers the call in flight. As soon as a
// response is complete, net/http gives the connection to the next waiting call,
// and would read bytes that came behind that response as the answer to the next
// request. So Read returns one byte at a time and keeps the rest back, and the
// connection becomes stale where bytes are left.
//
// It may be used by several goroutines, as a net.Conn.
type endpointConn struct {
	net.Conn
	onClose    func() // called at each Close; nil for none
	readBuffer []byte // used by Read alone

	mu               sync.Mutex
	unread           []byte // the part of readBuffer that Read has not returned
	isRequestStarted bool   // the newest call has begun to write its request
	isStale          bool   // errUnexpectedBytes
	readErr          error  // follows the unread bytes
	statusLine       []byte // of the newest response, as far as Read has returned it
	isReadDone       bool   // Read has returned an error
	onStatusOK       func() // called once when a complete status line says 200; nil for none
}

// Close closes the connection and frees its place in the pool.
func (c *endpointConn) Close() error {
	err := c.Conn.Close()
	if c.onClose != nil {
		c.onClose()
	}
	return err
}

// assignCall prepares the connection for a call. onStatusOK is called once the
// status line of its response says 200 and may be nil. It reports false where
// bytes wait on the connection already, so that it can carry no call.
func (c *endpointConn) assignCall(onStatusOK func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isRequestStarted, c.onStatusOK, c.statusLine = false, onStatusOK, c.statusLine[:0]
	c.isStale = c.isStale || len(c.unread) > 0 || hasUnreadBytes(c.Conn)
	return !c.isStale
}

// Write writes to the endpoint; it fails with errUnexpectedBytes on a stale
// connection.
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

// Read returns at most one byte of the response; it fails with
// errUnexpectedBytes on a stale connection.
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

// nextByte returns the next unread byte; 0 and no error where there is none.
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

// appendStatusLine keeps a byte of the status line and calls onStatusOK at its
// end. The caller holds the mutex.
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

// hasMalformedResponse reports whether a response has begun and the connection
// still stands. Where the call fails, the fault is then in the response.
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
