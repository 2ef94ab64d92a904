// Package acceptretry keeps servers accepting connections after transient
// errors. net/http stops a server at the first error of accept that does not
// report itself as temporary. On Linux many such errors concern only a single
// connection, or pass soon (accept(2)).
package acceptretry

import (
	"errors"
	"net"
	"os"
	"time"
)

// Bounds of the backoff after an error, which doubles with each further error in a
// row.
const (
	minBackoff = time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// retryListener retries Accept after every error except net.ErrClosed and
// os.ErrDeadlineExceeded. It does not check whether the error is transient.
type retryListener struct{ net.Listener }

// NewListener wraps ln in a listener whose Accept fails only once ln is closed
// or its deadline has passed. After any other error Accept blocks for a backoff
// and tries again. Closing the result closes ln.
func NewListener(ln net.Listener) net.Listener { return retryListener{ln} }

// Accept returns the next connection. Its error wraps net.ErrClosed or
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
