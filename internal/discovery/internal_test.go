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

// Guards updates after an outage, and discovery against a fleet that comes back
// at one moment: however many calls were rejected in a row, the retry comes within
// a bound, and those of a large fleet are spread over a second or so, which keeps
// them under one call a second of each relay.
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
					t.Errorf("%v, %d relays: backoff %d is %v to %v, %v at most before", rejection, relays, i, low, high, last)
				}
				if relays >= 30 && (high-low < retryBackoffMax/2 || low+high < 2*time.Second || i == 0 && low > 400*time.Millisecond) {
					t.Errorf("%v, %d relays: backoff %d is %v to %v: no spread", rejection, relays, i, low, high)
				}
				last = high
			}
			if 2*retryBackoffMax >= 4*time.Second {
				t.Errorf("after a change of address, whose list counts as received in 4 s, a second rejection leaves no time")
			}
			if last != retryBackoffMax {
				t.Errorf("%d relays: backoffs grow to %v only", relays, last)
			}
			// A call that hangs, or a silent watch, has failed only after its timeout.
			hung := max(latest.silenceTimeout, latest.answerTimeout)
			if left := 6*time.Second - hung - latest.retryDelay(context.DeadlineExceeded) - retryBackoffMax; left < 300*time.Millisecond {
				t.Errorf("%d relays: a call that hung, and another that is rejected, leave %v", relays, left)
			}
		}
	}
}

// A list that is too large is fetched again with an exponential backoff and
// jitter, up to half a minute.
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

// A watch that ended is opened anew at once, once; if that ends too, the retries
// are spread like those of rejected calls. One that hung has waited already.
func TestPauseAfterEnd(t *testing.T) {
	x := NewWatch("127.0.0.1:1", 300, slog.New(slog.DiscardHandler), nil)
	x.random = func() float64 { return 1 }
	for range 2 {
		if p := x.retryDelay(io.EOF); p > 2*reconnectDelay {
			t.Errorf("a watch that ended is opened anew after %v", p)
		}
		for range 3 {
			if p := x.retryDelay(io.EOF); p != retryBackoffMax {
				t.Errorf("watches that end at once are opened anew after %v at most", p)
			}
		}
		x.resetFailures()
	}
	for range 3 {
		if p := x.retryDelay(fmt.Errorf("discovery: %w", errWatchSilent)); p > 2*reconnectDelay {
			t.Errorf("a watch that fell silent is opened anew after %v", p)
		}
	}
}

// Guards discovery's queue: a relay of a large fleet waits for those before it
// instead of closing the connection and calling again.
func TestDiscoveryWaitsItsTurn(t *testing.T) {
	if few := NewWatch("127.0.0.1:1", 2, slog.New(slog.DiscardHandler), nil); few.answerTimeout > 2*baseAnswerTimeout {
		t.Errorf("2 relays wait %v for an answer", few.answerTimeout)
	}
	if many := NewWatch("127.0.0.1:1", 80, slog.New(slog.DiscardHandler), nil); many.answerTimeout < 2*baseAnswerTimeout {
		t.Errorf("80 relays wait %v for an answer", many.answerTimeout)
	}
}

// Guards drains, which count as received by the clock: in a fleet of any size a
// start calls its agent within the grace period, a missing response times out
// early enough, and so does the first backoff.
func TestDiscoveryInTime(t *testing.T) {
	const receivedWithin, grace = 6 * time.Second, 2 * time.Second
	for _, relays := range []int{2, 80, 300, 3000} {
		x := NewWatch("127.0.0.1:1", relays, slog.New(slog.DiscardHandler), nil)
		x.random = func() float64 { return 1 }
		if first := x.startDelay(); first >= grace {
			t.Errorf("%d relays: the first call comes after %v", relays, first)
		}
		if x.answerTimeout >= receivedWithin-grace {
			t.Errorf("%d relays: a response is awaited for %v", relays, x.answerTimeout)
		}
		if p := x.retryDelay(&StatusError{"list", http.StatusServiceUnavailable}); p >= receivedWithin-grace/2 {
			t.Errorf("%d relays: the first backoff is %v", relays, p)
		}
	}
}

// Tune sets what only tests change: the timeout of a silent watch, the time that
// discovery takes to serve all relays, and the random draws. A zero silence or nil
// random leaves what it was.
func (w *Watch) Tune(silence, fleetServeTime time.Duration, random func() float64) {
	if silence > 0 {
		w.silenceTimeout = silence
	}
	w.fleetServeTime = fleetServeTime
	if random != nil {
		w.random = random
	}
}

// LimitLists sets the size limit of a list, and of an update of a watch.
func (w *Watch) LimitLists(bytes int) { w.listLimit = bytes }

// NoticeAgain is the delay after which a notice is sent a second time.
const NoticeAgain = noticeTimeoutMin + noticeBackoffMin
