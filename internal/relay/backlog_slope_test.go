package relay

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
)

// slopeSizes are the numbers of pending messages at which TestBacklogSlope measures. The
// default is small, so that the test is quick when it runs with all others.
var slopeSizes = flag.String("slope", "1000,3000", "numbers of pending messages at which TestBacklogSlope measures, comma-separated")

const (
	slopeDests        = 50
	slopeClients      = 16
	slopeMaxDelivered = 4000 // maximum number of deliveries over which the cost is measured
)

// processUsage returns the CPU time that a process has used and its resident memory in
// bytes.
func processUsage(t *testing.T, pid int) (cpu time.Duration, rss int64) {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	statFields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseInt(statFields[11], 10, 64) // the fields of /proc/PID/stat are always numbers
	system, _ := strconv.ParseInt(statFields[12], 10, 64)
	pages, _ := strconv.ParseInt(statFields[21], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond, pages * int64(os.Getpagesize())
}

// costRun measures a relay that runs the program of cmd/relay. Its destinations have no
// endpoints until deliver lists them.
type costRun struct {
	t        *testing.T
	program  string
	disc     *discoverytest.Server
	endpoint *fakeEndpoint
	relay    *child
}

// start starts the relay and returns the time until it was ready.
func (r *costRun) start() (ready time.Duration) {
	r.t.Helper()
	startedAt := time.Now()
	c := &child{cmd: exec.Command(r.program), env: r.relay.env}
	c.cmd.Env = os.Environ()
	for k, v := range c.env {
		c.cmd.Env = append(c.cmd.Env, k+"="+v)
	}
	if err := c.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.cmd.Process.Kill(); c.cmd.Wait() })
	r.relay = c
	waitFor(r.t, "readiness", func() bool { return c.readyzIs(true) })
	return time.Since(startedAt)
}

func (r *costRun) usage() (time.Duration, int64) {
	r.t.Helper()
	return processUsage(r.t, r.relay.cmd.Process.Pid)
}

// submit submits n messages for destinations without endpoints.
func (r *costRun) submit(n int) {
	r.t.Helper()
	body := make([]byte, 200)
	var wg sync.WaitGroup
	for clientIndex := range slopeClients {
		cl := dialClient(r.t, r.relay.env["ROUTER_LISTEN"])
		cl.SetDeadline(time.Now().Add(2 * time.Minute))
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := clientIndex; i < n; i += slopeClients {
				if got := cl.put(fmt.Sprint("m", i), putFields("plain", 3600000, 10+i%slopeDests), body); got != "+OK" {
					r.t.Errorf("m%d: %s", i, got)
					return
				}
			}
		}()
	}
	wg.Wait()
}

// deliver lists endpoints for the destinations and returns the CPU time of the relay and
// the time elapsed per message, for the first deliveries.
func (r *costRun) deliver(n int) (cpu, elapsed time.Duration) {
	r.t.Helper()
	n = min(n, slopeMaxDelivered)
	list := discovery.List{Revision: 2}
	for i := range slopeDests {
		m := r.endpoint.member(fmt.Sprint("s-", 10+i), 10+i)
		m.Size = 100_000
		list.Members = append(list.Members, m)
	}
	text, err := json.Marshal(list)
	if err != nil {
		r.t.Fatal(err)
	}
	before, _ := r.usage()
	startedAt := time.Now()
	r.disc.Send(r.t, string(text))
	for deadline := startedAt.Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		r.endpoint.mu.Lock()
		delivered := len(r.endpoint.calls)
		r.endpoint.mu.Unlock()
		isLate := time.Now().After(deadline)
		if isLate && delivered < n/2 {
			r.t.Logf("only %d of %d messages were delivered within 20 s", delivered, n)
		}
		if isLate && delivered == 0 {
			r.t.Fatal("no message was delivered within 20 s")
		}
		if delivered >= n*9/10 || isLate && delivered > 0 { // 90 % are enough, as the policy may drop some messages
			after, _ := r.usage()
			return (after - before) / time.Duration(delivered), time.Since(startedAt) / time.Duration(delivered)
		}
	}
}

// The test measures what a pending message costs with all messages in memory ("before") and with the
// default limit on the messages in memory ("after"), at 256 MB of memory, with bodies of
// 200 bytes and 50 destinations without endpoints. At full size:
//
//	go test ./internal/relay -run TestBacklogSlope -v -args -slope 1000,10000,100000,300000
func TestBacklogSlope(t *testing.T) {
	program := buildRelay(t)
	t.Logf("%-7s %8s %10s %14s %12s %12s %12s %10s", "", "pending", "RSS MB", "RSS B/message", "µs CPU put", "µs CPU sent", "µs sent", "ready ms")
	for size := range strings.SplitSeq(*slopeSizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		for _, mode := range []string{"before", "after"} {
			run := &costRun{t: t, program: program, disc: newDiscoveryWithOneMember(t), endpoint: newFakeEndpoint(t, nil)}
			env := backlogEnv(t, run.disc, 2048, 0)
			editConfig(t, env, `"memory_mb":192`, `"memory_mb":256`)
			if mode == "after" {
				editConfig(t, env, `"resident":0,`, ``)
			}
			run.relay = &child{env: env}
			run.start()
			cpu0, rss0 := run.usage()
			run.submit(n)
			cpu1, rss1 := run.usage()
			waitFor(t, "the count of pending messages", func() bool { return run.relay.metric(t, "app_pending") == n })
			run.relay.kill()
			ready := run.start()
			cpu, elapsed := run.deliver(n)
			run.relay.kill()
			t.Logf("%-7s %8d %10.1f %14.0f %12.1f %12.1f %12.1f %10.0f", mode, n, float64(rss1)/1e6, float64(rss1-rss0)/float64(n),
				float64((cpu1-cpu0).Microseconds())/float64(n), float64(cpu.Nanoseconds())/1e3, float64(elapsed.Nanoseconds())/1e3, float64(ready.Microseconds())/1e3)
			if t.Failed() {
				return
			}
		}
	}
}
