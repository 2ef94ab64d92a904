package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"plovershore/internal/wal"
	"plovershore/policy"
)

// responseRemainderTimeout bounds the wait for what follows a status line with
// 200: it means nothing to a call of one message, and for longer it is not worth
// the slot, since to open another connection takes less.
const responseRemainderTimeout = 200 * time.Millisecond

// Stages of a call.
const (
	callWaiting int32 = iota // for a connection: if it is stopped now, it has never run
	callSending              // bytes may be under way
	callWritten              // the last byte is written
	callStopped              // stopped before its first byte
)

// Why a call ends before its response, as the cause of its context.
var (
	errCancelled        = errors.New("cancelled")
	errEndpointDraining = errors.New("endpoint draining")
	errRetryAfter       = errors.New("endpoint asked to retry later")
	errSendByExceeded   = errors.New("no connection before the latest time to send")
)

// callMessage is one message in a call.
type callMessage struct {
	message   *message
	attempt   int  // number of the attempt, from 0
	isDropped bool // the policy does not wait for it any more
}

// call is one HTTP call in flight and the messages that it carries. They share
// its connection, its slot and, unless the response tells them apart, its
// outcome. The loop owns it; stage and isBroken are set by the goroutine that
// runs it, and the context by both.
type call struct {
	messages    []callMessage
	endpoint    *endpoint
	transport   *http.Transport // of the endpoint, as it was when the call began
	sendBy      time.Time       // its first byte must be sent before; zero for no limit
	stage       atomic.Int32
	isBroken    atomic.Bool // the connection broke before the last byte was written
	ctx         context.Context
	cancel      context.CancelCauseFunc
	onWritten   func() // called when its last byte is written; nil for none
	isAbandoned bool   // from before this process took the log back: its outcome is not recorded
}

// outcome is the result of a call for one message, or of a health check.
type outcome struct {
	kind            policy.Outcome
	retryAfter      policy.Time // 0 for none
	callsExhausted  bool        // not sent, since all slots of the endpoint were taken
	isFinal         bool        // the message is completed
	latency         policy.Time
	load            policy.LoadReport
	status          int // of the HTTP response; 0 for none
	err             error
	idleTime        time.Duration // how long its connection had been idle; 0 for a new one or one in use
	isNewConnection bool          // its connection was opened for it
	isUnlogged      bool          // the attempt could not be logged and so was not made
	isLocalFailure  bool          // this machine could not make the call: it does not count as an attempt
}

// dropMessage gives up the wait for one message. A call that other messages wait
// for goes on, since to close its connection would end them all. But one of which
// no byte is written is stopped, as the message may be completed.
func (c *call) dropMessage(m *message) {
	isAwaited := false
	for i := range c.messages {
		x := &c.messages[i]
		x.isDropped = x.isDropped || x.message == m
		isAwaited = isAwaited || !x.isDropped
	}
	if unsent := c.stage.CompareAndSwap(callWaiting, callStopped); unsent || !isAwaited {
		c.cancel(errCancelled)
	}
}

// cancelIfWaiting stops the call if its first byte is not written yet.
func (c *call) cancelIfWaiting(cause error) {
	if c.stage.CompareAndSwap(callWaiting, callStopped) {
		c.cancel(cause)
	}
}

// run makes the call and returns when its connection is free of it: after the
// complete response, or with the connection closed. It returns one outcome for
// each record, in their order.
func (c *call) run(transport *http.Transport, hostPort string, records []*wal.Record, timeout time.Duration, loadFields []string) []outcome {
	began := time.Now()
	ctx, cancel := context.WithTimeoutCause(c.ctx, timeout, context.DeadlineExceeded)
	defer cancel()
	x := &exchange{call: c, cancel: cancel, isSingle: len(records) == 1}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn, WroteRequest: x.wroteRequest})
	forAll := func(o outcome) []outcome { return slices.Repeat([]outcome{o}, len(records)) }
	req, err := newCallRequest(ctx, hostPort, records, timeout)
	if err != nil {
		return forAll(outcome{kind: policy.NotSent, err: err})
	}
	resp, err := transport.RoundTrip(req)
	o := outcome{latency: time.Since(began).Microseconds(), idleTime: time.Duration(x.idleTime.Load()), isNewConnection: x.isNewConnection.Load()}
	if err != nil {
		x.setFailure(ctx, &o, err)
		return forAll(o)
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	classifyResponse(resp, &o, loadFields)
	if len(records) > 1 && o.status == http.StatusOK {
		return c.readBatchResponse(ctx, resp, o, records, x.conn.Load())
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes)) // read to its end, the connection can carry the next call
	return forAll(o)
}

// classifyError maps a call without a complete response to an outcome. That it
// never ran is claimed only where it is certain: without a connection, or with
// one that broke before the last byte.
func (c *call) classifyError(ctx context.Context, conn *endpointConn) policy.Outcome {
	switch stage := c.stage.Load(); {
	case stage == callStopped && !isCancelled(ctx):
		return policy.NotSent
	case stage == callStopped || stage == callWaiting: // no connection came up
		return policy.ConnectFailed
	case stage == callSending && c.isBroken.Load() && ctx.Err() == nil:
		return policy.ConnectFailed
	}
	switch {
	case isCancelled(ctx):
		return policy.Cancelled
	case ctx.Err() != nil:
		return policy.TimedOut
	case conn != nil && conn.hasMalformedResponse():
		return policy.Errored // the endpoint is there, and its other connections are sound
	}
	return policy.ConnectionReset
}

func isCancelled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errCancelled) }

// exchange is what net/http reports of a call while it runs. net/http calls its
// methods from goroutines of its own.
type exchange struct {
	call            *call
	cancel          context.CancelFunc
	isSingle        bool // the call carries one message, whose outcome the status line decides
	idleTime        atomic.Int64
	isNewConnection atomic.Bool
	conn            atomic.Pointer[endpointConn]
}

// gotConn decides whether the call may still be sent on its connection.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	c := x.call
	x.idleTime.Store(int64(info.IdleTime))
	x.isNewConnection.Store(!info.Reused)
	if conn, ok := info.Conn.(*endpointConn); ok {
		x.conn.Store(conn)
		var onStatusOK func()
		if x.isSingle {
			onStatusOK = func() { time.AfterFunc(responseRemainderTimeout, x.cancel) }
		}
		if !conn.assignCall(onStatusOK) {
			c.cancelIfWaiting(errUnexpectedBytes)
		}
	}
	if !c.sendBy.IsZero() && !time.Now().Before(c.sendBy) {
		c.cancelIfWaiting(errSendByExceeded)
	}
	if !c.stage.CompareAndSwap(callWaiting, callSending) && c.stage.Load() == callStopped {
		x.cancel()
	}
}

func (x *exchange) wroteRequest(info httptrace.WroteRequestInfo) {
	c := x.call
	if info.Err != nil {
		c.isBroken.Store(true)
		return
	}
	if c.stage.CompareAndSwap(callSending, callWritten) && c.onWritten != nil {
		c.onWritten()
	}
}

// setFailure sets the outcome of a call for which net/http has no response.
func (x *exchange) setFailure(ctx context.Context, o *outcome, err error) {
	c, conn := x.call, x.conn.Load()
	o.kind, o.err = c.classifyError(ctx, conn), err
	if o.kind == policy.ConnectFailed && c.stage.Load() == callWaiting && isLocal(err) {
		o.kind, o.isLocalFailure = policy.NotSent, true
	}
	if x.isSingle && conn != nil && c.stage.Load() == callWritten && conn.hasStatusOK() {
		o.kind, o.isFinal, o.status = policy.Delivered, true, http.StatusOK
	}
}
