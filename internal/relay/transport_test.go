package relay

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"plovershore/internal/wal"
	"plovershore/policy"
)

// Connections must be reused. For this, responses must be read to their end, and after a
// burst more than two idle connections per endpoint must be kept.
func TestConnectionsAreReusedAfterBurst(t *testing.T) {
	var connections atomic.Int32
	const burst = 6
	arrived := make(chan struct{}, burst)
	addr := startRawEndpoint(t, func(c net.Conn) {
		connections.Add(1)
		in := bufio.NewReader(c)
		for readCall(in) {
			arrived <- struct{}{}
			for len(arrived) < burst { // answers only when all calls of a burst have arrived, so that each needs its own connection
				time.Sleep(time.Millisecond)
			}
			io.Copy(c, bytes.NewReader(append([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"), make([]byte, 9000)...)))
		}
	})
	transport := newTestTransport(t, burst)
	defer transport.CloseIdleConnections()
	for round := range 2 {
		done := make(chan outcome, burst)
		for range burst {
			go func() { done <- runSingleCall(newTestCall(), transport, addr, &wal.Record{ID: "m"}, testCallTimeout) }()
		}
		for range burst {
			if o := <-done; o.kind != policy.Delivered {
				t.Fatalf("round %d: %+v", round, o)
			}
		}
		for len(arrived) > 0 {
			<-arrived
		}
	}
	if n := connections.Load(); n != burst {
		t.Errorf("%d connections were opened for two bursts of %d calls", n, burst)
	}
}

// The outcome must say whether a connection was opened for the call. From a rejection on a new
// connection, with no Retry-After and no load report where others have one, the policy learns
// that the endpoint can hold no more connections.
func TestOutcomeSaysWhetherConnectionIsNew(t *testing.T) {
	addr := startRawEndpoint(t, func(c net.Conn) {
		for in := bufio.NewReader(c); readCall(in); {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
	})
	transport := newTestTransport(t, 4)
	defer transport.CloseIdleConnections()
	for i, want := range []bool{true, false} {
		if o := runSingleCall(newTestCall(), transport, addr, &wal.Record{ID: "m"}, testCallTimeout); o.isNewConnection != want || o.kind != policy.Rejected {
			t.Errorf("call %d: new connection %v, %+v", i, o.isNewConnection, o)
		}
	}
}
