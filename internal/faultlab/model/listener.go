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

// rebindGrace is how long open requests may continue at the old address after Rebind.
const rebindGrace = 1500 * time.Millisecond

// Listener is the HTTP server through which a relay reaches discovery. Its address can
// change, and it can stop writing while its connections stay open. It is safe for
// concurrent use; its creator closes it.
type Listener struct {
	ip      string
	handler http.Handler
	wg      sync.WaitGroup

	mu      sync.Mutex
	server  *http.Server
	addr    string
	silent  bool
	changed chan struct{} // closed and replaced when silent changes
}

// NewListener starts serving on ip, at a port that the kernel chooses.
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
		server.Serve(listener) // returns when the server is closed
	}()
	return nil
}

// Addr returns its current address.
func (l *Listener) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Rebind moves the server to a new address. The old address refuses new connections
// at once; open requests there end after rebindGrace, or when ctx ends.
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
		old.Shutdown(graceCtx) // waits for open requests until the grace period ends
		old.Close()
	}()
	return nil
}

// SetSilent sets whether the server stops writing the endpoint list, including the
// empty lines of watches. It receives notices in either case.
func (l *Listener) SetSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
	close(l.changed)
	l.changed = make(chan struct{})
}

// WaitWhileSilent waits until the listener is not silent. It reports false if ctx ends
// first.
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

// Close closes the server and waits for its goroutines.
func (l *Listener) Close() {
	l.mu.Lock()
	server := l.server
	l.mu.Unlock()
	server.Close()
	l.wg.Wait()
}
