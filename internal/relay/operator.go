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
)

const (
	maxOperatorConns = 32      // limit if there are enough descriptors
	maxOperatorBody  = 4 << 10 // maximum bytes of a request body; bodies are dropped, since no request needs one
	operatorTimeout  = 2 * time.Second
)

// operatorServer serves the operator address, which operators of the relay and their tools use.
// It shares nothing with the clients' connections, and instead of asking the loop it reads
// what the loop has published, so that it answers at once even if the relay is busy.
type operatorServer struct {
	addr     string // address that it listens at
	log      *slog.Logger
	metrics  *metrics
	ready    *atomic.Bool // whether readyz answers 200
	command  func(operatorCommand)
	maxConns int
	server   *http.Server
	done     chan struct{} // closed once the server's goroutine has ended

	mu    sync.Mutex
	conns map[net.Conn]*operatorConn
}

type operatorConn struct {
	openedAt          time.Time
	isRequestComplete bool // the request was received completely
}

// startOperator listens at cfg.Operator and serves it until close is called. command is
// called with each command of an operator.
func startOperator(cfg *Config, log *slog.Logger, metrics *metrics, ready *atomic.Bool, command func(operatorCommand)) (*operatorServer, error) {
	ln, _, err := listenWithRetry(log, nil, func() (net.Listener, error) { return net.Listen("tcp", cfg.Operator) })
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	o := &operatorServer{addr: ln.Addr().String(), log: log, metrics: metrics, ready: ready, command: command,
		maxConns: cfg.maxOperatorConns(), done: make(chan struct{}), conns: map[net.Conn]*operatorConn{}}
	o.server = o.newServer()
	go func() {
		defer close(o.done)
		if err := o.server.Serve(acceptretry.NewListener(ln)); !errors.Is(err, http.ErrServerClosed) {
			log.Error("operator address failed", "err", err)
		}
	}()
	log.Info("serving operator address", "listen", o.addr)
	return o, nil
}

func (o *operatorServer) newServer() *http.Server {
	server := &http.Server{
		Handler:           o.routes(),
		ReadHeaderTimeout: operatorTimeout,
		ReadTimeout:       operatorTimeout,
		WriteTimeout:      operatorTimeout,
		IdleTimeout:       operatorTimeout,
		MaxHeaderBytes:    8 << 10,
		ConnState:         o.trackConn,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, operatorConnKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(o.log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false) // one request per connection
	return server
}

// close closes the server and all its connections and waits until it has ended.
func (o *operatorServer) close() {
	o.server.Close()
	<-o.done
}

// routes returns the handler of all requests; ServeMux answers 404 or 405 to unknown ones.
func (o *operatorServer) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", o.afterCompleteRequest(o.writeReadiness))
	mux.HandleFunc("GET /v1/metrics", o.afterCompleteRequest(func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		w.Write(o.metrics.prometheusText())
	}))
	// Both commands are idempotent.
	mux.HandleFunc("POST /v1/relay/drain", o.afterCompleteRequest(func(w http.ResponseWriter) {
		o.command(commandDrain)
		io.WriteString(w, "draining\n")
	}))
	mux.HandleFunc("POST /v1/relay/activate", o.afterCompleteRequest(func(w http.ResponseWriter) {
		o.command(commandActivate)
		io.WriteString(w, "active\n")
	}))
	return mux
}

// writeReadiness answers 200 if the relay is ready, and otherwise 503 with what the relay
// waits for.
func (o *operatorServer) writeReadiness(w http.ResponseWriter) {
	if o.ready.Load() {
		io.WriteString(w, "ready\n")
		return
	}
	text := "not ready"
	if reason, ok := o.metrics.waitingFor.Load().(string); ok && reason != "" {
		text += ": " + reason
	}
	if n := o.metrics.logUnread.Load(); n > 0 {
		text += fmt.Sprintf(": %d owed messages are still to be read", n)
	}
	http.Error(w, text, http.StatusServiceUnavailable)
}

// operatorConnKey is the key of a request's net.Conn in its context.
type operatorConnKey struct{}

// afterCompleteRequest returns a handler that calls handle only after the whole request was received:
// a request that is cut off within its body must not drain a relay.
func (o *operatorServer) afterCompleteRequest(handle func(http.ResponseWriter)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxOperatorBody)); err != nil {
			http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
			return
		}
		if conn, ok := r.Context().Value(operatorConnKey{}).(net.Conn); ok {
			o.markRequestComplete(conn)
		}
		handle(w)
	}
}

func (o *operatorServer) markRequestComplete(conn net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c := o.conns[conn]; c != nil {
		c.isRequestComplete = true
	}
}

// trackConn limits the number of connections. At the limit, a new connection replaces the one
// that closeOldest closes, so that peers that keep connections open and send nothing do
// not lock others out.
func (o *operatorServer) trackConn(conn net.Conn, state http.ConnState) {
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

// closeOldest closes the oldest connection whose request is not complete. If all are
// complete, it closes the oldest of them. The caller holds mu.
func (o *operatorServer) closeOldest() {
	var oldest net.Conn
	for conn, c := range o.conns {
		oldestConn := o.conns[oldest]
		isOlder := oldestConn != nil && oldestConn.isRequestComplete == c.isRequestComplete && c.openedAt.Before(oldestConn.openedAt)
		if oldestConn == nil || oldestConn.isRequestComplete && !c.isRequestComplete || isOlder {
			oldest = conn
		}
	}
	delete(o.conns, oldest)
	oldest.Close()
}
