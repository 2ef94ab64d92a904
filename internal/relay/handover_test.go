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
// be sent twice. If no process is killed, no connection may be reset, and a message without a
// response must not be sent either.
func TestHandoverWithRandomSignalsKeepsMessages(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 8))
			test := newSequenceTest(t, seed, 150*time.Millisecond, 0)
			first := startChild(t, test.env)
			for i := range 40 {
				client := &sequenceClient{}
				var commands []string
				var pauses []time.Duration
				for range 3 {
					id := fmt.Sprintf("m%d-%d", i, len(client.ids))
					client.ids = append(client.ids, id)
					class := []string{"plain", "once"}[rng.IntN(2)]
					client.isOnce = append(client.isOnce, class == "once")
					commands = append(commands, putCommand(id, putFields(class, 20000, 7), []byte("body")))
					pauses = append(pauses, time.Duration(rng.IntN(300))*time.Millisecond)
				}
				delay := time.Duration(rng.IntN(1500)) * time.Millisecond
				test.startClient(client, delay, pauses, commands...)
			}
			pause := func(maxMilliseconds int) { time.Sleep(time.Duration(rng.IntN(maxMilliseconds)) * time.Millisecond) }
			pause(300)
			second := spawn(t, test.env)
			signals := []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGKILL}
			killed := false
			processes := []*child{first, second}
			rng.Shuffle(2, func(i, j int) { processes[i], processes[j] = processes[j], processes[i] })
			for _, c := range processes {
				pause(700)
				sig := signals[rng.IntN(len(signals))]
				killed = killed || sig == syscall.SIGKILL
				c.cmd.Process.Signal(sig)
			}
			test.running.Wait()
			for _, c := range processes {
				if err := c.cmd.Wait(); err != nil && !killed {
					t.Errorf("exit of a process without kills: %v", err)
				}
			}
			startChild(t, test.env)
			accepted := 0
			for i, client := range test.clients {
				if client.readErr != nil && !killed {
					t.Errorf("client %d: connection ended with %v", i, client.readErr)
				}
				for j, id := range client.ids {
					if client.isAccepted(j) {
						accepted++
						test.waitEnded(id)
					}
				}
			}
			for _, client := range test.clients { // only now, as all accepted messages have ended
				for j, id := range client.ids {
					calls := test.endpoint.callCount(id)
					refused := j < len(client.answers) && strings.HasPrefix(client.answers[j], "-BUSY")
					switch {
					case calls > 1 && client.isOnce[j]:
						t.Errorf("%s was sent %d times", id, calls)
					case calls > 0 && refused:
						t.Errorf("%s was refused but sent; responses to its client: %v", id, client.answers)
					case calls > 0 && j >= len(client.answers) && !killed:
						t.Errorf("%s was sent, but its client got no response", id)
					}
				}
			}
			t.Logf("%d messages accepted; a process was killed: %v; the first process got its signal first: %v", accepted, killed, processes[0] == first)
		})
	}
}
