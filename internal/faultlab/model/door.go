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

const rebindGrace = 1500 * time.Millisecond // after a move the old address closes what is open

// Listener is where a relay finds discovery: an address that may move, and that may
// go silent while its connections stay open. Its owner closes it.
type Listener struct {
	ip      string
	handler http.Handler
	wg      sync.WaitGroup

	mu     sync.Mutex
	server *http.Server
	addr   string
	silent bool
	change chan struct{} // closed when silent changes
}

// NewListener serves at an address of ip.
func NewListener(ip string, handler http.Handler) (*Listener, error) {
	d := &Listener{ip: ip, handler: handler, change: make(chan struct{})}
	return d, d.listen()
}

func (d *Listener) listen() error {
	ln, err := net.Listen("tcp4", net.JoinHostPort(d.ip, "0"))
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	s := &http.Server{Handler: d.handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	d.mu.Lock()
	d.server, d.addr = s, ln.Addr().String()
	d.mu.Unlock()
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		s.Serve(ln) // ends by Close
	}()
	return nil
}

// Addr is where it listens now.
func (d *Listener) Addr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// Rebind begins to serve at a new address. The old one closes at once for new
// connections, a while later for the open ones.
func (d *Listener) Rebind(ctx context.Context) error {
	d.mu.Lock()
	old := d.server
	d.mu.Unlock()
	if err := d.listen(); err != nil {
		return err
	}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		short, cancel := context.WithTimeout(ctx, rebindGrace)
		defer cancel()
		old.Shutdown(short) // closes the listener, waits for open calls until short is over
		old.Close()
	}()
	return nil
}

// SetSilent has nothing of the list said; notices are taken all the same.
func (d *Listener) SetSilent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = on
	close(d.change)
	d.change = make(chan struct{})
}

// WaitUntilAudible waits until the door is not silent; false where ctx ends first.
func (d *Listener) WaitUntilAudible(ctx context.Context) bool {
	for {
		d.mu.Lock()
		silent, change := d.silent, d.change
		d.mu.Unlock()
		if !silent {
			return ctx.Err() == nil
		}
		select {
		case <-change:
		case <-ctx.Done():
			return false
		}
	}
}

// Close ends the door and what goes on behind it.
func (d *Listener) Close() {
	d.mu.Lock()
	s := d.server
	d.mu.Unlock()
	s.Close()
	d.wg.Wait()
}
