package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

func parseTestConfig(t *testing.T) *Config {
	t.Helper()
	c, err := parseConfig([]byte(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","state":"x","seed":"1","settings":`+
		testSettings+`}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newTestCall() *call {
	ctx, stop := context.WithCancelCause(context.Background())
	return &call{messages: []callMessage{{message: &message{}}}, ctx: ctx, cancel: stop}
}

// runSingleCall makes a call with a single message and returns its outcome.
func runSingleCall(c *call, conns *http.Transport, addr string, rec *wal.Record, limit time.Duration) outcome {
	return c.run(conns, addr, []*wal.Record{rec}, limit, nil)[0]
}

func newTestTransport(t *testing.T, idle int) *http.Transport {
	cfg := parseTestConfig(t)
	return newTransport(cfg, idle, maxIdleTime(&cfg.Policy))
}

const testCallTimeout = 20 * time.Second

// startRawEndpoint starts a TCP server that passes each connection to serve, for responses
// that no HTTP server sends. It returns the address.
func startRawEndpoint(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); serve(conn) }()
		}
	}()
	return ln.Addr().String()
}

// readCall reads one HTTP request and reports whether it was complete.
func readCall(in *bufio.Reader) bool {
	req, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// Each response to a call with a single message must give the outcome of the protocol.
func TestSingleCallResponseMapsToOutcome(t *testing.T) {
	say := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			if readCall(bufio.NewReader(c)) {
				io.WriteString(c, text)
			}
		}
	}
	for name, x := range map[string]struct {
		serve   func(net.Conn)
		what    policy.Outcome
		wait    policy.Time
		slots   bool
		settled bool
	}{
		"delivered":          {serve: say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), what: policy.Delivered, settled: true},
		"200, body cut":      {serve: say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), what: policy.Delivered, settled: true},
		"500":                {serve: say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), what: policy.Errored},
		"429, wait":          {serve: say("HTTP/1.1 429 W\r\nRetry-After: 0.75\r\nContent-Length: 0\r\n\r\n"), what: policy.Rejected, wait: 750000},
		"503":                {serve: say("HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n"), what: policy.Rejected},
		"503, slots taken":   {serve: say("HTTP/1.1 503 F\r\nSlots-Taken: 1\r\nContent-Length: 0\r\n\r\n"), what: policy.NotSent, slots: true},
		"504":                {serve: say("HTTP/1.1 504 A\r\nContent-Length: 0\r\n\r\n"), what: policy.NotSent},
		"410":                {serve: say("HTTP/1.1 410 G\r\nContent-Length: 0\r\n\r\n"), what: policy.NotSent, settled: true},
		"unknown status":     {serve: say("HTTP/1.1 418 T\r\nContent-Length: 0\r\n\r\n"), what: policy.Errored},
		"redirect":           {serve: say("HTTP/1.1 307 R\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"), what: policy.Errored},
		"no response":        {serve: say(""), what: policy.ConnectionReset},
		"not HTTP":           {serve: say("what?\r\n\r\n"), what: policy.Errored},
		"garbled status":     {serve: say("HTTP/1.1 2x0 OK\r\n\r\n"), what: policy.Errored},
		"200, head cut":      {serve: say("HTTP/1.1 200 OK\r\nContent-Le"), what: policy.Delivered, settled: true},
		"200, head garbled":  {serve: say("HTTP/1.1 200 OK\r\nno colon\r\n\r\n"), what: policy.Delivered, settled: true},
		"500, head cut":      {serve: say("HTTP/1.1 500 E\r\nContent-Le"), what: policy.ConnectionReset},
		"half a status line": {serve: say("HTTP/1.1 200 O"), what: policy.ConnectionReset},
		"half a status code": {serve: say("HTTP/1.1 20"), what: policy.ConnectionReset},
		"100, then 200":      {serve: say("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), what: policy.Delivered, settled: true},
	} {
		t.Run(name, func(t *testing.T) {
			conns := newTestTransport(t, 2)
			defer conns.CloseIdleConnections()
			o := runSingleCall(newTestCall(), conns, startRawEndpoint(t, x.serve), &wal.Record{ID: "m", Key: "k", Body: []byte("b")}, testCallTimeout)
			if o.kind != x.what || o.retryAfter != x.wait || o.callsExhausted != x.slots || o.isFinal != x.settled {
				t.Errorf("got %+v", o)
			}
		})
	}
}

// A call may be reported as not run only if that is certain. A refused connection carried
// nothing, but if the endpoint does not answer a sent call, the message may have run.
func TestCallWithoutResponseMapsToOutcome(t *testing.T) {
	conns := newTestTransport(t, 2)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := ln.Addr().String()
	ln.Close()
	if o := runSingleCall(newTestCall(), conns, refused, &wal.Record{ID: "m"}, testCallTimeout); o.kind != policy.ConnectFailed {
		t.Errorf("refused: %+v", o)
	}
	gone := make(chan struct{}, 2)
	entered := make(chan struct{}, 2)
	silent := startRawEndpoint(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		readCall(in)
		entered <- struct{}{}
		in.ReadByte() // returns when the caller closes the connection
		gone <- struct{}{}
	})
	if o := runSingleCall(newTestCall(), conns, silent, &wal.Record{ID: "m"}, 50*time.Millisecond); o.kind != policy.TimedOut {
		t.Errorf("silent: %+v", o)
	}
	<-entered
	<-gone // the timeout must close the connection
	c := newTestCall()
	go func() { <-entered; c.cancel(errCancelled) }()
	if o := runSingleCall(c, conns, silent, &wal.Record{ID: "m"}, testCallTimeout); o.kind != policy.Cancelled {
		t.Errorf("cancelled: %+v", o)
	}
	<-gone
}

// A response with status 200 whose header or body never ends counts as delivered, and the
// call must not keep its connection and call slot.
func TestUnfinishedOKResponseCountsAsDelivered(t *testing.T) {
	for name, text := range map[string]string{
		"header": "HTTP/1.1 200 OK\r\nContent-",
		"body": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
		"body without length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			addr := startRawEndpoint(t, func(conn net.Conn) {
				if readCall(bufio.NewReader(conn)) {
					io.WriteString(conn, text)
					io.Copy(io.Discard, conn) // returns when the relay closes the connection
				}
				close(ended)
			})
			conns := newTestTransport(t, 2)
			defer conns.CloseIdleConnections()
			c, limit := newTestCall(), time.Hour
			defer c.cancel(nil)
			done := make(chan outcome, 1)
			go func() { done <- runSingleCall(c, conns, addr, &wal.Record{ID: "m"}, limit) }()
			waitFor(t, "the outcome", func() bool { return len(done) > 0 })
			if o := <-done; o.kind != policy.Delivered || !o.isFinal {
				t.Errorf("got %+v", o)
			}
			waitFor(t, "the end of the connection", func() bool {
				select {
				case <-ended:
					return true
				default:
					return false
				}
			})
		})
	}
}

// A batch goes on when one of its messages is dropped, since the others share its
// connection; it ends when the last one is dropped.
func TestBatchIsCancelledOnlyWhenAllMessagesAreDropped(t *testing.T) {
	a, b := &message{}, &message{}
	c := newTestCall()
	c.messages = []callMessage{{message: a}, {message: b}}
	c.stage.Store(callWritten)
	if c.dropMessage(a); c.ctx.Err() != nil {
		t.Error("dropping one message cancelled the call of the other")
	}
	if c.dropMessage(b); context.Cause(c.ctx) != errCancelled {
		t.Errorf("all messages are dropped, but the call was not cancelled: %v", context.Cause(c.ctx))
	}
}

// A connection that comes up after the latest time to send carries nothing, and the
// call is reported as not sent.
func TestConnectionAfterSendByTimeSendsNothing(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	conns := newTestTransport(t, 2)
	defer conns.CloseIdleConnections()
	c := newTestCall()
	c.sendBy = time.Now().Add(50 * time.Millisecond)
	conns.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := net.Dial(network, addr)
		waitFor(t, "the latest time to send", func() bool { return !time.Now().Before(c.sendBy) })
		return &endpointConn{Conn: conn}, err
	}
	if o := runSingleCall(c, conns, ep.addr(), &wal.Record{ID: "m"}, testCallTimeout); o.kind != policy.NotSent {
		t.Errorf("got %+v", o)
	}
	conns.CloseIdleConnections()
	if n := ep.callCount("m"); n != 0 {
		t.Errorf("the call was sent %d times, want 0", n)
	}
}

// A call that waits for its connection when its endpoint begins to drain must not be
// sent when the connection is up.
func TestDrainStopsOnlyCallsWaitingForConnection(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	dialing, release, up := make(chan struct{}), make(chan struct{}), make(chan struct{})
	conns := newTestTransport(t, 2)
	conns.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		close(dialing)
		<-release
		defer close(up)
		return net.Dial(network, addr)
	}
	defer conns.CloseIdleConnections()
	c := newTestCall()
	go func() { <-dialing; c.cancelIfWaiting(errEndpointDraining) }()
	o := runSingleCall(c, conns, ep.addr(), &wal.Record{ID: "m"}, testCallTimeout)
	if o.kind != policy.NotSent || o.latency > testCallTimeout.Microseconds()/2 {
		t.Errorf("got %+v", o)
	}
	close(release)
	<-up
	conns.CloseIdleConnections()
	if n := ep.callCount("m"); n != 0 {
		t.Errorf("the call was sent %d times, want 0", n)
	}
	// The drain may also begin just as the connection comes up.
	late := newTestCall()
	late.stage.Store(callStopped)
	tr := newTestTransport(t, 2)
	defer tr.CloseIdleConnections()
	if o := runSingleCall(late, tr, ep.addr(), &wal.Record{ID: "late"}, testCallTimeout); o.kind != policy.NotSent || ep.callCount("late") != 0 {
		t.Errorf("outcome %+v and %d calls, want not sent and no call", o, ep.callCount("late"))
	}
	// A call that is being sent must not be stopped.
	under := newTestCall()
	under.stage.Store(callSending)
	if under.cancelIfWaiting(errEndpointDraining); under.ctx.Err() != nil {
		t.Error("a call that is being sent was stopped")
	}
}

// A call that waits for its connection must not carry a message that was completed
// meanwhile. The others in it are reported as not sent and may be retried.
func TestCompletedMessageIsNotSentByWaitingCall(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	dialing, release, up := make(chan struct{}), make(chan struct{}), make(chan struct{})
	conns := newTestTransport(t, 2)
	conns.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		close(dialing)
		<-release
		defer close(up)
		return net.Dial(network, addr)
	}
	c := newTestCall()
	over := &message{}
	c.messages = []callMessage{{message: over}, {message: &message{}}}
	go func() { <-dialing; c.dropMessage(over) }()
	for _, o := range c.run(conns, ep.addr(), []*wal.Record{{ID: "over"}, {ID: "other"}}, testCallTimeout, nil) {
		if o.kind != policy.ConnectFailed || o.latency > testCallTimeout.Microseconds()/2 {
			t.Errorf("got %+v", o)
		}
	}
	close(release)
	<-up
	conns.CloseIdleConnections()
	if n := ep.callCount("over"); n != 0 {
		t.Errorf("the completed message was sent %d times, want 0", n)
	}
	// It may also be completed just as the connection comes up.
	ctx, cancel := context.WithCancel(t.Context())
	req, err := newCallRequest(ctx, ep.addr(), []*wal.Record{{ID: "over", Body: []byte("text")}}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if n, err := req.Body.Read(make([]byte, 8)); n != 0 || err == nil {
		t.Errorf("%d bytes of a cancelled call were sent, error %v", n, err)
	}
}

// A Retry-After stops calls to the same destination that still wait for their
// connection. Calls elsewhere, and those being sent already, go on.
func TestRetryAfterStopsWaitingCallsToDestination(t *testing.T) {
	r := newTestRelay(t)
	add := func(id string, cell int) *endpoint {
		r.updateMember(&discovery.Member{ID: id, HostPort: "127.0.0.1:1", Flavor: "k", Cell: cell, Phase: discovery.Up})
		return r.endpoints.byID[id]
	}
	one, twin, other := add("one", 1), add("twin", 1), add("other", 2)
	begin := func(ep *endpoint, stage int32) *call {
		m := r.newMessage(&wal.Record{ID: fmt.Sprint(len(r.messages.byNumber)), Class: "plain", Dest: ep.cell})
		c := newTestCall()
		c.endpoint, c.transport, c.messages = ep, ep.transport, []callMessage{{message: m}}
		c.stage.Store(stage)
		ep.calls[c] = true
		return c
	}
	told := begin(one, callWritten)
	calls := map[*call]bool{begin(one, callWaiting): true, begin(twin, callWaiting): true,
		begin(one, callSending): false, begin(other, callWaiting): false}
	r.finishCall(told, []outcome{{kind: policy.Rejected, status: http.StatusTooManyRequests, retryAfter: 600e6}})
	for c, stopped := range calls {
		if got := c.ctx.Err() != nil; got != stopped || got && c.classifyError(c.ctx, nil) != policy.NotSent {
			t.Errorf("call to %s in stage %d: stopped %v", c.endpoint.id, c.stage.Load(), got)
		}
	}
	// The policy sent this batch before the Retry-After arrived, but its call starts only now, as
	// its message was not acknowledged before.
	late := r.newMessage(&wal.Record{ID: "late", Class: "plain", Dest: 1})
	late.isAcknowledged = true
	b := &batch{endpoint: twin, sends: []send{{message: late, timeoutAt: r.clock.now() + 900e6}}}
	late.pendingBatch = b
	if r.startBatch(b); late.call != nil || len(twin.calls) != 1 {
		t.Error("a call was started during the Retry-After time")
	}
}
