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

// Property over the ways in which a call ends: the endpoint reads up to some byte
// of the request, says up to some byte of an answer, and then closes, resets or
// hangs. What it read whole is never said not to have run, unless it said so;
// delivered is only what it answered 200; and the request comes once.
func TestRandomCallEndingsMapToSafeOutcomes(t *testing.T) {
	const seeds = 400
	answers := []string{
		"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 W\r\nRetry-After: 0.1\r\nContent-Length: 0\r\n\r\n", "what?\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 500 E\r\n\r\n",
	}
	var plays errgroup.Group
	plays.SetLimit(32) // most of them wait
	for seed := range uint64(seeds) {
		plays.Go(func() error { runRandomCallEnding(t, seed, answers); return nil })
	}
	plays.Wait()
}

func runRandomCallEnding(t *testing.T, seed uint64, answers []string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	body := make([]byte, []int{0, 10, 3000, 60000}[rng.IntN(4)])
	rec := &wal.Record{ID: fmt.Sprint("m", seed), Body: body}
	said := answers[rng.IntN(len(answers))]
	if rng.IntN(3) == 0 {
		said = said[:rng.IntN(len(said)+1)]
	}
	early, end := rng.IntN(4) == 0, rng.IntN(3) // of the answer; close, reset, hang
	stopAt := rng.IntN(len(body) + 200)         // bytes of the request, where it is early
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
			io.Copy(io.Discard, conn) // until the relay lets go
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
		t.Errorf("seed %d: the request came %d times", seed, came)
	case whole && o.kind.NeverRan() && !refusal:
		t.Errorf("seed %d: read whole, answered %q, and held never to have run: %+v", seed, said, o)
	case o.kind == policy.Delivered && !(lineWhole && strings.Contains(first, " 200 ")):
		t.Errorf("seed %d: answered %q, and held to be delivered", seed, said)
	case whole && end != 1 && lineWhole && strings.Contains(first, " 200 ") && o.kind != policy.Delivered:
		t.Errorf("seed %d: answered %q, and not delivered: %+v", seed, said, o)
	case o.kind == policy.Delivered != o.isFinal:
		t.Errorf("seed %d: %+v", seed, o)
	}
	mu.Unlock()
}

// Guards against bytes after an answer: they belong to no call, and must not be
// taken for the answer to the next one on that connection.
func TestBytesAfterResponseAnswerNoOtherCall(t *testing.T) {
	for i := range 300 {
		var mu sync.Mutex
		read := map[string]bool{}
		inTurn := i%2 == 0 // else the second waits for a connection, and gets this one at once
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
				t.Fatalf("play %d: the first: %+v", i, o)
			}
		} else {
			waitFor(t, "the first connection", func() bool { return dials.Load() == 1 })
		}
		o := runSingleCall(newTestCall(), conns, addr, &wal.Record{ID: "b"}, testCallTimeout)
		close(release)
		conns.CloseIdleConnections()
		mu.Lock()
		if o.kind == policy.Delivered || read["b"] && o.kind.NeverRan() {
			t.Errorf("play %d: the second, read %v: %+v", i, read["b"], o)
		}
		mu.Unlock()
	}
}
