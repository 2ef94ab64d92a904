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

// Guards word of a change after an outage, and discovery against a fleet that
// comes back at one moment: however many tries were refused in a row, the next
// comes within a bound, and those of a large fleet are spread over a second or
// so, which keeps them under one call a second of each relay.
func TestDiscoveryPause(t *testing.T) {
	for _, refusal := range []error{&StatusError{"list", http.StatusServiceUnavailable}, &StatusError{"watch", http.StatusTooManyRequests},
		fmt.Errorf("discovery: %w", syscall.ECONNREFUSED), fmt.Errorf("discovery: %w", syscall.ECONNRESET)} {
		for _, relays := range []int{1, 30, 80, 300, 450, 3000} {
			latest := NewWatch("127.0.0.1:1", relays, slog.New(slog.DiscardHandler), nil)
			latest.random = func() float64 { return 1 }
			soonest := NewWatch("127.0.0.1:1", relays, slog.New(slog.DiscardHandler), nil)
			soonest.random = func() float64 { return 0 }
			last := time.Duration(0)
			for i := range 100 {
				low, high := soonest.retryDelay(refusal), latest.retryDelay(refusal)
				if low < retryBackoffMin || high > retryBackoffMax || high < last {
					t.Errorf("%v, %d relays: pause %d is %v to %v, %v at most before", refusal, relays, i, low, high, last)
				}
				if relays >= 30 && (high-low < retryBackoffMax/2 || low+high < 2*time.Second || i == 0 && low > 400*time.Millisecond) {
					t.Errorf("%v, %d relays: pause %d is %v to %v: no spread", refusal, relays, i, low, high)
				}
				last = high
			}
			if 2*retryBackoffMax >= 4*time.Second {
				t.Errorf("after a move, whose list counts as told in 4 s, a second refusal leaves no time")
			}
			if last != retryBackoffMax {
				t.Errorf("%d relays: pauses grow to %v alone", relays, last)
			}
			// What the answer of a call, or a silent watch, may take is spent before it is known to have failed.
			hung := max(latest.silenceTimeout, latest.answerTimeout)
			if left := 6*time.Second - hung - latest.retryDelay(context.DeadlineExceeded) - retryBackoffMax; left < 300*time.Millisecond {
				t.Errorf("%d relays: a call that hung, and another that is refused, leave %v", relays, left)
			}
		}
	}
}

// A list that is too large is asked for again with an exponential backoff, and
// jitter, up to half a minute.
func TestPauseTooLarge(t *testing.T) {
	x := NewWatch("127.0.0.1:1", 300, slog.New(slog.DiscardHandler), nil)
	tooLarge := fmt.Errorf("discovery: %w", &ListTooLargeError{Size: 2, Max: 1})
	for round := range 2 {
		for i := range 12 {
			most := min(time.Second<<i, 30*time.Second)
			x.random = func() float64 { return float64(i % 2) }
			if p := x.retryDelay(tooLarge); p < most/2 || p > most || i%2 == 1 && p != most {
				t.Errorf("round %d: pause %d is %v", round, i, p)
			}
		}
		x.resetFailures()
	}
}

// A watch that ended is opened anew at once, once; where that ends too, tries
// are spread like refused ones. One that hung has taken its time already.
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
// in place of hanging up and asking again.
func TestDiscoveryWaitsItsTurn(t *testing.T) {
	if few := NewWatch("127.0.0.1:1", 2, slog.New(slog.DiscardHandler), nil); few.answerTimeout > 2*baseAnswerTimeout {
		t.Errorf("2 relays wait %v for an answer", few.answerTimeout)
	}
	if many := NewWatch("127.0.0.1:1", 80, slog.New(slog.DiscardHandler), nil); many.answerTimeout < 2*baseAnswerTimeout {
		t.Errorf("80 relays wait %v for an answer", many.answerTimeout)
	}
}

// Guards word of a drain, which counts as told by the clock: in a fleet of any
// size a start asks inside the grace for what its agent has, an answer that
// does not come is given up in time, and so is the first pause.
func TestDiscoveryInTime(t *testing.T) {
	const told, grace = 6 * time.Second, 2 * time.Second
	for _, relays := range []int{2, 80, 300, 3000} {
		x := NewWatch("127.0.0.1:1", relays, slog.New(slog.DiscardHandler), nil)
		x.random = func() float64 { return 1 }
		if first := x.startDelay(); first >= grace {
			t.Errorf("%d relays: the first call comes after %v", relays, first)
		}
		if x.answerTimeout >= told-grace {
			t.Errorf("%d relays: an answer is waited for %v", relays, x.answerTimeout)
		}
		if p := x.retryDelay(&StatusError{"list", http.StatusServiceUnavailable}); p >= told-grace/2 {
			t.Errorf("%d relays: the first pause is %v", relays, p)
		}
	}
}

// Tune sets what only tests change: a silence after which a watch is given up,
// what it takes to serve all relays, and the draws. Zero values leave them.
func (w *Watch) Tune(silence, all time.Duration, random func() float64) {
	if silence > 0 {
		w.silenceTimeout = silence
	}
	w.fleetServeTime = all
	if random != nil {
		w.random = random
	}
}

// LimitLists sets how large a list, or a line of a watch, may be.
func (w *Watch) LimitLists(bytes int) { w.listLimit = bytes }

// NoticeAgain is by when the second try of a notice comes.
const NoticeAgain = noticeTimeoutMin + noticeBackoffMin
