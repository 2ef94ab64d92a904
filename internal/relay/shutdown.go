package relay

import (
	"net"
	"time"
)

// Phases of a graceful shutdown, as times since its beginning. The process is killed 3.7 s
// after SIGTERM.
const (
	// closeListenerAfter is when the listener is closed. Front ends go on opening
	// connections for a while after they are told to stop.
	closeListenerAfter = 1000 * time.Millisecond
	// stopUnsafeCallsAfter is when no new calls of non-idempotent messages begin any
	// more: a call that is cut off has an unknown outcome and can't be retried.
	stopUnsafeCallsAfter = 1200 * time.Millisecond
	// stopCallsAfter is when no new calls begin any more.
	stopCallsAfter = 2200 * time.Millisecond
	// abandonCallsAfter is when the process ends at the latest. Calls that are still in
	// flight then have no outcome in the log.
	abandonCallsAfter = 3300 * time.Millisecond

	// shutdownRetryMS is the time in ms after which rejected clients should submit their
	// messages to another relay.
	shutdownRetryMS = 400
	// shutdownCheckInterval is how often the loop checks whether the next phase is due.
	shutdownCheckInterval = 20 * time.Millisecond
)

// shutdownState tells whether a graceful shutdown runs, since when and why. The phase that
// it has reached is not stored, but follows from the time since startedAt.
type shutdownState struct {
	startedAt time.Time        // zero while the relay runs
	listener  *net.TCPListener // nil once it is closing
	cause     error            // the log failure that caused the shutdown; nil if it was requested
}

func (s *shutdownState) isRunning() bool { return !s.startedAt.IsZero() }

// elapsed returns the time since the shutdown began, or 0 before it.
func (s *shutdownState) elapsed() time.Duration {
	if !s.isRunning() {
		return 0
	}
	return time.Since(s.startedAt)
}

// handleLogFailure requests a shutdown. Messages already accepted are in the log, but no
// more can be accepted.
func (r *Relay) handleLogFailure(err error) {
	r.log.Error("log failed, shutting down", "err", err)
	if r.shutdown.cause == nil {
		r.shutdown.cause = err
		r.ready.Store(false)
		r.mailbox.Put(stopEvent{})
	}
}

// beginShutdown begins a graceful shutdown, unless one is running.
func (r *Relay) beginShutdown() {
	if r.shutdown.isRunning() {
		return
	}
	r.shutdown.startedAt = time.Now()
	r.log.Info("stopping", "pending", r.messages.pending, "calls", r.callsInFlight)
	if r.ownership.isTransferred { // the next process listens at the same address
		r.closeListener()
	}
	r.clients.drainConnections()
}

func (r *Relay) closeListener() {
	if ln := r.shutdown.listener; ln != nil {
		r.shutdown.listener = nil
		r.clients.stopListening(ln)
	}
}

// continueShutdown enters the phases that are due and reports whether the relay can end.
func (r *Relay) continueShutdown() (done bool) {
	if !r.shutdown.isRunning() {
		return false
	}
	elapsed := r.shutdown.elapsed()
	if elapsed >= closeListenerAfter {
		r.closeListener()
	}
	if !(r.shutdown.listener == nil && r.isIdle(elapsed)) && elapsed < abandonCallsAfter {
		return false
	}
	r.log.Info("stopped", "pending", r.messages.pending, "calls", r.callsInFlight)
	return true
}

// isIdle reports whether the process can end without harm: it has nothing to send and no
// open connections. Ending it with an open connection would reset the connection, and a
// response on it could be lost.
func (r *Relay) isIdle(elapsed time.Duration) bool {
	nothingToSend := r.messages.pending == 0 || elapsed >= stopCallsAfter
	return nothingToSend && len(r.messages.unanswered) == 0 && r.callsInFlight == 0 && r.clients.connectionCount() == 0
}

// isTooLateToSend reports whether a message's call may no longer begin, because the
// process may end before its result. The policy continues to count the call as in
// flight; the next process recovers the message from the log.
func (r *Relay) isTooLateToSend(m *message) bool {
	if !r.shutdown.isRunning() {
		return false
	}
	limit := stopCallsAfter
	if r.cfg.isNonIdempotent(m.record.Class) {
		limit = stopUnsafeCallsAfter
	}
	return r.shutdown.elapsed() >= limit
}
