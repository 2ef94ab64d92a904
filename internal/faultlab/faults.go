package faultlab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
)

const restartDelay = 600 * time.Millisecond // of a relay whose process is gone

// inject carries out the plan, each step at its moment, and undoes what is to
// be undone; what is still on when ctx ends is undone then.
func (r *run) inject(ctx context.Context, plan []Step) {
	for _, s := range plan {
		if !model.Sleep(ctx, time.Until(r.began.Add(s.At))) {
			return
		}
		r.recordLateness(time.Since(r.began.Add(s.At)))
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.recorder.Record(history.Event{Kind: history.Fault, Text: s.String(), Active: true})
			r.fail(r.strike(ctx, s))
			r.recorder.Record(history.Event{Kind: history.Fault, Text: s.String()})
		}()
	}
}

// waitUntilUndone waits until a step is to be undone, or the faults are over.
func (r *run) waitUntilUndone(ctx context.Context, s Step) {
	if s.Until > 0 {
		model.Sleep(ctx, time.Until(r.began.Add(s.Until)))
	} else {
		<-ctx.Done()
	}
}

// strike carries out one step and returns when it is undone.
func (r *run) strike(ctx context.Context, s Step) error {
	switch scenario.Kinds[s.Fault.Kind] {
	case "relay":
		return r.forEach(s.Targets, func(i int) error { return r.strikeRelay(ctx, s, r.relays[i]) })
	case "link":
		r.strikeLinks(ctx, s)
	case "endpoint":
		return r.forEach(s.Targets, func(i int) error { return r.strikeEndpoint(ctx, s, i) })
	case "partner":
		r.strikeUpstreams(ctx, s)
	case "fleet":
		return r.strikeRollout(ctx)
	case "zone":
		return r.strikeEvacuate(ctx, s)
	case "warden":
		return r.group.strikeControllers(ctx, s)
	case "node", "registration", "group":
		return r.group.strike(ctx, s)
	case "discovery":
		if s.Fault.Kind == "turnaway" {
			r.discovery.LimitRate(max(s.Fault.Rate, 0.1))
			r.waitUntilUndone(ctx, s)
			r.discovery.LimitRate(0)
			return nil
		}
		for _, i := range s.Targets {
			r.relays[i].agent.SetSilent(true)
		}
		r.waitUntilUndone(ctx, s)
		for _, i := range s.Targets {
			r.relays[i].agent.SetSilent(false)
		}
	}
	return nil
}

// forEach does something to several targets side by side.
func (r *run) forEach(targets []int, f func(int) error) error {
	var g errgroup.Group
	for _, t := range targets {
		g.Go(func() error { return f(t) })
	}
	return g.Wait()
}

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

// corruptFile flips one bit of a file, tears off its end, puts zeros in its place or
// takes the file away, and says what it did. In a folder, one of its files is
// drawn; what has an end is its newest segment.
func corruptFile(path, how string, r *rand.Rand) (string, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		files, err := filepath.Glob(filepath.Join(path, "*.seg"))
		if err == nil && (how == "flip" || how == "gone") {
			var more []string
			more, err = filepath.Glob(filepath.Join(path, "*.ckp"))
			files = append(files, more...)
		}
		if err != nil || len(files) == 0 {
			return "", err
		}
		if path = files[len(files)-1]; how == "flip" || how == "gone" {
			path = files[r.IntN(len(files))]
		}
	}
	if how == "gone" {
		if err := os.Remove(path); err != nil {
			return "", fmt.Errorf("damage: %w", err)
		}
		return "gone: " + filepath.Base(path), nil
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", fmt.Errorf("damage: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return "", fmt.Errorf("damage: %w", err)
	}
	if info.Size() == 0 {
		return "", nil
	}
	if how == "tear" {
		n := min(info.Size(), 1+r.Int64N(60))
		if err := f.Truncate(info.Size() - n); err != nil {
			return "", fmt.Errorf("damage: %w", err)
		}
		return fmt.Sprintf("torn: %s lost its last %d of %d bytes", filepath.Base(path), n, info.Size()), nil
	}
	if how == "zero" {
		n := min(info.Size(), 1+r.Int64N(600))
		if _, err := f.WriteAt(make([]byte, n), info.Size()-n); err != nil {
			return "", fmt.Errorf("damage: %w", err)
		}
		return fmt.Sprintf("zeros: the last %d of %d bytes of %s", n, info.Size(), filepath.Base(path)), nil
	}
	at, bit := r.Int64N(info.Size()), r.IntN(8)
	var b [1]byte
	if _, err := f.ReadAt(b[:], at); err != nil {
		return "", fmt.Errorf("damage: %w", err)
	}
	b[0] ^= 1 << bit
	if _, err := f.WriteAt(b[:], at); err != nil {
		return "", fmt.Errorf("damage: %w", err)
	}
	return fmt.Sprintf("flipped: %s byte %d of %d, bit %d", filepath.Base(path), at, info.Size(), bit), nil
}

func copyDir(from, to string) error {
	if err := os.RemoveAll(to); err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	if err := os.Mkdir(to, 0o700); err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	files, err := os.ReadDir(from)
	if errors.Is(err, fs.ErrNotExist) {
		return nil // it was replaced meanwhile
	}
	if err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	for _, f := range files {
		if f.IsDir() {
			if err := copyDir(filepath.Join(from, f.Name()), filepath.Join(to, f.Name())); err != nil {
				return err
			}
			continue
		}
		in, err := os.Open(filepath.Join(from, f.Name()))
		if errors.Is(err, fs.ErrNotExist) {
			continue // the relay replaced it meanwhile
		}
		if err != nil {
			return fmt.Errorf("copy: %w", err)
		}
		out, err := os.Create(filepath.Join(to, f.Name()))
		if err == nil {
			_, err = io.Copy(out, in)
			err = errors.Join(err, out.Close())
		}
		in.Close()
		if err != nil {
			return fmt.Errorf("copy: %w", err)
		}
	}
	return nil
}

// strikeLinks cuts, delays, slows or resets links between relays and
// endpoints. With a zone, those that cross its border; with relays, theirs.
func (r *run) strikeLinks(ctx context.Context, s Step) {
	var links []*link.Link
	for _, i := range s.Targets {
		x := r.relays[i]
		for k, l := range x.links {
			if s.Fault.Zone == "" || (x.zone == s.Fault.Zone) != (r.endpoints[k].Zone == s.Fault.Zone) {
				links = append(links, l)
			}
		}
	}
	switch s.Fault.Kind {
	case "reset":
		for _, l := range links {
			l.ResetConns(1)
		}
		return
	case "halfopen":
		for _, l := range links {
			l.HalfOpen()
		}
		return
	}
	for _, l := range links {
		for _, d := range []link.Direction{link.ToServer, link.ToClient} {
			if s.Fault.Direction == "forth" && d == link.ToClient || s.Fault.Direction == "back" && d == link.ToServer {
				continue
			}
			f := r.linkFaults[l]
			switch s.Fault.Kind {
			case "cut":
				f.Cut = true
			case "delay":
				f.Delay += time.Duration(s.Fault.MS * float64(time.Millisecond))
			case "throttle":
				f.Rate = int(max(s.Fault.Rate, 1))
			}
			l.SetFaults(d, f)
		}
	}
	r.waitUntilUndone(ctx, s)
	for _, l := range links {
		l.SetFaults(link.ToServer, r.linkFaults[l])
		l.SetFaults(link.ToClient, r.linkFaults[l])
	}
}

func (r *run) strikeEndpoint(ctx context.Context, s Step, i int) error {
	e := r.endpoints[i]
	refuse := func(on bool) error {
		var all error
		for _, x := range r.relays {
			all = errors.Join(all, x.links[i].SetRefusing(on))
		}
		return all
	}
	late := scenario.Seconds(r.scenario.Discovery.MaxDelaySeconds)
	switch s.Fault.Kind {
	case "down": // its process has died: connections are reset, new ones refused
		e.SetDown(true)
		if err := refuse(true); err != nil {
			return err
		}
		r.waitUntilUndone(ctx, s)
		e.SetDown(false)
		return refuse(false)
	case "silent":
		e.SetFault(model.Fault{Silent: true})
		r.waitUntilUndone(ctx, s)
		e.SetFault(model.Fault{})
	case "drain": // draining, then gone, then back as it was
		r.changeEndpoint(e, model.Draining, late)
		half := s
		if s.Until > 0 {
			half.Until = (s.At + s.Until) / 2
		}
		r.waitUntilUndone(ctx, half)
		r.changeEndpoint(e, model.Removed, late)
		r.waitUntilUndone(ctx, s)
		r.changeEndpoint(e, model.Up, late)
	}
	return nil
}

// changeEndpoint puts an endpoint into another phase on the list.
func (r *run) changeEndpoint(e *model.Endpoint, phase string, late time.Duration) {
	if r.group != nil {
		r.group.changeEndpoint(r.ctx, e, phase)
	} else {
		r.discovery.Change(r.ctx, e.ID, phase, late)
	}
}

func (r *run) strikeUpstreams(ctx context.Context, s Step) {
	f := s.Fault
	share := f.Factor
	if share <= 0 {
		share = 1
	}
	var spell model.Fault
	switch f.Kind {
	case "slow":
		spell.Slow = share
	case "fail":
		spell.Fail = min(share, 1)
	case "shut":
		spell.Closed = true
	case "lose":
		spell.LoseResponse = min(share, 1)
	case "spoil":
		spell.CorruptResponse = min(share, 1)
	case "break":
		spell.Reset = min(share, 1)
	}
	opens := r.began.Add(s.Until)
	for _, i := range s.Targets {
		if f.Kind == "limits" {
			r.upstreams[i].ScaleLimit(share)
		} else {
			r.upstreams[i].AddFault(spell, opens)
		}
	}
	r.waitUntilUndone(ctx, s)
	for _, i := range s.Targets {
		if f.Kind == "limits" {
			r.upstreams[i].ScaleLimit(1)
		} else {
			r.upstreams[i].RemoveFault(spell)
		}
	}
}
