package client

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/registry"
)

// startRepeatingNode starts a node that answers each request with the number of requests so
// far, and writes the answer to the first request of a connection a second time when the
// next request on it has arrived. namesRequests says whether answers name their requests.
func startRepeatingNode(t *testing.T, namesRequests bool) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var count atomic.Int64
	serve := func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		header := ""
		if namesRequests {
			header = registry.RequestHeader + ": " + req.Header.Get(registry.RequestHeader) + "\r\n"
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\n%4d", header, count.Add(1))
		io.WriteString(conn, answer)
		if _, err := in.Peek(1); err == nil { // the next request, which is never read
			io.WriteString(conn, answer)
			time.Sleep(200 * time.Millisecond) // lets the client read it before the connection ends
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// Guards against writes and notices that count as done and were never received: a second copy of a
// response was taken for the response to the next request.
func TestSecondCopyAnswersNoOtherRequest(t *testing.T) {
	for name, test := range map[string]struct {
		path          string
		namesRequests bool
	}{
		"write to a node":        {registry.RolesPath + "/r/note", true},
		"notice to the platform": {discovery.NoticePath, false},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := New([]string{startRepeatingNode(t, test.namesRequests)}, 1, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			for want := range 3 {
				var got int
				if _, err := c.Do(t.Context(), http.MethodPost, test.path, []byte("{}"), &got); err != nil || got != want+1 {
					t.Errorf("request %d: got the answer to request %d, error %v", want+1, got, err)
				}
			}
		})
	}
}
