package relay

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A property test of the shutdown: around SIGTERM, clients are idle, send several commands at
// once, send a command in two parts, or connect. No connection may be reset. An accepted
// message must be delivered or end, in this process or the next; a message that was refused
// or not answered must never be sent.
func TestRandomShutdownSequencesResetNoConnection(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 5))
			test := newSequenceTest(t, seed, 40*time.Millisecond, 6)
			c := startChild(t, test.env)
			for i := range 24 {
				client := &sequenceClient{}
				newCommand := func() string {
					id := fmt.Sprintf("m%d-%d", i, len(client.ids))
					client.ids = append(client.ids, id)
					return putCommand(id, putFields([]string{"plain", "once", "keyed"}[rng.IntN(3)], 20000, 7), make([]byte, rng.IntN(3000)))
				}
				delay := time.Duration(rng.IntN(900)) * time.Millisecond
				pauses := []time.Duration{time.Duration(rng.IntN(900)) * time.Millisecond, time.Duration(rng.IntN(300)) * time.Millisecond}
				var parts []string
				switch rng.IntN(4) {
				case 0: // sends commands with pauses, so that it is idle in between
					parts = []string{newCommand(), newCommand(), newCommand()}
				case 1: // sends all commands at once
					client.isPipelined = true
					parts = []string{newCommand() + newCommand() + "*1\r\n$4\r\nPING\r\n" + newCommand()}
				case 2: // sends one command in two parts
					text := newCommand()
					cut := 1 + rng.IntN(len(text)-1)
					parts = []string{text[:cut], text[cut:]}
				case 3: // sends a command together with the first part of the next
					text := newCommand()
					second := newCommand()
					cut := rng.IntN(len(second))
					parts = []string{text + second[:cut], second[cut:]}
				}
				test.startClient(client, delay, pauses, parts...)
			}
			time.Sleep(200*time.Millisecond + time.Duration(rng.IntN(500))*time.Millisecond)
			c.cmd.Process.Signal(syscall.SIGTERM)
			if rng.IntN(2) == 0 {
				c.cmd.Process.Signal(syscall.SIGHUP)
				c.cmd.Process.Signal(syscall.SIGTERM)
			}
			test.running.Wait()
			if err := c.cmd.Wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
			startChild(t, test.env)
			accepted, refused := 0, 0
			for i, client := range test.clients {
				if client.readErr != nil {
					t.Errorf("client %d: connection ended with %v", i, client.readErr)
				}
				if client.isPipelined && len(client.answers) != len(client.ids) {
					t.Errorf("client %d: sent %d messages at once, got the responses %q", i, len(client.ids), client.answers)
				}
				for j, id := range client.ids {
					if client.isAccepted(j) {
						accepted++
						test.waitEnded(id)
						continue
					}
					refused++
					if j < len(client.answers) && !strings.HasPrefix(client.answers[j], "-BUSY") {
						t.Errorf("%s: response %q, want +OK or -BUSY", id, client.answers[j])
					}
				}
			}
			for _, client := range test.clients { // only now, as all accepted messages have ended
				for j, id := range client.ids {
					if !client.isAccepted(j) && test.endpoint.callCount(id) > 0 {
						t.Errorf("%s was sent but not accepted; responses to its client: %v", id, client.answers)
					}
				}
			}
			t.Logf("%d messages accepted, %d not", accepted, refused)
		})
	}
}
