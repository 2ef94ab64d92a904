package relay

import (
	"context"
	"errors"
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

const (
	maxOperatorConns = 32      // where there are descriptors enough
	maxOperatorBody  = 4 << 10 // bytes of a request body that are read and dropped; no request needs one
	operatorTimeout  = 2 * time.Second
)

// operator serves the operator address, for the operators of the relay and their tools.
// It is apart from the clients and from the loop: it reads what the loop has published,
// so that it answers at once however busy the relay is.
type operator struct {
	addr     string // that it listens at
	log      *slog.Logger
	metrics  *metrics
	ready    *atomic.Bool // what readyz answers
	command  func(policy.EventKind)
	maxConns int
	server   *http.Server
	done     chan struct{} // closed once the server's goroutine has ended

	mu    sync.Mutex
	conns map[net.Conn]*operatorConn
}

type operatorConn struct {
	openedAt   time.Time
	isComplete bool // its request has come
}

// startOperator serves cfg.Operator until close. command is called with
// policy.EventDrain and policy.EventActivate.
func startOperator(cfg *Config, log *slog.Logger, metrics *metrics, ready *atomic.Bool, command func(policy.EventKind)) (*operator, error) {
	ln, _, err := listenWithRetry(log, nil, func() (net.Listener, error) { return net.Listen("tcp", cfg.Operator) })
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	o := &operator{addr: ln.Addr().String(), log: log, metrics: metrics, ready: ready, command: command,
		maxConns: cfg.maxOperatorConns(), done: make(chan struct{}), conns: map[net.Conn]*operatorConn{}}
	o.server = o.newServer()
	go func() {
		defer close(o.done)
		if err := o.server.Serve(acceptretry.NewListener(ln)); !errors.Is(err, http.ErrServerClosed) {
			log.Error("operator address failed", "err", err)
		}
	}()
	log.Info("operator address", "listen", o.addr)
	return o, nil
}

func (o *operator) newServer() *http.Server {
	server := &http.Server{
		Handler:           o.routes(),
		ReadHeaderTimeout: operatorTimeout,
		ReadTimeout:       operatorTimeout,
		WriteTimeout:      operatorTimeout,
		IdleTimeout:       operatorTimeout,
		MaxHeaderBytes:    8 << 10,
		ConnState:         o.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, operatorConnKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(o.log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false) // one request a connection
	return server
}

// close ends the server with all its connections, and waits for it.
func (o *operator) close() {
	o.server.Close()
	<-o.done
}

// routes are the requests; ServeMux answers 404 and 405 to all others.
func (o *operator) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", o.onceComplete(o.writeReadiness))
	mux.HandleFunc("GET /v1/metrics", o.onceComplete(func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		w.Write(o.metrics.text())
	}))
	// Both commands are idempotent.
	mux.HandleFunc("POST /v1/relay/drain", o.onceComplete(func(w http.ResponseWriter) {
		o.command(policy.EventDrain)
		io.WriteString(w, "draining\n")
	}))
	mux.HandleFunc("POST /v1/relay/activate", o.onceComplete(func(w http.ResponseWriter) {
		o.command(policy.EventActivate)
		io.WriteString(w, "active\n")
	}))
	return mux
}

// writeReadiness answers 200, or 503 with what the relay waits for.
func (o *operator) writeReadiness(w http.ResponseWriter) {
	if o.ready.Load() {
		io.WriteString(w, "ready\n")
		return
	}
	text := "not ready"
	if why, ok := o.metrics.waitingFor.Load().(string); ok && why != "" {
		text += ": " + why
	}
	if n := o.metrics.logUnread.Load(); n > 0 {
		text += fmt.Sprintf(": %d owed messages are still to be read", n)
	}
	http.Error(w, text, http.StatusServiceUnavailable)
}

// operatorConnKey is the key of a request's net.Conn in its context.
type operatorConnKey struct{}

// onceComplete has a request act only once all of it has come: one that breaks off in
// its body must not drain a relay.
func (o *operator) onceComplete(act func(http.ResponseWriter)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxOperatorBody)); err != nil {
			http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
			return
		}
		if conn, ok := r.Context().Value(operatorConnKey{}).(net.Conn); ok {
			o.markComplete(conn)
		}
		act(w)
	}
}

func (o *operator) markComplete(conn net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c := o.conns[conn]; c != nil {
		c.isComplete = true
	}
}

// track bounds the connections. A new one takes the place of the oldest whose request
// is not complete: a peer that keeps its connection and sends nothing shuts nobody out.
func (o *operator) track(conn net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(o.conns) >= o.maxConns {
			o.closeOldest()
		}
		o.conns[conn] = &operatorConn{openedAt: time.Now()}
	case http.StateClosed:
		delete(o.conns, conn)
	}
}

// closeOldest closes the oldest connection whose request is not complete, or the oldest
// of all. The caller holds mu.
func (o *operator) closeOldest() {
	var oldest net.Conn
	for conn, c := range o.conns {
		best := o.conns[oldest]
		isOlder := best != nil && best.isComplete == c.isComplete && c.openedAt.Before(best.openedAt)
		if best == nil || best.isComplete && !c.isComplete || isOlder {
			oldest = conn
		}
	}
	delete(o.conns, oldest)
	oldest.Close()
}
