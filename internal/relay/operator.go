package relay

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"plovershore/internal/acceptretry"
	"plovershore/policy"
)

// The operator address: what the staff, or their tools, ask of one relay. It is
// apart from the clients, and from the loop: it reads what the loop has
// published, so that it answers at once whatever the relay is busy with.

const (
	maxOperatorConns = 32      // at once, where there are descriptors enough
	maxOperatorBody  = 4 << 10 // bytes of a body that are read past; no call has one
	operatorTimeout  = 2 * time.Second
)

// operator serves the operator address.
type operator struct {
	addr     string // where it listens
	log      *slog.Logger
	metrics  *metrics
	ready    *atomic.Bool // this process can serve, and is not drained
	request  func(policy.EventKind)
	maxConns int // connections at once
	srv      *http.Server

	mu    sync.Mutex
	conns map[net.Conn]*operatorConn
}

type operatorConn struct {
	openedAt   time.Time
	isComplete bool // its call has come
}

// startOperator listens at addr. The caller closes it.
func startOperator(cfg *Config, log *slog.Logger, figures *metrics, ready *atomic.Bool, request func(policy.EventKind)) (*operator, error) {
	ln, _, err := listenWithRetry(log, nil, func() (net.Listener, error) { return net.Listen("tcp", cfg.Operator) })
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	o := &operator{addr: ln.Addr().String(), log: log, metrics: figures, ready: ready, request: request, maxConns: cfg.maxOperatorConns(), conns: map[net.Conn]*operatorConn{}}
	o.srv = &http.Server{Handler: o.routes(), ReadHeaderTimeout: operatorTimeout, ReadTimeout: operatorTimeout,
		WriteTimeout: operatorTimeout, IdleTimeout: operatorTimeout, MaxHeaderBytes: 8 << 10, ConnState: o.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, operatorConnKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	o.srv.SetKeepAlivesEnabled(false) // one call a connection
	go func() {
		if err := o.srv.Serve(acceptretry.NewListener(ln)); err != http.ErrServerClosed {
			log.Error("operator: no longer served", "err", err)
		}
	}()
	log.Info("operator address", "listen", o.addr)
	return o, nil
}

func (o *operator) close() { o.srv.Close() }

// routes are the calls; ServeMux answers 404 and 405 to all others.
func (o *operator) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", o.onceComplete(func(w http.ResponseWriter) {
		if !o.ready.Load() {
			text := "not ready"
			if why, ok := o.metrics.waitingFor.Load().(string); ok && why != "" {
				text += ": " + why
			}
			if n := o.metrics.logUnread.Load(); n > 0 {
				text += fmt.Sprintf(": %d owed messages are still to be read", n)
			}
			http.Error(w, text, http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	}))
	mux.HandleFunc("GET /v1/metrics", o.onceComplete(func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		w.Write(o.metrics.text())
	}))
	// Both are handed over as events and come to the same when they are repeated.
	mux.HandleFunc("POST /v1/relay/drain", o.onceComplete(func(w http.ResponseWriter) {
		o.request(policy.EventDrain)
		io.WriteString(w, "draining\n")
	}))
	mux.HandleFunc("POST /v1/relay/activate", o.onceComplete(func(w http.ResponseWriter) {
		o.request(policy.EventActivate)
		io.WriteString(w, "active\n")
	}))
	return mux
}

type operatorConnKey struct{}

// onceComplete has a call act only once all of it has come: one that breaks off in
// its body must not drain a relay.
func (o *operator) onceComplete(do func(http.ResponseWriter)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxOperatorBody)); err != nil {
			http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
			return
		}
		if conn, ok := r.Context().Value(operatorConnKey{}).(net.Conn); ok {
			o.mu.Lock()
			if c := o.conns[conn]; c != nil {
				c.isComplete = true
			}
			o.mu.Unlock()
		}
		do(w)
	}
}

// track bounds the connections. A new one takes the place of the oldest that
// has not sent its whole call: a caller that holds on and says nothing shuts
// nobody out.
func (o *operator) track(conn net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(o.conns) >= o.maxConns {
			var oldest net.Conn
			for c, x := range o.conns {
				y := o.conns[oldest]
				if y == nil || y.isComplete && !x.isComplete || y.isComplete == x.isComplete && x.openedAt.Before(y.openedAt) {
					oldest = c
				}
			}
			delete(o.conns, oldest)
			oldest.Close()
		}
		o.conns[conn] = &operatorConn{openedAt: time.Now()}
	case http.StateClosed:
		delete(o.conns, conn)
	}
}
