package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"plovershore/internal/wal"
	"plovershore/policy"
)

// A property test of the endings of a call: the endpoint reads a random part of the request,
// sends a random part of a response, and then closes, resets or hangs. A request that it read
// completely must not be reported as never run, unless the endpoint refused it with a complete
// response of status 503 or 429. Only a call answered with 200 may be reported as delivered,
// and the request must be sent only once.
func TestRandomCallEndingsMapToSafeOutcomes(t *testing.T) {
	const seeds = 400
	responses := []string{
		"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 W\r\nRetry-After: 0.1\r\nContent-Length: 0\r\n\r\n", "what?\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 500 E\r\n\r\n",
		"HTTP/1.1 503 F\r\nContent-Length: 9\r\n\r\nbusy", "HTTP/1.1 429 W\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n",
	}
	var runs errgroup.Group
	runs.SetLimit(32) // the runs mostly wait, so many may run at a time
	for seed := range uint64(seeds) {
		runs.Go(func() error { runRandomCallEnding(t, seed, responses); return nil })
	}
	runs.Wait()
}

// runRandomCallEnding makes one call to an endpoint that behaves as seed says, and checks the
// outcome.
func runRandomCallEnding(t *testing.T, seed uint64, responses []string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	body := make([]byte, []int{0, 10, 3000, 60000}[rng.IntN(4)])
	record := &wal.Record{ID: fmt.Sprint("m", seed), Body: body}
	response := responses[rng.IntN(len(responses))]
	if rng.IntN(3) == 0 {
		response = response[:rng.IntN(len(response)+1)]
	}
	respondsEarly, ending := rng.IntN(4) == 0, rng.IntN(3) // responds before the whole request is read; 0 closes, 1 resets, 2 hangs
	readLimit := rng.IntN(len(body) + 200)                 // number of request bytes that are read before an early response
	var mu sync.Mutex
	received, isComplete := 0, false
	addr := startRawEndpoint(t, func(conn net.Conn) {
		var read bytes.Buffer
		if respondsEarly {
			n, _ := io.CopyN(&read, conn, int64(readLimit))
			if n > 0 {
				mu.Lock()
				received++
				mu.Unlock()
			}
		}
		in := bufio.NewReader(io.MultiReader(bytes.NewReader(read.Bytes()), conn))
		if !respondsEarly {
			if _, err := in.Peek(1); err != nil {
				return
			}
			mu.Lock()
			received++
			mu.Unlock()
			ok := readCall(in)
			mu.Lock()
			isComplete = ok
			mu.Unlock()
		}
		io.WriteString(conn, response)
		switch ending {
		case 1:
			conn.(*net.TCPConn).SetLinger(0)
		case 2:
			io.Copy(io.Discard, conn) // returns when the relay closes the connection
		}
	})
	transport := newTestTransport(t, 2)
	o := runSingleCall(newTestCall(), transport, addr, record, 400*time.Millisecond)
	transport.CloseIdleConnections()
	mu.Lock()
	statusLine, _, hasStatusLine := strings.Cut(response, "\n")
	isEnded := strings.HasSuffix(response, "Content-Length: 0\r\n\r\n")
	isRefusal := isEnded && (strings.Contains(statusLine, " 503 ") || strings.Contains(statusLine, " 429 "))
	switch {
	case received > 1:
		t.Errorf("seed %d: the request was received %d times", seed, received)
	case isComplete && o.kind.NeverRan() && !isRefusal:
		t.Errorf("seed %d: request read completely and answered %q, but reported as never run: %+v", seed, response, o)
	case o.kind == policy.Delivered && !(hasStatusLine && strings.Contains(statusLine, " 200 ")):
		t.Errorf("seed %d: answered %q, but reported as delivered", seed, response)
	case isComplete && ending != 1 && hasStatusLine && strings.Contains(statusLine, " 200 ") && o.kind != policy.Delivered:
		t.Errorf("seed %d: answered %q, but not reported as delivered: %+v", seed, response, o)
	case o.kind == policy.Delivered != o.isFinal:
		t.Errorf("seed %d: delivered and final must go together: %+v", seed, o)
	}
	mu.Unlock()
}

// Bytes that follow a complete response belong to no call. They must not be taken for the
// response to the next call on that connection.
func TestBytesAfterResponseAnswerNoOtherCall(t *testing.T) {
	for i := range 300 {
		var mu sync.Mutex
		isRead := map[string]bool{}
		isSequential := i%2 == 0 // if false, the second call waits for a connection and gets the first one as soon as that is idle
		releaseDial, secondWaits := make(chan struct{}), make(chan struct{})
		addr := startRawEndpoint(t, func(conn net.Conn) {
			in := bufio.NewReader(conn)
			for n := 0; ; n++ {
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				mu.Lock()
				isRead[req.Header.Get("X-Request-ID")] = true
				mu.Unlock()
				if req.Header.Get("X-Request-ID") == "a" {
					if !isSequential {
						<-secondWaits
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				} else {
					io.WriteString(conn, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
				}
			}
		})
		transport := newTestTransport(t, 2)
		dial, dials := transport.DialContext, atomic.Int32{}
		transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if dials.Add(1) == 2 && !isSequential {
				close(secondWaits)
				<-releaseDial
			}
			return dial(ctx, network, addr)
		}
		done := make(chan outcome, 1)
		go func() { done <- runSingleCall(newTestCall(), transport, addr, &wal.Record{ID: "a"}, testCallTimeout) }()
		if isSequential {
			if o := <-done; o.kind != policy.Delivered {
				t.Fatalf("run %d: first call: %+v", i, o)
			}
		} else {
			waitFor(t, "the first connection", func() bool { return dials.Load() == 1 })
		}
		o := runSingleCall(newTestCall(), transport, addr, &wal.Record{ID: "b"}, testCallTimeout)
		close(releaseDial)
		transport.CloseIdleConnections()
		mu.Lock()
		if o.kind == policy.Delivered || isRead["b"] && o.kind.NeverRan() {
			t.Errorf("run %d: second call, received by the endpoint: %v: %+v", i, isRead["b"], o)
		}
		mu.Unlock()
	}
}
