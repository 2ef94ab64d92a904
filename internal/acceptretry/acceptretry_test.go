package acceptretry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// failingListener returns faults as errors of Accept, one after another and wrapped
// as package net wraps them, before it accepts connections.
type failingListener struct {
	net.Listener
	mu     sync.Mutex
	faults []syscall.Errno
}

func (f *failingListener) Accept() (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) > 0 {
		err := f.faults[0]
		f.faults = f.faults[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return f.Listener.Accept()
}

// A server goes on serving after each of ten errors of accept that Linux documents
// (accept(2)), and ends when it is closed.
func TestServerGoesOnAfterAcceptErrors(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENFILE, syscall.EMFILE, syscall.EPROTO,
		syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EPERM} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") })}
		serveErr := make(chan error, 1)
		go func() {
			serveErr <- server.Serve(NewListener(&failingListener{Listener: ln, faults: []syscall.Errno{fault, fault, fault}}))
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ln.Addr().String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		} else {
			t.Errorf("after %v a request failed: %v", fault, err)
		}
		cancel()
		server.Close()
		ln.Close()
		select {
		case err := <-serveErr:
			if !errors.Is(err, http.ErrServerClosed) {
				t.Errorf("after %v the server ended with %v, want http.ErrServerClosed", fault, err)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("after %v the server did not end within 5 s of its closing", fault)
		}
	}
}
