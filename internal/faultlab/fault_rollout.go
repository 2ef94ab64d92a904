package faultlab

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/registry"
	"plovershore/internal/rollout"
)

// rolloutRunners are the lab's runners, one beside each relay, and the plan that is
// played with them.
type rolloutRunners struct {
	run  *run
	plan rollout.Plan

	mu        sync.Mutex
	openWaves map[int]int // relays of each wave that are being restarted
}

// rolloutProgram restarts one relay as an upgrade does.
type rolloutProgram struct {
	*rolloutRunners
	relay *relay
	wave  int
}

// Operator is rollout.Program's.
func (p rolloutProgram) Operator() string {
	p.relay.mu.Lock()
	defer p.relay.mu.Unlock()
	return p.relay.operator
}

// Restart is rollout.Program's.
func (p rolloutProgram) Restart(ctx context.Context) (int, error) {
	p.mu.Lock()
	p.openWaves[p.wave]++
	if len(p.openWaves) > 1 {
		p.run.fail(fmt.Errorf("lab: rollout: waves %v are open at once", p.openWaves))
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.openWaves[p.wave]--; p.openWaves[p.wave] == 0 {
			delete(p.openWaves, p.wave)
		}
	}()
	p.relay.busy.Lock()
	defer p.relay.busy.Unlock()
	// A second restart of a relay is a second step of this name.
	p.run.recorder.Record(history.Event{Kind: history.RoleStep, Relay: p.relay.name, Text: "rollout " + p.relay.name, Status: 1})
	if err := p.relay.upgrade(ctx); err != nil {
		return 0, err
	}
	p.relay.mu.Lock()
	defer p.relay.mu.Unlock()
	return p.relay.process.PID, nil
}

// strikeRollout has the wardens restart all relays in waves, and follows that to
// its end, which has to come before the run's.
func (r *run) strikeRollout(ctx context.Context) error {
	n := len(r.relays)
	rs := &rolloutRunners{run: r, openWaves: map[int]int{}, plan: rollout.Plan{Waves: []int{1, max(1, n/4)}, Parallelism: 2, ReadyTimeout: 10, SettleTime: 0.5, SettleTimeout: 8, MaxRejected: 0.9, MaxPending: 1000}}
	for i, x := range r.relays {
		wave := 0
		if i >= 1 {
			wave = 1
		}
		if i >= 1+rs.plan.Waves[1] {
			wave = 2
		}
		addr := r.address()
		s := &http.Server{Addr: addr, ReadHeaderTimeout: time.Second,
			Handler: (&rollout.Runner{Folder: filepath.Dir(x.stateDir()), Program: rolloutProgram{rs, x, wave}, Log: slog.New(slog.DiscardHandler)}).Handler()}
		r.wg.Add(1)
		go func() { defer r.wg.Done(); s.ListenAndServe() }() // ends by Close
		defer s.Close()
		rs.plan.Relays = append(rs.plan.Relays, rollout.Relay{Name: x.name, Runner: addr})
	}
	spec, err := json.Marshal(rs.plan)
	if err != nil {
		return fmt.Errorf("lab: rollout: %w", err)
	}
	if _, err := r.group.client.Do(ctx, http.MethodPut, registry.OperationsPath+"/"+rollout.Role+"/all", registry.Operation{Spec: spec, DesiredState: registry.DesiredRun}, nil); err != nil {
		return fmt.Errorf("lab: rollout: %w", err)
	}
	last := registry.Operation{}
	for {
		var all []registry.Operation
		if _, err := r.group.client.Do(ctx, http.MethodGet, registry.OperationsPath, nil, &all); err == nil && len(all) == 1 {
			if last = all[0]; last.Done {
				return nil
			}
		}
		if !model.Sleep(ctx, 100*time.Millisecond) {
			return fmt.Errorf("lab: rollout: not at its end: %s, %s", last.Message, last.Progress)
		}
	}
}
