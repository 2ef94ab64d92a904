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
	callPath    = "/v1/messages"
	batchPath   = "/v1/messages:batch"
	bodyFrame   = 64 // bytes of a batch's body round each message: quotes, names, commas
	probePath   = "/health/live"
	answerMost  = 1 << 20         // bytes of an answer that are read
	answerLine  = 256             // bytes of its first line
	readMost    = 4 << 10         // bytes that are read at a time
	probeWait   = 2 * time.Second // a probe that takes longer has failed
	idleMargin  = 10              // one part in so many of the keep-alive is left unused
	longestWait = 10 * time.Minute
	// What follows a first line with 200 means nothing. It comes with it, or is not worth the slot: to open
	// another connection takes no longer.
	restWait = 200 * time.Millisecond
)

// endpoint is one address of a destination, with its kept-alive connections.
// The loop owns it; calls use its address as it was when they began.
type endpoint struct {
	id       string
	num      policy.Endpoint
	cell     int
	zone     int
	batch    int // messages that one call there may carry
	hostPort string
	listed   bool // discovery names it
	gone     bool // drained or removed: nothing new goes there
	goneAt   policy.Time
	answerAt policy.Time // when it last answered at all
	waitOver policy.Time // of what it, or one that shares its limit, told to wait
	conns    *http.Transport
	idle     idleWatch
	counted  *http.Transport // these of its connections are in the pool's count
	pooled   bool            // is in pool.used
	lastUse  int             // calls begun so far
	seenUse  int             // the same when its place in pool.used was last given
	calls    map[*call]bool
	entry    policy.Entry // as the policy was last told
}

// reuse has the endpoint's connections stand idle for no longer than this.
func (ep *endpoint) reuse(cfg *Config, idle int, limit time.Duration) {
	if ep.conns != nil && ep.conns.IdleConnTimeout == limit {
		return
	}
	if ep.conns != nil { // calls that are out on them go on
		ep.conns.CloseIdleConnections()
	}
	ep.conns = newConns(cfg, idle, limit)
}

// keepIdle is how long a connection may stand idle by the settings. A request
// written to a connection that the endpoint is closing ends as a reset: ours
// close first.
func keepIdle(set *policy.Settings) time.Duration {
	keep := time.Duration(set.KeepAlive) * time.Microsecond
	return keep - keep/idleMargin
}

// suspect books how a call went and reports whether the endpoint's idle
// connections are to be given up. After a machine was silent or died, each of
// them would hang or be reset under a call that may then have run.
func (ep *endpoint) suspect(o *outcome, now policy.Time) bool {
	switch o.what {
	case policy.ConnectionReset, policy.ConnectFailed:
		return true
	case policy.TimedOut, policy.Cancelled:
		return ep.answerAt < now-o.took // others that were sent later were answered: one slow call
	}
	if o.status != 0 {
		ep.answerAt = now
	}
	return false
}

// newConns makes the connections of one endpoint. Each endpoint has its own,
// so that its idle ones can be given back alone.
func newConns(cfg *Config, idle int, limit time.Duration) *http.Transport {
	connect := time.Duration(cfg.Policy.ConnectTimeout) * time.Microsecond
	dialer := &net.Dialer{Timeout: connect, KeepAlive: -1, Control: cfg.Connect}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &lineConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    idle, // the default of two would close the rest after each burst
		IdleConnTimeout:        limit,
		MaxResponseHeaderBytes: 64 << 10,
		DisableCompression:     true,
		Protocols:              http1(),
	}
}

// lineConn stands between net/http and a connection to an endpoint, for what
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
type lineConn struct {
	net.Conn
	mu    sync.Mutex
	buf   []byte // that is read into
	came  []byte // of it, and not handed on
	asked bool   // the newest call has begun to write its request
	stale bool   // bytes have come that belong to no call: the connection carries no more
	err   error  // that ends what came
	line  []byte // as far as it has been handed on
	ended bool   // nothing more can be read
	is200 func() // called once a whole first line has come that says 200; may be nil

	closed func() // called at a close, whether or not it is the first; may be nil
}

// Close tells the pool of the descriptor that is free again.
func (c *lineConn) Close() error {
	err := c.Conn.Close()
	if c.closed != nil {
		c.closed()
	}
	return err
}

var errStale = errors.New("bytes on the connection that answer nothing")

// take gives the connection to a call; f is called once the first line of its
// answer says 200 and may be nil. It reports false where the connection has
// bytes on it already and can carry no call.
func (c *lineConn) take(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked, c.is200, c.line = false, f, c.line[:0]
	c.stale = c.stale || len(c.came) > 0 || unread(c.Conn)
	return !c.stale
}

func (c *lineConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	stale := c.stale
	c.asked = true
	c.mu.Unlock()
	if stale {
		return 0, errStale
	}
	return c.Conn.Write(b)
}

func (c *lineConn) Read(b []byte) (int, error) {
	for len(b) > 0 {
		if n, err := c.handOn(b); n > 0 || err != nil {
			return n, err
		}
		if c.buf == nil {
			c.buf = make([]byte, readMost)
		}
		n, err := c.Conn.Read(c.buf)
		c.mu.Lock()
		c.came, c.err = c.buf[:n], err
		c.stale = c.stale || n > 0 && !c.asked
		c.mu.Unlock()
	}
	return 0, nil
}

// handOn gives the next byte that has come, if there is one.
func (c *lineConn) handOn(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.stale:
		c.ended = true
		return 0, errStale
	case len(c.came) == 0:
		c.ended = c.ended || c.err != nil
		return 0, c.err
	}
	b[0] = c.came[0]
	c.came = c.came[1:]
	if n := len(c.line); n < answerLine && (n == 0 || c.line[n-1] != '\n') {
		c.line = append(c.line, b[0])
		if b[0] == '\n' && c.is200 != nil && c.says200() {
			c.is200()
			c.is200 = nil
		}
	}
	return 1, nil
}

// unreadable reports whether an answer has come and its connection still stands:
// what was wrong with it is then what it said.
func (c *lineConn) unreadable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.line) > 0 && !c.ended
}

// said200 reports whether a whole first line has come, and it says 200.
func (c *lineConn) said200() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.says200()
}

func (c *lineConn) says200() bool {
	word := bytes.Fields(c.line)
	return bytes.HasPrefix(c.line, []byte("HTTP/1.")) && bytes.HasSuffix(c.line, []byte("\n")) &&
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
	errCancelled = errors.New("cancelled")
	errDrained   = errors.New("endpoint drained")
	errToldWait  = errors.New("endpoint told to wait")
	errTooLate   = errors.New("no connection before it could be sent no more")
)

// part is one message's share in a call.
type part struct {
	m       *message
	attempt int
	dropped bool // the policy waits for it no longer
}

// call is one call out, with the messages that travel in it. They share its
// connection, its slot and, but for an answer that tells them apart, its fate.
type call struct {
	parts  []part
	ep     *endpoint
	conns  *http.Transport // of the endpoint, as they were when it began
	by     time.Time       // its first byte may not go out later; zero for any time
	stage  atomic.Int32
	broken atomic.Bool // the connection broke before the last byte was written
	ctx    context.Context
	stop   context.CancelCauseFunc
	wrote  func() // its last byte is out; may be nil
	stale  bool   // of the time before the log was taken back: what comes of it is not booked
}

// outcome is what became of a call or a probe.
type outcome struct {
	what    policy.Outcome
	wait    policy.Time
	slots   bool // not sent, since all slots were taken
	settled bool // the message is over
	took    policy.Time
	load    policy.LoadReport
	status  int
	err     error
	idle    time.Duration // for which its connection had been idle; 0 for one in use or new
	fresh   bool          // its connection was opened for it
	unsaved bool          // the attempt could not be logged, so it was not made
	unmade  bool          // this machine could not make the call: it was no try
}

// drop gives up the wait for one message. The call itself goes on for as long
// as another message waits for it: closing its connection would end them all.
// But one with no byte written goes no further, since the message may be over.
func (c *call) drop(m *message) {
	waiting := false
	for i := range c.parts {
		p := &c.parts[i]
		p.dropped = p.dropped || p.m == m
		waiting = waiting || !p.dropped
	}
	if unsent := c.stage.CompareAndSwap(callWaiting, callStopped); unsent || !waiting {
		c.stop(errCancelled)
	}
}

// holdBack stops the call if its first byte is not written yet.
func (c *call) holdBack(why error) {
	if c.stage.CompareAndSwap(callWaiting, callStopped) {
		c.stop(why)
	}
}

// payload is a request body that net/http cannot rewind and so never sends
// twice by itself. An Idempotency-Key makes a POST replayable to it, where it
// could get the body again or there is none.
//
// What is stopped just as its connection comes up is not written: net/http
// itself no longer looks.
type payload struct {
	ctx  context.Context
	text *bytes.Reader
}

func (p payload) Read(b []byte) (int, error) {
	if err := p.ctx.Err(); err != nil {
		return 0, err
	}
	return p.text.Read(b)
}

func (payload) Close() error { return nil }

// batchItem is one message in the body of a batch call.
type batchItem struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"` // in Base64 on the wire
}

// framed is at least what a message takes up in the body of a batch call.
func framed(rec *wal.Record) int {
	return base64.StdEncoding.EncodedLen(len(rec.Body)) + 2*(len(rec.ID)+len(rec.Key)) + bodyFrame
}

// newCallRequest makes the request of a call that carries these messages. Its
// GetBody stays nil.
func newCallRequest(ctx context.Context, hostPort string, recs []*wal.Record, timeout time.Duration) (*http.Request, error) {
	path, body := callPath, recs[0].Body
	if len(recs) > 1 {
		items := make([]batchItem, 0, len(recs))
		for _, rec := range recs {
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
	req.Body = payload{ctx, bytes.NewReader(body)} // also when empty: a missing body may be replayed
	req.ContentLength = int64(len(body))
	if len(recs) > 1 {
		req.Header.Set("Content-Type", "application/json")
	} else {
		req.Header.Set("X-Request-ID", recs[0].ID)
		if recs[0].Key != "" {
			req.Header.Set("Idempotency-Key", recs[0].Key)
		}
	}
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	req.Header["User-Agent"] = nil
	return req, nil
}

// run makes the call and returns when its connection carries nothing of it any
// more: after the whole answer, or with the connection closed. There is one
// outcome for each record, in their order.
func (c *call) run(conns *http.Transport, hostPort string, recs []*wal.Record, limit time.Duration, loads []string) []outcome {
	began := time.Now()
	ctx, cancel := context.WithTimeoutCause(c.ctx, limit, context.DeadlineExceeded)
	defer cancel()
	var idle atomic.Int64
	var fresh atomic.Bool
	var line atomic.Pointer[lineConn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			idle.Store(int64(info.IdleTime))
			fresh.Store(!info.Reused)
			if conn, ok := info.Conn.(*lineConn); ok {
				line.Store(conn)
				var told func()
				if len(recs) == 1 {
					told = func() { time.AfterFunc(restWait, cancel) }
				}
				if !conn.take(told) {
					c.holdBack(errStale)
				}
			}
			if !c.by.IsZero() && !time.Now().Before(c.by) {
				c.holdBack(errTooLate)
			}
			if !c.stage.CompareAndSwap(callWaiting, callSending) && c.stage.Load() == callStopped {
				cancel() // a drain, a wait, the end of its time or what answers nothing came first
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err != nil {
				c.broken.Store(true)
				return
			}
			if c.stage.CompareAndSwap(callSending, callWritten) && c.wrote != nil {
				c.wrote()
			}
		},
	})
	all := func(o outcome) []outcome { return slices.Repeat([]outcome{o}, len(recs)) }
	req, err := newCallRequest(ctx, hostPort, recs, limit)
	if err != nil {
		return all(outcome{what: policy.NotSent, err: err})
	}
	resp, err := conns.RoundTrip(req)
	o := outcome{took: time.Since(began).Microseconds(), idle: time.Duration(idle.Load()), fresh: fresh.Load()}
	if err != nil {
		conn := line.Load()
		o.what, o.err = c.failure(ctx, err, conn), err
		if o.what == policy.ConnectFailed && c.stage.Load() == callWaiting && isLocal(err) {
			o.what, o.unmade = policy.NotSent, true
		}
		if len(recs) == 1 && conn != nil && c.stage.Load() == callWritten && conn.said200() {
			o.what, o.settled, o.status = policy.Delivered, true, http.StatusOK
		}
		return all(o)
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	readAnswer(resp, &o, loads)
	if len(recs) > 1 && o.status == http.StatusOK {
		return c.readBatch(ctx, resp, o, recs, line.Load())
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, answerMost)) // read to the end, it can carry the next call
	return all(o)
}

// readBatch tells the messages of a batch apart by the body of its answer.
// What that does not tell, or what cannot be read, may have run.
func (c *call) readBatch(ctx context.Context, resp *http.Response, whole outcome, recs []*wal.Record, conn *lineConn) []outcome {
	whole.what, whole.settled = policy.Errored, false
	out := slices.Repeat([]outcome{whole}, len(recs))
	text, err := io.ReadAll(io.LimitReader(resp.Body, answerMost))
	var items []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	if err == nil {
		err = json.Unmarshal(text, &items)
	} else {
		whole.what = c.failure(ctx, err, conn)
	}
	states := map[string]string{}
	for _, x := range items {
		states[x.ID] = x.State
	}
	for i, rec := range recs {
		o := &out[i]
		if err != nil {
			o.what, o.err = whole.what, fmt.Errorf("answer to a batch: %w", err)
			continue
		}
		switch states[rec.ID] {
		case "accepted":
			o.what, o.settled = policy.Delivered, true
		case "deferred":
			o.what = policy.Rejected
		case "expired":
			o.what, o.settled = policy.NotSent, true
		case "no_more":
			o.what = policy.NotSent
		}
	}
	return out
}

// failure maps a call without an answer, or without a whole one. What never ran is claimed only where
// it is certain: no connection, or one that broke before the last byte.
func (c *call) failure(ctx context.Context, err error, conn *lineConn) policy.Outcome {
	switch stage := c.stage.Load(); {
	case stage == callStopped && !errors.Is(context.Cause(ctx), errCancelled):
		return policy.NotSent
	case stage == callStopped || stage == callWaiting: // none came up while it was waited for
		return policy.ConnectFailed
	case stage == callSending && c.broken.Load() && ctx.Err() == nil:
		return policy.ConnectFailed
	}
	switch {
	case errors.Is(context.Cause(ctx), errCancelled):
		return policy.Cancelled
	case ctx.Err() != nil:
		return policy.TimedOut
	case conn != nil && conn.unreadable():
		return policy.Errored // the endpoint is there, and its other connections are sound
	}
	return policy.ConnectionReset
}

// readAnswer maps an answer to an outcome.
func readAnswer(resp *http.Response, o *outcome, loads []string) {
	o.load = readLoad(resp.Header.Get("X-Server-Load"), loads)
	o.wait = retryAfter(resp.Header.Get("Retry-After"))
	switch resp.StatusCode {
	case http.StatusOK:
		o.what, o.settled = policy.Delivered, true
	case http.StatusTooManyRequests:
		o.what = policy.Rejected
	case http.StatusServiceUnavailable:
		if o.what = policy.Rejected; resp.Header.Get("Slots-Taken") == "1" {
			o.what, o.slots = policy.NotSent, true
		}
	case http.StatusGatewayTimeout: // has had all its attempts
		o.what = policy.NotSent
	case http.StatusGone:
		o.what, o.settled = policy.NotSent, true
	default: // 500, and what no page names: it may have run
		o.what = policy.Errored
	}
}

// retryAfter reads seconds with decimals.
func retryAfter(s string) policy.Time {
	v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(v > 0) {
		return 0
	}
	return policy.Time(min(v, longestWait.Seconds()) * 1e6)
}

// readLoad reads a report such as x0=0.4,x1=25.
func readLoad(s string, fields []string) (l policy.LoadReport) {
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

// probe asks an endpoint whether it is alive.
func probe(ctx context.Context, conns *http.Transport, hostPort string) outcome {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hostPort+probePath, nil)
	if err != nil {
		return outcome{what: policy.NotSent, err: err}
	}
	resp, err := conns.RoundTrip(req)
	o := outcome{took: time.Since(began).Microseconds()}
	if err != nil {
		o.err, o.what = err, policy.ConnectionReset
		if ctx.Err() != nil {
			o.what = policy.TimedOut
		}
		return o
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	switch resp.StatusCode {
	case http.StatusOK:
		o.what = policy.Delivered
	case http.StatusServiceUnavailable:
		o.what = policy.Rejected
	default:
		o.what = policy.Errored
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, answerMost))
	return o
}

func http1() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}
