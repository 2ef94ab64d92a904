package relay

import (
	"net/http"
	"time"

	"plovershore/policy"
)

// endpoint is one endpoint of a destination, with its keep-alive connections. The
// loop owns it. A call uses the address and the transport that the endpoint had
// when the call began.
type endpoint struct {
	id              string
	number          policy.Endpoint // the policy's number of the endpoint
	cell            int             // the destination that the endpoint serves
	zone            int             // index in the settings; -1 for unknown
	maxBatch        int             // maximum number of messages in one call
	hostPort        string
	isListed        bool // the endpoint is in discovery's list
	isStopped       bool // the endpoint is draining or removed, so no new call to it may begin
	stoppedAt       policy.Time
	lastResponseAt  policy.Time      // time of the last response, with any status
	retryAfterUntil policy.Time      // end of the Retry-After sent by this endpoint or by one that shares its limit
	policyEntry     policy.Entry     // the endpoint's entry in the last list update that the policy got
	calls           map[*call]bool   // calls in flight
	transport       *http.Transport  // holds the connections; replaced when their idle timeout or the address changes
	idleResets      idleResetTracker // resets of calls on idle connections

	// State of the connection pool, see connectionPool.
	countedTransport *http.Transport // the transport whose connections the pool counts
	isPooled         bool            // the endpoint is in connectionPool.endpoints
	callsStarted     int             // number of calls started so far; differs from callsAtEnqueue if the endpoint was used since
	callsAtEnqueue   int             // callsStarted when the endpoint was last appended to connectionPool.endpoints
}

// setIdleTimeout limits how long the endpoint's connections may be idle. If that changes
// the timeout, it closes the idle connections and replaces the transport.
func (ep *endpoint) setIdleTimeout(cfg *Config, maxIdleConns int, timeout time.Duration) {
	if ep.transport != nil {
		if ep.transport.IdleConnTimeout == timeout {
			return
		}
		ep.transport.CloseIdleConnections() // calls in flight continue on the old transport
	}
	ep.transport = newTransport(cfg, maxIdleConns, timeout)
}

// updateLiveness records the outcome of a call and reports whether the endpoint's
// idle connections must be closed. After its machine was unreachable or crashed, a
// call on any of them may hang, or be reset when it may already have run.
func (ep *endpoint) updateLiveness(o *outcome, now policy.Time) bool {
	switch o.kind {
	case policy.ConnectionReset, policy.ConnectFailed:
		return true
	case policy.TimedOut, policy.Cancelled:
		startedAt := now - o.latency
		return ep.lastResponseAt < startedAt // if there was a response since, only this call was slow
	}
	if o.status != 0 {
		ep.lastResponseAt = now
	}
	return false
}
