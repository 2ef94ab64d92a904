package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// spoiledBody is a way to end a response whose header is sound.
type spoiledBody struct {
	header    string // header fields after the status line
	body      string
	remainder string // written again and again until the relay closes the connection
}

var spoiledBodies = map[string]spoiledBody{
	"shorter than its length": {header: "Content-Length: 64\r\n", body: `{"st`},
	"invalid chunk":           {header: "Transfer-Encoding: chunked\r\n", body: "?!\r\nx"},
	"truncated chunks":        {header: "Transfer-Encoding: chunked\r\n", body: "5\r\nhello\r\n"},
	"endless and slow":        {header: "Transfer-Encoding: chunked\r\n", remainder: "1\r\nx\r\n"},
	"too long":                {header: "Connection: close\r\n", body: strings.Repeat("x", maxResponseBytes+1)},
}

// write answers a call with the status and the spoiled body, and then ends the connection.
func (s spoiledBody) write(conn net.Conn, statusLine string) {
	_, err := io.WriteString(conn, statusLine+"\r\n"+s.header+"\r\n"+s.body)
	for err == nil && s.remainder != "" {
		time.Sleep(5 * time.Millisecond)
		_, err = io.WriteString(conn, s.remainder)
	}
}

// Guards against a second run: an unreadable refusal was taken as proof that a message never ran.
func TestUnreadableRefusalCountsAsMayHaveRun(t *testing.T) {
	statusLines := []string{"HTTP/1.1 429 W\r\nRetry-After: 0.5", "HTTP/1.1 503 F", "HTTP/1.1 503 F\r\nSlots-Taken: 1", "HTTP/1.1 504 A",
		"HTTP/1.1 410 G", "HTTP/1.1 500 E"}
	records := []*wal.Record{{ID: "a"}, {ID: "b"}}
	for name, spoiled := range spoiledBodies {
		for _, statusLine := range statusLines {
			for count := range records {
				addr := startRawEndpoint(t, func(conn net.Conn) {
					if readCall(bufio.NewReader(conn)) {
						spoiled.write(conn, statusLine)
					}
				})
				transport := newTestTransport(t, 2)
				for _, o := range newTestCall().run(transport, addr, records[:count+1], 200*time.Millisecond, nil) {
					if o.kind.NeverRan() || o.kind == policy.Delivered || o.isFinal || o.callsExhausted {
						t.Errorf("%q, body %s, %d messages: got %+v", statusLine, name, count+1, o)
					}
					if strings.Contains(statusLine, "Retry-After") && o.retryAfter != 500000 {
						t.Errorf("%q, body %s, %d messages: Retry-After %d µs, want 500000", statusLine, name, count+1, o.retryAfter)
					}
				}
				transport.CloseIdleConnections()
			}
		}
	}
}

// Guards against a second run: a non-idempotent message was resent after an unreadable refusal.
func TestNonIdempotentMessageIsNotResentAfterUnreadableRefusal(t *testing.T) {
	for name, spoiled := range spoiledBodies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ep := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				spoiled.write(conn, "HTTP/1.1 503 Service Unavailable")
			})
			disc := discoverytest.New(t, ep.member("s-1", 7))
			c := startChild(t, writeTestConfig(t, disc, 3))
			if s := dialClient(t, c.env["ROUTER_LISTEN"]).put("order", putFields("once", 1500, 7), []byte("bundle")); s != "+OK" {
				t.Fatal(s)
			}
			waitFor(t, "the notice", func() bool { _, ok := disc.Notice("order"); return ok })
			if n, _ := disc.Notice("order"); n.Outcome != discovery.Failed {
				t.Errorf("notice %+v, want %s", n, discovery.Failed)
			}
			if n := ep.callCount("order"); n != 1 {
				t.Errorf("the message was sent %d times, want once", n)
			}
		})
	}
}

// Guards against an endpoint that is taken for healthy after an unreadable health check.
func TestUnreadableHealthCheckIsNoSuccess(t *testing.T) {
	for name, spoiled := range spoiledBodies {
		addr := startRawEndpoint(t, func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				spoiled.write(conn, "HTTP/1.1 200 OK")
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		if o := checkHealth(ctx, newTestTransport(t, 2), addr); o.kind == policy.Delivered {
			t.Errorf("body %s: got %+v", name, o)
		}
		cancel()
	}
}
