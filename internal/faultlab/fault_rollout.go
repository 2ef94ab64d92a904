package faultlab

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/rollout"
)

const (
	runnerTimeout = time.Second // for a runner to read the headers of a request
	waveFraction  = 4           // the second wave is one relay in this many
)

// rolloutWaves checks that the waves of a rollout do not overlap.
type rolloutWaves struct {
	run *run

	mu   sync.Mutex
	open map[int]int // number of relays being restarted, by wave
}

// enter records that a relay of a wave is being restarted; two open waves fail the run.
func (w *rolloutWaves) enter(wave int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[wave]++
	if len(w.open) > 1 {
		w.run.failure.set(fmt.Errorf("lab: rollout: waves %v are open at once", w.open))
	}
}

func (w *rolloutWaves) leave(wave int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open[wave]--; w.open[wave] == 0 {
		delete(w.open, wave)
	}
}

// rolloutProgram restarts one relay as an upgrade does; it is the rollout.Program of
// the relay's runner.
type rolloutProgram struct {
	waves *rolloutWaves
	relay *relay
	wave  int
}

// Operator returns the address of the relay for operators.
func (p rolloutProgram) Operator() string { return p.relay.operatorAddr() }

// Restart upgrades the relay and returns the ID of the new process.
func (p rolloutProgram) Restart(ctx context.Context) (pid int, err error) {
	p.waves.enter(p.wave)
	defer p.waves.leave(p.wave)
	p.relay.faultMu.Lock()
	defer p.relay.faultMu.Unlock()
	// The checker allows one step of a name, so it reports a second restart of a relay.
	p.waves.run.recorder.Record(history.Event{Kind: history.RoleStep, Relay: p.relay.name, Text: "rollout " + p.relay.name, Status: 1})
	if err := p.relay.upgrade(ctx); err != nil {
		return 0, err
	}
	return p.relay.currentProcess().PID, nil
}

// runRollout has the controllers restart all relays in waves, which has to be
// done before the run ends. Each relay has a runner on its machine.
func (r *run) runRollout(ctx context.Context) error {
	secondWave := max(1, len(r.relays)/waveFraction)
	plan := rollout.Plan{Waves: []int{1, secondWave}, Parallelism: 2, ReadyTimeout: 10, SettleTime: 0.5, SettleTimeout: 8, MaxRejected: 0.9, MaxPending: 1000}
	waves := &rolloutWaves{run: r, open: map[int]int{}}
	for i, relay := range r.relays {
		wave := 2
		switch {
		case i == 0:
			wave = 0
		case i <= secondWave:
			wave = 1
		}
		addr := r.address()
		defer r.startRunner(addr, rolloutProgram{waves, relay, wave}).Close()
		plan.Relays = append(plan.Relays, rollout.Relay{Name: relay.name, Runner: addr})
	}
	o := &operation{group: r.group, kind: rollout.Role, name: "all"}
	if err := o.run(ctx, plan); err != nil {
		return err
	}
	return o.await(ctx, isDone)
}

// startRunner starts the HTTP server of a relay's runner, which restarts the relay when
// the rollout calls it; the caller closes the server.
func (r *run) startRunner(addr string, program rolloutProgram) *http.Server {
	runner := &rollout.Runner{Folder: filepath.Dir(program.relay.stateDir()), Program: program, Log: slog.New(slog.DiscardHandler)}
	server := &http.Server{Addr: addr, ReadHeaderTimeout: runnerTimeout, Handler: runner.Handler()}
	r.start(func() { server.ListenAndServe() }) // returns when the server is closed
	return server
}
