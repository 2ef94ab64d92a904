package relay

import (
	"net/http"
	"time"

	"plovershore/policy"
)

// endpoint is one address of a destination with its kept-alive connections. The
// loop owns it; a call uses the address and the transport that the endpoint had
// when the call began.
type endpoint struct {
	id              string
	number          policy.Endpoint // what the policy calls it
	cell            int             // the destination that it serves
	zone            int             // index in the settings; -1 for unknown
	maxBatch        int             // messages that one call may carry
	hostPort        string
	isListed        bool // discovery's list has it
	isStopped       bool // draining or removed: no call to it begins
	stoppedAt       policy.Time
	lastResponseAt  policy.Time      // when it last answered, whatever the status
	retryAfterUntil policy.Time      // end of the Retry-After that it, or one that shares its limit, answered
	policyEntry     policy.Entry     // as the policy last got it
	calls           map[*call]bool   // in flight
	transport       *http.Transport  // its connections; replaced where their idle timeout changes
	idleResets      idleResetTracker // of calls on its idle connections

	// State of the connection pool, see connectionPool.
	countedTransport *http.Transport // the transport whose connections are counted
	isPooled         bool            // is in connectionPool.endpoints
	callsStarted     int             // so far
	callsAtEnqueue   int             // callsStarted when it was last appended to connectionPool.endpoints
}

// setIdleTimeout limits how long the endpoint's connections may stand idle.
func (ep *endpoint) setIdleTimeout(cfg *Config, maxIdleConns int, timeout time.Duration) {
	if ep.transport != nil {
		if ep.transport.IdleConnTimeout == timeout {
			return
		}
		ep.transport.CloseIdleConnections() // calls in flight go on
	}
	ep.transport = newTransport(cfg, maxIdleConns, timeout)
}

// updateLiveness takes the outcome of a call and reports whether the endpoint's
// idle connections are to be closed. After a machine was silent or died, each
// of them may hang or be reset under a call that may then have run.
func (ep *endpoint) updateLiveness(o *outcome, now policy.Time) bool {
	switch o.kind {
	case policy.ConnectionReset, policy.ConnectFailed:
		return true
	case policy.TimedOut, policy.Cancelled:
		startedAt := now - o.latency
		return ep.lastResponseAt < startedAt // a response since then means that only this call was slow
	}
	if o.status != 0 {
		ep.lastResponseAt = now
	}
	return false
}
