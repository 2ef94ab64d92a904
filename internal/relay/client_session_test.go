package relay

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// serveClients starts a client server without a relay; put gets each message in place of the
// loop. It returns the server, its address and a channel. The channel gets, for each message,
// whether it counts as acknowledged: its response was written while the client waited for it.
func serveClients(t *testing.T, put func(*putRequest)) (*clientServer, string, chan bool) {
	t.Helper()
	acknowledged := make(chan bool, 16)
	c := newClientServer(parseTestConfig(t), discardLog(), put, func(_ *putRequest, ok bool) { acknowledged <- ok })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go c.serve(ln)
	return c, ln.Addr().String(), acknowledged
}

// accept responds to a message as if the relay had accepted it.
func accept(q *putRequest) { q.respond(responseOK) }

// A client that leaves before its response may submit the message elsewhere, so the
// message does not count as acknowledged.
func TestClientThatLeavesBeforeResponseIsNotAcknowledged(t *testing.T) {
	requests := make(chan *putRequest, 1)
	_, addr, acknowledged := serveClients(t, func(request *putRequest) { requests <- request })
	cl := dialClient(t, addr)
	io.WriteString(cl, putCommand("m", putFields("plain", 8000, 1), nil))
	request := <-requests
	cl.Close()
	if <-acknowledged {
		t.Error("the message counts as acknowledged")
	}
	request.respond(responseOK) // must not block, although nobody waits for the response
}

// A message that is accepted after the client timeout is refused with BUSY, as the client may
// have submitted it elsewhere by then.
func TestMessageAcceptedAfterClientTimeoutIsRefused(t *testing.T) {
	c, addr, acknowledged := serveClients(t, accept)
	c.clientTimeout = 0
	cl := dialClient(t, addr)
	if s := cl.put("m", putFields("plain", 8000, 1), nil); s != "-BUSY" {
		t.Errorf("response %q", s)
	}
	if <-acknowledged {
		t.Error("the message counts as acknowledged")
	}
}

// A client that closes its sending side and waits for the response must get one. As it cannot
// be told from a client that has left, its message must be refused.
func TestHalfClosedClientIsRefused(t *testing.T) {
	requests := make(chan *putRequest, 1)
	_, addr, acknowledged := serveClients(t, func(request *putRequest) { requests <- request })
	cl := dialClient(t, addr)
	io.WriteString(cl, putCommand("m", putFields("plain", 8000, 1), nil))
	request := <-requests
	if err := cl.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if <-acknowledged {
		t.Error("the message counts as acknowledged")
	}
	request.respond(responseOK)
	if s := cl.readLine(); s != "-BUSY" {
		t.Errorf("response %q", s)
	}
}

// Commands that a client sends without waiting for the responses must be answered in order.
func TestPipelinedCommandsAreAnsweredInOrder(t *testing.T) {
	firstRequest := make(chan *putRequest, 1)
	_, addr, acknowledged := serveClients(t, func(q *putRequest) {
		if q.record.ID == "a" {
			firstRequest <- q
			return
		}
		q.respond(busyResponse(7))
	})
	cl := dialClient(t, addr)
	io.WriteString(cl, putCommand("a", putFields("plain", 8000, 1), nil)+putCommand("b", putFields("plain", 8000, 1), nil)+"*1\r\n$4\r\nPING\r\n")
	(<-firstRequest).respond(responseOK)
	if s := cl.readLine() + cl.readLine() + cl.readLine(); s != "+OK-BUSY 7+PONG" {
		t.Errorf("responses %q", s)
	}
	if firstAcknowledged, secondAcknowledged := <-acknowledged, <-acknowledged; !firstAcknowledged || !secondAcknowledged {
		t.Error("the message does not count as acknowledged")
	}
}

// During a drain, a new connection has until clientTimeout for its request. A request that
// arrives just before that must be answered, also if the time is over before the response.
func TestRequestBeforeConnectionDeadlineIsAnswered(t *testing.T) {
	requests := make(chan *putRequest, 1)
	c, addr, acknowledged := serveClients(t, func(request *putRequest) { requests <- request })
	c.drainConnections() // as after SIGTERM: new connections are still accepted for a while, each for one request
	c.clientTimeout = time.Minute
	cl := dialClient(t, addr)
	connectedAt := time.Now()
	time.Sleep(clientTimeout * 3 / 4)
	io.WriteString(cl, putCommand("m", putFields("plain", 8000, 1), nil))
	request := <-requests
	time.Sleep(time.Until(connectedAt.Add(clientTimeout * 3 / 2)))
	request.respond(responseOK)
	if s := cl.readLine(); s != "+OK" {
		t.Errorf("response %q", s)
	}
	if !<-acknowledged {
		t.Error("the message does not count as acknowledged")
	}
	if _, err := cl.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the response: %v, want EOF", err)
	}
}

// A connection on which a command is begun and not completed in time is closed. A client
// that waits for its response keeps its connection.
func TestIncompleteCommandTimesOut(t *testing.T) {
	requests := make(chan *putRequest, 1)
	c := newClientServer(parseTestConfig(t), discardLog(), func(request *putRequest) { requests <- request }, func(*putRequest, bool) {})
	c.commandTimeout = 300 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go c.serve(ln)
	waiting, incomplete := dialClient(t, ln.Addr().String()), dialClient(t, ln.Addr().String())
	io.WriteString(waiting, putCommand("m", putFields("plain", 8000, 1), nil))
	request := <-requests
	io.WriteString(incomplete, "*5\r\n$7\r\nMSG")
	if _, err := incomplete.in.ReadByte(); err == nil {
		t.Error("got a response to half a command")
	}
	request.respond(responseOK) // the command timeout of the other connection has passed by now
	if s := waiting.readLine(); s != "+OK" {
		t.Errorf("response %q", s)
	}
}

// A peer that sends nothing, only an invalid command, or only a PING is disconnected after
// the command timeout. A client that has submitted a message may stay idle.
func TestPeerWithoutMessageIsDisconnected(t *testing.T) {
	c := newClientServer(parseTestConfig(t), discardLog(), accept, func(*putRequest, bool) {})
	c.commandTimeout = 300 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go c.serve(ln)
	client, silent := dialClient(t, ln.Addr().String()), dialClient(t, ln.Addr().String())
	invalid, pinged := dialClient(t, ln.Addr().String()), dialClient(t, ln.Addr().String())
	if s := client.put("a", putFields("plain", 8000, 1), nil); s != "+OK" {
		t.Errorf("client: response %q", s)
	}
	io.WriteString(invalid, "*1\r\n$3\r\nGET\r\n")
	if s := invalid.readLine(); !strings.HasPrefix(s, "-ERR ") {
		t.Errorf("peer with an invalid command: response %q", s)
	}
	io.WriteString(pinged, "*1\r\n$4\r\nPING\r\n")
	if s := pinged.readLine(); s != "+PONG" {
		t.Errorf("response to PING: %q", s)
	}
	for name, peer := range map[string]*testClient{"silent": silent, "invalid command": invalid, "PING only": pinged} {
		if _, err := peer.in.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: %v, want EOF", name, err)
		}
	}
	if s := client.put("b", putFields("plain", 8000, 1), nil); s != "+OK" { // idle for longer than the command timeout
		t.Errorf("client: response %q", s)
	}
}
