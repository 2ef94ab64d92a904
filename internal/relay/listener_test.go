package relay

import (
	"syscall"
	"testing"
)

// The connections in the backlog of a closed listener must be served although accept fails
// with transient errors in between.
func TestClosedListenerServesBacklogDespiteAcceptErrors(t *testing.T) {
	ln, err := listenReusePort(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newClientServer(parseTestConfig(t), discardLog(), accept, func(*putRequest, bool) {})
	faults := []error{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.EINTR, syscall.ENETUNREACH, syscall.EMFILE, syscall.EHOSTUNREACH, syscall.ENOMEM}
	calls := 0
	server.accept4 = func(fd, flags int) (int, syscall.Sockaddr, error) {
		if calls++; calls%2 == 1 && calls/2 < len(faults) {
			return -1, nil, faults[calls/2]
		}
		return syscall.Accept4(fd, flags)
	}
	var waiting []*testClient
	for range 12 { // the connections stay in the backlog of the listener
		waiting = append(waiting, dialClient(t, ln.Addr().String()))
	}
	server.stopListening(ln)
	if err := server.serve(ln); err != nil {
		t.Fatal(err)
	}
	for i, cl := range waiting {
		if s := cl.put("m", putFields("plain", 8000, 1), nil); s != "+OK" {
			t.Errorf("connection %d: response %s", i, s)
		}
	}
}
