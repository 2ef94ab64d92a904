package relay

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"plovershore/internal/discovery/discoverytest"
)

// sequenceTest is the setup of a property test in which clients, signals and calls come in a
// random sequence: one destination that answers after random delays, and concurrent clients.
type sequenceTest struct {
	t        *testing.T
	env      map[string]string
	endpoint *fakeEndpoint
	disc     *discoverytest.Server
	clients  []*sequenceClient
	running  sync.WaitGroup
}

// newSequenceTest returns a setup whose destination answers within maxDelay. On average it
// rejects one call out of rejectOneIn with status 503, or none if that is 0.
func newSequenceTest(t *testing.T, seed uint64, maxDelay time.Duration, rejectOneIn int) *sequenceTest {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 6))
	ep := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
		mu.Lock()
		delay := time.Duration(rng.Int64N(int64(maxDelay)))
		isRejected := rejectOneIn > 0 && rng.IntN(rejectOneIn) == 0
		mu.Unlock()
		time.Sleep(delay)
		if isRejected {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	disc := discoverytest.New(t, ep.member("s-1", 7))
	return &sequenceTest{t: t, env: writeTestConfig(t, disc, 3), endpoint: ep, disc: disc}
}

// startClient starts a client that connects after a delay and sends the parts of a text with
// pauses between them.
func (s *sequenceTest) startClient(client *sequenceClient, delay time.Duration, pauses []time.Duration, parts ...string) {
	s.clients = append(s.clients, client)
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		client.run(s.env["ROUTER_LISTEN"], delay, pauses, parts...)
	}()
}

// waitEnded waits until a message was delivered or got a notice.
func (s *sequenceTest) waitEnded(id string) {
	s.t.Helper()
	waitFor(s.t, "the delivery or notice of "+id, func() bool {
		_, ended := s.disc.Notice(id)
		return ended || s.endpoint.answeredOK(id)
	})
}

// sequenceClient is a client that submits messages while relays start and end, and records
// the responses.
type sequenceClient struct {
	ids         []string
	isOnce      []bool   // whether the message of each ID has the class "once" and must not be sent twice
	isPipelined bool     // all commands were sent at once
	answers     []string // responses in order; the first belongs to the first ID, and so on
	readErr     error    // error of reading the responses; nil at the end of the stream
}

// isAccepted reports whether the message of ids[j] was answered with +OK.
func (c *sequenceClient) isAccepted(j int) bool { return j < len(c.answers) && c.answers[j] == "+OK" }

// run sends the parts of a text with pauses between them and reads the responses meanwhile.
func (c *sequenceClient) run(addr string, delay time.Duration, pauses []time.Duration, parts ...string) {
	time.Sleep(delay)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		c.ids = nil // the relay listens no longer, so no message was submitted
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	done := make(chan struct{})
	go func() {
		defer close(done)
		text, err := io.ReadAll(conn)
		c.readErr = err
		for line := range strings.Lines(string(text)) {
			if strings.HasSuffix(line, "\r\n") && line != "+PONG\r\n" {
				c.answers = append(c.answers, strings.TrimSpace(line))
			}
		}
	}()
	for i, part := range parts {
		io.WriteString(conn, part)
		if i < len(pauses) {
			select {
			case <-done: // the relay has closed the connection; a real client would submit the rest elsewhere
				return
			case <-time.After(pauses[i]):
			}
		}
	}
	<-done
}
