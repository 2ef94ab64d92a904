package relay

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A property test of the handover: a second process starts beside the first while clients
// submit messages, and both get SIGTERM or SIGKILL at random times. An accepted message must
// be delivered or end, a refused one must never be sent, and one of the class "once" must not
// be sent twice.
func TestHandoverWithRandomSignalsKeepsMessages(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 8))
			o := newSequenceTest(t, seed, 150*time.Millisecond, 0)
			first := startChild(t, o.env)
			for i := range 40 {
				s := &sequenceClient{}
				var parts []string
				var pauses []time.Duration
				for range 3 {
					id := fmt.Sprintf("m%d-%d", i, len(s.ids))
					s.ids = append(s.ids, id)
					class := []string{"plain", "once"}[rng.IntN(2)]
					s.isOnce = append(s.isOnce, class == "once")
					parts = append(parts, putCommand(id, putFields(class, 20000, 7), []byte("body")))
					pauses = append(pauses, time.Duration(rng.IntN(300))*time.Millisecond)
				}
				before := time.Duration(rng.IntN(1500)) * time.Millisecond
				o.startClient(s, before, pauses, parts...)
			}
			wait := func(most int) { time.Sleep(time.Duration(rng.IntN(most)) * time.Millisecond) }
			wait(300)
			second := spawn(t, o.env)
			signals := []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGKILL}
			killed := false
			both := []*child{first, second}
			rng.Shuffle(2, func(i, j int) { both[i], both[j] = both[j], both[i] })
			for _, c := range both {
				wait(700)
				sig := signals[rng.IntN(len(signals))]
				killed = killed || sig == syscall.SIGKILL
				c.cmd.Process.Signal(sig)
			}
			o.running.Wait()
			for _, c := range both {
				if err := c.cmd.Wait(); err != nil && !killed {
					t.Errorf("exit of a process without kills: %v", err)
				}
			}
			startChild(t, o.env)
			taken := 0
			for i, s := range o.clients {
				if s.readErr != nil && !killed {
					t.Errorf("client %d: %v", i, s.readErr)
				}
				for j, id := range s.ids {
					if s.isAccepted(j) {
						taken++
						o.waitEnded(id)
					}
				}
			}
			for _, s := range o.clients { // only now, as all accepted messages have ended
				for j, id := range s.ids {
					n := o.endpoint.callCount(id)
					refused := j < len(s.answers) && strings.HasPrefix(s.answers[j], "-BUSY")
					switch {
					case n > 1 && s.isOnce[j]:
						t.Errorf("%s was sent %d times", id, n)
					case n > 0 && refused:
						t.Errorf("%s was refused but sent; responses to its client: %v", id, s.answers)
					case n > 0 && j >= len(s.answers) && !killed:
						t.Errorf("%s was sent, but its client got no response", id)
					}
				}
			}
			t.Logf("%d messages accepted; a process was killed: %v; the first process got its signal first: %v", taken, killed, both[0] == first)
		})
	}
}
