package relay

import (
	"errors"
	"io"
	"strconv"
	"testing"
)

// At the connection limit, a new connection must be served and the connection that has been
// idle for longest be closed.
func TestConnectionLimitEvictsLongestIdle(t *testing.T) {
	c, addr, _ := serveClients(t, accept)
	c.mu.Lock()
	c.maxConns = 2
	c.mu.Unlock()
	var clients []*testClient
	for i := range 3 {
		cl := dialClient(t, addr)
		if s := cl.put("m"+strconv.Itoa(i), putFields("plain", 8000, 1), nil); s != "+OK" {
			t.Fatal(s)
		}
		clients = append(clients, cl)
	}
	if _, err := clients[0].in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("connection that was idle for longest: %v, want EOF", err)
	}
	if s := clients[1].put("x", putFields("plain", 8000, 1), nil); s != "+OK" {
		t.Error(s)
	}
}

// Many peers begin a command and do not complete it, or do not close their connection after
// an error response. They must be evicted like idle connections, so that a new client is
// served, and a client that waits for its response must keep its connection.
func TestConnectionLimitHoldsInFlood(t *testing.T) {
	requests := make(chan *putRequest, 1)
	c, addr, _ := serveClients(t, func(request *putRequest) {
		if request.record.ID == "waits" {
			requests <- request
			return
		}
		accept(request)
	})
	c.mu.Lock()
	c.maxConns = 4
	c.mu.Unlock()
	waiting := dialClient(t, addr)
	io.WriteString(waiting, putCommand("waits", putFields("plain", 8000, 1), nil))
	request := <-requests
	for i := range 20 {
		peer := dialClient(t, addr)
		if i%2 == 0 {
			io.WriteString(peer, "no command\r\n")
			peer.readLine() // the error response; the peer then stays connected
		} else {
			io.WriteString(peer, "*5\r\n$7\r\nMSG")
			waitFor(t, "the beginning of the command", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				for cc := range c.conns {
					if cc.RemoteAddr().String() == peer.LocalAddr().String() {
						return cc.pendingRequests > 0
					}
				}
				return false
			})
		}
		if n := c.connectionCount(); n > 4 {
			t.Fatalf("%d connections, want at most 4", n)
		}
	}
	if s := dialClient(t, addr).put("m", putFields("plain", 8000, 1), nil); s != "+OK" {
		t.Errorf("new client during the flood: response %q", s)
	}
	if request.respond(responseOK); waiting.readLine() != "+OK" {
		t.Error("the waiting client got no OK response")
	}
}

// A request that arrives while its connection is evicted must not reset the connection.
func TestRequestDuringEvictionDoesNotResetConnection(t *testing.T) {
	c, cl := serveCrossing(t, accept, putCommand("b", putFields("plain", 8000, 1), nil))
	if s := cl.put("a", putFields("plain", 8000, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	waitFor(t, "the end of the first request", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for cc := range c.conns {
			return cc.pendingRequests == 0
		}
		return false
	})
	waitFor(t, "the eviction", func() bool { // a connection cannot be evicted right after its last response
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.evictConnection() == 0
	})
	if _, err := cl.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("%v, want EOF and no reset", err)
	}
}
