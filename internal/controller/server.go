package controller

import (
	"net"
	"net/http"
	"time"

	"plovershore/internal/acceptretry"
	"plovershore/internal/leader"
)

const readHeaderTimeout = 5 * time.Second

// server serves HTTP on one address until close, which waits for its goroutine.
type server struct {
	http   *http.Server
	served chan struct{}
}

// listen serves on a new listener at an address.
func listen(address string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return serve(listener, handler), nil
}

// serve takes over the listener.
func serve(listener net.Listener, handler http.Handler) *server {
	s := &server{
		http:   &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
		served: make(chan struct{}),
	}
	go func() {
		defer close(s.served)
		s.http.Serve(acceptretry.NewListener(listener)) // returns http.ErrServerClosed
	}()
	return s
}

func (s *server) close() {
	s.http.Close()
	<-s.served
}

// operatorHandler serves the controller's metrics.
func operatorHandler(metrics *leader.Metrics) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/metrics", metrics.Handler())
	return mux
}
