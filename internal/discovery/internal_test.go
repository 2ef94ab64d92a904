package discovery

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against late updates after an outage, and against a fleet whose calls all
// arrive together. However many calls were rejected in a row, the retry comes within
// retryBackoffMax. The retries of a large fleet are spread over 0.9 s at least, and
// each relay makes at most one call a second on average.
func TestRejectedCallsAreRetriedSpreadAndWithinBound(t *testing.T) {
	for _, rejection := range []error{&StatusError{"list", http.StatusServiceUnavailable}, &StatusError{"watch", http.StatusTooManyRequests},
		fmt.Errorf("discovery: %w", syscall.ECONNREFUSED), fmt.Errorf("discovery: %w", syscall.ECONNRESET)} {
		for _, relays := range []int{1, 30, 80, 300, 450, 3000} {
			maxDrawWatch := NewWatch("127.0.0.1:1", relays, slog.New(slog.DiscardHandler), nil)
			maxDrawWatch.random = func() float64 { return 1 }
			minDrawWatch := NewWatch("127.0.0.1:1", relays, slog.New(slog.DiscardHandler), nil)
			minDrawWatch.random = func() float64 { return 0 }
			previousHigh := time.Duration(0)
			for i := range 100 {
				low, high := minDrawWatch.retryDelay(rejection), maxDrawWatch.retryDelay(rejection)
				if low < retryBackoffMin || high > retryBackoffMax || high < previousHigh {
					t.Errorf("%v, %d relays: backoff %d is from %v to %v, and the one before was at most %v", rejection, relays, i, low, high, previousHigh)
				}
				if relays >= 30 && (high-low < retryBackoffMax/2 || low+high < 2*time.Second || i == 0 && low > 400*time.Millisecond) {
					t.Errorf("%v, %d relays: backoff %d is from %v to %v, which does not spread the calls", rejection, relays, i, low, high)
				}
				previousHigh = high
			}
			if 2*retryBackoffMax >= 4*time.Second {
				t.Errorf("two rejections leave no time within the 4 s after which the list of a new address counts as received")
			}
			if previousHigh != retryBackoffMax {
				t.Errorf("%d relays: backoffs grow to %v only, not to retryBackoffMax", relays, previousHigh)
			}
			// A call that hangs, or a silent watch, fails only after its timeout.
			hungCall := max(maxDrawWatch.silenceTimeout, maxDrawWatch.answerTimeout)
			if timeLeft := 6*time.Second - hungCall - maxDrawWatch.retryDelay(context.DeadlineExceeded) - retryBackoffMax; timeLeft < 300*time.Millisecond {
				t.Errorf("%d relays: a call that hung and one that was rejected leave %v of the 6 s, want at least 300 ms", relays, timeLeft)
			}
		}
	}
}

// A list that is too large is fetched again after an exponential backoff with
// jitter, of at most 30 s. A reset restarts the backoff.
func TestTooLargeListBacksOffExponentiallyUpTo30s(t *testing.T) {
	watch := NewWatch("127.0.0.1:1", 300, slog.New(slog.DiscardHandler), nil)
	tooLarge := fmt.Errorf("discovery: %w", &ListTooLargeError{Size: 2, Max: 1})
	for round := range 2 {
		for i := range 12 {
			longest := min(time.Second<<i, 30*time.Second)
			watch.random = func() float64 { return float64(i % 2) }
			if delay := watch.retryDelay(tooLarge); delay < longest/2 || delay > longest || i%2 == 1 && delay != longest {
				t.Errorf("round %d: backoff %d is %v", round, i, delay)
			}
		}
		watch.resetFailures()
	}
}

// A watch that ended is reopened soon the first time. If the new one ends too, the
// retries are spread like those of rejected calls. A watch that fell silent is
// always reopened soon, since its timeout has delayed the retry already.
func TestEndedWatchIsReopenedSoonOnceThenBacksOff(t *testing.T) {
	watch := NewWatch("127.0.0.1:1", 300, slog.New(slog.DiscardHandler), nil)
	watch.random = func() float64 { return 1 }
	for range 2 {
		if delay := watch.retryDelay(io.EOF); delay > 2*reconnectDelay {
			t.Errorf("the first watch that ended is reopened only after %v", delay)
		}
		for range 3 {
			if delay := watch.retryDelay(io.EOF); delay != retryBackoffMax {
				t.Errorf("a further watch that ended is reopened after at most %v, want retryBackoffMax", delay)
			}
		}
		watch.resetFailures()
	}
	for range 3 {
		if delay := watch.retryDelay(fmt.Errorf("discovery: %w", errWatchSilent)); delay > 2*reconnectDelay {
			t.Errorf("a watch that fell silent is reopened only after %v", delay)
		}
	}
}

// Guards against growing discovery's queue: a relay of a large fleet waits while the
// calls before its own are served, instead of timing out and calling again.
func TestResponseTimeoutGrowsWithFleet(t *testing.T) {
	if smallFleet := NewWatch("127.0.0.1:1", 2, slog.New(slog.DiscardHandler), nil); smallFleet.answerTimeout > 2*baseAnswerTimeout {
		t.Errorf("in a fleet of 2 relays the response timeout is %v, too long", smallFleet.answerTimeout)
	}
	if largeFleet := NewWatch("127.0.0.1:1", 80, slog.New(slog.DiscardHandler), nil); largeFleet.answerTimeout < 2*baseAnswerTimeout {
		t.Errorf("in a fleet of 80 relays the response timeout is %v, too short", largeFleet.answerTimeout)
	}
}

// Guards against missed drains. A drain counts as received 6 s after its announcement at
// the latest, even if the relay does not know of it, and a grace period of 2 s is all
// that the relay then has to stop calling the endpoint. So, in a fleet of any size, a
// relay that starts makes its first call to the agent within 2 s, and both the response
// timeout and the delay before the first retry leave enough of the 6 s.
func TestStartDelayTimeoutAndBackoffLeaveTimeForDrains(t *testing.T) {
	const receivedWithin, grace = 6 * time.Second, 2 * time.Second
	for _, relays := range []int{2, 80, 300, 3000} {
		watch := NewWatch("127.0.0.1:1", relays, slog.New(slog.DiscardHandler), nil)
		watch.random = func() float64 { return 1 }
		if startDelay := watch.startDelay(); startDelay >= grace {
			t.Errorf("%d relays: the first call comes after %v", relays, startDelay)
		}
		if watch.answerTimeout >= receivedWithin-grace {
			t.Errorf("%d relays: the response timeout is %v", relays, watch.answerTimeout)
		}
		if backoff := watch.retryDelay(&StatusError{"list", http.StatusServiceUnavailable}); backoff >= receivedWithin-grace/2 {
			t.Errorf("%d relays: the first backoff is %v", relays, backoff)
		}
	}
}

// Tune sets the timeout of a silent watch, the time that discovery takes to serve
// all relays, and the source of random numbers, which only tests change. A silence
// of zero or a nil random leaves the value as it was.
func (w *Watch) Tune(silence, fleetServeTime time.Duration, random func() float64) {
	if silence > 0 {
		w.silenceTimeout = silence
	}
	w.fleetServeTime = fleetServeTime
	if random != nil {
		w.random = random
	}
}

// LimitLists sets the maximum size of a list, and of an update of a watch.
func (w *Watch) LimitLists(bytes int) { w.listLimit = bytes }

// NoticeRetryDelay is the time from the first attempt to send a notice to the second, if
// the first gets no response.
const NoticeRetryDelay = noticeTimeoutMin + noticeBackoffMin
