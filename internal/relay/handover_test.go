package relay

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Property over the orders of a hand-over: a second process comes beside the
// first, and either is told to end or killed at some moment of it, while clients
// hand messages in. What was answered +OK is delivered or ended, what was refused
// is never sent, and what may not be repeated is sent once.
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
					t.Errorf("exit: %v", err)
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
			for _, s := range o.clients { // once all is over
				for j, id := range s.ids {
					n := o.endpoint.callCount(id)
					refused := j < len(s.answers) && strings.HasPrefix(s.answers[j], "-BUSY")
					switch {
					case n > 1 && s.isOnce[j]:
						t.Errorf("%s was sent %d times", id, n)
					case n > 0 && refused:
						t.Errorf("%s was sent, its client has heard %v", id, s.answers)
					case n > 0 && j >= len(s.answers) && !killed:
						t.Errorf("%s was sent, its client has heard nothing", id)
					}
				}
			}
			t.Logf("%d taken on, killed %v, the first is %v", taken, killed, both[0] == first)
		})
	}
}
