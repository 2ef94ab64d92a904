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
	restartDelay = 600 * time.Millisecond // of a relay whose process ended
	olderBy      = time.Second            // that an older state lies back
)

// strikeRelay carries out a step on one relay.
func (r *run) strikeRelay(ctx context.Context, step Step, x *relay) error {
	if step.Fault.Kind == scenario.FaultClock { // beside other faults, and while no process runs
		return r.strikeClock(ctx, step, x)
	}
	x.busy.Lock() // one fault at a time on a relay's process
	defer x.busy.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	switch step.Fault.Kind {
	case scenario.FaultSuspend:
		r.suspend(ctx, step, x)
		return nil
	case scenario.FaultFailover:
		return r.strikeFailover(ctx, step, x)
	case scenario.FaultHangUp:
		return r.rebindDiscovery(x)
	case scenario.FaultUpgrade:
		return x.upgrade(ctx)
	}
	return r.restart(ctx, step, x)
}

// suspend stops a relay's process for a while.
func (r *run) suspend(ctx context.Context, step Step, x *relay) {
	if _, sent := x.signal(syscall.SIGSTOP); !sent {
		return
	}
	r.clients.RelayDown(r.ctx, x.name)
	r.waitUntilUndone(ctx, step)
	if _, sent := x.signal(syscall.SIGCONT); sent {
		r.clients.RelayUp(x.name)
	}
}

// rebindDiscovery gives a relay's agent a new address, and notifies the relay by SIGHUP.
func (r *run) rebindDiscovery(x *relay) error {
	if err := x.agent.Rebind(r.ctx); err != nil {
		return err
	}
	if _, err := x.configure(); err != nil {
		return err
	}
	x.signal(syscall.SIGHUP)
	return nil
}

// restart ends a relay's process, changes its state directory as the fault says,
// and starts the next process.
func (r *run) restart(ctx context.Context, step Step, x *relay) error {
	fault := &step.Fault
	copied, copiedAt := filepath.Join(x.dir, "older"), r.recorder.Now()
	if fault.Folder == scenario.FolderOlder {
		if err := copyDir(x.stateDir(), copied); err != nil {
			return err
		}
		model.Sleep(ctx, olderBy)
	}
	x.shutdown(fault.Kind == scenario.FaultTerm)
	change, err := r.changeState(step, x, copied)
	if err != nil {
		return err
	}
	if change != "" {
		r.recorder.Record(history.Event{Kind: history.FolderChanged, Relay: x.name, Text: change, DueAt: copiedAt})
	}
	delay := restartDelay
	if fault.For > 0 {
		delay = scenario.Seconds(fault.For)
	}
	model.Sleep(ctx, delay)
	return x.start()
}

// changeState changes the state directory of a relay that is down, and returns the
// text of the change in the history; empty for none.
func (r *run) changeState(step Step, x *relay, copied string) (change string, err error) {
	switch {
	case step.Fault.Folder == scenario.FolderLost:
		return history.FolderLost, r.loseState(x)
	case step.Fault.Folder == scenario.FolderOlder:
		if err := errors.Join(os.RemoveAll(x.stateDir()), os.Rename(copied, x.stateDir())); err != nil {
			return "", fmt.Errorf("folder of %s: %w", x.name, err)
		}
		return history.FolderOlder, nil
	case step.Fault.Corrupts():
		return corruptFile(filepath.Join(x.stateDir(), step.Fault.File), step.Fault.Kind, step.random(x.number))
	}
	return "", nil
}

// loseState removes a relay's state; the clients submit its pending messages again
// where that is safe.
func (r *run) loseState(x *relay) error {
	if err := os.RemoveAll(x.stateDir()); err != nil {
		return fmt.Errorf("folder of %s: %w", x.name, err)
	}
	if err := os.Mkdir(x.stateDir(), 0o700); err != nil {
		return fmt.Errorf("folder of %s: %w", x.name, err)
	}
	for _, m := range r.world.Ledger.Pending(x.name, time.Now()) {
		r.world.Ledger.Complete(m.ID)
		if !model.Classes()[m.Class].NonIdempotent {
			r.clients.Resubmit(r.ctx, m)
		}
	}
	return nil
}

// strikeClock steps the wall clock of a relay's machine, and back if the fault is to
// be undone.
func (r *run) strikeClock(ctx context.Context, step Step, x *relay) error {
	by := millis(step.Fault.MS)
	switch step.Fault.Direction {
	case scenario.DirectionBack:
		by = -by
	case scenario.DirectionBoth:
		if step.random(x.number).IntN(2) == 0 {
			by = -by
		}
	}
	if err := x.wall.Step(by); err != nil || step.Fault.For == 0 {
		return err
	}
	r.waitUntilUndone(ctx, step)
	return x.wall.Step(-by)
}

// random returns what the step draws from for one target.
func (s Step) random(target int) *rand.Rand {
	return rand.New(rand.NewPCG(s.Draw, uint64(target)))
}
