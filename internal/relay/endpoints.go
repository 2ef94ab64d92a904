package relay

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"plovershore/internal/wal"
	"plovershore/policy"
)

const (
	messagePath            = "/v1/messages"
	batchPath              = "/v1/messages:batch"
	batchItemOverhead      = 64 // bytes of a batch's body round each message: quotes, names, commas
	healthCheckPath        = "/health/live"
	maxResponseBytes       = 1 << 20         // bytes of an answer that are read
	maxStatusLineBytes     = 256             // bytes of its first line
	readBufferBytes        = 4 << 10         // bytes that are read at a time
	healthCheckTimeout     = 2 * time.Second // a probe that takes longer has failed
	keepAliveMarginDivisor = 10              // one part in so many of the keep-alive is left unused
	maxRetryAfter          = 10 * time.Minute
	// What follows a first line with 200 means nothing. It comes with it, or is not worth the slot: to open
	// another connection takes no longer.
	responseRemainderTimeout = 200 * time.Millisecond
)

// endpoint is one address of a destination, with its kept-alive connections.
// The loop owns it; calls use its address as it was when they began.
type endpoint struct {
	id               string
	number           policy.Endpoint
	cell             int
	zone             int
	maxBatch         int // messages that one call there may carry
	hostPort         string
	isListed         bool // discovery names it
	isStopped        bool // drained or removed: nothing new goes there
	stoppedAt        policy.Time
	lastResponseAt   policy.Time // when it last answered at all
	retryAfterUntil  policy.Time // of what it, or one that shares its limit, told to wait
	transport        *http.Transport
	idleResets       idleResetTracker
	countedTransport *http.Transport // these of its connections are in the pool's count
	isPooled         bool            // is in pool.used
	callsStarted     int             // calls begun so far
	callsAtEnqueue   int             // the same when its place in pool.used was last given
	calls            map[*call]bool
	policyEntry      policy.Entry // as the policy was last told
}

// setIdleTimeout has the endpoint's connections stand idle for no longer than this.
func (ep *endpoint) setIdleTimeout(cfg *Config, maxIdleConns int, timeout time.Duration) {
	if ep.transport != nil && ep.transport.IdleConnTimeout == timeout {
		return
	}
	if ep.transport != nil { // calls that are out on them go on
		ep.transport.CloseIdleConnections()
	}
	ep.transport = newTransport(cfg, maxIdleConns, timeout)
}

// maxIdleTime is how long a connection may stand idle by the settings. A request
// written to a connection that the endpoint is closing ends as a reset: ours
// close first.
func maxIdleTime(set *policy.Settings) time.Duration {
	keepAlive := time.Duration(set.KeepAlive) * time.Microsecond
	return keepAlive - keepAlive/keepAliveMarginDivisor
}

// updateLiveness books how a call went and reports whether the endpoint's idle
// connections are to be given up. After a machine was silent or died, each of
// them would hang or be reset under a call that may then have run.
func (ep *endpoint) updateLiveness(o *outcome, now policy.Time) bool {
	switch o.kind {
	case policy.ConnectionReset, policy.ConnectFailed:
		return true
	case policy.TimedOut, policy.Cancelled:
		return ep.lastResponseAt < now-o.latency // others that were sent later were answered: one slow call
	}
	if o.status != 0 {
		ep.lastResponseAt = now
	}
	return false
}

// newTransport makes the connections of one endpoint. Each endpoint has its own,
// so that its idle ones can be given back alone.
func newTransport(cfg *Config, maxIdleConns int, idleTimeout time.Duration) *http.Transport {
	connect := time.Duration(cfg.Policy.ConnectTimeout) * time.Microsecond
	dialer := &net.Dialer{Timeout: connect, KeepAlive: -1, Control: cfg.Connect}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &endpointConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    maxIdleConns, // the default of two would close the rest after each burst
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: 64 << 10,
		DisableCompression:     true,
		Protocols:              http1Only(),
	}
}

// endpointConn stands between net/http and a connection to an endpoint, for what
// net/http does not tell or do.
//
// It keeps the first line of the newest answer: of one that it cannot read to the
// end of its head net/http tells nothing, but a call of one message is delivered
// once its first line says so.
//
// And it sees to it that an answer is one to the call that is out. net/http gives
// a connection to a call that waits for one the moment an answer on it is over;
// bytes that came behind that answer would be read as the answer to the next.
// So it hands on a byte at a time, and keeps what has not been asked for.
type endpointConn struct {
	net.Conn
	mu               sync.Mutex
	readBuffer       []byte // that is read into
	unread           []byte // of it, and not handed on
	isRequestStarted bool   // the newest call has begun to write its request
	isStale          bool   // bytes have come that belong to no call: the connection carries no more
	readErr          error  // that ends what came
	statusLine       []byte // as far as it has been handed on
	isReadDone       bool   // nothing more can be read
	onStatusOK       func() // called once a whole first line has come that says 200; may be nil

	onClose func() // called at a close, whether or not it is the first; may be nil
}

// Close tells the pool of the descriptor that is free again.
func (c *endpointConn) Close() error {
	err := c.Conn.Close()
	if c.onClose != nil {
		c.onClose()
	}
	return err
}

var errUnexpectedBytes = errors.New("bytes on the connection that answer nothing")

// assignCall gives the connection to a call; f is called once the first line of its
// answer says 200 and may be nil. It reports false where the connection has
// bytes on it already and can carry no call.
func (c *endpointConn) assignCall(onStatusOK func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isRequestStarted, c.onStatusOK, c.statusLine = false, onStatusOK, c.statusLine[:0]
	c.isStale = c.isStale || len(c.unread) > 0 || hasUnreadBytes(c.Conn)
	return !c.isStale
}

func (c *endpointConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	stale := c.isStale
	c.isRequestStarted = true
	c.mu.Unlock()
	if stale {
		return 0, errUnexpectedBytes
	}
	return c.Conn.Write(b)
}

func (c *endpointConn) Read(b []byte) (int, error) {
	for len(b) > 0 {
		if n, err := c.nextByte(b); n > 0 || err != nil {
			return n, err
		}
		if c.readBuffer == nil {
			c.readBuffer = make([]byte, readBufferBytes)
		}
		n, err := c.Conn.Read(c.readBuffer)
		c.mu.Lock()
		c.unread, c.readErr = c.readBuffer[:n], err
		c.isStale = c.isStale || n > 0 && !c.isRequestStarted
		c.mu.Unlock()
	}
	return 0, nil
}

// nextByte gives the next byte that has come, if there is one.
func (c *endpointConn) nextByte(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isStale:
		c.isReadDone = true
		return 0, errUnexpectedBytes
	case len(c.unread) == 0:
		c.isReadDone = c.isReadDone || c.readErr != nil
		return 0, c.readErr
	}
	b[0] = c.unread[0]
	c.unread = c.unread[1:]
	if n := len(c.statusLine); n < maxStatusLineBytes && (n == 0 || c.statusLine[n-1] != '\n') {
		c.statusLine = append(c.statusLine, b[0])
		if b[0] == '\n' && c.onStatusOK != nil && c.isStatusLineOK() {
			c.onStatusOK()
			c.onStatusOK = nil
		}
	}
	return 1, nil
}

// hasMalformedResponse reports whether an answer has come and its connection still stands:
// what was wrong with it is then what it said.
func (c *endpointConn) hasMalformedResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.statusLine) > 0 && !c.isReadDone
}

// hasStatusOK reports whether a whole first line has come, and it says 200.
func (c *endpointConn) hasStatusOK() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isStatusLineOK()
}

func (c *endpointConn) isStatusLineOK() bool {
	word := bytes.Fields(c.statusLine)
	return bytes.HasPrefix(c.statusLine, []byte("HTTP/1.")) && bytes.HasSuffix(c.statusLine, []byte("\n")) &&
		len(word) > 1 && string(word[1]) == "200"
}

// Stages of a call.
const (
	callWaiting int32 = iota // for a connection: stopped now, it has never run
	callSending              // bytes may be under way
	callWritten              // the last byte is written
	callStopped              // stopped before its first byte
)

var (
	errCancelled        = errors.New("cancelled")
	errEndpointDraining = errors.New("endpoint drained")
	errRetryAfter       = errors.New("endpoint told to wait")
	errSendByPassed     = errors.New("no connection before it could be sent no more")
)

// callMessage is one message's share in a call.
type callMessage struct {
	message   *message
	attempt   int
	isDropped bool // the policy waits for it no longer
}

// call is one call out, with the messages that travel in it. They share its
// connection, its slot and, but for an answer that tells them apart, its fate.
type call struct {
	messages    []callMessage
	endpoint    *endpoint
	transport   *http.Transport // of the endpoint, as they were when it began
	sendBy      time.Time       // its first byte may not go out later; zero for any time
	stage       atomic.Int32
	isBroken    atomic.Bool // the connection broke before the last byte was written
	ctx         context.Context
	cancel      context.CancelCauseFunc
	onWritten   func() // its last byte is out; may be nil
	isAbandoned bool   // of the time before the log was taken back: what comes of it is not booked
}

// outcome is what became of a call or a probe.
type outcome struct {
	kind            policy.Outcome
	retryAfter      policy.Time
	callsExhausted  bool // not sent, since all slots were taken
	isFinal         bool // the message is over
	latency         policy.Time
	load            policy.LoadReport
	status          int
	err             error
	idleTime        time.Duration // for which its connection had been idle; 0 for one in use or new
	isNewConnection bool          // its connection was opened for it
	isUnlogged      bool          // the attempt could not be logged, so it was not made
	isLocalFailure  bool          // this machine could not make the call: it was no try
}

// dropMessage gives up the wait for one message. The call itself goes on for as long
// as another message waits for it: closing its connection would end them all.
// But one with no byte written goes no further, since the message may be over.
func (c *call) dropMessage(m *message) {
	waiting := false
	for i := range c.messages {
		p := &c.messages[i]
		p.isDropped = p.isDropped || p.message == m
		waiting = waiting || !p.isDropped
	}
	if unsent := c.stage.CompareAndSwap(callWaiting, callStopped); unsent || !waiting {
		c.cancel(errCancelled)
	}
}

// cancelUnsent stops the call if its first byte is not written yet.
func (c *call) cancelUnsent(cause error) {
	if c.stage.CompareAndSwap(callWaiting, callStopped) {
		c.cancel(cause)
	}
}

// requestBody is a request body that net/http cannot rewind and so never sends
// twice by itself. An Idempotency-Key makes a POST replayable to it, where it
// could get the body again or there is none.
//
// What is stopped just as its connection comes up is not written: net/http
// itself no longer looks.
type requestBody struct {
	ctx    context.Context
	reader *bytes.Reader
}

func (p requestBody) Read(b []byte) (int, error) {
	if err := p.ctx.Err(); err != nil {
		return 0, err
	}
	return p.reader.Read(b)
}

func (requestBody) Close() error { return nil }

// batchItem is one message in the body of a batch call.
type batchItem struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"` // in Base64 on the wire
}

// batchItemSize is at least what a message takes up in the body of a batch call.
func batchItemSize(rec *wal.Record) int {
	return base64.StdEncoding.EncodedLen(len(rec.Body)) + 2*(len(rec.ID)+len(rec.Key)) + batchItemOverhead
}

// newCallRequest makes the request of a call that carries these messages. Its
// GetBody stays nil.
func newCallRequest(ctx context.Context, hostPort string, records []*wal.Record, timeout time.Duration) (*http.Request, error) {
	path, body := messagePath, records[0].Body
	if len(records) > 1 {
		items := make([]batchItem, 0, len(records))
		for _, rec := range records {
			items = append(items, batchItem{rec.ID, rec.Key, append([]byte{}, rec.Body...)}) // never null
		}
		text, err := json.Marshal(items)
		if err != nil {
			return nil, fmt.Errorf("batch: %w", err)
		}
		path, body = batchPath, text
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostPort+path, nil)
	if err != nil {
		return nil, err
	}
	req.Body = requestBody{ctx, bytes.NewReader(body)} // also when empty: a missing body may be replayed
	req.ContentLength = int64(len(body))
	if len(records) > 1 {
		req.Header.Set("Content-Type", "application/json")
	} else {
		req.Header.Set("X-Request-ID", records[0].ID)
		if records[0].Key != "" {
			req.Header.Set("Idempotency-Key", records[0].Key)
		}
	}
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	req.Header["User-Agent"] = nil
	return req, nil
}

// run makes the call and returns when its connection carries nothing of it any
// more: after the whole answer, or with the connection closed. There is one
// outcome for each record, in their order.
func (c *call) run(transport *http.Transport, hostPort string, records []*wal.Record, timeout time.Duration, loadFields []string) []outcome {
	began := time.Now()
	ctx, cancel := context.WithTimeoutCause(c.ctx, timeout, context.DeadlineExceeded)
	defer cancel()
	var idle atomic.Int64
	var fresh atomic.Bool
	var line atomic.Pointer[endpointConn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			idle.Store(int64(info.IdleTime))
			fresh.Store(!info.Reused)
			if conn, ok := info.Conn.(*endpointConn); ok {
				line.Store(conn)
				var told func()
				if len(records) == 1 {
					told = func() { time.AfterFunc(responseRemainderTimeout, cancel) }
				}
				if !conn.assignCall(told) {
					c.cancelUnsent(errUnexpectedBytes)
				}
			}
			if !c.sendBy.IsZero() && !time.Now().Before(c.sendBy) {
				c.cancelUnsent(errSendByPassed)
			}
			if !c.stage.CompareAndSwap(callWaiting, callSending) && c.stage.Load() == callStopped {
				cancel() // a drain, a wait, the end of its time or what answers nothing came first
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err != nil {
				c.isBroken.Store(true)
				return
			}
			if c.stage.CompareAndSwap(callSending, callWritten) && c.onWritten != nil {
				c.onWritten()
			}
		},
	})
	all := func(o outcome) []outcome { return slices.Repeat([]outcome{o}, len(records)) }
	req, err := newCallRequest(ctx, hostPort, records, timeout)
	if err != nil {
		return all(outcome{kind: policy.NotSent, err: err})
	}
	resp, err := transport.RoundTrip(req)
	o := outcome{latency: time.Since(began).Microseconds(), idleTime: time.Duration(idle.Load()), isNewConnection: fresh.Load()}
	if err != nil {
		conn := line.Load()
		o.kind, o.err = c.classifyError(ctx, err, conn), err
		if o.kind == policy.ConnectFailed && c.stage.Load() == callWaiting && isLocal(err) {
			o.kind, o.isLocalFailure = policy.NotSent, true
		}
		if len(records) == 1 && conn != nil && c.stage.Load() == callWritten && conn.hasStatusOK() {
			o.kind, o.isFinal, o.status = policy.Delivered, true, http.StatusOK
		}
		return all(o)
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	classifyResponse(resp, &o, loadFields)
	if len(records) > 1 && o.status == http.StatusOK {
		return c.readBatchResponse(ctx, resp, o, records, line.Load())
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes)) // read to the end, it can carry the next call
	return all(o)
}

// readBatchResponse tells the messages of a batch apart by the body of its answer.
// What that does not tell, or what cannot be read, may have run.
func (c *call) readBatchResponse(ctx context.Context, resp *http.Response, common outcome, records []*wal.Record, conn *endpointConn) []outcome {
	common.kind, common.isFinal = policy.Errored, false
	out := slices.Repeat([]outcome{common}, len(records))
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	var items []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	if err == nil {
		err = json.Unmarshal(text, &items)
	} else {
		common.kind = c.classifyError(ctx, err, conn)
	}
	states := map[string]string{}
	for _, x := range items {
		states[x.ID] = x.State
	}
	for i, rec := range records {
		o := &out[i]
		if err != nil {
			o.kind, o.err = common.kind, fmt.Errorf("answer to a batch: %w", err)
			continue
		}
		switch states[rec.ID] {
		case "accepted":
			o.kind, o.isFinal = policy.Delivered, true
		case "deferred":
			o.kind = policy.Rejected
		case "expired":
			o.kind, o.isFinal = policy.NotSent, true
		case "no_more":
			o.kind = policy.NotSent
		}
	}
	return out
}

// classifyError maps a call without an answer, or without a whole one. What never ran is claimed only where
// it is certain: no connection, or one that broke before the last byte.
func (c *call) classifyError(ctx context.Context, err error, conn *endpointConn) policy.Outcome {
	switch stage := c.stage.Load(); {
	case stage == callStopped && !errors.Is(context.Cause(ctx), errCancelled):
		return policy.NotSent
	case stage == callStopped || stage == callWaiting: // none came up while it was waited for
		return policy.ConnectFailed
	case stage == callSending && c.isBroken.Load() && ctx.Err() == nil:
		return policy.ConnectFailed
	}
	switch {
	case errors.Is(context.Cause(ctx), errCancelled):
		return policy.Cancelled
	case ctx.Err() != nil:
		return policy.TimedOut
	case conn != nil && conn.hasMalformedResponse():
		return policy.Errored // the endpoint is there, and its other connections are sound
	}
	return policy.ConnectionReset
}

// classifyResponse maps an answer to an outcome.
func classifyResponse(resp *http.Response, o *outcome, loadFields []string) {
	o.load = parseLoadReport(resp.Header.Get("X-Server-Load"), loadFields)
	o.retryAfter = parseRetryAfter(resp.Header.Get("Retry-After"))
	switch resp.StatusCode {
	case http.StatusOK:
		o.kind, o.isFinal = policy.Delivered, true
	case http.StatusTooManyRequests:
		o.kind = policy.Rejected
	case http.StatusServiceUnavailable:
		if o.kind = policy.Rejected; resp.Header.Get("Slots-Taken") == "1" {
			o.kind, o.callsExhausted = policy.NotSent, true
		}
	case http.StatusGatewayTimeout: // has had all its attempts
		o.kind = policy.NotSent
	case http.StatusGone:
		o.kind, o.isFinal = policy.NotSent, true
	default: // 500, and what no page names: it may have run
		o.kind = policy.Errored
	}
}

// parseRetryAfter reads seconds with decimals.
func parseRetryAfter(s string) policy.Time {
	v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(v > 0) {
		return 0
	}
	return policy.Time(min(v, maxRetryAfter.Seconds()) * 1e6)
}

// parseLoadReport reads a report such as x0=0.4,x1=25.
func parseLoadReport(s string, fields []string) (l policy.LoadReport) {
	if len(fields) == 0 {
		return l
	}
	for part := range strings.SplitSeq(s, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0) {
			continue
		}
		switch name {
		case "x0":
			l.Remaining, l.Present = v, true
		case "x1":
			l.Limit, l.Present = v, true
		}
	}
	return l
}

// checkHealth asks an endpoint whether it is alive.
func checkHealth(ctx context.Context, transport *http.Transport, hostPort string) outcome {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hostPort+healthCheckPath, nil)
	if err != nil {
		return outcome{kind: policy.NotSent, err: err}
	}
	resp, err := transport.RoundTrip(req)
	o := outcome{latency: time.Since(began).Microseconds()}
	if err != nil {
		o.err, o.kind = err, policy.ConnectionReset
		if ctx.Err() != nil {
			o.kind = policy.TimedOut
		}
		return o
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	switch resp.StatusCode {
	case http.StatusOK:
		o.kind = policy.Delivered
	case http.StatusServiceUnavailable:
		o.kind = policy.Rejected
	default:
		o.kind = policy.Errored
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	return o
}

func http1Only() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}
