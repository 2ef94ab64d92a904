package faultlab

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"plovershore/internal/faultlab/history"
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
