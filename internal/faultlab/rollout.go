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

// runners are the lab's runners, one beside each relay, and the plan that is
// played with them.
type runners struct {
	run  *run
	plan rollout.Plan

	mu   sync.Mutex
	open map[int]int // relays of each wave that are being restarted
}

// program restarts one relay as an upgrade does.
type program struct {
	*runners
	x    *relay
	wave int
}

// Operator is rollout.Program's.
func (p program) Operator() string {
	p.x.mu.Lock()
	defer p.x.mu.Unlock()
	return p.x.operator
}

// Restart is rollout.Program's.
func (p program) Restart(ctx context.Context) (int, error) {
	p.mu.Lock()
	p.open[p.wave]++
	if len(p.open) > 1 {
		p.run.fail(fmt.Errorf("lab: rollout: waves %v are open at once", p.open))
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.open[p.wave]--; p.open[p.wave] == 0 {
			delete(p.open, p.wave)
		}
	}()
	p.x.busy.Lock()
	defer p.x.busy.Unlock()
	// A second restart of a relay is a second step of this name.
	p.run.rec.Record(history.Event{Kind: history.RoleStep, Relay: p.x.name, Text: "rollout " + p.x.name, Status: 1})
	if err := p.x.upgrade(ctx); err != nil {
		return 0, err
	}
	p.x.mu.Lock()
	defer p.x.mu.Unlock()
	return p.x.proc.PID, nil
}

// strikeRollout has the wardens restart all relays in waves, and follows that to
// its end, which has to come before the run's.
func (r *run) strikeRollout(ctx context.Context) error {
	n := len(r.relays)
	rs := &runners{run: r, open: map[int]int{}, plan: rollout.Plan{Waves: []int{1, max(1, n/4)}, Parallelism: 2, ReadyTimeout: 10, SettleTime: 0.5, SettleTimeout: 8, MaxRejected: 0.9, MaxPending: 1000}}
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
			Handler: (&rollout.Runner{Folder: filepath.Dir(x.state()), Program: program{rs, x, wave}, Log: slog.New(slog.DiscardHandler)}).Handler()}
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
