package controller

import (
	"net"
	"net/http"
	"time"

	"plovershore/internal/acceptretry"
	"plovershore/internal/leader"
)

const readHeaderTimeout = 5 * time.Second

// server serves HTTP on one address until close, which waits for the serving goroutine.
type server struct {
	http *http.Server
	done chan struct{}
}

// listen opens a listener at an address and serves HTTP on it.
func listen(address string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return serve(listener, handler), nil
}

// serve serves HTTP on a listener. The returned server closes the listener.
func serve(listener net.Listener, handler http.Handler) *server {
	s := &server{
		http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		s.http.Serve(acceptretry.NewListener(listener)) // the error is http.ErrServerClosed after close
	}()
	return s
}

func (s *server) close() {
	s.http.Close()
	<-s.done
}

// operatorHandler serves the controller's metrics.
func operatorHandler(metrics *leader.Metrics) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/metrics", metrics.Handler())
	return mux
}
