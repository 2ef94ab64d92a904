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
			o := newSequenceTest(t, seed, 40*time.Millisecond, 6)
			c := startChild(t, o.env)
			for i := range 24 {
				s := &sequenceClient{}
				put := func() string {
					id := fmt.Sprintf("m%d-%d", i, len(s.ids))
					s.ids = append(s.ids, id)
					return putCommand(id, putFields([]string{"plain", "once", "keyed"}[rng.IntN(3)], 20000, 7), make([]byte, rng.IntN(3000)))
				}
				before := time.Duration(rng.IntN(900)) * time.Millisecond
				pauses := []time.Duration{time.Duration(rng.IntN(900)) * time.Millisecond, time.Duration(rng.IntN(300)) * time.Millisecond}
				var parts []string
				switch rng.IntN(4) {
				case 0: // sends commands with pauses, so that it is idle in between
					parts = []string{put(), put(), put()}
				case 1: // sends all commands at once
					s.isPipelined = true
					parts = []string{put() + put() + "*1\r\n$4\r\nPING\r\n" + put()}
				case 2: // sends one command in two parts
					text := put()
					cut := 1 + rng.IntN(len(text)-1)
					parts = []string{text[:cut], text[cut:]}
				case 3: // sends a command together with the first part of the next
					text := put()
					next := put()
					cut := rng.IntN(len(next))
					parts = []string{text + next[:cut], next[cut:]}
				}
				o.startClient(s, before, pauses, parts...)
			}
			time.Sleep(200*time.Millisecond + time.Duration(rng.IntN(500))*time.Millisecond)
			c.cmd.Process.Signal(syscall.SIGTERM)
			if rng.IntN(2) == 0 {
				c.cmd.Process.Signal(syscall.SIGHUP)
				c.cmd.Process.Signal(syscall.SIGTERM)
			}
			o.running.Wait()
			if err := c.cmd.Wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
			startChild(t, o.env)
			taken, refused := 0, 0
			for i, s := range o.clients {
				if s.readErr != nil {
					t.Errorf("client %d: %v", i, s.readErr)
				}
				if s.isPipelined && len(s.answers) != len(s.ids) {
					t.Errorf("client %d: sent %d messages at once, got the responses %q", i, len(s.ids), s.answers)
				}
				for j, id := range s.ids {
					if s.isAccepted(j) {
						taken++
						o.waitEnded(id)
						continue
					}
					refused++
					if j < len(s.answers) && !strings.HasPrefix(s.answers[j], "-BUSY") {
						t.Errorf("%s: response %q, want +OK or -BUSY", id, s.answers[j])
					}
				}
			}
			for _, s := range o.clients { // only now, as all accepted messages have ended
				for j, id := range s.ids {
					if !s.isAccepted(j) && o.endpoint.callCount(id) > 0 {
						t.Errorf("%s was sent but not accepted; responses to its client: %v", id, s.answers)
					}
				}
			}
			t.Logf("%d messages accepted, %d not", taken, refused)
		})
	}
}
