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
// retryBackoffMax. The retries of a large fleet are spread over about a second, so
// that each relay makes less than one call a second.
func TestDiscoveryPause(t *testing.T) {
	for _, rejection := range []error{&StatusError{"list", http.StatusServiceUnavailable}, &StatusError{"watch", http.StatusTooManyRequests},
		fmt.Errorf("discovery: %w", syscall.ECONNREFUSED), fmt.Errorf("discovery: %w", syscall.ECONNRESET)} {
		for _, relays := range []int{1, 30, 80, 300, 450, 3000} {
			latest := NewWatch("127.0.0.1:1", relays, slog.New(slog.DiscardHandler), nil)
			latest.random = func() float64 { return 1 }
			soonest := NewWatch("127.0.0.1:1", relays, slog.New(slog.DiscardHandler), nil)
			soonest.random = func() float64 { return 0 }
			last := time.Duration(0)
			for i := range 100 {
				low, high := soonest.retryDelay(rejection), latest.retryDelay(rejection)
				if low < retryBackoffMin || high > retryBackoffMax || high < last {
					t.Errorf("%v, %d relays: backoff %d is from %v to %v, and the one before was at most %v", rejection, relays, i, low, high, last)
				}
				if relays >= 30 && (high-low < retryBackoffMax/2 || low+high < 2*time.Second || i == 0 && low > 400*time.Millisecond) {
					t.Errorf("%v, %d relays: backoff %d is from %v to %v, which does not spread the calls", rejection, relays, i, low, high)
				}
				last = high
			}
			if 2*retryBackoffMax >= 4*time.Second {
				t.Errorf("two rejections leave no time within the 4 s after which the list of a new address counts as received")
			}
			if last != retryBackoffMax {
				t.Errorf("%d relays: backoffs grow to %v only, not to retryBackoffMax", relays, last)
			}
			// A call that hangs, or a silent watch, fails only after its timeout.
			hung := max(latest.silenceTimeout, latest.answerTimeout)
			if left := 6*time.Second - hung - latest.retryDelay(context.DeadlineExceeded) - retryBackoffMax; left < 300*time.Millisecond {
				t.Errorf("%d relays: a call that hung and one that was rejected leave %v of the 6 s, want at least 300 ms", relays, left)
			}
		}
	}
}

// A list that is too large is fetched again after an exponential backoff with
// jitter, of at most 30 s. A reset restarts the backoff.
func TestPauseTooLarge(t *testing.T) {
	x := NewWatch("127.0.0.1:1", 300, slog.New(slog.DiscardHandler), nil)
	tooLarge := fmt.Errorf("discovery: %w", &ListTooLargeError{Size: 2, Max: 1})
	for round := range 2 {
		for i := range 12 {
			most := min(time.Second<<i, 30*time.Second)
			x.random = func() float64 { return float64(i % 2) }
			if p := x.retryDelay(tooLarge); p < most/2 || p > most || i%2 == 1 && p != most {
				t.Errorf("round %d: backoff %d is %v", round, i, p)
			}
		}
		x.resetFailures()
	}
}

// A watch that ended is reopened soon the first time. If the new one ends too, the
// retries are spread like those of rejected calls. A watch that fell silent is
// always reopened soon, since its timeout has delayed the retry already.
func TestPauseAfterEnd(t *testing.T) {
	x := NewWatch("127.0.0.1:1", 300, slog.New(slog.DiscardHandler), nil)
	x.random = func() float64 { return 1 }
	for range 2 {
		if p := x.retryDelay(io.EOF); p > 2*reconnectDelay {
			t.Errorf("the first watch that ended is reopened only after %v", p)
		}
		for range 3 {
			if p := x.retryDelay(io.EOF); p != retryBackoffMax {
				t.Errorf("a further watch that ended is reopened after at most %v, want retryBackoffMax", p)
			}
		}
		x.resetFailures()
	}
	for range 3 {
		if p := x.retryDelay(fmt.Errorf("discovery: %w", errWatchSilent)); p > 2*reconnectDelay {
			t.Errorf("a watch that fell silent is reopened only after %v", p)
		}
	}
}

// Guards against growing discovery's queue: a relay of a large fleet waits while the
// calls before its own are served, instead of timing out and calling again.
func TestDiscoveryWaitsItsTurn(t *testing.T) {
	if few := NewWatch("127.0.0.1:1", 2, slog.New(slog.DiscardHandler), nil); few.answerTimeout > 2*baseAnswerTimeout {
		t.Errorf("in a fleet of 2 relays the response timeout is %v, too long", few.answerTimeout)
	}
	if many := NewWatch("127.0.0.1:1", 80, slog.New(slog.DiscardHandler), nil); many.answerTimeout < 2*baseAnswerTimeout {
		t.Errorf("in a fleet of 80 relays the response timeout is %v, too short", many.answerTimeout)
	}
}

// Guards against missing drains, which count as received once a fixed time has
// passed. In a fleet of any size, a relay that starts calls its agent within the
// grace period, and both the response timeout and the first backoff end early
// enough.
func TestDiscoveryInTime(t *testing.T) {
	const receivedWithin, grace = 6 * time.Second, 2 * time.Second
	for _, relays := range []int{2, 80, 300, 3000} {
		x := NewWatch("127.0.0.1:1", relays, slog.New(slog.DiscardHandler), nil)
		x.random = func() float64 { return 1 }
		if first := x.startDelay(); first >= grace {
			t.Errorf("%d relays: the first call comes after %v", relays, first)
		}
		if x.answerTimeout >= receivedWithin-grace {
			t.Errorf("%d relays: the response timeout is %v", relays, x.answerTimeout)
		}
		if p := x.retryDelay(&StatusError{"list", http.StatusServiceUnavailable}); p >= receivedWithin-grace/2 {
			t.Errorf("%d relays: the first backoff is %v", relays, p)
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

// NoticeAgain is the time from the first attempt to send a notice to the second, if
// the first gets no response.
const NoticeAgain = noticeTimeoutMin + noticeBackoffMin
