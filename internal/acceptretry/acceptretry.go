// Package acceptretry keeps servers accepting connections after transient
// errors. net/http ends a server at the first error of accept that does not
// call itself temporary, and Linux has many of those that concern a single
// connection, or last for a moment (accept(2)).
package acceptretry

import (
	"errors"
	"net"
	"os"
	"time"
)

// Backoff after an error; it doubles with each further one, until a connection
// is accepted.
const (
	minBackoff = time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// retryListener retries Accept after transient errors.
type retryListener struct{ net.Listener }

// NewListener wraps ln in a listener whose Accept fails only once ln is closed
// or its deadline has passed. Any other error is retried after a backoff, for
// which Accept blocks. Closing the result closes ln.
func NewListener(ln net.Listener) net.Listener { return retryListener{ln} }

// Accept returns the next connection. Its error is net.ErrClosed or
// os.ErrDeadlineExceeded.
func (l retryListener) Accept() (net.Conn, error) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		time.Sleep(backoff)
	}
}
