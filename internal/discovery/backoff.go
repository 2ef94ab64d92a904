package discovery

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	reconnectDelay   = 200 * time.Millisecond  // mean delay before a watch that ended or fell silent is reopened
	retryBackoffBase = 400 * time.Millisecond  // upper bound of the first backoff after a rejection, before the fleet's serve time is added
	retryBackoffMin  = 200 * time.Millisecond  // shortest backoff after a rejection
	retryBackoffMax  = 1800 * time.Millisecond // longest backoff, however many calls were rejected in a row and however large the fleet

	// A list that is too large is fetched again less often, since it stays too large
	// until an operator intervenes, and each fetch costs discovery and the network as
	// much as a complete list.
	tooLargeBackoffBase = time.Second
	tooLargeBackoffMax  = 30 * time.Second

	maxBackoffDoublings = 8 // after these doublings every backoff has reached its maximum
)

// isRejection reports whether a call failed because discovery is overloaded or not
// running.
func isRejection(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.isRejection() || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// isSelfLimiting reports whether a call ended by a timeout, or could not connect
// for another reason than a rejection. Such calls cannot overload discovery when
// they are retried soon: a timeout has taken a second at least, unless it ended a
// watch within an unfinished list, and a call without a connection does not reach
// discovery.
func isSelfLimiting(err error) bool {
	var opError *net.OpError
	var timeout net.Error
	dialed := errors.As(err, &opError) && opError.Op == "dial"
	if errors.Is(err, syscall.ETIMEDOUT) && !dialed {
		return false // an established connection broke; its error also reports Timeout
	}
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, errWatchSilent) || errors.Is(err, context.DeadlineExceeded) ||
		dialed && !isRejection(err)
}

// retrySpread returns the delay from a rejected call to its retry. fleetServeTime
// is the time that discovery takes to serve one call of each relay of the fleet,
// failures is how many calls in a row were rejected before this one, and draw is a
// random number, evenly distributed over [0, 1).
type retrySpread func(fleetServeTime time.Duration, failures int, draw float64) time.Duration

// boundedRetrySpread meets two requirements. A relay must apply a change of the
// list within 6 s after discovery can be reached again, so the delay never exceeds
// retryBackoffMax: that leaves time for a call that hung until its timeout, one
// more rejection and the response. And when a whole fleet loses discovery at the
// same time, its calls must not arrive together. The first delays are therefore
// drawn from the whole range. Later ones are drawn from its upper half only: the
// calls are spread by then, and longer delays make fewer of them.
func boundedRetrySpread(fleetServeTime time.Duration, failures int, draw float64) time.Duration {
	longest := min(min(retryBackoffBase+fleetServeTime, retryBackoffMax)<<min(failures, maxBackoffDoublings), retryBackoffMax)
	shortest := retryBackoffMin
	if failures > 0 {
		shortest = max(shortest, longest/2)
	}
	return shortest + time.Duration(float64(longest-shortest)*draw)
}

// tooLargeDelay returns the delay before a list that was too large is fetched
// again: an exponential backoff with jitter. failures counts the earlier lists in a
// row that were too large.
func tooLargeDelay(failures int, draw float64) time.Duration {
	longest := min(tooLargeBackoffBase<<min(failures, maxBackoffDoublings), tooLargeBackoffMax)
	return longest/2 + time.Duration(float64(longest/2)*draw)
}

// failureCounts holds the failures since a watch last received an update or a
// keepalive.
type failureCounts struct {
	rejected    int  // calls that were rejected, or that failed otherwise once reconnected was set
	reconnected bool // a call that had connected failed by neither rejection nor timeout, and was retried after reconnectDelay
	tooLarge    int  // lists that were too large
}

// retryDelay counts a failure and returns the delay before the retry. A watch
// that ended is reopened soon, since the relay must learn of drains in time. If
// the new watch also ends before it receives anything, discovery is failing, and
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

// resetFailures makes the next failure count as the first. It is called when a
// watch received an update or a keepalive, and when the address was replaced.
func (w *Watch) resetFailures() { w.failures = failureCounts{} }

// sleepContext sleeps for d, or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
