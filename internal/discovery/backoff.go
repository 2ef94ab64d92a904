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
	retryBackoffBase = 400 * time.Millisecond  // spread of the first try after a refused one, beside what the fleet adds
	retryBackoffMin  = 200 * time.Millisecond  // no refused try is made again sooner
	retryBackoffMax  = 1800 * time.Millisecond // nor later, however many were refused in a row and however large the fleet

	// A list that is too large stays so until somebody has seen to it, and each
	// costs discovery and the network what a whole list does.
	tooLargeBackoffBase = time.Second
	tooLargeBackoffMax  = 30 * time.Second
)

// isRefusal reports whether discovery turned a try away: it has too many, or is
// not there.
func isRefusal(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.turnedAway() || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// limitsItself reports whether a try ended by a time limit, or never left this
// machine. Neither can become many calls a second: the first has taken a
// second at least, and the other reaches nobody.
func limitsItself(err error) bool {
	var opError *net.OpError
	var timeout net.Error
	dialed := errors.As(err, &opError) && opError.Op == "dial"
	if errors.Is(err, syscall.ETIMEDOUT) && !dialed {
		return false // a connection that stood has broken: Timeout says yes to that, too
	}
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, errWatchSilent) || errors.Is(err, context.DeadlineExceeded) ||
		dialed && !isRefusal(err)
}

// retrySpread gives the time from a refused try to the next one. fleetServeTime is
// what discovery takes to serve the whole fleet, failures is how many tries in
// a row were refused before this one, and draw is evenly distributed over 0 to 1.
type retrySpread func(fleetServeTime time.Duration, failures int, draw float64) time.Duration

// boundedSpread keeps two promises. A change has to be known 6 s after
// discovery can be reached again, so the time to the next try never exceeds
// retryBackoffMax: that leaves room for a call that hung until its time limit,
// one more try that is turned away and the answer. And the calls of a fleet
// that lost discovery at one moment must not come together: the first are drawn
// over the whole range, and as they are spread by then, the next only over its
// upper half, which makes fewer of them.
func boundedSpread(fleetServeTime time.Duration, failures int, draw float64) time.Duration {
	high := min(min(retryBackoffBase+fleetServeTime, retryBackoffMax)<<min(failures, 8), retryBackoffMax)
	low := retryBackoffMin
	if failures > 0 {
		low = max(low, high/2)
	}
	return low + time.Duration(float64(high-low)*draw)
}

// tooLargeDelay is how long to wait before a list that was too large is asked for
// again, after so many before it in a row: an exponential backoff with jitter.
func tooLargeDelay(before int, draw float64) time.Duration {
	longest := min(tooLargeBackoffBase<<min(before, 8), tooLargeBackoffMax)
	return longest/2 + time.Duration(float64(longest/2)*draw)
}

// failureRun counts the failures since a watch last brought something.
type failureRun struct {
	refused     int  // tries that were refused, or cut short after the first
	reconnected bool // a connection ended, and the watch was opened anew at once
	tooLarge    int  // lists that were too large
}

// retryDelay is how long to wait before the next try. A watch that ended is opened
// anew soon, for the sake of word of a drain. Where that ends too, before it
// brought anything, discovery is in trouble, and the tries are spread as those
// that it refuses.
func (w *Watch) retryDelay(err error) time.Duration {
	draw, run := w.random(), &w.failures
	var tooLarge *ListTooLargeError
	switch {
	case errors.As(err, &tooLarge):
		run.tooLarge++
		return tooLargeDelay(run.tooLarge-1, draw)
	case limitsItself(err):
	case !isRefusal(err) && !run.reconnected:
		run.reconnected = true
	default:
		run.refused++
		return w.spread(w.fleetServeTime, run.refused-1, draw)
	}
	return time.Duration(float64(reconnectDelay) * (0.5 + draw))
}

// recovered ends a run of failures: a watch brought something.
func (w *Watch) recovered() { w.failures = failureRun{} }

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
