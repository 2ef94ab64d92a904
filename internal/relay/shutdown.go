package relay

import (
	"net"
	"time"
)

// Phases of a graceful shutdown, as times since it began. A relay is killed 3.7 s
// after SIGTERM.
const (
	// closeListenerAfter ends the listener: front ends go on opening connections
	// for a while after they are told to stop.
	closeListenerAfter = 1000 * time.Millisecond
	// stopUnsafeCallsAfter ends new calls of non-idempotent messages: one that is
	// cut short has an unknown outcome and can't be retried.
	stopUnsafeCallsAfter = 1200 * time.Millisecond
	// stopCallsAfter ends all new calls.
	stopCallsAfter = 2200 * time.Millisecond
	// abandonCallsAfter ends the process; calls still in flight stay open in the log.
	abandonCallsAfter = 3300 * time.Millisecond

	// shutdownRetryMS tells rejected clients when to come again, to another relay.
	shutdownRetryMS = 400
	// shutdownCheckInterval is how often the loop looks for the next phase.
	shutdownCheckInterval = 20 * time.Millisecond
)

// shutdownState is the progress of a graceful shutdown.
type shutdownState struct {
	startedAt time.Time        // zero while the relay runs
	listener  *net.TCPListener // nil once it is closing
	cause     error            // the log failure that began it; nil for a planned one
}

func (s *shutdownState) isRunning() bool { return !s.startedAt.IsZero() }

// elapsed is how long ago the shutdown began; 0 before.
func (s *shutdownState) elapsed() time.Duration {
	if !s.isRunning() {
		return 0
	}
	return time.Since(s.startedAt)
}

// handleLogFailure begins a shutdown: accepted messages are safe, but no more can be
// accepted.
func (r *Relay) handleLogFailure(err error) {
	r.log.Error("log failed, shutting down", "err", err)
	if r.shutdown.cause == nil {
		r.shutdown.cause = err
		r.ready.Store(false)
		r.mailbox.Put(stopEvent{})
	}
}

// beginShutdown starts a graceful shutdown, once.
func (r *Relay) beginShutdown() {
	if r.shutdown.isRunning() {
		return
	}
	r.shutdown.startedAt = time.Now()
	r.log.Info("stopping", "pending", r.messages.pending, "calls", r.callsInFlight)
	if r.ownership.isTransferred { // the next process listens at the address, too
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

// isIdle reports whether nobody waits for this process. Ending it with a connection
// open would reset that, and lose the answer on it.
func (r *Relay) isIdle(elapsed time.Duration) bool {
	nothingToSend := r.messages.pending == 0 || elapsed >= stopCallsAfter
	return nothingToSend && len(r.messages.unanswered) == 0 && r.callsInFlight == 0 && r.clients.connectionCount() == 0
}

// isTooLateToSend reports whether a message's call may no longer begin, since the
// process will not see its result. The policy goes on counting it as in flight; the
// next process recovers the message from the log.
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
