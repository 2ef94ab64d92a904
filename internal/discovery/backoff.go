package discovery

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	reconnectDelay   = 200 * time.Millisecond  // mean, before a watch that ended or fell silent is opened anew
	retryBackoffBase = 400 * time.Millisecond  // range of the first retry after a rejection, beside what the fleet's size adds
	retryBackoffMin  = 200 * time.Millisecond  // no rejected call is retried sooner
	retryBackoffMax  = 1800 * time.Millisecond // nor later, however many were rejected in a row and however large the fleet

	// A list that is too large stays so until an operator intervenes, and each
	// fetch costs discovery and the network what a complete list does.
	tooLargeBackoffBase = time.Second
	tooLargeBackoffMax  = 30 * time.Second

	maxBackoffDoublings = 8 // beyond these every backoff is at its maximum
)

// isRejection reports whether discovery rejected a call: it is overloaded, or
// is not running.
func isRejection(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.isRejection() || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// isSelfLimiting reports whether a call ended by a timeout, or never left this
// machine. Neither can become many calls a second: the first has taken a
// second at least, and the other reaches nobody.
func isSelfLimiting(err error) bool {
	var opError *net.OpError
	var timeout net.Error
	dialed := errors.As(err, &opError) && opError.Op == "dial"
	if errors.Is(err, syscall.ETIMEDOUT) && !dialed {
		return false // an established connection broke: Timeout is true of that, too
	}
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, errWatchSilent) || errors.Is(err, context.DeadlineExceeded) ||
		dialed && !isRejection(err)
}

// retrySpread returns the delay from a rejected call to its retry.
// fleetServeTime is what discovery takes to serve the whole fleet, failures is
// how many calls in a row were rejected before this one, and draw is evenly
// distributed over [0, 1).
type retrySpread func(fleetServeTime time.Duration, failures int, draw float64) time.Duration

// boundedRetrySpread reconciles two requirements. A change has to be in force
// 6 s after discovery can be reached again, so the delay never exceeds
// retryBackoffMax: that leaves time for a call that hung until its timeout, one
// more rejection and the response. And the calls of a fleet that lost discovery
// at one moment must not arrive together: the first retries are drawn over the
// whole range, and as they are spread by then, later ones only over its upper
// half, which makes fewer of them.
func boundedRetrySpread(fleetServeTime time.Duration, failures int, draw float64) time.Duration {
	high := min(min(retryBackoffBase+fleetServeTime, retryBackoffMax)<<min(failures, maxBackoffDoublings), retryBackoffMax)
	low := retryBackoffMin
	if failures > 0 {
		low = max(low, high/2)
	}
	return low + time.Duration(float64(high-low)*draw)
}

// tooLargeDelay returns the delay before a list that was too large is fetched
// again, after so many failures before it: an exponential backoff with jitter.
func tooLargeDelay(failures int, draw float64) time.Duration {
	longest := min(tooLargeBackoffBase<<min(failures, maxBackoffDoublings), tooLargeBackoffMax)
	return longest/2 + time.Duration(float64(longest/2)*draw)
}

// failureCounts counts the failures since a watch last delivered something.
type failureCounts struct {
	rejected    int  // calls that were rejected, or cut short after the first
	reconnected bool // a connection ended, and the watch was opened anew at once
	tooLarge    int  // lists that were too large
}

// retryDelay counts a failure and returns the delay before the retry. A watch
// that ended is opened anew soon, since drains have to be known in time. Where
// that one ends too, before it delivered anything, discovery is failing, and
// the retries are spread like those of rejected calls.
func (w *Watch) retryDelay(err error) time.Duration {
	draw, failures := w.random(), &w.failures
	var tooLarge *ListTooLargeError
	switch {
	case errors.As(err, &tooLarge):
		failures.tooLarge++
		return tooLargeDelay(failures.tooLarge-1, draw)
	case isSelfLimiting(err):
	case !isRejection(err) && !failures.reconnected:
		failures.reconnected = true
	default:
		failures.rejected++
		return w.spread(w.fleetServeTime, failures.rejected-1, draw)
	}
	return time.Duration(float64(reconnectDelay) * (0.5 + draw))
}

// resetFailures starts the backoff anew: a watch delivered something.
func (w *Watch) resetFailures() { w.failures = failureCounts{} }

// sleepContext sleeps for d, or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
