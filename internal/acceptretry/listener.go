// Package acceptretry has servers go on accepting after errors that pass. net/http ends a
// server at the first error of accept that does not call itself temporary, and Linux has
// many of those that are of one connection, or of a moment (accept(2)).
package acceptretry

import (
	"errors"
	"net"
	"os"
	"time"
)

// Pauses after an error; each is twice the one before, until a connection comes.
const (
	pauseLeast = time.Millisecond
	pauseMost  = 100 * time.Millisecond
)

type patient struct{ net.Listener }

// NewListener gives a listener whose Accept fails only once it is closed, or its deadline is
// over. Each other error is waited out.
func NewListener(ln net.Listener) net.Listener { return patient{ln} }

func (p patient) Accept() (net.Conn, error) {
	for pause := pauseLeast; ; pause = min(2*pause, pauseMost) {
		conn, err := p.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		time.Sleep(pause)
	}
}
