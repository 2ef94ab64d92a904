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

func newDiscardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(90 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
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

	mu              sync.Mutex
	restarts        map[string]int  // number of restarts by relay
	openWaves       map[int]bool    // waves in which a relay is being restarted
	maxOpenWaves    int             // maximum number of such waves at the same time
	rejecting       map[string]bool // relays that reject most messages
	restartDuration time.Duration   // duration of a restart
}

// restart simulates the restart of a relay in a wave. It returns the number of the relay's
// restarts in place of a process id.
func (f *fleet) restart(name string, wave int) (int, error) {
	f.mu.Lock()
	f.restarts[name]++
	f.openWaves[wave] = true
	f.maxOpenWaves = max(f.maxOpenWaves, len(f.openWaves))
	restarts := f.restarts[name]
	f.mu.Unlock()
	time.Sleep(f.restartDuration)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.openWaves, wave)
	return restarts, nil
}

// programFunc is a Program whose Restart only calls the function.
type programFunc func() (int, error)

func (programFunc) Operator() string { return "" }

func (p programFunc) Restart(context.Context) (int, error) { return p() }

func newFleet(t *testing.T, relays int, waves ...int) *fleet {
	t.Helper()
	config := registry.DefaultConfig()
	config.DataDir, config.Listen, config.Raft = filepath.Join(t.TempDir(), "data"), loopback.Free(), loopback.Free()
	config.Peers = []registry.Peer{{ID: config.ID, Raft: config.Raft, HTTP: config.Listen}}
	node, err := registry.Start(&config, newDiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	f := &fleet{t: t, addr: config.Listen, restarts: map[string]int{}, openWaves: map[int]bool{}, rejecting: map[string]bool{}, restartDuration: 20 * time.Millisecond,
		plan: Plan{Waves: waves, Parallelism: 2, ReadyTimeout: 5, SettleTime: 0.3, SettleTimeout: 3, MaxRejected: 0.1, MaxPending: 10}}
	for i := range relays {
		name := fmt.Sprint("n", i)
		wave, waveEnd := 0, 0
		for _, size := range waves {
			if waveEnd += size; i >= waveEnd {
				wave++
			}
		}
		runner := &Runner{Folder: t.TempDir(), Log: newDiscardLogger(), Program: programFunc(func() (int, error) { return f.restart(name, wave) })}
		runnerServer := httptest.NewServer(runner.Handler())
		t.Cleanup(runnerServer.Close)
		operatorServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if request.URL.Path == "/v1/metrics" {
				rejected := 0
				if f.rejecting[name] {
					rejected = 900
				}
				fmt.Fprintf(w, "# TYPE app_pending gauge\napp_pending 4\napp_completed{lane=\"a\"} 1000\napp_rejected{lane=\"a\"} %d\n", rejected)
			}
		}))
		t.Cleanup(operatorServer.Close)
		f.plan.Relays = append(f.plan.Relays, Relay{Name: name, Runner: strings.TrimPrefix(runnerServer.URL, "http://"), Operator: strings.TrimPrefix(operatorServer.URL, "http://")})
	}
	return f
}

func (f *fleet) client() *client.Client {
	c, err := client.New([]string{f.addr}, 1, newDiscardLogger())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(c.Close)
	return c
}

func (f *fleet) putOperation(desired string, withSpec bool) {
	f.t.Helper()
	op := registry.Operation{DesiredState: desired}
	if withSpec {
		text, err := json.Marshal(f.plan)
		if err != nil {
			f.t.Fatal(err)
		}
		op.Spec = text
	}
	if _, err := f.client().Do(f.t.Context(), http.MethodPut, registry.OperationsPath+"/"+Role+"/all", op, nil); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) operation() (op registry.Operation, progress Progress) {
	f.t.Helper()
	var operations []registry.Operation
	if _, err := f.client().Do(context.Background(), http.MethodGet, registry.OperationsPath, nil, &operations); err != nil {
		f.t.Fatal(err)
	}
	if len(operations) == 0 {
		return op, progress
	}
	if op = operations[0]; len(op.Progress) > 0 {
		if err := json.Unmarshal(op.Progress, &progress); err != nil {
			f.t.Fatal(err)
		}
	}
	return op, progress
}

// startController runs a controller until the test ends. kill interrupts its rollout work,
// wherever that is, and ends the controller.
func (f *fleet) startController(name string) (kill func()) {
	interrupted := make(chan struct{})
	rolloutWork := Work(f.client())
	ctx, cancel := context.WithCancel(f.t.Context())
	c := f.client()
	done := make(chan struct{})
	work := func(ctx context.Context, g *leader.Grant) error {
		workCtx, stop := context.WithCancel(ctx)
		defer stop()
		go func() {
			select {
			case <-interrupted:
				stop()
			case <-workCtx.Done():
			}
		}()
		err := rolloutWork(workCtx, g)
		select {
		case <-interrupted:
			<-ctx.Done() // a return before the controller stops would count as the end of the work
		default:
		}
		return err
	}
	go func() {
		defer close(done)
		if err := leader.Run(ctx, leader.Options{Client: c, Name: name, TTL: 3 * time.Second, Roles: map[string]leader.Work{Role: work}, Log: newDiscardLogger()}); err != nil {
			f.t.Error(err)
		}
	}()
	f.t.Cleanup(func() { cancel(); <-done })
	return sync.OnceFunc(func() { close(interrupted); cancel() })
}

func (f *fleet) checkRestartedOnce(count int) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, relay := range f.plan.Relays[:count] {
		if f.restarts[relay.Name] != 1 {
			f.t.Errorf("%s was restarted %d times, want 1", relay.Name, f.restarts[relay.Name])
		}
	}
	if len(f.restarts) != count || f.maxOpenWaves > 1 {
		f.t.Errorf("%d relays were restarted, want %d; %d waves had restarts at the same time, want 1", len(f.restarts), count, f.maxOpenWaves)
	}
}

// Each relay of a plan is restarted once, and one wave at a time, even though four leaders
// are interrupted during the rollout and replaced by the next one.
func TestEachRelayRestartsOnceThoughLeadersAreInterrupted(t *testing.T) {
	f := newFleet(t, 12, 1, 3, 4)
	f.restartDuration = 60 * time.Millisecond
	f.putOperation(registry.DesiredRun, true)
	for k := range 4 {
		kill := f.startController(fmt.Sprint("w-", k))
		_, before := f.operation()
		waitFor(t, "another restarted relay", func() bool { op, progress := f.operation(); return op.Done || len(progress.Done) > len(before.Done) })
		kill()
	}
	f.startController("last")
	waitFor(t, "the rollout to be done", func() bool { op, _ := f.operation(); return op.Done })
	f.checkRestartedOnce(12)
}

// While a relay of a wave rejects too many messages, the wave does not settle and no further
// wave begins. The rollout continues once the relay meets the limit.
func TestUnsettledWaveHoldsBackNextWave(t *testing.T) {
	f := newFleet(t, 5, 2)
	f.rejecting["n1"] = true
	f.putOperation(registry.DesiredRun, true)
	f.startController("w")
	waitFor(t, "the report that the wave does not settle", func() bool {
		op, _ := f.operation()
		return strings.Contains(op.Message, "does not settle: n1 refused")
	})
	f.checkRestartedOnce(2)
	f.mu.Lock()
	f.rejecting["n1"] = false
	f.mu.Unlock()
	waitFor(t, "the rollout to be done", func() bool { op, _ := f.operation(); return op.Done })
	f.checkRestartedOnce(5)
}

// A paused rollout restarts at most the batch that has begun already. When it is aborted it
// ends, and the remaining relays are not restarted.
func TestPausedAndAbortedRolloutStopsRestarting(t *testing.T) {
	f := newFleet(t, 6, 2)
	f.restartDuration = 200 * time.Millisecond
	f.putOperation(registry.DesiredRun, true)
	f.startController("w")
	waitFor(t, "two restarted relays", func() bool { _, progress := f.operation(); return len(progress.Done) >= 2 })
	f.putOperation(registry.DesiredPause, false)
	waitFor(t, "the end of the restarts in progress", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.openWaves) == 0 })
	_, pausedAt := f.operation()
	f.putOperation(registry.DesiredAbort, false)
	waitFor(t, "the rollout to be aborted", func() bool { op, _ := f.operation(); return op.Done && strings.Contains(op.Message, "called off") })
	if _, progress := f.operation(); len(progress.Done) > len(pausedAt.Done)+f.plan.Parallelism || len(progress.Done) == 6 {
		t.Errorf("%d relays were restarted: more than one batch after the pause, or all", len(progress.Done))
	}
}

// A runner carries out a step once, also if it is requested again under a newer token or
// after a restart of the runner, and rejects tokens older than the newest it has seen.
func TestRunnerDoesStepOnceAndRejectsOlderTokens(t *testing.T) {
	restarts := 0
	runner := &Runner{Folder: t.TempDir(), Log: newDiscardLogger(), Program: programFunc(func() (int, error) { restarts++; return restarts, nil })}
	for _, test := range []struct {
		step         Step
		wantRestarts int
		wantErr      error
	}{{Step{"a", 5}, 1, nil}, {Step{"a", 5}, 1, nil}, {Step{"a", 7}, 1, nil}, {Step{"b", 6}, 1, leader.ErrFenced}, {Step{"b", 7}, 2, nil}} {
		if _, err := runner.restart(t.Context(), test.step); !errors.Is(err, test.wantErr) || restarts != test.wantRestarts {
			t.Errorf("step %+v: error %v, %d restarts so far", test.step, err, restarts)
		}
	}
	restartedRunner := &Runner{Folder: runner.Folder, Log: newDiscardLogger(), Program: runner.Program} // stands for the runner after its own restart
	if _, err := restartedRunner.restart(t.Context(), Step{"b", 8}); err != nil || restarts != 2 {
		t.Errorf("completed step requested after the restart of the runner: error %v, %d restarts, want 2", err, restarts)
	}
}

// Errors of a plan name the key, and also the line if the text cannot be decoded.
func TestPlanErrorsNameKeyAndLine(t *testing.T) {
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
