package faultlab

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
)

// minDiscoveryRate is the lowest rate, in calls a second, to which discovery's calls
// are limited: a rate of 0 would lift the limit.
const minDiscoveryRate = 0.1

// injectFaults carries out the plan: it starts each step when the step is due. A step
// undoes its own fault, if that is to be undone, at its end or when ctx ends.
func (r *run) injectFaults(ctx context.Context, plan []Step) {
	for _, step := range plan {
		due := r.loadStart.Add(step.At)
		if !model.Sleep(ctx, time.Until(due)) {
			return
		}
		r.lateness.record(time.Since(due))
		r.start(func() {
			r.recorder.Record(history.Event{Kind: history.Fault, Text: step.String(), Active: true})
			r.failure.set(r.injectStep(ctx, step))
			r.recorder.Record(history.Event{Kind: history.Fault, Text: step.String()})
		})
	}
}

// waitUntilUndone waits until the fault of a step is to be undone: at the end of the
// step, or when ctx ends.
func (r *run) waitUntilUndone(ctx context.Context, step Step) {
	if step.Until > 0 {
		model.Sleep(ctx, time.Until(r.loadStart.Add(step.Until)))
	} else {
		<-ctx.Done()
	}
}

// injectStep carries out one step. It returns when the fault is undone or, if it is not
// to be undone, when it has been injected.
func (r *run) injectStep(ctx context.Context, step Step) error {
	switch scenario.Targets[step.Fault.Kind] {
	case scenario.TargetRelay:
		return r.forEach(step.Targets, func(i int) error { return r.injectRelayFault(ctx, step, r.relays[i]) })
	case scenario.TargetLink:
		r.injectLinkFault(ctx, step)
	case scenario.TargetEndpoint:
		return r.forEach(step.Targets, func(i int) error { return r.injectEndpointFault(ctx, step, i) })
	case scenario.TargetUpstream:
		r.injectUpstreamFault(ctx, step)
	case scenario.TargetFleet:
		return r.runRollout(ctx)
	case scenario.TargetZone:
		return r.runEvacuation(ctx, step)
	case scenario.TargetController:
		return r.group.injectControllerFaults(ctx, step)
	case scenario.TargetNode, scenario.TargetRegistration, scenario.TargetGroup:
		return r.group.injectServiceFault(ctx, step)
	case scenario.TargetDiscovery:
		r.injectDiscoveryFault(ctx, step)
	}
	return nil
}

// injectDiscoveryFault limits discovery's rate, or silences the agents of some relays.
func (r *run) injectDiscoveryFault(ctx context.Context, step Step) {
	if step.Fault.Kind == scenario.FaultRateLimit {
		r.discovery.LimitRate(max(step.Fault.Rate, minDiscoveryRate))
		r.waitUntilUndone(ctx, step)
		r.discovery.LimitRate(0)
		return
	}
	for _, i := range step.Targets {
		r.relays[i].agent.SetSilent(true)
	}
	r.waitUntilUndone(ctx, step)
	for _, i := range step.Targets {
		r.relays[i].agent.SetSilent(false)
	}
}

// forEach calls f for several targets concurrently and returns the first error.
func (r *run) forEach(targets []int, f func(int) error) error {
	var group errgroup.Group
	for _, target := range targets {
		group.Go(func() error { return f(target) })
	}
	return group.Wait()
}
