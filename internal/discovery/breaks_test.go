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
// they are open, whatever the error: the first watch that breaks is reopened soon, and the next
// are spread like rejected calls.
func TestBrokenWatchesAreSpread(t *testing.T) {
	for _, broken := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.ENETUNREACH} {
		w := NewWatch("127.0.0.1:1", 300, slog.New(slog.DiscardHandler), func(*List) {})
		w.random = func() float64 { return 0 }
		err := fmt.Errorf("discovery: watch: %w", &url.Error{Op: "Get", URL: "http://x/", Err: &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", broken)}})
		var total time.Duration
		const attempts = 8
		for range attempts {
			total += w.retryDelay(err)
		}
		if least := (attempts - 1) * retryBackoffMin; total < least {
			t.Errorf("%v: %d attempts were delayed by %v in total, want at least %v", broken, attempts, total, least)
		}
	}
	w := NewWatch("127.0.0.1:1", 300, slog.New(slog.DiscardHandler), func(*List) {})
	w.random = func() float64 { return 0 }
	for range 8 { // needs no longer backoff: each connect took a second until its timeout
		dial := &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		if d := w.retryDelay(fmt.Errorf("discovery: %w", &url.Error{Op: "Get", URL: "http://x/", Err: dial})); d > reconnectDelay {
			t.Errorf("the delay after a connect that timed out is %v, more than reconnectDelay", d)
		}
	}
}
