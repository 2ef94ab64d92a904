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

// parseTestConfig returns a parsed configuration with testSettings.
func parseTestConfig(t *testing.T) *Config {
	t.Helper()
	c, err := parseConfig([]byte(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","state":"x","seed":"1","settings":`+
		testSettings+`}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newTestCall returns a call without endpoint and transport, with one message that has no
// record.
func newTestCall() *call {
	ctx, stop := context.WithCancelCause(context.Background())
	return &call{messages: []callMessage{{message: &message{}}}, ctx: ctx, cancel: stop}
}

// runSingleCall makes a call with a single message and returns its outcome.
func runSingleCall(c *call, transport *http.Transport, addr string, rec *wal.Record, limit time.Duration) outcome {
	return c.run(transport, addr, []*wal.Record{rec}, limit, nil)[0]
}

// newTestTransport returns a transport with the test settings that keeps at most maxIdle idle
// connections.
func newTestTransport(t *testing.T, maxIdle int) *http.Transport {
	cfg := parseTestConfig(t)
	return newTransport(cfg, maxIdle, maxIdleTime(&cfg.Policy))
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
	respondWith := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			if readCall(bufio.NewReader(c)) {
				io.WriteString(c, text)
			}
		}
	}
	for name, test := range map[string]struct {
		serve              func(net.Conn)
		wantKind           policy.Outcome
		wantRetryAfter     policy.Time
		wantCallsExhausted bool
		wantFinal          bool
	}{
		"delivered":          {serve: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), wantKind: policy.Delivered, wantFinal: true},
		"200, body cut":      {serve: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), wantKind: policy.Delivered, wantFinal: true},
		"500":                {serve: respondWith("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), wantKind: policy.Errored},
		"429, wait":          {serve: respondWith("HTTP/1.1 429 W\r\nRetry-After: 0.75\r\nContent-Length: 0\r\n\r\n"), wantKind: policy.Rejected, wantRetryAfter: 750000},
		"503":                {serve: respondWith("HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n"), wantKind: policy.Rejected},
		"503, slots taken":   {serve: respondWith("HTTP/1.1 503 F\r\nSlots-Taken: 1\r\nContent-Length: 0\r\n\r\n"), wantKind: policy.NotSent, wantCallsExhausted: true},
		"504":                {serve: respondWith("HTTP/1.1 504 A\r\nContent-Length: 0\r\n\r\n"), wantKind: policy.NotSent},
		"410":                {serve: respondWith("HTTP/1.1 410 G\r\nContent-Length: 0\r\n\r\n"), wantKind: policy.NotSent, wantFinal: true},
		"unknown status":     {serve: respondWith("HTTP/1.1 418 T\r\nContent-Length: 0\r\n\r\n"), wantKind: policy.Errored},
		"redirect":           {serve: respondWith("HTTP/1.1 307 R\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"), wantKind: policy.Errored},
		"no response":        {serve: respondWith(""), wantKind: policy.ConnectionReset},
		"not HTTP":           {serve: respondWith("what?\r\n\r\n"), wantKind: policy.Errored},
		"garbled status":     {serve: respondWith("HTTP/1.1 2x0 OK\r\n\r\n"), wantKind: policy.Errored},
		"200, head cut":      {serve: respondWith("HTTP/1.1 200 OK\r\nContent-Le"), wantKind: policy.Delivered, wantFinal: true},
		"200, head garbled":  {serve: respondWith("HTTP/1.1 200 OK\r\nno colon\r\n\r\n"), wantKind: policy.Delivered, wantFinal: true},
		"500, head cut":      {serve: respondWith("HTTP/1.1 500 E\r\nContent-Le"), wantKind: policy.ConnectionReset},
		"half a status line": {serve: respondWith("HTTP/1.1 200 O"), wantKind: policy.ConnectionReset},
		"half a status code": {serve: respondWith("HTTP/1.1 20"), wantKind: policy.ConnectionReset},
		"100, then 200":      {serve: respondWith("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), wantKind: policy.Delivered, wantFinal: true},
	} {
		t.Run(name, func(t *testing.T) {
			transport := newTestTransport(t, 2)
			defer transport.CloseIdleConnections()
			o := runSingleCall(newTestCall(), transport, startRawEndpoint(t, test.serve), &wal.Record{ID: "m", Key: "k", Body: []byte("b")}, testCallTimeout)
			if o.kind != test.wantKind || o.retryAfter != test.wantRetryAfter || o.callsExhausted != test.wantCallsExhausted || o.isFinal != test.wantFinal {
				t.Errorf("got %+v", o)
			}
		})
	}
}

// A call may be reported as not run only if that is certain. A refused connection carried
// nothing, but if the endpoint does not answer a sent call, the message may have run.
func TestCallWithoutResponseMapsToOutcome(t *testing.T) {
	transport := newTestTransport(t, 2)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusedAddr := ln.Addr().String()
	ln.Close()
	if o := runSingleCall(newTestCall(), transport, refusedAddr, &wal.Record{ID: "m"}, testCallTimeout); o.kind != policy.ConnectFailed {
		t.Errorf("refused connection: outcome %+v", o)
	}
	closedByCaller := make(chan struct{}, 2)
	received := make(chan struct{}, 2)
	silentAddr := startRawEndpoint(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		readCall(in)
		received <- struct{}{}
		in.ReadByte() // returns when the caller closes the connection
		closedByCaller <- struct{}{}
	})
	if o := runSingleCall(newTestCall(), transport, silentAddr, &wal.Record{ID: "m"}, 50*time.Millisecond); o.kind != policy.TimedOut {
		t.Errorf("endpoint that does not answer: outcome %+v", o)
	}
	<-received
	<-closedByCaller // the timeout must close the connection
	c := newTestCall()
	go func() { <-received; c.cancel(errCancelled) }()
	if o := runSingleCall(c, transport, silentAddr, &wal.Record{ID: "m"}, testCallTimeout); o.kind != policy.Cancelled {
		t.Errorf("cancelled call: outcome %+v", o)
	}
	<-closedByCaller
}

// A response with status 200 whose header or body never ends counts as delivered, and the
// call must not keep its connection and call slot.
func TestUnfinishedOKResponseCountsAsDelivered(t *testing.T) {
	for name, text := range map[string]string{
		"header":              "HTTP/1.1 200 OK\r\nContent-",
		"body":                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
		"body without length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			addr := startRawEndpoint(t, func(conn net.Conn) {
				if readCall(bufio.NewReader(conn)) {
					io.WriteString(conn, text)
					io.Copy(io.Discard, conn) // returns when the relay closes the connection
				}
				close(closed)
			})
			transport := newTestTransport(t, 2)
			defer transport.CloseIdleConnections()
			c, limit := newTestCall(), time.Hour
			defer c.cancel(nil)
			done := make(chan outcome, 1)
			go func() { done <- runSingleCall(c, transport, addr, &wal.Record{ID: "m"}, limit) }()
			waitFor(t, "the outcome", func() bool { return len(done) > 0 })
			if o := <-done; o.kind != policy.Delivered || !o.isFinal {
				t.Errorf("got %+v", o)
			}
			waitFor(t, "the end of the connection", func() bool {
				select {
				case <-closed:
					return true
				default:
					return false
				}
			})
		})
	}
}

// The call of a batch must go on when one of its messages is dropped, since the others share
// it, and must be cancelled when the last one is dropped.
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

// If the connection of a call is established only after the latest time to send, nothing may
// be sent, and the call must be reported as not sent.
func TestConnectionAfterSendByTimeSendsNothing(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	transport := newTestTransport(t, 2)
	defer transport.CloseIdleConnections()
	c := newTestCall()
	c.sendBy = time.Now().Add(50 * time.Millisecond)
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := net.Dial(network, addr)
		waitFor(t, "the latest time to send", func() bool { return !time.Now().Before(c.sendBy) })
		return &endpointConn{Conn: conn}, err
	}
	if o := runSingleCall(c, transport, ep.addr(), &wal.Record{ID: "m"}, testCallTimeout); o.kind != policy.NotSent {
		t.Errorf("got %+v", o)
	}
	transport.CloseIdleConnections()
	if n := ep.callCount("m"); n != 0 {
		t.Errorf("the call was sent %d times, want 0", n)
	}
}

// A call that still waits for its connection when its endpoint begins to drain must not be
// sent once the connection is established.
func TestDrainStopsOnlyCallsWaitingForConnection(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	dialing, release, connected := make(chan struct{}), make(chan struct{}), make(chan struct{})
	transport := newTestTransport(t, 2)
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		close(dialing)
		<-release
		defer close(connected)
		return net.Dial(network, addr)
	}
	defer transport.CloseIdleConnections()
	c := newTestCall()
	go func() { <-dialing; c.cancelIfWaiting(errEndpointDraining) }()
	o := runSingleCall(c, transport, ep.addr(), &wal.Record{ID: "m"}, testCallTimeout)
	if o.kind != policy.NotSent || o.latency > testCallTimeout.Microseconds()/2 {
		t.Errorf("got %+v", o)
	}
	close(release)
	<-connected
	transport.CloseIdleConnections()
	if n := ep.callCount("m"); n != 0 {
		t.Errorf("the call was sent %d times, want 0", n)
	}
	// The drain may also begin just when the connection is established.
	stoppedCall := newTestCall()
	stoppedCall.stage.Store(callStopped)
	lateTransport := newTestTransport(t, 2)
	defer lateTransport.CloseIdleConnections()
	if o := runSingleCall(stoppedCall, lateTransport, ep.addr(), &wal.Record{ID: "late"}, testCallTimeout); o.kind != policy.NotSent || ep.callCount("late") != 0 {
		t.Errorf("outcome %+v and %d calls, want not sent and no call", o, ep.callCount("late"))
	}
	// A call that is being sent must not be stopped.
	sendingCall := newTestCall()
	sendingCall.stage.Store(callSending)
	if sendingCall.cancelIfWaiting(errEndpointDraining); sendingCall.ctx.Err() != nil {
		t.Error("a call that is being sent was stopped")
	}
}

// A call that waits for its connection must not carry a message that was completed
// meanwhile. The call is stopped before anything is sent, and all its messages are reported
// with ConnectFailed, so that the others may be retried.
func TestCompletedMessageIsNotSentByWaitingCall(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	dialing, release, connected := make(chan struct{}), make(chan struct{}), make(chan struct{})
	transport := newTestTransport(t, 2)
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		close(dialing)
		<-release
		defer close(connected)
		return net.Dial(network, addr)
	}
	c := newTestCall()
	completed := &message{}
	c.messages = []callMessage{{message: completed}, {message: &message{}}}
	go func() { <-dialing; c.dropMessage(completed) }()
	for _, o := range c.run(transport, ep.addr(), []*wal.Record{{ID: "over"}, {ID: "other"}}, testCallTimeout, nil) {
		if o.kind != policy.ConnectFailed || o.latency > testCallTimeout.Microseconds()/2 {
			t.Errorf("got %+v", o)
		}
	}
	close(release)
	<-connected
	transport.CloseIdleConnections()
	if n := ep.callCount("over"); n != 0 {
		t.Errorf("the completed message was sent %d times, want 0", n)
	}
	// It may also be completed just when the connection is established.
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

// A Retry-After must stop the calls to the same destination that still wait for their
// connection. Calls to other destinations, and calls that are being sent, must go on. A call
// of a batch that the policy sent before the Retry-After must not start.
func TestRetryAfterStopsCallsThatWaitForConnection(t *testing.T) {
	r := newTestRelay(t)
	addEndpoint := func(id string, cell int) *endpoint {
		r.updateMember(&discovery.Member{ID: id, HostPort: "127.0.0.1:1", Flavor: "k", Cell: cell, Phase: discovery.Up})
		return r.endpoints.byID[id]
	}
	rejecting, sameDest, otherDest := addEndpoint("one", 1), addEndpoint("twin", 1), addEndpoint("other", 2)
	startCall := func(ep *endpoint, stage int32) *call {
		m := r.newMessage(&wal.Record{ID: fmt.Sprint(len(r.messages.byNumber)), Class: "plain", Dest: ep.cell})
		c := newTestCall()
		c.endpoint, c.transport, c.messages = ep, ep.transport, []callMessage{{message: m}}
		c.stage.Store(stage)
		ep.calls[c] = true
		return c
	}
	rejectedCall := startCall(rejecting, callWritten)
	calls := map[*call]bool{startCall(rejecting, callWaiting): true, startCall(sameDest, callWaiting): true,
		startCall(rejecting, callSending): false, startCall(otherDest, callWaiting): false}
	r.finishCall(rejectedCall, []outcome{{kind: policy.Rejected, status: http.StatusTooManyRequests, retryAfter: 600e6}})
	for c, stopped := range calls {
		if got := c.ctx.Err() != nil; got != stopped || got && c.classifyError(c.ctx, nil) != policy.NotSent {
			t.Errorf("call to %s in stage %d: stopped %v", c.endpoint.id, c.stage.Load(), got)
		}
	}
	// The policy sent this batch before the Retry-After arrived, but its call starts only now, as
	// its message was not acknowledged before.
	lateMessage := r.newMessage(&wal.Record{ID: "late", Class: "plain", Dest: 1})
	lateMessage.isAcknowledged = true
	b := &batch{endpoint: sameDest, sends: []send{{message: lateMessage, timeoutAt: r.clock.now() + 900e6}}}
	lateMessage.pendingBatch = b
	if r.startBatch(b); lateMessage.call != nil || len(sameDest.calls) != 1 {
		t.Error("a call was started during the Retry-After time")
	}
}
