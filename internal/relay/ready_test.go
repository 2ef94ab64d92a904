package relay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
	"plovershore/internal/loopback"
	"plovershore/internal/wal"
)

// maxReadyTime is how long a restarted process may take until it answers PING and is ready.
const maxReadyTime = 10 * time.Second

// largeList returns a list with the given number of members, one for each destination, all
// with the same address.
func largeList(members int, hostPort string) *discovery.List {
	l := &discovery.List{Revision: 1, Complete: true}
	for i := range members {
		l.Members = append(l.Members, discovery.Member{ID: fmt.Sprintf("s-%06d", i), HostPort: hostPort, Locality: "a",
			Flavor: "k", Cell: i, Phase: discovery.Up, Size: 20})
	}
	return l
}

// writePendingLog writes a log with the given number of pending messages, spread over the
// first dests destinations.
func writePendingLog(t *testing.T, dir string, limit int64, messages, dests int) {
	t.Helper()
	w, err := wal.Open(wal.Options{Dir: dir, Limit: limit, Log: discardLog()})
	if err != nil {
		t.Fatal(err)
	}
	stop, logged := make(chan struct{}), make(chan error, 1)
	go w.Run(stop)
	body := []byte(strings.Repeat("b", 100))
	deadline := w.Time() + time.Hour.Microseconds()
	for i := range messages {
		onLogged := func(err error) {
			if err != nil || i == messages-1 {
				select {
				case logged <- err:
				default:
				}
			}
		}
		w.Submit(&wal.Record{Kind: wal.KindAccepted, ID: fmt.Sprintf("%016x", i), Class: "plain", Tenant: "acme", Dest: i % dests,
			Deadline: deadline, Body: body}, onLogged)
	}
	if err := <-logged; err != nil {
		t.Fatal(err)
	}
	close(stop)
	<-w.Done()
}

// largeConfig writes a configuration with a known list and a limit on the pending messages.
func largeConfig(t *testing.T, disc *discoverytest.Server, known *discovery.List, diskMB, maxPending int) map[string]string {
	t.Helper()
	env := writeTestConfig(t, disc, diskMB)
	text, err := json.Marshal(known)
	if err != nil {
		t.Fatal(err)
	}
	editConfig(t, env, `"surplus":1,`, `"known":`+string(text)+`,`)
	editConfig(t, env, `"most_held":100`, `"most_held":`+strconv.Itoa(maxPending))
	env["ROUTER_OPERATOR"] = loopback.Free()
	return env
}

// answersPing reports whether a relay answers PING on a new connection.
func (c *child) answersPing() bool {
	conn, err := net.Dial("tcp", c.env["ROUTER_LISTEN"])
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
	s, _ := bufio.NewReader(conn).ReadString('\n')
	return s == "+PONG\r\n"
}

// A restart at the full size of the fleet: a known list of 31,000 members, a log with 100,000
// pending messages, and discovery that serves, is silent or refuses connections. The relay
// must answer PING and be ready in time, while it gets new messages from its first PONG on.
// With the race detector, the sizes are a tenth of these.
func TestRestartAtFullSizeIsReadyInTime(t *testing.T) {
	pending := 100000
	if s := os.Getenv("RELAY_READY_OWED"); s != "" { // sets another number of pending messages for a measurement
		pending, _ = strconv.Atoi(s)
	}
	members := 31000
	if raceDetectorEnabled {
		members, pending = members/10, pending/10
	}
	unusedAddr := loopback.Free()
	diskMB := 64 + pending/1000
	for _, discoveryMode := range []string{"serves", "silent", "refuses"} {
		t.Run(discoveryMode, func(t *testing.T) {
			list := largeList(members, unusedAddr)
			disc := discoverytest.New(t)
			disc.Set(func(d *discoverytest.Server) { d.List, d.Silent = *list, discoveryMode == "silent" })
			env := largeConfig(t, disc, list, diskMB, 2*pending)
			if discoveryMode == "refuses" {
				disc.Listener.Close()
			}
			writePendingLog(t, env["ROUTER_STATE"], int64(diskMB)<<20, pending, members)
			env["GOMAXPROCS"] = "1"
			startedAt := time.Now()
			c := spawnWithLog(t, env, io.Discard)
			var pongAfter, readyAfter, slowest time.Duration
			submitted := 0
			waitFor(t, "readiness", func() bool {
				if pongAfter == 0 && c.answersPing() {
					pongAfter = time.Since(startedAt)
				}
				if pongAfter > 0 { // clients use a relay that answers PING, so new messages are submitted from now on
					sentAt := time.Now()
					dialClient(t, env["ROUTER_LISTEN"]).put(fmt.Sprintf("new-%d", submitted), putFields("plain", 20000, submitted), nil)
					slowest = max(slowest, time.Since(sentAt))
					submitted++
				}
				if readyAfter == 0 && pongAfter > 0 && c.readyzIs(true) {
					readyAfter = time.Since(startedAt)
				}
				return readyAfter > 0
			})
			unread := c.metric(t, "app_log_unread")
			t.Logf("%d members, %d pending, discovery %s: PONG after %v, ready after %v; %d messages submitted meanwhile, the slowest response after %v",
				members, pending, discoveryMode, pongAfter, readyAfter, submitted, slowest)
			if pongAfter > maxReadyTime || readyAfter > maxReadyTime {
				t.Errorf("PONG after %v, ready after %v, want at most %v", pongAfter, readyAfter, maxReadyTime)
			}
			if unread != 0 {
				t.Errorf("relay is ready although %d messages of the log are not read yet", unread)
			}
			if n := c.metric(t, "app_members"); n != members {
				t.Errorf("%d members, want %d", n, members)
			}
		})
	}
}
