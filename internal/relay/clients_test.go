package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// serveClients runs the client side alone; put stands for the loop.
func serveClients(t *testing.T, put func(*putRequest)) (*clientServer, string, chan bool) {
	t.Helper()
	said := make(chan bool, 16)
	c := newClientServer(testSet(t), quietLog(), put, func(_ *putRequest, ok bool) { said <- ok })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go c.serve(ln)
	return c, ln.Addr().String(), said
}

func accept(q *putRequest) { q.respond(responseOK) }

// Guards against what no client should send: nothing is taken, the fault is
// named, and a connection that is still in step goes on.
func TestInvalidCommands(t *testing.T) {
	long := strings.Repeat("x", maxBodyBytes+1)
	for name, x := range map[string]struct {
		text string
		ends bool
	}{
		"inline":           {"PING\r\n", true},
		"no number":        {"*x\r\n", true},
		"no arguments":     {"*0\r\n", true},
		"negative":         {"*-1\r\n", true},
		"many arguments":   {"*999999999\r\n", true},
		"huge argument":    {"*1\r\n$999999999\r\n", true},
		"negative length":  {"*1\r\n$-5\r\n", true},
		"long number":      {"*" + strings.Repeat("1", 99) + "\r\n", true},
		"no end":           {"*1\r\n$4\r\nPINGxx", true},
		"not a bulk":       {"*1\r\n:4\r\n", true},
		"unknown command":  {"*1\r\n$3\r\nGET\r\n", false},
		"long body":        {putText("m", fields("plain", 8000, 1), []byte(long)), false},
		"few arguments":    {"*2\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n", false},
		"unknown class":    {putText("m", "c=other,t=acme,d=1,dest=1", nil), false},
		"no class":         {putText("m", "t=acme,d=1,dest=1", nil), false},
		"unknown tenant":   {putText("m", "c=plain,t=other,d=1,dest=1", nil), false},
		"no time":          {putText("m", "c=plain,t=acme,dest=1", nil), false},
		"bad time":         {putText("m", "c=plain,t=acme,d=NaN,dest=1", nil), false},
		"negative time":    {putText("m", "c=plain,t=acme,d=-1,dest=1", nil), false},
		"no destination":   {putText("m", "c=plain,t=acme,d=1", nil), false},
		"bad destination":  {putText("m", "c=plain,t=acme,d=1,dest=-3", nil), false},
		"no key":           {putText("m", "c=keyed,t=acme,d=1,dest=1", nil), false},
		"key in two lines": {putText("m", "c=keyed,t=acme,d=1,dest=1,k=a\r\nX: b", nil), false},
		"id in two lines":  {putText("a\r\nX: b", fields("plain", 1, 1), nil), false},
		"no id":            {putText("", fields("plain", 1, 1), nil), false},
		"field alone":      {putText("m", "c", nil), false},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr, _ := serveClients(t, func(q *putRequest) { t.Error("taken"); accept(q) })
			cl := dialClient(t, addr)
			io.WriteString(cl, x.text)
			if s := cl.line(); !strings.HasPrefix(s, "-ERR ") {
				t.Fatalf("answer %q", s)
			}
			if x.ends {
				if _, err := cl.in.ReadByte(); !errors.Is(err, io.EOF) {
					t.Errorf("still open: %v", err)
				}
				return
			}
			io.WriteString(cl, "*2\r\n$4\r\nping\r\n$2\r\nhi\r\n")
			if s := cl.line() + cl.line(); s != "$2hi" {
				t.Errorf("out of step: %q", s)
			}
		})
	}
}

func TestParsePutRequest(t *testing.T) {
	now := time.UnixMicro(1e15)
	q, err := testSet(t).parsePutRequest([][]byte{[]byte("MSG.PUT"), nil, []byte("id1"),
		[]byte("c=keyed,t=acme,d=1500.5,k=k1,dest=12,r=1,again=1,new=x"), []byte("b")}, now)
	if err != nil {
		t.Fatal(err)
	}
	if q.class != 1 || q.tenant != 0 || q.record.Dest != 12 || q.record.Key != "k1" || q.record.ID != "id1" ||
		!q.receivedAt.Equal(time.UnixMicro(1e15)) || q.timeLeft != 1500500*time.Microsecond || string(q.record.Body) != "b" {
		t.Errorf("got %+v, %+v", q, q.record)
	}
}

// Guards a client's give-up: one that leaves before its answer has not heard
// that its message was taken on, and may hand it in elsewhere.
func TestClientGoneBeforeAnswer(t *testing.T) {
	got := make(chan *putRequest, 1)
	_, addr, said := serveClients(t, func(q *putRequest) { got <- q })
	cl := dialClient(t, addr)
	io.WriteString(cl, putText("m", fields("plain", 8000, 1), nil))
	q := <-got
	cl.Close()
	if <-said {
		t.Error("held to be heard")
	}
	q.respond(responseOK) // comes too late and blocks nobody
}

// Guards against taking on too late: whoever has waited for as long as clients
// wait hands the message in elsewhere, and is not told that it is taken on here.
func TestTakenOnTooLate(t *testing.T) {
	c, addr, said := serveClients(t, accept)
	c.clientTimeout = 0
	cl := dialClient(t, addr)
	if s := cl.put("m", fields("plain", 8000, 1), nil); s != "-BUSY" {
		t.Errorf("answer %q", s)
	}
	if <-said {
		t.Error("held to be heard")
	}
}

// A client that sends ahead gets its answers in turn.
func TestSentAhead(t *testing.T) {
	first := make(chan *putRequest, 1)
	_, addr, said := serveClients(t, func(q *putRequest) {
		if q.record.ID == "a" {
			first <- q
			return
		}
		q.respond(busyResponse(7))
	})
	cl := dialClient(t, addr)
	io.WriteString(cl, putText("a", fields("plain", 8000, 1), nil)+putText("b", fields("plain", 8000, 1), nil)+"*1\r\n$4\r\nPING\r\n")
	(<-first).respond(responseOK)
	if s := cl.line() + cl.line() + cl.line(); s != "+OK-BUSY 7+PONG" {
		t.Errorf("answers %q", s)
	}
	if heardFirst, heardSecond := <-said, <-said; !heardFirst || !heardSecond {
		t.Error("not held to be heard")
	}
}

// Guards against losing a request to a close: a connection is closed only
// between requests, one with a request under way after its answer.
func TestCloseBetweenRequests(t *testing.T) {
	got := make(chan *putRequest, 1)
	c, addr, _ := serveClients(t, func(q *putRequest) { got <- q })
	idle, busyOne := dialClient(t, addr), dialClient(t, addr)
	io.WriteString(idle, "*1\r\n$4\r\nPING\r\n")
	idle.line()
	io.WriteString(busyOne, putText("m", fields("plain", 8000, 1), nil))
	q := <-got
	c.drainConnections()
	if _, err := idle.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle: %v", err)
	}
	q.respond(responseOK)
	if s := busyOne.line(); s != "+OK" {
		t.Errorf("answer %q", s)
	}
	if _, err := busyOne.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after its answer: %v", err)
	}
}

// Guards the limit on descriptors: past it the connection that was idle for
// longest makes room, and the new one is served.
func TestConnectionsBounded(t *testing.T) {
	c, addr, _ := serveClients(t, accept)
	c.mu.Lock()
	c.maxConns = 2
	c.mu.Unlock()
	var all []*testClient
	for i := range 3 {
		cl := dialClient(t, addr)
		if s := cl.put("m"+strconv.Itoa(i), fields("plain", 8000, 1), nil); s != "+OK" {
			t.Fatal(s)
		}
		all = append(all, cl)
	}
	if _, err := all[0].in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the oldest: %v", err)
	}
	if s := all[1].put("x", fields("plain", 8000, 1), nil); s != "+OK" {
		t.Error(s)
	}
}

// Guards the limit on descriptors against a flood: peers that begin a command and
// do not go on, and peers that are let go and do not leave, make room like idle
// ones. A client that comes meanwhile is served, one that waits for its answer kept.
func TestFloodBounded(t *testing.T) {
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
	io.WriteString(waits, putText("waits", fields("plain", 8000, 1), nil))
	q := <-got
	for i := range 20 {
		peer := dialClient(t, addr)
		if i%2 == 0 {
			io.WriteString(peer, "no command\r\n")
			peer.line() // its error: it is told, and does not leave
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
	if s := dialClient(t, addr).put("m", fields("plain", 8000, 1), nil); s != "+OK" {
		t.Errorf("a client in the flood: %q", s)
	}
	if q.respond(responseOK); waits.line() != "+OK" {
		t.Error("the one that waits for its answer has none")
	}
}

// Guards the limit on descriptors: one that was let go just as a request began
// is answered, and then closed, since it is counted no longer.
func TestReleaseAsRequestBegins(t *testing.T) {
	c := newClientServer(testSet(t), quietLog(), accept, func(*putRequest, bool) {})
	near, far := net.Pipe()
	defer far.Close()
	cc := &clientConn{Conn: near}
	c.conns[cc] = true
	c.evictConnection()
	c.beginRequest(cc)
	c.finishCommandRead(cc)
	c.finishRequest(cc)
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("it stays open and is counted no longer: %v", err)
	}
}

// Guards against closing unheard: what has come when the wait for a next
// request ends is answered first, and the connection is closed only then.
func TestReleasedUnheard(t *testing.T) {
	c := newClientServer(testSet(t), quietLog(), accept, func(*putRequest, bool) {})
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
	io.WriteString(cl, putText("m", fields("plain", 8000, 1), nil))
	waitFor(t, "the request", func() bool { return hasUnreadBytes(conn) })
	c.drainConnections() // the reader has not begun
	go func() { c.serveConnection(cc); conn.Close() }()
	if s := cl.line(); s != "+OK" {
		t.Errorf("answer %q", s)
	}
	if _, err := cl.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the answer: %v", err)
	}
}

// Guards the places of clients against those that begin a command and never
// end it. One that waits between commands, or for its answer, is left alone.
func TestHalfACommand(t *testing.T) {
	got := make(chan *putRequest, 1)
	c := newClientServer(testSet(t), quietLog(), func(q *putRequest) { got <- q }, func(*putRequest, bool) {})
	c.commandTimeout = 300 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go c.serve(ln)
	waits, half := dialClient(t, ln.Addr().String()), dialClient(t, ln.Addr().String())
	io.WriteString(waits, putText("m", fields("plain", 8000, 1), nil))
	q := <-got
	io.WriteString(half, "*5\r\n$7\r\nMSG")
	if _, err := half.in.ReadByte(); err == nil {
		t.Error("half a command is answered")
	}
	q.respond(responseOK) // later than the patience with the other
	if s := waits.line(); s != "+OK" {
		t.Errorf("answer %q", s)
	}
}

// Guards the places of clients against peers that say nothing, nothing proper,
// or nothing after a PING. One that has handed in a message may stand idle.
func TestSilentPeer(t *testing.T) {
	c := newClientServer(testSet(t), quietLog(), accept, func(*putRequest, bool) {})
	c.commandTimeout = 300 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go c.serve(ln)
	client, silent := dialClient(t, ln.Addr().String()), dialClient(t, ln.Addr().String())
	rude, pinged := dialClient(t, ln.Addr().String()), dialClient(t, ln.Addr().String())
	if s := client.put("a", fields("plain", 8000, 1), nil); s != "+OK" {
		t.Errorf("a client: %q", s)
	}
	io.WriteString(rude, "*1\r\n$3\r\nGET\r\n")
	if s := rude.line(); !strings.HasPrefix(s, "-ERR ") {
		t.Errorf("a rude peer: %q", s)
	}
	io.WriteString(pinged, "*1\r\n$4\r\nPING\r\n")
	if s := pinged.line(); s != "+PONG" {
		t.Errorf("a PING: %q", s)
	}
	for name, peer := range map[string]*testClient{"silent": silent, "rude": rude, "pinged": pinged} {
		if _, err := peer.in.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if s := client.put("b", fields("plain", 8000, 1), nil); s != "+OK" { // idle for longer than the patience
		t.Errorf("a client: %q", s)
	}
}

func FuzzReadCommand(f *testing.F) {
	f.Add([]byte(putText("m", "c=plain", []byte("b"))))
	f.Add([]byte("*1\r\n$4\r\nPING\r\n"))
	f.Add([]byte("*2\r\n$-1\r\n$"))
	cfg := &Config{classes: map[string]int{}, tenants: map[string]int{}}
	f.Fuzz(func(t *testing.T, b []byte) {
		args, err := readCommand(bufio.NewReader(strings.NewReader(string(b))))
		if err != nil {
			return
		}
		if len(args) == 0 || len(args) > maxArguments {
			t.Fatalf("%d arguments", len(args))
		}
		cfg.parsePutRequest(args, time.Now())
	})
}

// crossing is a server's side of a connection on which bytes come in the very
// moment in which it is shut or closed.
type crossing struct {
	*net.TCPConn
	cross func() // sends them, and returns once they are there
}

func (c *crossing) CloseWrite() error {
	c.cross()
	return c.TCPConn.CloseWrite()
}

func (c *crossing) Close() error {
	c.cross()
	return c.TCPConn.Close()
}

// serveCrossing talks on one connection whose client sends text just as the
// relay lets go of it.
func serveCrossing(t *testing.T, put func(*putRequest), text string) (*clientServer, *testClient) {
	t.Helper()
	c := newClientServer(testSet(t), quietLog(), put, func(*putRequest, bool) {})
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
	x := &crossing{TCPConn: conn.(*net.TCPConn)}
	x.cross = sync.OnceFunc(func() {
		io.WriteString(cl, text)
		waitFor(t, "the crossing bytes", func() bool { return hasUnreadBytes(x.TCPConn) })
	})
	c.startConnection(x)
	return c, cl
}

// Guards the answer of a request against the close of its connection: what its
// client sends as the relay closes is dropped, and resets nothing.
func TestAnswerOutlivesClose(t *testing.T) {
	var taken atomic.Int32
	got := make(chan *putRequest, 2)
	c, cl := serveCrossing(t, func(q *putRequest) { taken.Add(1); got <- q },
		putText("b", fields("plain", 8000, 1), nil)+putText("c", fields("plain", 8000, 1), make([]byte, maxBodyBytes)))
	io.WriteString(cl, putText("a", fields("plain", 8000, 1), nil))
	q := <-got
	c.drainConnections()
	q.respond(responseOK)
	if s := cl.line(); s != "+OK" {
		t.Errorf("answer %q", s)
	}
	if _, err := cl.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the answer: %v, want an end and no reset", err)
	}
	cl.Close()
	waitFor(t, "the end of the connection", func() bool { return c.connectionCount() == 0 })
	if n := taken.Load(); n != 1 {
		t.Errorf("%d requests taken, want the first alone", n)
	}
}

// The same for a resting connection that is let go: the request that crosses
// the close is dropped whole, and its client hears of the end, not of a reset.
func TestRequestCrossesClose(t *testing.T) {
	var taken atomic.Int32
	c, cl := serveCrossing(t, func(q *putRequest) { taken.Add(1); accept(q) }, putText("b", fields("plain", 8000, 1), nil))
	if s := cl.put("a", fields("plain", 8000, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	c.drainConnections()
	if _, err := cl.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("%v, want an end and no reset", err)
	}
	cl.Close()
	waitFor(t, "the end of the connection", func() bool { return c.connectionCount() == 0 })
	if n := taken.Load(); n != 1 {
		t.Errorf("%d requests taken, want the first alone", n)
	}
}

// The same for one that has to make room for another, with no time to wait.
func TestMadeRoomWithoutReset(t *testing.T) {
	c, cl := serveCrossing(t, accept, putText("b", fields("plain", 8000, 1), nil))
	if s := cl.put("a", fields("plain", 8000, 1), nil); s != "+OK" {
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

// The end of the server closes connections in every state and waits for their
// goroutines: one that rests, one whose message has no answer yet, and one that
// was evicted within a command. A connection that comes later is closed unread.
func TestServerClose(t *testing.T) {
	submitted := make(chan *putRequest, 1)
	c, addr, _ := serveClients(t, func(q *putRequest) { submitted <- q })
	idle, waiting, evicted := dialClient(t, addr), dialClient(t, addr), dialClient(t, addr)
	io.WriteString(idle, "*1\r\n$4\r\nPING\r\n")
	idle.line()
	io.WriteString(waiting, putText("m", fields("plain", 8000, 1), nil))
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
