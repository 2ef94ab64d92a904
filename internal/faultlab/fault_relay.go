package faultlab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
)

const (
	restartDelay = 600 * time.Millisecond // until a relay whose process was ended starts again, unless the fault says otherwise
	backupAge    = time.Second            // age of the older state that a relay is given
)

// injectRelayFault injects a step's fault into one relay.
func (r *run) injectRelayFault(ctx context.Context, step Step, target *relay) error {
	if step.Fault.Kind == scenario.FaultClock { // the clock may change during another fault, and while no process runs
		return r.stepClock(ctx, step, target)
	}
	target.faultMu.Lock() // one fault at a time on a relay's process
	defer target.faultMu.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	switch step.Fault.Kind {
	case scenario.FaultSuspend:
		r.suspend(ctx, step, target)
		return nil
	case scenario.FaultFailover:
		return r.runFailover(ctx, step, target)
	case scenario.FaultHangUp:
		return r.rebindDiscovery(target)
	case scenario.FaultUpgrade:
		return target.upgrade(ctx)
	}
	return r.restart(ctx, step, target)
}

// suspend suspends a relay's process until the step is to be undone.
func (r *run) suspend(ctx context.Context, step Step, target *relay) {
	if _, sent := target.signal(syscall.SIGSTOP); !sent {
		return
	}
	r.clients.RelayDown(r.ctx, target.name)
	r.waitUntilUndone(ctx, step)
	if _, sent := target.signal(syscall.SIGCONT); sent {
		r.clients.RelayUp(target.name)
	}
}

// rebindDiscovery gives a relay's agent a new address, and has the relay read it by
// SIGHUP.
func (r *run) rebindDiscovery(target *relay) error {
	if err := target.agent.Rebind(r.ctx); err != nil {
		return err
	}
	if _, err := target.configure(); err != nil {
		return err
	}
	target.signal(syscall.SIGHUP)
	return nil
}

// restart ends a relay's process, changes its state directory as the fault says,
// and starts the next process.
func (r *run) restart(ctx context.Context, step Step, target *relay) error {
	fault := &step.Fault
	backupDir, backupAt := filepath.Join(target.dir, "older"), r.recorder.Now()
	if fault.Folder == scenario.FolderOlder {
		if err := copyDir(target.stateDir(), backupDir); err != nil {
			return err
		}
		model.Sleep(ctx, backupAge)
	}
	target.shutdown(fault.Kind == scenario.FaultTerm)
	change, err := r.changeState(step, target, backupDir)
	if err != nil {
		return err
	}
	if change != "" {
		r.recorder.Record(history.Event{Kind: history.FolderChanged, Relay: target.name, Text: change, DueAt: backupAt})
	}
	delay := restartDelay
	if fault.For > 0 {
		delay = scenario.Seconds(fault.For)
	}
	model.Sleep(ctx, delay)
	return target.start()
}

// changeState changes the state directory of a relay that is down, and returns the
// description for the history; it is empty if nothing was changed.
func (r *run) changeState(step Step, target *relay, backupDir string) (change string, err error) {
	switch {
	case step.Fault.Folder == scenario.FolderLost:
		return history.FolderLost, r.deleteState(target)
	case step.Fault.Folder == scenario.FolderOlder:
		if err := errors.Join(os.RemoveAll(target.stateDir()), os.Rename(backupDir, target.stateDir())); err != nil {
			return "", fmt.Errorf("folder of %s: %w", target.name, err)
		}
		return history.FolderOlder, nil
	case step.Fault.Corrupts():
		return corruptFile(filepath.Join(target.stateDir(), step.Fault.File), step.Fault.Kind, step.random(target.number))
	}
	return "", nil
}

// deleteState removes a relay's state. The clients submit its pending messages again
// where that is safe: those of idempotent classes.
func (r *run) deleteState(target *relay) error {
	if err := os.RemoveAll(target.stateDir()); err != nil {
		return fmt.Errorf("folder of %s: %w", target.name, err)
	}
	if err := os.Mkdir(target.stateDir(), 0o700); err != nil {
		return fmt.Errorf("folder of %s: %w", target.name, err)
	}
	for _, m := range r.world.Ledger.Pending(target.name, time.Now()) {
		r.world.Ledger.Complete(m.ID)
		if !model.Classes()[m.Class].NonIdempotent {
			r.clients.Resubmit(r.ctx, m)
		}
	}
	return nil
}

// stepClock steps the wall clock of a relay's machine, and steps it back if the fault
// is to be undone.
func (r *run) stepClock(ctx context.Context, step Step, target *relay) error {
	offset := millis(step.Fault.MS)
	switch step.Fault.Direction {
	case scenario.DirectionBack:
		offset = -offset
	case scenario.DirectionBoth:
		if step.random(target.number).IntN(2) == 0 {
			offset = -offset
		}
	}
	if err := target.wall.Step(offset); err != nil || step.Fault.For == 0 {
		return err
	}
	r.waitUntilUndone(ctx, step)
	return target.wall.Step(-offset)
}

// random returns the step's source of random numbers for one target.
func (s Step) random(target int) *rand.Rand {
	return rand.New(rand.NewPCG(s.Draw, uint64(target)))
}
