package relay

import (
	"errors"
	"io"
	"strconv"
	"testing"
)

// At the limit the connection that was idle for longest is evicted, and the new one is
// served.
func TestConnectionLimitEvictsLongestIdle(t *testing.T) {
	c, addr, _ := serveClients(t, accept)
	c.mu.Lock()
	c.maxConns = 2
	c.mu.Unlock()
	var all []*testClient
	for i := range 3 {
		cl := dialClient(t, addr)
		if s := cl.put("m"+strconv.Itoa(i), putFields("plain", 8000, 1), nil); s != "+OK" {
			t.Fatal(s)
		}
		all = append(all, cl)
	}
	if _, err := all[0].in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the oldest: %v", err)
	}
	if s := all[1].put("x", putFields("plain", 8000, 1), nil); s != "+OK" {
		t.Error(s)
	}
}

// In a flood of peers that do not complete a command, or do not close a connection that
// was ended, these are evicted like idle ones. A new client is served, and one that
// waits for its response keeps its connection.
func TestConnectionLimitHoldsInFlood(t *testing.T) {
	got := make(chan *putRequest, 1)
	c, addr, _ := serveClients(t, func(q *putRequest) {
		if q.record.ID == "waits" {
			got <- q
			return
		}
		accept(q)
	})
	c.mu.Lock()
	c.maxConns = 4
	c.mu.Unlock()
	waits := dialClient(t, addr)
	io.WriteString(waits, putCommand("waits", putFields("plain", 8000, 1), nil))
	q := <-got
	for i := range 20 {
		peer := dialClient(t, addr)
		if i%2 == 0 {
			io.WriteString(peer, "no command\r\n")
			peer.readLine() // its error: it is told, and does not leave
		} else {
			io.WriteString(peer, "*5\r\n$7\r\nMSG")
			waitFor(t, "the command's beginning", func() bool {
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
			t.Fatalf("%d connections, 4 allowed", n)
		}
	}
	if s := dialClient(t, addr).put("m", putFields("plain", 8000, 1), nil); s != "+OK" {
		t.Errorf("a client in the flood: %q", s)
	}
	if q.respond(responseOK); waits.readLine() != "+OK" {
		t.Error("the one that waits for its answer has none")
	}
}

// A request that crosses an eviction does not reset the connection.
func TestEvictionDoesNotResetCrossingRequest(t *testing.T) {
	c, cl := serveCrossing(t, accept, putCommand("b", putFields("plain", 8000, 1), nil))
	if s := cl.put("a", putFields("plain", 8000, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	waitFor(t, "rest", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for cc := range c.conns {
			return cc.pendingRequests == 0
		}
		return false
	})
	waitFor(t, "room", func() bool { // one that has just had its answer rests a moment first
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.evictConnection() == 0
	})
	if _, err := cl.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("%v, want an end and no reset", err)
	}
}
