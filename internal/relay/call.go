package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"plovershore/internal/wal"
	"plovershore/policy"
)

// responseRemainderTimeout bounds the wait for the rest of a response after a
// status line with 200. The rest does not matter to a call of one message, and
// opening another connection takes less time than a longer wait would.
const responseRemainderTimeout = 200 * time.Millisecond

// Stages of a call.
const (
	callWaiting int32 = iota // waiting for a connection; a call stopped in this stage has never run
	callSending              // bytes may have been written
	callWritten              // the last byte of the request is written
	callStopped              // stopped before its first byte was written
)

// Causes of a call's context where the call ends before its response.
var (
	errCancelled        = errors.New("cancelled")
	errEndpointDraining = errors.New("endpoint draining")
	errRetryAfter       = errors.New("endpoint asked to retry later")
	errSendByExceeded   = errors.New("no connection before the send-by time")
)

// callMessage is one message in a call.
type callMessage struct {
	message   *message
	attempt   int  // number of the attempt, from 0
	isDropped bool // the policy has cancelled the attempt
}

// call is one HTTP call in flight and the messages that it carries. The messages
// share its connection, its slot and, unless the response names a state for each
// message, its outcome. The loop owns the call; stage and isBroken are set by the
// goroutine that runs it, and the context is ended by both.
type call struct {
	messages    []callMessage
	endpoint    *endpoint
	transport   *http.Transport // the endpoint's transport when the call began
	sendBy      time.Time       // the first byte must be sent before this time; zero for no limit
	stage       atomic.Int32
	isBroken    atomic.Bool // the connection broke before the last byte was written
	ctx         context.Context
	cancel      context.CancelCauseFunc
	onWritten   func() // called when the last byte of the request is written; nil for none
	isAbandoned bool   // it began before this process reclaimed the log: its outcome is ignored
}

// outcome is the result of a call for one message, or of a health check.
type outcome struct {
	kind            policy.Outcome
	retryAfter      policy.Time // Retry-After of the response; 0 for none
	callsExhausted  bool        // not run, since all call slots of the endpoint were taken
	isFinal         bool        // the message is completed
	latency         policy.Time
	load            policy.LoadReport
	status          int // status code of the HTTP response; 0 for none
	err             error
	idleTime        time.Duration // how long the connection was idle before the call; 0 for a new connection or one in use
	isNewConnection bool          // the connection was opened for this call
	isUnlogged      bool          // the attempt could not be logged and was therefore not made
	isLocalFailure  bool          // this machine could not make the call, so it does not count as an attempt
}

// dropMessage gives up the attempt of one message. If no byte of the call is
// written yet, the call is stopped, since the message may be completed already.
// Otherwise the call goes on for its other messages, if it has any that are not
// dropped: closing its connection would end their attempts too.
func (c *call) dropMessage(m *message) {
	isAwaited := false
	for i := range c.messages {
		cm := &c.messages[i]
		cm.isDropped = cm.isDropped || cm.message == m
		isAwaited = isAwaited || !cm.isDropped
	}
	if isUnsent := c.stage.CompareAndSwap(callWaiting, callStopped); isUnsent || !isAwaited {
		c.cancel(errCancelled)
	}
}

// cancelIfWaiting stops the call if its first byte is not written yet.
func (c *call) cancelIfWaiting(cause error) {
	if c.stage.CompareAndSwap(callWaiting, callStopped) {
		c.cancel(cause)
	}
}

// run makes the call and returns one outcome for each record, in their order. When
// it returns, the call no longer uses the connection: the response was read to its
// end, or the connection is closed.
func (c *call) run(transport *http.Transport, hostPort string, records []*wal.Record, timeout time.Duration, loadFields []string) []outcome {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeoutCause(c.ctx, timeout, context.DeadlineExceeded)
	defer cancel()
	trace := &callTrace{call: c, cancel: cancel, isSingle: len(records) == 1}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConn, WroteRequest: trace.wroteRequest})
	repeatOutcome := func(o outcome) []outcome { return slices.Repeat([]outcome{o}, len(records)) }
	req, err := newCallRequest(ctx, hostPort, records, timeout)
	if err != nil {
		return repeatOutcome(outcome{kind: policy.NotSent, err: err})
	}
	resp, err := transport.RoundTrip(req)
	o := outcome{latency: time.Since(startedAt).Microseconds(), idleTime: time.Duration(trace.idleTime.Load()), isNewConnection: trace.isNewConnection.Load()}
	if err != nil {
		trace.setFailure(ctx, &o, err)
		return repeatOutcome(o)
	}
	defer resp.Body.Close()
	classifyResponse(resp, &o, loadFields)
	body, err := readResponseBody(resp.Body)
	isDelivered := trace.isSingle && o.kind == policy.Delivered // its status line is enough
	switch {
	case err != nil && !isDelivered:
		c.setUnreadable(ctx, &o, err, trace.conn.Load())
	case !trace.isSingle && o.status == http.StatusOK:
		return batchOutcomes(o, body, records)
	}
	return repeatOutcome(o)
}

// setUnreadable sets the outcome of a call whose response has a header and no readable
// body. Such a response proves nothing about the message, whatever its status: it may
// have run. A Retry-After in the header still holds.
func (c *call) setUnreadable(ctx context.Context, o *outcome, err error, conn *endpointConn) {
	o.kind = policy.Errored
	if !errors.Is(err, errResponseTooLong) {
		o.kind = c.classifyUnanswered(ctx, conn)
	}
	o.isFinal, o.callsExhausted = false, false
	o.err = fmt.Errorf("response with status %d: %w", o.status, err)
}

// classifyError returns the outcome of a call without a complete response. The
// outcome says that the call never ran only where that is certain: the call was
// stopped before its first byte, had no connection, or its connection broke before
// the last byte was written.
func (c *call) classifyError(ctx context.Context, conn *endpointConn) policy.Outcome {
	switch stage := c.stage.Load(); {
	case stage == callStopped && !isCancelled(ctx):
		return policy.NotSent
	case stage == callStopped || stage == callWaiting: // there was no connection, or the attempt was cancelled while the call waited for one
		return policy.ConnectFailed
	case stage == callSending && c.isBroken.Load() && ctx.Err() == nil:
		return policy.ConnectFailed
	}
	return c.classifyUnanswered(ctx, conn)
}

// classifyUnanswered returns the outcome of a call that may have run and has no complete
// response.
func (c *call) classifyUnanswered(ctx context.Context, conn *endpointConn) policy.Outcome {
	switch {
	case isCancelled(ctx):
		return policy.Cancelled
	case ctx.Err() != nil:
		return policy.TimedOut
	case conn != nil && conn.hasMalformedResponse():
		return policy.Errored // the endpoint responds, so its other connections can still be used
	}
	return policy.ConnectionReset
}

func isCancelled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errCancelled) }

// callTrace records what net/http reports about a call while it runs. net/http calls
// its methods from its own goroutines.
type callTrace struct {
	call            *call
	cancel          context.CancelFunc
	isSingle        bool // the call carries one message: the status line decides its outcome
	idleTime        atomic.Int64
	isNewConnection atomic.Bool
	conn            atomic.Pointer[endpointConn]
}

// gotConn stops the call if it may no longer be sent, or not on this connection.
func (t *callTrace) gotConn(info httptrace.GotConnInfo) {
	c := t.call
	t.idleTime.Store(int64(info.IdleTime))
	t.isNewConnection.Store(!info.Reused)
	if conn, ok := info.Conn.(*endpointConn); ok {
		t.conn.Store(conn)
		var onStatusOK func()
		if t.isSingle {
			onStatusOK = func() { time.AfterFunc(responseRemainderTimeout, t.cancel) }
		}
		if !conn.assignCall(onStatusOK) {
			c.cancelIfWaiting(errUnexpectedBytes)
		}
	}
	if !c.sendBy.IsZero() && !time.Now().Before(c.sendBy) {
		c.cancelIfWaiting(errSendByExceeded)
	}
	if !c.stage.CompareAndSwap(callWaiting, callSending) && c.stage.Load() == callStopped {
		t.cancel()
	}
}

func (t *callTrace) wroteRequest(info httptrace.WroteRequestInfo) {
	c := t.call
	if info.Err != nil {
		c.isBroken.Store(true)
		return
	}
	if c.stage.CompareAndSwap(callSending, callWritten) && c.onWritten != nil {
		c.onWritten()
	}
}

// setFailure sets the outcome of a call for which net/http has no response.
func (t *callTrace) setFailure(ctx context.Context, o *outcome, err error) {
	c, conn := t.call, t.conn.Load()
	o.kind, o.err = c.classifyError(ctx, conn), err
	if o.kind == policy.ConnectFailed && c.stage.Load() == callWaiting && isLocalError(err) {
		o.kind, o.isLocalFailure = policy.NotSent, true
	}
	if t.isSingle && conn != nil && c.stage.Load() == callWritten && conn.hasStatusOK() {
		o.kind, o.isFinal, o.status = policy.Delivered, true, http.StatusOK
	}
}
