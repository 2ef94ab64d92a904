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

// orders is the world of a property test over orders: one destination that
// answers when its draws say, and clients that play beside each other.
type sequenceTest struct {
	t        *testing.T
	env      map[string]string
	endpoint *fakeEndpoint
	disc     *discoverytest.Server
	clients  []*sequenceClient
	running  sync.WaitGroup
}

// newSequenceTest makes one whose destination answers within most; one call in full is
// turned away, none where that is 0.
func newSequenceTest(t *testing.T, seed uint64, most time.Duration, full int) *sequenceTest {
	var mu sync.Mutex
	draws := rand.New(rand.NewPCG(seed, 6))
	ep := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
		mu.Lock()
		pause := time.Duration(draws.Int64N(int64(most)))
		away := full > 0 && draws.IntN(full) == 0
		mu.Unlock()
		time.Sleep(pause)
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	disc := discoverytest.New(t, ep.member("s-1", 7))
	return &sequenceTest{t: t, env: writeTestConfig(t, disc, 3), endpoint: ep, disc: disc}
}

// play has a client send the parts of a text, after a while and with pauses.
func (o *sequenceTest) startClient(s *sequenceClient, before time.Duration, pauses []time.Duration, parts ...string) {
	o.clients = append(o.clients, s)
	o.running.Add(1)
	go func() {
		defer o.running.Done()
		s.run(o.env["ROUTER_LISTEN"], before, pauses, parts...)
	}()
}

// over waits until a message is delivered or ended.
func (o *sequenceTest) waitEnded(id string) {
	o.t.Helper()
	waitFor(o.t, "the end of "+id, func() bool {
		_, ended := o.disc.Notice(id)
		return ended || o.endpoint.answeredOK(id)
	})
}

// sequenceClient is a client that hands messages in around a relay's end, and
// keeps what it heard.
type sequenceClient struct {
	ids         []string
	isOnce      []bool   // of each id: it may not be repeated
	isPipelined bool     // all were sent in one breath
	answers     []string // as they came, one for each id as far as they did
	readErr     error    // of what it reads
}

// taken reports whether a request of it was answered +OK.
func (s *sequenceClient) isAccepted(j int) bool { return j < len(s.answers) && s.answers[j] == "+OK" }

// play sends the parts of a text with pauses between them, while it reads.
func (s *sequenceClient) run(addr string, before time.Duration, pauses []time.Duration, parts ...string) {
	time.Sleep(before)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		s.ids = nil // nobody listens any more: nothing was handed in
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	done := make(chan struct{})
	go func() {
		defer close(done)
		text, err := io.ReadAll(conn)
		s.readErr = err
		for line := range strings.Lines(string(text)) {
			if strings.HasSuffix(line, "\r\n") && line != "+PONG\r\n" {
				s.answers = append(s.answers, strings.TrimSpace(line))
			}
		}
	}()
	for i, part := range parts {
		io.WriteString(conn, part)
		if i < len(pauses) {
			select {
			case <-done: // the relay has ended the connection: what it did not read is sent again elsewhere
				return
			case <-time.After(pauses[i]):
			}
		}
	}
	<-done
}
