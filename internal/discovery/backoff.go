package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	retryBackoffBase = 400 * time.Millisecond  // spread of the first try after a refused one, beside what the fleet adds
	retryBackoffMin  = 200 * time.Millisecond  // no refused try is made again sooner
	retryBackoffMax  = 1800 * time.Millisecond // nor later, however many were refused in a row and however large the fleet

	// A list that is too large stays so until somebody has seen to it, and each
	// costs discovery and the network what a whole list does.
	tooLargeBackoffBase = time.Second
	tooLargeBackoffMax  = 30 * time.Second
)

// errTurnedAway is a status by which discovery turns a call away.
var errTurnedAway = errors.New("turned away")

// statusError tells of an answer other than 200.
func statusError(what string, code int) error {
	if code == http.StatusTooManyRequests || code >= http.StatusInternalServerError {
		return fmt.Errorf("discovery: %s: status %d: %w", what, code, errTurnedAway)
	}
	return fmt.Errorf("discovery: %s: status %d", what, code)
}

// isRefusal reports whether discovery turned a try away: it has too many, or is
// not there.
func isRefusal(err error) bool {
	return errors.Is(err, errTurnedAway) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// limitsItself reports whether a try ended by a time limit, or never left this
// machine. Neither can become many calls a second: the first has taken a
// second at least, and the other reaches nobody.
func limitsItself(err error) bool {
	var opError *net.OpError
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, errWatchSilent) || errors.Is(err, context.DeadlineExceeded) ||
		errors.As(err, &opError) && opError.Op == "dial" && !isRefusal(err)
}

// errWatchSilent ends a watch on which nothing came for too long.
var errWatchSilent = errors.New("silent")

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

// retryDelay is how long to wait before the next try. A watch that ended is opened
// anew soon, for the sake of word of a drain. Where that ends too, before it
// brought anything, discovery is in trouble, and the tries are spread as those
// that it refuses.
func (w *Watch) retryDelay(err error) time.Duration {
	var tooLarge *ListTooLargeError
	if errors.As(err, &tooLarge) {
		longest := min(tooLargeBackoffBase<<min(w.oversized, 8), tooLargeBackoffMax)
		w.oversized++
		return longest/2 + time.Duration(float64(longest/2)*w.random())
	}
	if limitsItself(err) {
		return w.shortDelay()
	}
	if !isRefusal(err) && !w.reconnected {
		w.reconnected = true
		return w.shortDelay()
	}
	w.failures++
	return w.spread(w.fleetServeTime, w.failures-1, w.random())
}

func (w *Watch) shortDelay() time.Duration {
	return time.Duration(float64(reconnectDelay) * (0.5 + w.random()))
}

// recovered ends a run of failures: a watch brought something.
func (w *Watch) recovered() { w.failures, w.reconnected, w.oversized = 0, false, 0 }
