package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"plovershore/internal/wal"
	"plovershore/policy"
)

// net/http must not resend a call on its own. An idempotency key makes a POST
// replayable to it, and it would resend one whose kept-alive connection breaks.
func TestTransportDoesNotResendCall(t *testing.T) {
	for name, body := range map[string][]byte{"body": []byte("b"), "empty body": nil} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			addr := startRawEndpoint(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				for readCall(in) {
					if calls.Add(1) == 2 {
						return // closes the connection after the second call, without a response
					}
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			transport := newTestTransport(t, 2)
			defer transport.CloseIdleConnections()
			record := &wal.Record{ID: "m", Key: "k", Body: body}
			if o := runSingleCall(newTestCall(), transport, addr, record, testCallTimeout); o.kind != policy.Delivered {
				t.Fatalf("first call: %+v", o)
			}
			if o := runSingleCall(newTestCall(), transport, addr, record, testCallTimeout); o.kind != policy.ConnectionReset {
				t.Errorf("second call: %+v", o)
			}
			if n := calls.Load(); n != 2 {
				t.Errorf("the endpoint saw %d calls, want 2", n)
			}
		})
	}
	req, err := newCallRequest(context.Background(), "127.0.0.1:1", []*wal.Record{{ID: "m", Key: "k", Body: []byte("b")}}, time.Second)
	if err != nil || req.GetBody != nil || req.Body == http.NoBody {
		t.Errorf("net/http could send the request again: GetBody set %v, body %v, error %v", req.GetBody != nil, req.Body, err)
	}
}
