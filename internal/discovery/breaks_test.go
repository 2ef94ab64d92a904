package discovery

import (
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards discovery against many calls a second from watches whose connections break as soon as
// they are open, whatever the error: at most the first watch that breaks is reopened soon, and
// the next are spread like rejected calls.
func TestRepeatedlyBreakingWatchesBackOff(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.ENETUNREACH} {
		w := NewWatch("127.0.0.1:1", 300, slog.New(slog.DiscardHandler), func(*List) {})
		w.random = func() float64 { return 0 }
		err := fmt.Errorf("discovery: watch: %w", &url.Error{Op: "Get", URL: "http://x/", Err: &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}})
		var total time.Duration
		const attempts = 8
		for range attempts {
			total += w.retryDelay(err)
		}
		if minTotal := (attempts - 1) * retryBackoffMin; total < minTotal {
			t.Errorf("%v: %d attempts were delayed by %v in total, want at least %v", errno, attempts, total, minTotal)
		}
	}
	w := NewWatch("127.0.0.1:1", 300, slog.New(slog.DiscardHandler), func(*List) {})
	w.random = func() float64 { return 0 }
	for range 8 { // needs no longer backoff: each connect took a second until its timeout
		dialError := &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		if delay := w.retryDelay(fmt.Errorf("discovery: %w", &url.Error{Op: "Get", URL: "http://x/", Err: dialError})); delay > reconnectDelay {
			t.Errorf("the delay after a connect that timed out is %v, more than reconnectDelay", delay)
		}
	}
}
