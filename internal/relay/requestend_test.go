package relay

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards a request that comes just before the time of its connection is over, so that the
// reader's wait ends while the request still waits for its answer: it gets that answer.
func TestRequestAtTheEndOfItsConnection(t *testing.T) {
	got := make(chan *putRequest, 1)
	c, addr, said := serveClients(t, func(q *putRequest) { got <- q })
	c.drainConnections() // as on SIGTERM: connections are still taken in for a while, each for one request
	c.clientTimeout = time.Minute
	cl := dialClient(t, addr)
	began := time.Now()
	time.Sleep(clientTimeout * 3 / 4)
	io.WriteString(cl, putText("m", fields("plain", 8000, 1), nil))
	q := <-got
	time.Sleep(time.Until(began.Add(clientTimeout * 3 / 2)))
	q.respond(responseOK)
	if s := cl.line(); s != "+OK" {
		t.Errorf("answer %q", s)
	}
	if !<-said {
		t.Error("not held to be heard")
	}
	if _, err := cl.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the answer: %v", err)
	}
}

// Guards a client that ends its sending behind its request and waits for the answer: it is
// answered. As one that has left looks the same, the message is not taken on.
func TestHalfClosedClientIsAnswered(t *testing.T) {
	got := make(chan *putRequest, 1)
	_, addr, said := serveClients(t, func(q *putRequest) { got <- q })
	cl := dialClient(t, addr)
	io.WriteString(cl, putText("m", fields("plain", 8000, 1), nil))
	q := <-got
	if err := cl.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if <-said {
		t.Error("held to be heard")
	}
	q.respond(responseOK)
	if s := cl.line(); s != "-BUSY" {
		t.Errorf("answer %q", s)
	}
}

// Guards connections that wait to be accepted as the listener closes against errors that
// accept gives for a moment: each is served.
func TestSweepOverAcceptErrors(t *testing.T) {
	ln, err := listenReusePort(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClientServer(testSet(t), quietLog(), accept, func(*putRequest, bool) {})
	faults := []error{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.EINTR, syscall.ENETUNREACH, syscall.EMFILE, syscall.EHOSTUNREACH, syscall.ENOMEM}
	calls := 0
	c.accept4 = func(fd, flags int) (int, syscall.Sockaddr, error) {
		if calls++; calls%2 == 1 && calls/2 < len(faults) {
			return -1, nil, faults[calls/2]
		}
		return syscall.Accept4(fd, flags)
	}
	var waiting []*testClient
	for range 12 { // nobody accepts yet
		waiting = append(waiting, dialClient(t, ln.Addr().String()))
	}
	c.stopListening(ln)
	if err := c.serve(ln); err != nil {
		t.Fatal(err)
	}
	for i, cl := range waiting {
		if s := cl.put("m", fields("plain", 8000, 1), nil); s != "+OK" {
			t.Errorf("%d: %s", i, s)
		}
	}
}
