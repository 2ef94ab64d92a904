package relay

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// serveClients runs the client side alone; put takes the place of the loop.
func serveClients(t *testing.T, put func(*putRequest)) (*clientServer, string, chan bool) {
	t.Helper()
	said := make(chan bool, 16)
	c := newClientServer(parseTestConfig(t), discardLog(), put, func(_ *putRequest, ok bool) { said <- ok })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go c.serve(ln)
	return c, ln.Addr().String(), said
}

// accept answers a message as accepted.
func accept(q *putRequest) { q.respond(responseOK) }

// A client that leaves before its response may submit the message elsewhere, so the
// message does not count as acknowledged.
func TestClientThatLeavesBeforeResponseIsNotAcknowledged(t *testing.T) {
	got := make(chan *putRequest, 1)
	_, addr, said := serveClients(t, func(q *putRequest) { got <- q })
	cl := dialClient(t, addr)
	io.WriteString(cl, putCommand("m", putFields("plain", 8000, 1), nil))
	q := <-got
	cl.Close()
	if <-said {
		t.Error("held to be heard")
	}
	q.respond(responseOK) // comes too late and blocks nobody
}

// A message that is accepted after its client has given up is answered with BUSY: the
// client has submitted it elsewhere.
func TestMessageAcceptedAfterClientTimeoutIsRefused(t *testing.T) {
	c, addr, said := serveClients(t, accept)
	c.clientTimeout = 0
	cl := dialClient(t, addr)
	if s := cl.put("m", putFields("plain", 8000, 1), nil); s != "-BUSY" {
		t.Errorf("answer %q", s)
	}
	if <-said {
		t.Error("held to be heard")
	}
}

// A client that closes its sending side and waits for the response gets one. As it
// looks like one that has left, the message is not accepted.
func TestHalfClosedClientIsRefused(t *testing.T) {
	got := make(chan *putRequest, 1)
	_, addr, said := serveClients(t, func(q *putRequest) { got <- q })
	cl := dialClient(t, addr)
	io.WriteString(cl, putCommand("m", putFields("plain", 8000, 1), nil))
	q := <-got
	if err := cl.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if <-said {
		t.Error("held to be heard")
	}
	q.respond(responseOK)
	if s := cl.readLine(); s != "-BUSY" {
		t.Errorf("answer %q", s)
	}
}

// Pipelined commands are answered in order.
func TestPipelinedCommandsAreAnsweredInOrder(t *testing.T) {
	first := make(chan *putRequest, 1)
	_, addr, said := serveClients(t, func(q *putRequest) {
		if q.record.ID == "a" {
			first <- q
			return
		}
		q.respond(busyResponse(7))
	})
	cl := dialClient(t, addr)
	io.WriteString(cl, putCommand("a", putFields("plain", 8000, 1), nil)+putCommand("b", putFields("plain", 8000, 1), nil)+"*1\r\n$4\r\nPING\r\n")
	(<-first).respond(responseOK)
	if s := cl.readLine() + cl.readLine() + cl.readLine(); s != "+OK-BUSY 7+PONG" {
		t.Errorf("answers %q", s)
	}
	if heardFirst, heardSecond := <-said, <-said; !heardFirst || !heardSecond {
		t.Error("not held to be heard")
	}
}

// A request that arrives just before the deadline of its connection is answered, also
// where the reader's wait ends before the response.
func TestRequestBeforeConnectionDeadlineIsAnswered(t *testing.T) {
	got := make(chan *putRequest, 1)
	c, addr, said := serveClients(t, func(q *putRequest) { got <- q })
	c.drainConnections() // as on SIGTERM: connections are still taken in for a while, each for one request
	c.clientTimeout = time.Minute
	cl := dialClient(t, addr)
	began := time.Now()
	time.Sleep(clientTimeout * 3 / 4)
	io.WriteString(cl, putCommand("m", putFields("plain", 8000, 1), nil))
	q := <-got
	time.Sleep(time.Until(began.Add(clientTimeout * 3 / 2)))
	q.respond(responseOK)
	if s := cl.readLine(); s != "+OK" {
		t.Errorf("answer %q", s)
	}
	if !<-said {
		t.Error("not held to be heard")
	}
	if _, err := cl.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the answer: %v", err)
	}
}

// A peer that begins a command and does not complete it loses its connection. A client
// that waits for its response, or between two commands, keeps it.
func TestIncompleteCommandTimesOut(t *testing.T) {
	got := make(chan *putRequest, 1)
	c := newClientServer(parseTestConfig(t), discardLog(), func(q *putRequest) { got <- q }, func(*putRequest, bool) {})
	c.commandTimeout = 300 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go c.serve(ln)
	waits, half := dialClient(t, ln.Addr().String()), dialClient(t, ln.Addr().String())
	io.WriteString(waits, putCommand("m", putFields("plain", 8000, 1), nil))
	q := <-got
	io.WriteString(half, "*5\r\n$7\r\nMSG")
	if _, err := half.in.ReadByte(); err == nil {
		t.Error("half a command is answered")
	}
	q.respond(responseOK) // later than the patience with the other
	if s := waits.readLine(); s != "+OK" {
		t.Errorf("answer %q", s)
	}
}

// A peer that sends nothing, nothing valid, or nothing after a PING loses its
// connection. A client that has submitted a message may stay idle.
func TestPeerWithoutValidCommandIsDisconnected(t *testing.T) {
	c := newClientServer(parseTestConfig(t), discardLog(), accept, func(*putRequest, bool) {})
	c.commandTimeout = 300 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go c.serve(ln)
	client, silent := dialClient(t, ln.Addr().String()), dialClient(t, ln.Addr().String())
	rude, pinged := dialClient(t, ln.Addr().String()), dialClient(t, ln.Addr().String())
	if s := client.put("a", putFields("plain", 8000, 1), nil); s != "+OK" {
		t.Errorf("a client: %q", s)
	}
	io.WriteString(rude, "*1\r\n$3\r\nGET\r\n")
	if s := rude.readLine(); !strings.HasPrefix(s, "-ERR ") {
		t.Errorf("a rude peer: %q", s)
	}
	io.WriteString(pinged, "*1\r\n$4\r\nPING\r\n")
	if s := pinged.readLine(); s != "+PONG" {
		t.Errorf("a PING: %q", s)
	}
	for name, peer := range map[string]*testClient{"silent": silent, "rude": rude, "pinged": pinged} {
		if _, err := peer.in.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if s := client.put("b", putFields("plain", 8000, 1), nil); s != "+OK" { // idle for longer than the patience
		t.Errorf("a client: %q", s)
	}
}
