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

// A connection may break at once, whatever the error: a watch that is opened anew and breaks
// again and again must not amount to many calls a second. The first is opened anew soon, the
// next are spread like those of rejected calls.
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
			t.Errorf("%v: %d attempts in %v, want %v at least", broken, attempts, total, least)
		}
	}
	w := NewWatch("127.0.0.1:1", 300, slog.New(slog.DiscardHandler), func(*List) {})
	w.random = func() float64 { return 0 }
	for range 8 { // these took a second each
		dial := &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		if d := w.retryDelay(fmt.Errorf("discovery: %w", &url.Error{Op: "Get", URL: "http://x/", Err: dial})); d > reconnectDelay {
			t.Errorf("after a connect that timed out: %v", d)
		}
	}
}
