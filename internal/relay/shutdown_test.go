package relay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/discovery/discoverytest"
)

// shutdownClient is a client that hands messages in around a relay's end, and
// keeps what it heard.
type shutdownClient struct {
	ids     []string
	once    []bool   // of each id: it may not be repeated
	ahead   bool     // all were sent in one breath
	answers []string // as they came, one for each id as far as they did
	end     error    // of what it reads
}

// play sends the parts of a text with pauses between them, while it reads.
func (s *shutdownClient) play(addr string, before time.Duration, pauses []time.Duration, parts ...string) {
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
		s.end = err
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

// Property over the orders of a shutdown: clients rest, send ahead, come in
// halves, or connect anew around SIGTERM. No connection is reset. What was
// answered +OK is delivered or ended, by this process or the next; what was refused or
// not answered is never sent.
func TestShutdownOrders(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 5))
			var mu sync.Mutex // of the endpoint's draws
			draws := rand.New(rand.NewPCG(seed, 6))
			ep := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
				mu.Lock()
				pause, full := time.Duration(draws.IntN(40))*time.Millisecond, draws.IntN(6) == 0
				mu.Unlock()
				time.Sleep(pause)
				if full {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
			disc := discoverytest.New(t, ep.member("s-1", 7))
			env := testConfig(t, disc, 3)
			c := startChild(t, env)
			var clients []*shutdownClient
			var playing sync.WaitGroup
			for i := range 24 {
				s := &shutdownClient{}
				clients = append(clients, s)
				put := func() string {
					id := fmt.Sprintf("m%d-%d", i, len(s.ids))
					s.ids = append(s.ids, id)
					return putText(id, fields([]string{"plain", "once", "keyed"}[rng.IntN(3)], 20000, 7), make([]byte, rng.IntN(3000)))
				}
				before := time.Duration(rng.IntN(900)) * time.Millisecond
				pauses := []time.Duration{time.Duration(rng.IntN(900)) * time.Millisecond, time.Duration(rng.IntN(300)) * time.Millisecond}
				var parts []string
				switch rng.IntN(4) {
				case 0: // rests, and sends as the relay ends
					parts = []string{put(), put(), put()}
				case 1: // sends ahead
					s.ahead = true
					parts = []string{put() + put() + "*1\r\n$4\r\nPING\r\n" + put()}
				case 2: // comes in halves
					text := put()
					cut := 1 + rng.IntN(len(text)-1)
					parts = []string{text[:cut], text[cut:]}
				case 3: // sends ahead, the second in halves
					text := put()
					next := put()
					cut := rng.IntN(len(next))
					parts = []string{text + next[:cut], next[cut:]}
				}
				playing.Add(1)
				go func() {
					defer playing.Done()
					s.play(env["ROUTER_LISTEN"], before, pauses, parts...)
				}()
			}
			time.Sleep(200*time.Millisecond + time.Duration(rng.IntN(500))*time.Millisecond)
			c.cmd.Process.Signal(syscall.SIGTERM)
			if rng.IntN(2) == 0 {
				c.cmd.Process.Signal(syscall.SIGHUP)
				c.cmd.Process.Signal(syscall.SIGTERM)
			}
			playing.Wait()
			if err := c.cmd.Wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
			startChild(t, env)
			taken, refused := 0, 0
			for i, s := range clients {
				if s.end != nil {
					t.Errorf("client %d: %v", i, s.end)
				}
				if s.ahead && len(s.answers) != len(s.ids) {
					t.Errorf("client %d: %d requests came together, its answers are %q", i, len(s.ids), s.answers)
				}
				for j, id := range s.ids {
					if j < len(s.answers) && s.answers[j] == "+OK" {
						taken++
						waitFor(t, "the end of "+id, func() bool {
							_, ended := disc.Notice(id)
							return ended || ep.answered(id)
						})
						continue
					}
					refused++
					if j < len(s.answers) && !strings.HasPrefix(s.answers[j], "-BUSY") {
						t.Errorf("%s: answer %q", id, s.answers[j])
					}
				}
			}
			for _, s := range clients { // once all is over
				for j, id := range s.ids {
					if ok := j < len(s.answers) && s.answers[j] == "+OK"; !ok && ep.count(id) > 0 {
						t.Errorf("%s was sent, its client has heard %v", id, s.answers)
					}
				}
			}
			t.Logf("%d taken on, %d not", taken, refused)
		})
	}
}
