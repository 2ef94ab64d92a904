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
	stop, booked := make(chan struct{}), make(chan error, 1)
	go w.Run(stop)
	body := []byte(strings.Repeat("b", 100))
	late := w.Time() + time.Hour.Microseconds()
	for i := range messages {
		then := func(err error) {
			if err != nil || i == messages-1 {
				select {
				case booked <- err:
				default:
				}
			}
		}
		w.Submit(&wal.Record{Kind: wal.KindAccepted, ID: fmt.Sprintf("%016x", i), Class: "plain", Tenant: "acme", Dest: i % dests,
			Deadline: late, Body: body}, then)
	}
	if err := <-booked; err != nil {
		t.Fatal(err)
	}
	close(stop)
	<-w.Done()
}

// largeConfig writes a configuration with a known list and a limit on the pending messages.
func largeConfig(t *testing.T, d *discoverytest.Server, known *discovery.List, diskMB, held int) map[string]string {
	t.Helper()
	env := writeTestConfig(t, d, diskMB)
	text, err := json.Marshal(known)
	if err != nil {
		t.Fatal(err)
	}
	editConfig(t, env, `"surplus":1,`, `"known":`+string(text)+`,`)
	editConfig(t, env, `"most_held":100`, `"most_held":`+strconv.Itoa(held))
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
	owed := 100000
	if s := os.Getenv("RELAY_READY_OWED"); s != "" { // sets another number of pending messages for a measurement
		owed, _ = strconv.Atoi(s)
	}
	members := 31000
	if raceDetectorEnabled {
		members, owed = members/10, owed/10
	}
	gone := loopback.Free()
	diskMB := 64 + owed/1000
	for _, how := range []string{"serves", "silent", "refuses"} {
		t.Run(how, func(t *testing.T) {
			list := largeList(members, gone)
			disc := discoverytest.New(t)
			disc.Set(func(d *discoverytest.Server) { d.List, d.Silent = *list, how == "silent" })
			env := largeConfig(t, disc, list, diskMB, 2*owed)
			if how == "refuses" {
				disc.Listener.Close()
			}
			writePendingLog(t, env["ROUTER_STATE"], int64(diskMB)<<20, owed, members)
			env["GOMAXPROCS"] = "1"
			began := time.Now()
			c := spawnWithLog(t, env, io.Discard)
			var pong, ready, longest time.Duration
			puts := 0
			waitFor(t, "readiness", func() bool {
				if pong == 0 && c.answersPing() {
					pong = time.Since(began)
				}
				if pong > 0 { // the relay is in use from its first PONG on
					at := time.Now()
					dialClient(t, env["ROUTER_LISTEN"]).put(fmt.Sprintf("new-%d", puts), putFields("plain", 20000, puts), nil)
					longest = max(longest, time.Since(at))
					puts++
				}
				if ready == 0 && pong > 0 && c.readyzIs(true) {
					ready = time.Since(began)
				}
				return ready > 0
			})
			unread := c.metric(t, "app_log_unread")
			t.Logf("%d members, %d pending, discovery %s: PONG after %v, ready after %v; %d messages submitted meanwhile, the slowest response after %v",
				members, owed, how, pong, ready, puts, longest)
			if pong > maxReadyTime || ready > maxReadyTime {
				t.Errorf("PONG after %v, ready after %v, want at most %v", pong, ready, maxReadyTime)
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
