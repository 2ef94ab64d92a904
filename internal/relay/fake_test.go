package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
	"plovershore/internal/loopback"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// childEnv is the environment variable that makes the test binary run as a relay, so that
// a test can start a relay in a process of its own and kill it.
const childEnv = "RELAY_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) == "" {
		os.Exit(m.Run())
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := LoadConfig(os.Getenv)
	if err != nil {
		log.Error("test relay failed", "err", err)
		os.Exit(2)
	}
	if path := os.Getenv(diskFaultEnv); path != "" {
		cfg.FS = newFaultyDisk(path)
	}
	if path := os.Getenv(connectFaultEnv); path != "" {
		cfg.Connect = faultyConnect(path)
	}
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	if err := Run(cfg, log, ctx.Done(), WatchDiscoveryAddress(hup, os.Getenv, log)); err != nil {
		log.Error("test relay failed", "err", err)
		os.Exit(1)
	}
	os.Exit(0)
}

const testSettings = `{"accounts":[{"name":"acme","quota_per_s":1000,"share":1}],"balancers":1,
 "classes":[
  {"deadline_us":20000000,"dedup_window_us":5000000,"group":"all","late_worth":0.1,"name":"plain","repeat":"retryable","target_us":1500000,"worth":1},
  {"deadline_us":20000000,"dedup_window_us":20000000,"group":"all","late_worth":0.3,"name":"keyed","repeat":"dedup","target_us":3000000,"worth":1},
  {"deadline_us":20000000,"dedup_window_us":5000000,"group":"all","late_worth":0.4,"name":"once","repeat":"fragile","target_us":3000000,"worth":3}],
 "discovery":"pushed","kinds":["k"],"localities":["a","b"],
 "limits":{"connect_timeout_us":1500000,"keepalive_us":10000000,"max_retry_after_us":2000000,"may_cancel":true,
  "most_held":100,"most_tries":8,"probing":true,"retry_after":true,"streams_per_conn":8},
 "safety":{"answer_slack_us":20000,"drain_grace_us":2000000,"fall_us":2000000,"overload_factor":1.5,"ramp_time_us":13000000,"start_capacity":0.26},
 "specifics":{"calls_out":16,"kind_batch":[1],"late":"linear","own_limits":[false]},
 "report":{"fields":[],"how":"none"},
 "tick_us":5000,"value_by":"request","weights":"nominal","zone":0}`

// waitFor waits until cond is true. It fails the test after 30 seconds.
func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// fakeEndpoint is an endpoint that records the calls it receives and answers them with a
// function. The function gets the number of the call, counted from 1.
type fakeEndpoint struct {
	*httptest.Server
	mu     sync.Mutex
	calls  []receivedCall
	answer func(w http.ResponseWriter, r *http.Request, n int)
}

// receivedCall is a call that a fakeEndpoint has received; id is empty for a batch.
type receivedCall struct {
	id, key, timeout string
	body             []byte
	ok               bool // the call was answered with status 200
}

func newFakeEndpoint(t *testing.T, answer func(w http.ResponseWriter, r *http.Request, n int)) *fakeEndpoint {
	e := &fakeEndpoint{answer: answer}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.calls = append(e.calls, receivedCall{r.Header.Get("X-Request-ID"), r.Header.Get("Idempotency-Key"), r.Header.Get("X-Timeout-Ms"), body, false})
		n, answer := len(e.calls), e.answer
		e.mu.Unlock()
		recorder := &statusWriter{ResponseWriter: w, code: http.StatusOK}
		if answer != nil {
			answer(recorder, r, n)
		}
		e.mu.Lock()
		e.calls[n-1].ok = recorder.code == http.StatusOK
		e.mu.Unlock()
		var items []batchItem
		if r.URL.Path == batchPath && json.Unmarshal(body, &items) == nil {
			states := []map[string]string{}
			for _, x := range items {
				states = append(states, map[string]string{"id": x.ID, "state": "accepted"})
			}
			json.NewEncoder(w).Encode(states)
		}
	}))
	t.Cleanup(func() { e.CloseClientConnections(); e.Close() })
	return e
}

// statusWriter records the status code of a response.
type statusWriter struct {
	http.ResponseWriter
	code int
}

func (w *statusWriter) WriteHeader(code int) {
	w.code = code
	w.ResponseWriter.WriteHeader(code)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// answeredOK reports whether a call with a single message, the one with this ID, was
// answered with status 200.
func (e *fakeEndpoint) answeredOK(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.calls, func(c receivedCall) bool { return c.id == id && c.ok })
}

// hang does not answer a call until the caller has closed it.
func hang(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }

// answerStatus answers every call with a status code.
func answerStatus(code int) func(http.ResponseWriter, *http.Request, int) {
	return func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(code) }
}

func (e *fakeEndpoint) addr() string { return e.Listener.Addr().String() }

// setAnswer replaces the function that answers the next calls.
func (e *fakeEndpoint) setAnswer(answer func(http.ResponseWriter, *http.Request, int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer = answer
}

// callCount returns how often a message was received, alone or in a batch.
func (e *fakeEndpoint) callCount(id string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.calls {
		var items []batchItem
		if c.id == "" && json.Unmarshal(c.body, &items) == nil {
			for _, x := range items {
				if x.ID == id {
					n++
				}
			}
		} else if c.id == id {
			n++
		}
	}
	return n
}

// member returns a list entry of the endpoint for the destination cell.
func (e *fakeEndpoint) member(id string, cell int) discovery.Member {
	return discovery.Member{ID: id, HostPort: e.addr(), Locality: "a", Flavor: "k", Cell: cell, Phase: discovery.Up, Size: 1000}
}

// writeTestConfig writes a configuration file and returns the environment variables that
// make a relay use it.
func writeTestConfig(t *testing.T, disc *discoverytest.Server, diskMB int) map[string]string {
	t.Helper()
	listen := loopback.Free()
	dir := t.TempDir()
	state := filepath.Join(dir, "state")
	if err := os.Mkdir(state, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","surplus":1,
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":%d},"settings":%s}`, listen, disc.Addr(), diskMB, testSettings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return map[string]string{"ROUTER_CONFIG": path, "ROUTER_STATE": state, "ROUTER_LISTEN": listen,
		"ROUTER_DISCOVERY": disc.Addr(), "ROUTER_NAME": "n1"}
}

// editConfig replaces the first occurrence of a text in a configuration file that
// writeTestConfig wrote.
func editConfig(t *testing.T, env map[string]string, old, new string) {
	t.Helper()
	text, err := os.ReadFile(env["ROUTER_CONFIG"])
	if err != nil || !strings.Contains(string(text), old) {
		t.Fatalf("configuration does not contain %s, or cannot be read: %v", old, err)
	}
	if err := os.WriteFile(env["ROUTER_CONFIG"], []byte(strings.Replace(string(text), old, new, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
}

// newTestRelay returns a relay that has a log but no sockets and no running loop. The test
// calls what the loop would call.
func newTestRelay(t *testing.T) *Relay { return newTestRelayWithFS(t, nil) }

// newTestRelayWithFS is like newTestRelay, with a log on the given file system.
func newTestRelayWithFS(t *testing.T, fs wal.FS) *Relay {
	t.Helper()
	cfg := parseTestConfig(t)
	decider, err := policy.New(cfg.Policy, 1)
	if err != nil {
		t.Fatal(err)
	}
	w, err := wal.Open(wal.Options{Dir: t.TempDir(), Limit: 3 << 20, FS: fs, Log: discardLog()})
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	go w.Run(stop)
	r := newRelay(t.Context(), cfg, discardLog(), decider)
	r.wal, r.idleConns = w, 2
	r.clock.alignToLog(r.wal)
	t.Cleanup(func() { close(stop); <-w.Done() })
	return r
}

// logContains reports whether the log in a state folder has a record of a kind for a
// message.
func logContains(dir string, kind wal.Kind, id string) (found bool) {
	// Dump may fail while the relay writes to the folder; callers call this function again
	// until it returns true.
	wal.Dump(nil, dir, func(_ string, _ int64, _ uint64, r *wal.Record) bool {
		found = r.Kind == kind && r.ID == id
		return !found
	})
	return found
}

// child is a relay that runs in a child process.
type child struct {
	cmd *exec.Cmd
	env map[string]string
}

// startChild starts a relay in a child process and waits until it answers PING.
func startChild(t *testing.T, env map[string]string) *child {
	t.Helper()
	c := spawn(t, env)
	c.waitReady(t)
	return c
}

// spawn starts a relay in a child process without waiting until it is ready.
func spawn(t *testing.T, env map[string]string) *child {
	t.Helper()
	return spawnWithLog(t, env, stderrWriter{t})
}

// spawnWithLog is like spawn, with the log of the relay written to w.
func spawnWithLog(t *testing.T, env map[string]string, w io.Writer) *child {
	t.Helper()
	c := &child{cmd: exec.Command(os.Args[0]), env: env}
	startProcess(t, c, w)
	return c
}

// buildRelay builds the program of cmd/relay, without the race detector, and returns its path.
func buildRelay(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "relay")
	if out, err := exec.Command("go", "build", "-o", program, "plovershore/cmd/relay").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// startProcess starts the command of a child, which is killed at the end of the test.
func startProcess(t *testing.T, c *child, w io.Writer) {
	t.Helper()
	c.cmd.Env = append(os.Environ(), childEnv+"=1")
	for k, v := range c.env {
		c.cmd.Env = append(c.cmd.Env, k+"="+v)
	}
	c.cmd.Stderr = w
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.cmd.Process.Kill(); c.cmd.Wait() })
}

// stderrWriter writes the log of a child relay to the standard error of the test.
type stderrWriter struct{ t *testing.T }

func (w stderrWriter) Write(p []byte) (int, error) { os.Stderr.Write(p); return len(p), nil }

func (c *child) waitReady(t *testing.T) {
	t.Helper()
	waitFor(t, "an answer to PING", func() bool {
		conn, err := net.Dial("tcp", c.env["ROUTER_LISTEN"])
		if err != nil {
			return false
		}
		defer conn.Close()
		io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
		s, _ := bufio.NewReader(conn).ReadString('\n')
		return s == "+PONG\r\n"
	})
}

func (c *child) kill() { c.cmd.Process.Kill(); c.cmd.Wait() }

// testClient submits messages over one connection.
type testClient struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func dialClient(t *testing.T, addr string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	return &testClient{t, conn, bufio.NewReader(conn)}
}

// putCommand returns the bytes of a MSG.PUT command.
func putCommand(id, fields string, body []byte) string {
	var b strings.Builder
	b.WriteString("*5\r\n")
	for _, s := range []string{"MSG.PUT", "0000000000000000", id, fields, string(body)} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(s), s)
	}
	return b.String()
}

// put submits a message and returns the first line of the response.
func (c *testClient) put(id, fields string, body []byte) string {
	c.t.Helper()
	io.WriteString(c, putCommand(id, fields, body))
	return c.readLine()
}

func (c *testClient) readLine() string {
	c.t.Helper()
	s, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	return strings.TrimSuffix(s, "\r\n")
}

// putFields returns the fields argument of a MSG.PUT command. A message of the class
// "keyed" gets an idempotency key.
func putFields(class string, deadlineMS int, dest int) string {
	s := fmt.Sprintf("c=%s,t=acme,d=%d,dest=%d", class, deadlineMS, dest)
	if class == "keyed" {
		s += ",k=5c0f6e1a2b3d4c59"
	}
	return s
}
