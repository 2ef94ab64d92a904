package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

func testSet(t *testing.T) *Config {
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

// runOne makes a call that carries one message.
func runOne(c *call, conns *http.Transport, addr string, rec *wal.Record, limit time.Duration) outcome {
	return c.run(conns, addr, []*wal.Record{rec}, limit, nil)[0]
}

func testConns(t *testing.T, idle int) *http.Transport {
	cfg := testSet(t)
	return newTransport(cfg, idle, maxIdleTime(&cfg.Policy))
}

const testLimit = 20 * time.Second

// rawEndpoint serves connections by hand, for what no HTTP server does.
func rawEndpoint(t *testing.T, serve func(net.Conn)) string {
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

// readCall reads one whole call off a connection.
func readCall(in *bufio.Reader) bool {
	req, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func TestOutcomes(t *testing.T) {
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
		"delivered, cut":     {serve: say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), what: policy.Delivered, settled: true},
		"error":              {serve: say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), what: policy.Errored},
		"told to wait":       {serve: say("HTTP/1.1 429 W\r\nRetry-After: 0.75\r\nContent-Length: 0\r\n\r\n"), what: policy.Rejected, wait: 750000},
		"full":               {serve: say("HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n"), what: policy.Rejected},
		"slots taken":        {serve: say("HTTP/1.1 503 F\r\nSlots-Taken: 1\r\nContent-Length: 0\r\n\r\n"), what: policy.NotSent, slots: true},
		"attempts used up":   {serve: say("HTTP/1.1 504 A\r\nContent-Length: 0\r\n\r\n"), what: policy.NotSent},
		"over":               {serve: say("HTTP/1.1 410 G\r\nContent-Length: 0\r\n\r\n"), what: policy.NotSent, settled: true},
		"no page names it":   {serve: say("HTTP/1.1 418 T\r\nContent-Length: 0\r\n\r\n"), what: policy.Errored},
		"no redirect":        {serve: say("HTTP/1.1 307 R\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"), what: policy.Errored},
		"broken after":       {serve: say(""), what: policy.ConnectionReset},
		"nonsense":           {serve: say("what?\r\n\r\n"), what: policy.Errored},
		"garbled status":     {serve: say("HTTP/1.1 2x0 OK\r\n\r\n"), what: policy.Errored},
		"200, head cut":      {serve: say("HTTP/1.1 200 OK\r\nContent-Le"), what: policy.Delivered, settled: true},
		"200, head garbled":  {serve: say("HTTP/1.1 200 OK\r\nno colon\r\n\r\n"), what: policy.Delivered, settled: true},
		"500, head cut":      {serve: say("HTTP/1.1 500 E\r\nContent-Le"), what: policy.ConnectionReset},
		"half a first line":  {serve: say("HTTP/1.1 200 O"), what: policy.ConnectionReset},
		"half an answer":     {serve: say("HTTP/1.1 20"), what: policy.ConnectionReset},
		"first a hint, then": {serve: say("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), what: policy.Delivered, settled: true},
	} {
		t.Run(name, func(t *testing.T) {
			conns := testConns(t, 2)
			defer conns.CloseIdleConnections()
			o := runOne(newTestCall(), conns, rawEndpoint(t, x.serve), &wal.Record{ID: "m", Key: "k", Body: []byte("b")}, testLimit)
			if o.kind != x.what || o.retryAfter != x.wait || o.callsExhausted != x.slots || o.isFinal != x.settled {
				t.Errorf("got %+v", o)
			}
		})
	}
}

// Guards the batch call: its form, and that each message gets the outcome that
// the answer names for it. What the answer does not tell may have run.
func TestBatchOutcomes(t *testing.T) {
	const ok = `[{"id":"b","state":"fault"},{"id":"a","state":"accepted"},{"id":"c","state":"deferred"},{"id":"d","state":"expired"},{"id":"e","state":"no_more"}]`
	body := func(head, text string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(text), text)
	}
	same := func(o policy.Outcome) []policy.Outcome { return slices.Repeat([]policy.Outcome{o}, 6) }
	for name, x := range map[string]struct {
		answer string
		what   []policy.Outcome
		wait   policy.Time
	}{
		"told apart": {answer: body("200 OK\r\nRetry-After: 0.5", ok), wait: 500000, what: []policy.Outcome{policy.Delivered,
			policy.Errored, policy.Rejected, policy.NotSent, policy.NotSent, policy.Errored}},
		"turned away":    {answer: body("429 W\r\nRetry-After: 2", ""), wait: 2000000, what: same(policy.Rejected)},
		"full":           {answer: body("503 F", ""), what: same(policy.Rejected)},
		"error":          {answer: body("500 E", ""), what: same(policy.Errored)},
		"cannot be read": {answer: body("200 OK", `[{"id":"a","state":"acc`), what: same(policy.Errored)},
		"chunks garbled": {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", what: same(policy.Errored)},
		"cut":            {answer: "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + ok, what: same(policy.ConnectionReset)},
	} {
		t.Run(name, func(t *testing.T) {
			got := make(chan string, 1)
			addr := rawEndpoint(t, func(c net.Conn) {
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				text, _ := io.ReadAll(req.Body)
				got <- req.URL.Path + " " + string(text)
				io.WriteString(c, x.answer)
			})
			conns := testConns(t, 2)
			defer conns.CloseIdleConnections()
			recs := []*wal.Record{{ID: "a", Key: "k", Body: []byte("hello")}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}, {ID: "f"}}
			out := newTestCall().run(conns, addr, recs, testLimit, nil)
			for i, o := range out {
				settled := x.what[i] == policy.Delivered || name == "told apart" && recs[i].ID == "d"
				if o.kind != x.what[i] || o.isFinal != settled || o.retryAfter != x.wait {
					t.Errorf("%s: got %+v, want %v", recs[i].ID, o, x.what[i])
				}
			}
			if s := <-got; !strings.HasPrefix(s, batchPath+` [{"id":"a","key":"k","body":"aGVsbG8="},{"id":"b","body":""},`) {
				t.Errorf("the call was %s", s)
			}
		})
	}
}

// Guards the slot and the connection of a batch: one message that is given up
// does not end the call of the others; the last one does.
func TestDropFromBatch(t *testing.T) {
	a, b := &message{}, &message{}
	c := newTestCall()
	c.messages = []callMessage{{message: a}, {message: b}}
	c.stage.Store(callWritten)
	if c.dropMessage(a); c.ctx.Err() != nil {
		t.Error("one message given up ended the call of another")
	}
	if c.dropMessage(b); context.Cause(c.ctx) != errCancelled {
		t.Errorf("nobody waits, and the call goes on: %v", context.Cause(c.ctx))
	}
}

// Guards the difference between what never ran and what may have: a refused
// connection never ran, silence after the last byte may have.
func TestOutcomesWithoutAnswer(t *testing.T) {
	conns := testConns(t, 2)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := ln.Addr().String()
	ln.Close()
	if o := runOne(newTestCall(), conns, refused, &wal.Record{ID: "m"}, testLimit); o.kind != policy.ConnectFailed {
		t.Errorf("refused: %+v", o)
	}
	gone := make(chan struct{}, 2)
	entered := make(chan struct{}, 2)
	silent := rawEndpoint(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		readCall(in)
		entered <- struct{}{}
		in.ReadByte() // until the caller closes
		gone <- struct{}{}
	})
	if o := runOne(newTestCall(), conns, silent, &wal.Record{ID: "m"}, 50*time.Millisecond); o.kind != policy.TimedOut {
		t.Errorf("silent: %+v", o)
	}
	<-entered
	<-gone // giving up closes the connection
	c := newTestCall()
	go func() { <-entered; c.cancel(errCancelled) }()
	if o := runOne(c, conns, silent, &wal.Record{ID: "m"}, testLimit); o.kind != policy.Cancelled {
		t.Errorf("cancelled: %+v", o)
	}
	<-gone
}

// Guards the window for repeats: a connection that comes up once it is over
// carries nothing, and what was not sent has never run.
func TestLateConnectionCarriesNoRepeat(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	conns := testConns(t, 2)
	defer conns.CloseIdleConnections()
	c := newTestCall()
	c.sendBy = time.Now().Add(50 * time.Millisecond)
	conns.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := net.Dial(network, addr)
		waitFor(t, "the end of the window", func() bool { return !time.Now().Before(c.sendBy) })
		return &endpointConn{Conn: conn}, err
	}
	if o := runOne(c, conns, ep.addr(), &wal.Record{ID: "m"}, testLimit); o.kind != policy.NotSent {
		t.Errorf("got %+v", o)
	}
	conns.CloseIdleConnections()
	if n := ep.count("m"); n != 0 {
		t.Errorf("the call went out %d times", n)
	}
}

// Guards the slot of a call whose answer says 200 and never ends, in its head or
// in its body: it is delivered by its first line, and nobody waits for the rest.
func TestAnswerThatNeverEnds(t *testing.T) {
	for name, text := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nContent-",
		"body": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
		"none": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			addr := rawEndpoint(t, func(conn net.Conn) {
				if readCall(bufio.NewReader(conn)) {
					io.WriteString(conn, text)
					io.Copy(io.Discard, conn) // until the relay lets go of it
				}
				close(ended)
			})
			conns := testConns(t, 2)
			defer conns.CloseIdleConnections()
			c, limit := newTestCall(), time.Hour
			defer c.cancel(nil)
			done := make(chan outcome, 1)
			go func() { done <- runOne(c, conns, addr, &wal.Record{ID: "m"}, limit) }()
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

// Guards against a client library that sends a call again by itself: an
// idempotency key makes a POST replayable to net/http, which would repeat it
// where a kept-alive connection breaks under it.
func TestNoResendByItself(t *testing.T) {
	for name, body := range map[string][]byte{"body": []byte("b"), "empty body": nil} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			addr := rawEndpoint(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				for readCall(in) {
					if calls.Add(1) == 2 {
						return // the second call on a kept connection breaks
					}
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			conns := testConns(t, 2)
			defer conns.CloseIdleConnections()
			rec := &wal.Record{ID: "m", Key: "k", Body: body}
			if o := runOne(newTestCall(), conns, addr, rec, testLimit); o.kind != policy.Delivered {
				t.Fatalf("first: %+v", o)
			}
			if o := runOne(newTestCall(), conns, addr, rec, testLimit); o.kind != policy.ConnectionReset {
				t.Errorf("second: %+v", o)
			}
			if n := calls.Load(); n != 2 {
				t.Errorf("the endpoint saw %d calls, want 2", n)
			}
		})
	}
	req, err := newCallRequest(context.Background(), "127.0.0.1:1", []*wal.Record{{ID: "m", Key: "k", Body: []byte("b")}}, time.Second)
	if err != nil || req.GetBody != nil || req.Body == http.NoBody {
		t.Errorf("request can be rewound: GetBody %v, body %v, err %v", req.GetBody != nil, req.Body, err)
	}
}

// Guards the drain grace: a call that waits for its connection when the word
// of a drain comes must not begin when the connection is there at last.
func TestDrainStopsWaitingCall(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	dialing, release, up := make(chan struct{}), make(chan struct{}), make(chan struct{})
	conns := testConns(t, 2)
	conns.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		close(dialing)
		<-release
		defer close(up)
		return net.Dial(network, addr)
	}
	defer conns.CloseIdleConnections()
	c := newTestCall()
	go func() { <-dialing; c.cancelIfWaiting(errEndpointDraining) }()
	o := runOne(c, conns, ep.addr(), &wal.Record{ID: "m"}, testLimit)
	if o.kind != policy.NotSent || o.latency > testLimit.Microseconds()/2 {
		t.Errorf("got %+v", o)
	}
	close(release)
	<-up
	conns.CloseIdleConnections()
	if n := ep.count("m"); n != 0 {
		t.Errorf("the call went out %d times", n)
	}
	// The word may also come just as the connection does.
	late := newTestCall()
	late.stage.Store(callStopped)
	tr := testConns(t, 2)
	defer tr.CloseIdleConnections()
	if o := runOne(late, tr, ep.addr(), &wal.Record{ID: "late"}, testLimit); o.kind != policy.NotSent || ep.count("late") != 0 {
		t.Errorf("got %+v, and %d calls", o, ep.count("late"))
	}
	// What is under way already is not stopped.
	under := newTestCall()
	under.stage.Store(callSending)
	if under.cancelIfWaiting(errEndpointDraining); under.ctx.Err() != nil {
		t.Error("a call with bytes under way was stopped")
	}
}

// Guards the end of a message whose call still waits for a connection: the call
// must not go out with it later. The others in it are tried anew.
func TestEndedMessageIsNotSent(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	dialing, release, up := make(chan struct{}), make(chan struct{}), make(chan struct{})
	conns := testConns(t, 2)
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
	for _, o := range c.run(conns, ep.addr(), []*wal.Record{{ID: "over"}, {ID: "other"}}, testLimit, nil) {
		if o.kind != policy.ConnectFailed || o.latency > testLimit.Microseconds()/2 {
			t.Errorf("got %+v", o)
		}
	}
	close(release)
	<-up
	conns.CloseIdleConnections()
	if n := ep.count("over"); n != 0 {
		t.Errorf("it went out %d times", n)
	}
	// The end may also come just as the connection does.
	ctx, cancel := context.WithCancel(t.Context())
	req, err := newCallRequest(ctx, ep.addr(), []*wal.Record{{ID: "over", Body: []byte("text")}}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if n, err := req.Body.Read(make([]byte, 8)); n != 0 || err == nil {
		t.Errorf("%d bytes of a stopped call are written, %v", n, err)
	}
}

// Guards told waits where a connection takes long to come up, as across a cut:
// a call begun before the word, to the same destination, must not go out after
// it. What goes elsewhere, or is under way already, is let through.
func TestToldWaitStopsWaitingCalls(t *testing.T) {
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
			t.Errorf("%s, stage %d: stopped %v", c.endpoint.id, c.stage.Load(), got)
		}
	}
	// A batch that the policy let go before the word, and whose client hears only now.
	late := r.newMessage(&wal.Record{ID: "late", Class: "plain", Dest: 1})
	late.isAcknowledged = true
	b := &batch{endpoint: twin, sends: []send{{message: late, timeoutAt: r.clock.now() + 900e6}}}
	late.pendingBatch = b
	if r.startBatch(b); late.call != nil || len(twin.calls) != 1 {
		t.Error("a call begins under the wait")
	}
}

// Guards against connections that died in silence: after a machine was away,
// what is idle to it is given up; one slow call among others is no reason.
func TestUpdateLiveness(t *testing.T) {
	ep := &endpoint{}
	for i, x := range []struct {
		o    outcome
		now  policy.Time
		want bool
	}{
		{outcome{kind: policy.Delivered, status: 200, latency: 10}, 1000, false},
		{outcome{kind: policy.TimedOut, latency: 500}, 1100, false}, // it was sent at 600, and 1000 was answered
		{outcome{kind: policy.TimedOut, latency: 500}, 2000, true},
		{outcome{kind: policy.ConnectionReset}, 2100, true},
		{outcome{kind: policy.ConnectFailed}, 2200, true},
		{outcome{kind: policy.Rejected, status: 503}, 2300, false},
		{outcome{kind: policy.Cancelled, latency: 50}, 2320, false},
	} {
		if got := ep.updateLiveness(&x.o, x.now); got != x.want {
			t.Errorf("%d: %v", i, got)
		}
	}
}

// Guards reuse: a new connection costs a handshake, so answers are read to
// their end and more than two connections are kept after a burst.
func TestConnectionsAreKept(t *testing.T) {
	var conns atomic.Int32
	const burst = 6
	together := make(chan struct{}, burst)
	addr := rawEndpoint(t, func(c net.Conn) {
		conns.Add(1)
		in := bufio.NewReader(c)
		for readCall(in) {
			together <- struct{}{}
			for len(together) < burst { // all of a burst are out at once
				time.Sleep(time.Millisecond)
			}
			io.Copy(c, bytes.NewReader(append([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"), make([]byte, 9000)...)))
		}
	})
	tr := testConns(t, burst)
	defer tr.CloseIdleConnections()
	for round := range 2 {
		done := make(chan outcome, burst)
		for range burst {
			go func() { done <- runOne(newTestCall(), tr, addr, &wal.Record{ID: "m"}, testLimit) }()
		}
		for range burst {
			if o := <-done; o.kind != policy.Delivered {
				t.Fatalf("round %d: %+v", round, o)
			}
		}
		for len(together) > 0 {
			<-together
		}
	}
	if n := conns.Load(); n != burst {
		t.Errorf("%d connections for two bursts of %d", n, burst)
	}
}

func TestParseRetryAfter(t *testing.T) {
	for s, want := range map[string]policy.Time{"1.5": 1500000, " 2 ": 2000000, "": 0, "soon": 0, "-1": 0, "NaN": 0, "1e99": 600e6} {
		if got := parseRetryAfter(s); got != want {
			t.Errorf("%q: %d, want %d", s, got, want)
		}
	}
}

func TestParseLoadReport(t *testing.T) {
	fields := []string{"x0", "x1"}
	for s, want := range map[string]policy.LoadReport{"x0=0.4,x1=25": {Remaining: 0.4, Limit: 25, Present: true}, "x1=3": {Limit: 3, Present: true}, "": {}, "x0=?,x1=-2": {}, "x1=NaN": {}} {
		if got := parseLoadReport(s, fields); got != want {
			t.Errorf("%q: %+v", s, got)
		}
	}
	if got := parseLoadReport("x0=1", nil); got != (policy.LoadReport{}) {
		t.Errorf("a report where none is due: %+v", got)
	}
}

func TestCheckHealth(t *testing.T) {
	for code, want := range map[int]policy.Outcome{200: policy.Delivered, 503: policy.Rejected, 404: policy.Errored} {
		ep := newFakeEndpoint(t, status(code))
		if o := checkHealth(context.Background(), testConns(t, 2), ep.addr()); o.kind != want {
			t.Errorf("%d: %+v", code, o)
		}
	}
}

// The policy is told whether a connection was opened for a call: a full table
// of connections shows only there.
func TestFreshConnection(t *testing.T) {
	addr := rawEndpoint(t, func(c net.Conn) {
		for in := bufio.NewReader(c); readCall(in); {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
	})
	conns := testConns(t, 4)
	defer conns.CloseIdleConnections()
	for i, want := range []bool{true, false} {
		if o := runOne(newTestCall(), conns, addr, &wal.Record{ID: "m"}, testLimit); o.isNewConnection != want || o.kind != policy.Rejected {
			t.Errorf("call %d: fresh %v, %+v", i, o.isNewConnection, o)
		}
	}
}
