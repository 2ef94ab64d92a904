package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A drain closes an idle connection at once and a connection with a request in progress
// after its response.
func TestDrainClosesConnectionsBetweenRequests(t *testing.T) {
	requests := make(chan *putRequest, 1)
	c, addr, _ := serveClients(t, func(request *putRequest) { requests <- request })
	idle, busy := dialClient(t, addr), dialClient(t, addr)
	io.WriteString(idle, "*1\r\n$4\r\nPING\r\n")
	idle.readLine()
	io.WriteString(busy, putCommand("m", putFields("plain", 8000, 1), nil))
	request := <-requests
	c.drainConnections()
	if _, err := idle.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v, want EOF", err)
	}
	request.respond(responseOK)
	if s := busy.readLine(); s != "+OK" {
		t.Errorf("response %q", s)
	}
	if _, err := busy.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the response: %v, want EOF", err)
	}
}

// A connection that is evicted just when a request begins must be closed after that request,
// since it no longer counts towards the connection limit.
func TestEvictedConnectionClosesAfterRequest(t *testing.T) {
	c := newClientServer(parseTestConfig(t), discardLog(), accept, func(*putRequest, bool) {})
	relaySide, clientSide := net.Pipe()
	defer clientSide.Close()
	cc := &clientConn{Conn: relaySide}
	c.conns[cc] = true
	c.evictConnection()
	c.beginRequest(cc)
	c.finishCommandRead(cc)
	c.finishRequest(cc)
	if _, err := relaySide.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the evicted connection is not closed after its request: %v", err)
	}
}

// A request that has arrived but was not read yet when the drain begins must be answered
// before its connection is closed.
func TestUnreadRequestIsAnsweredBeforeDrainCloses(t *testing.T) {
	c := newClientServer(parseTestConfig(t), discardLog(), accept, func(*putRequest, bool) {})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	cl := dialClient(t, ln.Addr().String())
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	cc := &clientConn{Conn: conn}
	c.conns[cc] = true
	io.WriteString(cl, putCommand("m", putFields("plain", 8000, 1), nil))
	waitFor(t, "the arrival of the request", func() bool { return hasUnreadBytes(conn) })
	c.drainConnections() // the connection is not served yet
	go func() { c.serveConnection(cc); conn.Close() }()
	if s := cl.readLine(); s != "+OK" {
		t.Errorf("response %q", s)
	}
	if _, err := cl.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the response: %v, want EOF", err)
	}
}

// crossingConn is the relay's side of a connection. Just before the relay shuts it down or
// closes it, bytes of the client arrive.
type crossingConn struct {
	*net.TCPConn
	sendBytes func() // sends the client's bytes and returns once they have arrived
}

func (c *crossingConn) CloseWrite() error {
	c.sendBytes()
	return c.TCPConn.CloseWrite()
}

func (c *crossingConn) Close() error {
	c.sendBytes()
	return c.TCPConn.Close()
}

// serveCrossing serves one connection whose client sends text at the moment at which the
// relay closes it.
func serveCrossing(t *testing.T, put func(*putRequest), text string) (*clientServer, *testClient) {
	t.Helper()
	c := newClientServer(parseTestConfig(t), discardLog(), put, func(*putRequest, bool) {})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	cl := dialClient(t, ln.Addr().String())
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	crossing := &crossingConn{TCPConn: conn.(*net.TCPConn)}
	crossing.sendBytes = sync.OnceFunc(func() {
		io.WriteString(cl, text)
		waitFor(t, "the arrival of the client's bytes", func() bool { return hasUnreadBytes(crossing.TCPConn) })
	})
	c.startConnection(crossing)
	return c, cl
}

// Requests that arrive while the relay closes the connection are dropped. They must not
// reset the connection, so that the client still gets the response to its first request.
func TestPipelinedRequestsDuringCloseDoNotResetConnection(t *testing.T) {
	var requestCount atomic.Int32
	requests := make(chan *putRequest, 2)
	c, cl := serveCrossing(t, func(request *putRequest) { requestCount.Add(1); requests <- request },
		putCommand("b", putFields("plain", 8000, 1), nil)+putCommand("c", putFields("plain", 8000, 1), make([]byte, maxBodyBytes)))
	io.WriteString(cl, putCommand("a", putFields("plain", 8000, 1), nil))
	request := <-requests
	c.drainConnections()
	request.respond(responseOK)
	if s := cl.readLine(); s != "+OK" {
		t.Errorf("response %q", s)
	}
	if _, err := cl.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the response: %v, want EOF and no reset", err)
	}
	cl.Close()
	waitFor(t, "the end of the connection", func() bool { return c.connectionCount() == 0 })
	if n := requestCount.Load(); n != 1 {
		t.Errorf("%d requests were passed to the relay, want only the first", n)
	}
}

// A request that arrives while the relay closes its idle connection is dropped as a whole.
// The client must see the end of the stream and no reset.
func TestRequestDuringIdleCloseIsDroppedWithoutReset(t *testing.T) {
	var requestCount atomic.Int32
	c, cl := serveCrossing(t, func(q *putRequest) { requestCount.Add(1); accept(q) }, putCommand("b", putFields("plain", 8000, 1), nil))
	if s := cl.put("a", putFields("plain", 8000, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	c.drainConnections()
	if _, err := cl.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("%v, want EOF and no reset", err)
	}
	cl.Close()
	waitFor(t, "the end of the connection", func() bool { return c.connectionCount() == 0 })
	if n := requestCount.Load(); n != 1 {
		t.Errorf("%d requests were passed to the relay, want only the first", n)
	}
}

// Closing the server must close connections in every state and wait for their goroutines: an
// idle one, one that waits for a response, and one that was evicted within a command. A
// connection that is accepted later must be closed without reading from it.
func TestServerCloseClosesConnectionsInEveryState(t *testing.T) {
	submitted := make(chan *putRequest, 1)
	c, addr, _ := serveClients(t, func(q *putRequest) { submitted <- q })
	idle, waiting, evicted := dialClient(t, addr), dialClient(t, addr), dialClient(t, addr)
	io.WriteString(idle, "*1\r\n$4\r\nPING\r\n")
	idle.readLine()
	io.WriteString(waiting, putCommand("m", putFields("plain", 8000, 1), nil))
	<-submitted
	io.WriteString(evicted, "*5\r\n$7\r\nMSG")
	waitFor(t, "the beginning of the command", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for cc := range c.conns {
			if cc.RemoteAddr().String() == evicted.LocalAddr().String() && cc.pendingRequests > 0 {
				delete(c.conns, cc)
				c.evicted[cc] = true
				return true
			}
		}
		return false
	})
	c.close()
	c.mu.Lock()
	if c.openConns != 0 || len(c.conns) != 0 || len(c.evicted) != 0 {
		t.Errorf("%d connections open, %d counted, %d evicted", c.openConns, len(c.conns), len(c.evicted))
	}
	c.mu.Unlock()
	for name, cl := range map[string]*testClient{"idle": idle, "waiting": waiting, "evicted": evicted, "late": dialClient(t, addr)} {
		cl.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := cl.in.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: still open: %v", name, err)
		}
	}
}
