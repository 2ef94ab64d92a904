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
// completely must not be reported as never run, unless the endpoint refused it with 503 or
// 429. Only a call answered with 200 may be reported as delivered, and the request must be
// sent only once.
func TestRandomCallEndingsMapToSafeOutcomes(t *testing.T) {
	const seeds = 400
	answers := []string{
		"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 W\r\nRetry-After: 0.1\r\nContent-Length: 0\r\n\r\n", "what?\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 500 E\r\n\r\n",
	}
	var plays errgroup.Group
	plays.SetLimit(32) // the runs mostly wait, so many may run at a time
	for seed := range uint64(seeds) {
		plays.Go(func() error { runRandomCallEnding(t, seed, answers); return nil })
	}
	plays.Wait()
}

// runRandomCallEnding makes one call to an endpoint that behaves as seed says, and checks the
// outcome.
func runRandomCallEnding(t *testing.T, seed uint64, answers []string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	body := make([]byte, []int{0, 10, 3000, 60000}[rng.IntN(4)])
	rec := &wal.Record{ID: fmt.Sprint("m", seed), Body: body}
	said := answers[rng.IntN(len(answers))]
	if rng.IntN(3) == 0 {
		said = said[:rng.IntN(len(said)+1)]
	}
	early, end := rng.IntN(4) == 0, rng.IntN(3) // responds before the whole request is read; 0 closes, 1 resets, 2 hangs
	stopAt := rng.IntN(len(body) + 200)         // number of request bytes that are read before an early response
	var mu sync.Mutex
	came, whole := 0, false
	addr := startRawEndpoint(t, func(conn net.Conn) {
		var seen bytes.Buffer
		if early {
			n, _ := io.CopyN(&seen, conn, int64(stopAt))
			if n > 0 {
				mu.Lock()
				came++
				mu.Unlock()
			}
		}
		in := bufio.NewReader(io.MultiReader(bytes.NewReader(seen.Bytes()), conn))
		if !early {
			if _, err := in.Peek(1); err != nil {
				return
			}
			mu.Lock()
			came++
			mu.Unlock()
			ok := readCall(in)
			mu.Lock()
			whole = ok
			mu.Unlock()
		}
		io.WriteString(conn, said)
		switch end {
		case 1:
			conn.(*net.TCPConn).SetLinger(0)
		case 2:
			io.Copy(io.Discard, conn) // returns when the relay closes the connection
		}
	})
	conns := newTestTransport(t, 2)
	o := runSingleCall(newTestCall(), conns, addr, rec, 400*time.Millisecond)
	conns.CloseIdleConnections()
	mu.Lock()
	first, _, lineWhole := strings.Cut(said, "\n")
	refusal := lineWhole && (strings.Contains(first, " 503 ") || strings.Contains(first, " 429 "))
	switch {
	case came > 1:
		t.Errorf("seed %d: the request was received %d times", seed, came)
	case whole && o.kind.NeverRan() && !refusal:
		t.Errorf("seed %d: request read completely and answered %q, but reported as never run: %+v", seed, said, o)
	case o.kind == policy.Delivered && !(lineWhole && strings.Contains(first, " 200 ")):
		t.Errorf("seed %d: answered %q, but reported as delivered", seed, said)
	case whole && end != 1 && lineWhole && strings.Contains(first, " 200 ") && o.kind != policy.Delivered:
		t.Errorf("seed %d: answered %q, but not reported as delivered: %+v", seed, said, o)
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
		read := map[string]bool{}
		inTurn := i%2 == 0 // if false, the second call waits for a connection and gets the first one as soon as that is idle
		release, waits := make(chan struct{}), make(chan struct{})
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
				read[req.Header.Get("X-Request-ID")] = true
				mu.Unlock()
				if req.Header.Get("X-Request-ID") == "a" {
					if !inTurn {
						<-waits
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				} else {
					io.WriteString(conn, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
				}
			}
		})
		conns := newTestTransport(t, 2)
		dial, dials := conns.DialContext, atomic.Int32{}
		conns.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if dials.Add(1) == 2 && !inTurn {
				close(waits)
				<-release
			}
			return dial(ctx, network, addr)
		}
		done := make(chan outcome, 1)
		go func() { done <- runSingleCall(newTestCall(), conns, addr, &wal.Record{ID: "a"}, testCallTimeout) }()
		if inTurn {
			if o := <-done; o.kind != policy.Delivered {
				t.Fatalf("run %d: first call: %+v", i, o)
			}
		} else {
			waitFor(t, "the first connection", func() bool { return dials.Load() == 1 })
		}
		o := runSingleCall(newTestCall(), conns, addr, &wal.Record{ID: "b"}, testCallTimeout)
		close(release)
		conns.CloseIdleConnections()
		mu.Lock()
		if o.kind == policy.Delivered || read["b"] && o.kind.NeverRan() {
			t.Errorf("run %d: second call, received by the endpoint: %v: %+v", i, read["b"], o)
		}
		mu.Unlock()
	}
}
