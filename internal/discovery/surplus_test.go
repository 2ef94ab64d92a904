package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	acknowledgement = "HTTP/1.1 204 No Content\r\n\r\n"
	// crossingTimeout is how long a surplusAgent waits for the next request on a connection
	// before it writes its surplus.
	crossingTimeout = 200 * time.Millisecond
)

// surplusAgent is an agent that sends more after each acknowledgement than belongs to it.
type surplusAgent struct {
	net.Listener
	surplus    string
	awaitsNext bool // the surplus is written once the next request has arrived, which is then never read

	mu    sync.Mutex
	taken []string // ids of the messages whose notices were read
}

func startSurplusAgent(t *testing.T, surplus string, awaitsNext bool) *surplusAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &surplusAgent{Listener: listener, surplus: surplus, awaitsNext: awaitsNext}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	return a
}

// serve takes the notices of each request on a connection. With awaitsNext it takes those of the
// first request only.
func (a *surplusAgent) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		notices, err := ReadNotices(req.Body)
		if err != nil {
			return
		}
		a.mu.Lock()
		for _, notice := range notices {
			a.taken = append(a.taken, notice.Message)
		}
		a.mu.Unlock()
		if !a.awaitsNext {
			io.WriteString(conn, acknowledgement+a.surplus)
			continue
		}
		io.WriteString(conn, acknowledgement)
		conn.SetReadDeadline(time.Now().Add(crossingTimeout))
		in.Peek(1) // returns when the next request has arrived, or the client has closed the connection
		io.WriteString(conn, a.surplus)
		time.Sleep(crossingTimeout) // lets the client read it before the connection ends
		return
	}
}

func (a *surplusAgent) hasTaken(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Contains(a.taken, id)
}

// Guards against lost notices: a second copy of an acknowledgement counted as that of the next batch.
func TestSurplusAfterAcknowledgementAcknowledgesNothing(t *testing.T) {
	const notices = 40
	for name, test := range map[string]struct {
		surplus    string
		awaitsNext bool
		count      int
	}{
		"second copy":                           {acknowledgement, false, notices},
		"noise":                                 {"?!\r\n\r\n", false, notices},
		"second copy that crosses the next one": {acknowledgement, true, 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent := startSurplusAgent(t, test.surplus, test.awaitsNext)
			acknowledged := make(chan string, notices)
			n := NewNotices(agent.Addr().String(), slog.New(slog.DiscardHandler), func(id string) { acknowledged <- id })
			ctx, cancel := context.WithCancel(t.Context())
			var run sync.WaitGroup
			run.Add(1)
			go func() { defer run.Done(); n.Run(ctx) }()
			for i := range test.count {
				id := fmt.Sprint("m", i)
				n.Put(Notice{Message: id, Outcome: Failed})
				select {
				case got := <-acknowledged:
					if got != id || !agent.hasTaken(id) {
						t.Errorf("%s counts as acknowledged, and was taken: %v; expected %s", got, agent.hasTaken(got), id)
					}
				case <-time.After(10 * time.Second):
					t.Fatalf("%s was not acknowledged", id)
				}
			}
			cancel()
			run.Wait()
		})
	}
}

// Guards against lost notices: a rejection that cannot be read was taken for one of malformed notices.
func TestUnreadableRejectionAcknowledgesNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && first {
				io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 64\r\n\r\nno")
			} else {
				io.WriteString(conn, acknowledgement)
			}
			conn.Close()
		}
	}()
	n := NewNotices(listener.Addr().String(), slog.New(slog.DiscardHandler), func(string) {})
	batch := []Notice{{Message: "a", Outcome: Failed}}
	if acknowledged, err := n.send(t.Context(), batch, time.Second); acknowledged != 0 || err == nil || strings.Contains(err.Error(), "discovery: notices: status") {
		t.Errorf("unreadable rejection: %d acknowledged, error %v", acknowledged, err)
	}
	if acknowledged, err := n.send(t.Context(), batch, time.Second); acknowledged != 1 || err != nil {
		t.Errorf("next attempt: %d acknowledged, error %v", acknowledged, err)
	}
}
