package model

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// rebindGrace is how long open requests may go on at an address that was given up.
const rebindGrace = 1500 * time.Millisecond

// Listener is the HTTP server on which a relay finds discovery. Its address can
// change, and it can go silent while its connections stay open. It is safe for
// concurrent use; its creator closes it.
type Listener struct {
	ip      string
	handler http.Handler
	wg      sync.WaitGroup

	mu      sync.Mutex
	server  *http.Server
	addr    string
	silent  bool
	changed chan struct{} // closed when silent changes
}

// NewListener serves at an address of ip that the kernel chooses.
func NewListener(ip string, handler http.Handler) (*Listener, error) {
	l := &Listener{ip: ip, handler: handler, changed: make(chan struct{})}
	return l, l.listen()
}

func (l *Listener) listen() error {
	listener, err := net.Listen("tcp4", net.JoinHostPort(l.ip, "0"))
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	server := &http.Server{Handler: l.handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	l.mu.Lock()
	l.server, l.addr = server, listener.Addr().String()
	l.mu.Unlock()
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		server.Serve(listener) // ends by Close
	}()
	return nil
}

// Addr is its present address.
func (l *Listener) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Rebind serves at a new address from now on. The old one refuses new connections
// at once and closes open ones after a grace, or when ctx ends.
func (l *Listener) Rebind(ctx context.Context) error {
	l.mu.Lock()
	old := l.server
	l.mu.Unlock()
	if err := l.listen(); err != nil {
		return err
	}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		graceCtx, cancel := context.WithTimeout(ctx, rebindGrace)
		defer cancel()
		old.Shutdown(graceCtx) // waits for open requests until the grace ends
		old.Close()
	}()
	return nil
}

// SetSilent has nothing written of the endpoint list, or everything again. Notices
// are taken all the same.
func (l *Listener) SetSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
	close(l.changed)
	l.changed = make(chan struct{})
}

// WaitWhileSilent waits until the listener is not silent; false if ctx ends first.
func (l *Listener) WaitWhileSilent(ctx context.Context) bool {
	for {
		l.mu.Lock()
		silent, changed := l.silent, l.changed
		l.mu.Unlock()
		if !silent {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Close ends the server and waits for its goroutines.
func (l *Listener) Close() {
	l.mu.Lock()
	server := l.server
	l.mu.Unlock()
	server.Close()
	l.wg.Wait()
}
