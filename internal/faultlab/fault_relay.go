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

func (r *run) strikeRelay(ctx context.Context, s Step, x *relay) error {
	if s.Fault.Kind == "clock" { // also beside other faults, and while no process runs
		return r.strikeClock(ctx, s, x)
	}
	x.busy.Lock() // one fault at a time on a relay's process
	defer x.busy.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	switch s.Fault.Kind {
	case "pause":
		if _, sent := x.signal(syscall.SIGSTOP); !sent {
			return nil
		}
		r.clients.RelayDown(r.ctx, x.name)
		r.waitUntilUndone(ctx, s)
		if _, sent := x.signal(syscall.SIGCONT); sent {
			r.clients.RelayUp(x.name)
		}
		return nil
	case "salvage":
		return r.strikeFailover(ctx, s, x)
	case "hup":
		if err := x.agent.Rebind(r.ctx); err != nil {
			return err
		}
		if _, err := x.configure(); err != nil {
			return err
		}
		x.signal(syscall.SIGHUP)
		return nil
	}
	if s.Fault.Kind == "upgrade" {
		return x.upgrade(ctx)
	}
	old, since := filepath.Join(x.dir, "older"), r.recorder.Now()
	if s.Fault.Folder == "older" { // as it was a moment before
		if err := copyDir(x.stateDir(), old); err != nil {
			return err
		}
		model.Sleep(ctx, time.Second)
	}
	x.stop(s.Fault.Kind == "term")
	note := s.Fault.Folder
	switch {
	case s.Fault.Folder == "lost":
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
	case s.Fault.Folder == "older":
		if err := errors.Join(os.RemoveAll(x.stateDir()), os.Rename(old, x.stateDir())); err != nil {
			return fmt.Errorf("folder of %s: %w", x.name, err)
		}
	case scenario.Corruptions[s.Fault.Kind]:
		var err error
		if note, err = corruptFile(filepath.Join(x.stateDir(), s.Fault.File), s.Fault.Kind, rand.New(rand.NewPCG(s.Draw, uint64(x.number)))); err != nil {
			return err
		}
	}
	if note != "" && note != "kept" {
		r.recorder.Record(history.Event{Kind: history.FolderChanged, Relay: x.name, Text: note, DueAt: since})
	}
	after := restartDelay
	if s.Fault.For > 0 {
		after = scenario.Seconds(s.Fault.For)
	}
	model.Sleep(ctx, after)
	return x.start()
}

// strikeClock steps the wall clock of a relay's machine, and back where the fault is to be
// undone.
func (r *run) strikeClock(ctx context.Context, s Step, x *relay) error {
	by := time.Duration(s.Fault.MS * float64(time.Millisecond))
	if s.Fault.Direction == "back" || s.Fault.Direction == "both" && rand.New(rand.NewPCG(s.Draw, uint64(x.number))).IntN(2) == 0 {
		by = -by
	}
	if err := x.wall.Step(by); err != nil || s.Fault.For == 0 {
		return err
	}
	r.waitUntilUndone(ctx, s)
	return x.wall.Step(-by)
}
