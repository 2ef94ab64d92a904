package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"plovershore/internal/leader"
	"plovershore/internal/loopback"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// fleet is a set of simulated relays, each with a runner and an operator address.
type fleet struct {
	t    *testing.T
	addr string // address of the list service
	plan Plan

	mu       sync.Mutex
	restarts map[string]int  // number of restarts by relay
	open     map[int]bool    // waves in which a relay is being restarted
	most     int             // maximum number of such waves at the same time
	sick     map[string]bool // relays that reject most messages
	slow     time.Duration   // duration of a restart
}

// restart simulates the restart of a relay in a wave. It returns the number of the relay's
// restarts in place of a process id.
func (f *fleet) restart(name string, wave int) (int, error) {
	f.mu.Lock()
	f.restarts[name]++
	f.open[wave] = true
	f.most = max(f.most, len(f.open))
	n := f.restarts[name]
	f.mu.Unlock()
	time.Sleep(f.slow)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, wave)
	return n, nil
}

type program func() (int, error)

func (program) Operator() string { return "" }

func (p program) Restart(context.Context) (int, error) { return p() }

func newFleet(t *testing.T, relays int, waves ...int) *fleet {
	t.Helper()
	c := registry.DefaultConfig()
	c.DataDir, c.Listen, c.Raft = filepath.Join(t.TempDir(), "data"), loopback.Free(), loopback.Free()
	c.Peers = []registry.Peer{{ID: c.ID, Raft: c.Raft, HTTP: c.Listen}}
	n, err := registry.Start(&c, quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	f := &fleet{t: t, addr: c.Listen, restarts: map[string]int{}, open: map[int]bool{}, sick: map[string]bool{}, slow: 20 * time.Millisecond,
		plan: Plan{Waves: waves, Parallelism: 2, ReadyTimeout: 5, SettleTime: 0.3, SettleTimeout: 3, MaxRejected: 0.1, MaxPending: 10}}
	for i := range relays {
		name := fmt.Sprint("n", i)
		wave, end := 0, 0
		for _, size := range waves {
			if end += size; i >= end {
				wave++
			}
		}
		r := &Runner{Folder: t.TempDir(), Log: quiet(), Program: program(func() (int, error) { return f.restart(name, wave) })}
		runner := httptest.NewServer(r.Handler())
		t.Cleanup(runner.Close)
		operator := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if q.URL.Path == "/v1/metrics" {
				refused := 0
				if f.sick[name] {
					refused = 900
				}
				fmt.Fprintf(w, "# TYPE app_pending gauge\napp_pending 4\napp_completed{lane=\"a\"} 1000\napp_rejected{lane=\"a\"} %d\n", refused)
			}
		}))
		t.Cleanup(operator.Close)
		f.plan.Relays = append(f.plan.Relays, Relay{Name: name, Runner: strings.TrimPrefix(runner.URL, "http://"), Operator: strings.TrimPrefix(operator.URL, "http://")})
	}
	return f
}

func (f *fleet) client() *client.Client {
	c, err := client.New([]string{f.addr}, 1, quiet())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(c.Close)
	return c
}

func (f *fleet) request(desired string, withSpec bool) {
	f.t.Helper()
	o := registry.Operation{DesiredState: desired}
	if withSpec {
		text, err := json.Marshal(f.plan)
		if err != nil {
			f.t.Fatal(err)
		}
		o.Spec = text
	}
	if _, err := f.client().Do(f.t.Context(), http.MethodPut, registry.OperationsPath+"/"+Role+"/all", o, nil); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) operation() (o registry.Operation, p Progress) {
	f.t.Helper()
	var all []registry.Operation
	if _, err := f.client().Do(context.Background(), http.MethodGet, registry.OperationsPath, nil, &all); err != nil {
		f.t.Fatal(err)
	}
	if len(all) == 0 {
		return o, p
	}
	if o = all[0]; len(o.Progress) > 0 {
		if err := json.Unmarshal(o.Progress, &p); err != nil {
			f.t.Fatal(err)
		}
	}
	return o, p
}

// startController runs a controller. kill simulates its death: its work stops at once and
// releases no role, so that its session has to expire.
func (f *fleet) startController(name string) (kill func()) {
	dead := make(chan struct{})
	w := Work(f.client())
	ctx, cancel := context.WithCancel(f.t.Context())
	c := f.client()
	done := make(chan struct{})
	work := func(ctx context.Context, g *leader.Grant) error {
		inner, stop := context.WithCancel(ctx)
		defer stop()
		go func() {
			select {
			case <-dead:
				stop()
			case <-inner.Done():
			}
		}()
		err := w(inner, g)
		select {
		case <-dead:
			<-ctx.Done() // keeps the role until the session ends, as after a crash
		default:
		}
		return err
	}
	go func() {
		defer close(done)
		if err := leader.Run(ctx, leader.Options{Client: c, Name: name, TTL: 3 * time.Second, Roles: map[string]leader.Work{Role: work}, Log: quiet()}); err != nil {
			f.t.Error(err)
		}
	}()
	f.t.Cleanup(func() { cancel(); <-done })
	return sync.OnceFunc(func() { close(dead); cancel() })
}

func (f *fleet) checkRestartedOnce(n int) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.plan.Relays[:n] {
		if f.restarts[r.Name] != 1 {
			f.t.Errorf("%s was restarted %d times, want 1", r.Name, f.restarts[r.Name])
		}
	}
	if len(f.restarts) != n || f.most > 1 {
		f.t.Errorf("%d relays were restarted, want %d; %d waves had restarts at the same time, want 1", len(f.restarts), n, f.most)
	}
}

// Each relay of a plan is restarted once, and one wave at a time, even though the leader
// dies four times during the rollout.
func TestEachRelayRestartsOnceThoughLeadersDie(t *testing.T) {
	f := newFleet(t, 12, 1, 3, 4)
	f.slow = 60 * time.Millisecond
	f.request(registry.DesiredRun, true)
	for k := range 4 {
		kill := f.startController(fmt.Sprint("w-", k))
		_, before := f.operation()
		waitFor(t, "another restarted relay", func() bool { o, p := f.operation(); return o.Done || len(p.Done) > len(before.Done) })
		kill()
	}
	f.startController("last")
	waitFor(t, "the rollout to be done", func() bool { o, _ := f.operation(); return o.Done })
	f.checkRestartedOnce(12)
}

// While a relay of a wave rejects too many messages, the wave does not settle and no further
// wave begins. The rollout continues once the relay meets the limit.
func TestWaveThatDoesNotSettle(t *testing.T) {
	f := newFleet(t, 5, 2)
	f.sick["n1"] = true
	f.request(registry.DesiredRun, true)
	f.startController("w")
	waitFor(t, "the report that the wave does not settle", func() bool { o, _ := f.operation(); return strings.Contains(o.Message, "does not settle: n1 refused") })
	f.checkRestartedOnce(2)
	f.mu.Lock()
	f.sick["n1"] = false
	f.mu.Unlock()
	waitFor(t, "the rollout to be done", func() bool { o, _ := f.operation(); return o.Done })
	f.checkRestartedOnce(5)
}

// A paused rollout restarts at most the batch that has begun already. When it is aborted it
// ends, and the remaining relays are not restarted.
func TestPauseAndAbort(t *testing.T) {
	f := newFleet(t, 6, 2)
	f.slow = 200 * time.Millisecond
	f.request(registry.DesiredRun, true)
	f.startController("w")
	waitFor(t, "two restarted relays", func() bool { _, p := f.operation(); return len(p.Done) >= 2 })
	f.request(registry.DesiredPause, false)
	waitFor(t, "the end of the restarts in progress", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.open) == 0 })
	_, at := f.operation()
	f.request(registry.DesiredAbort, false)
	waitFor(t, "the rollout to be aborted", func() bool { o, _ := f.operation(); return o.Done && strings.Contains(o.Message, "called off") })
	if _, p := f.operation(); len(p.Done) > len(at.Done)+f.plan.Parallelism || len(p.Done) == 6 {
		t.Errorf("%d relays were restarted: more than one batch after the pause, or all", len(p.Done))
	}
}

// A runner carries out a step once, also if it is requested again under a newer token or
// after a restart of the runner, and rejects tokens older than the newest it has seen.
func TestRunner(t *testing.T) {
	n := 0
	r := &Runner{Folder: t.TempDir(), Log: quiet(), Program: program(func() (int, error) { n++; return n, nil })}
	for _, x := range []struct {
		step Step
		want int
		err  error
	}{{Step{"a", 5}, 1, nil}, {Step{"a", 5}, 1, nil}, {Step{"a", 7}, 1, nil}, {Step{"b", 6}, 1, leader.ErrFenced}, {Step{"b", 7}, 2, nil}} {
		if _, err := r.restart(t.Context(), x.step); !errors.Is(err, x.err) || n != x.want {
			t.Errorf("step %+v: error %v, %d restarts so far", x.step, err, n)
		}
	}
	again := &Runner{Folder: r.Folder, Log: quiet(), Program: r.Program} // stands for the runner after its own restart
	if _, err := again.restart(t.Context(), Step{"b", 8}); err != nil || n != 2 {
		t.Errorf("completed step requested after the restart of the runner: error %v, %d restarts, want 2", err, n)
	}
}

// Errors of a plan name the key, and also the line if the text cannot be decoded.
func TestPlanErrorsNameTheKey(t *testing.T) {
	const relay = "[[relays]]\nname = \"n1\"\nrunner = \"h:1\"\noperator = \"h:2\"\n"
	if _, err := ParsePlan([]byte(relay)); err != nil {
		t.Error(err)
	}
	for text, want := range map[string]string{
		"":                                       "relays: none",
		"wave = 1\n" + relay:                     "line 1: wave: unknown key",
		"waves = [2]\n" + relay:                  "waves[0]: 2",
		"ready = 0.0\n" + relay:                  "ready: 0",
		"at_once = \"x\"\n" + relay:              "at_once",
		relay + relay:                            "relays[1].name",
		"[[relays]]\nname=\"a\"\nrunner=\"x\"\n": "relays[0].",
	} {
		if _, err := ParsePlan([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("plan %q: error %v, want one that contains %q", text, err, want)
		}
	}
}
