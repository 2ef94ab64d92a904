package faultlab

import (
	"context"
	"errors"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
)

// injectEndpointFault injects a step's fault into one endpoint.
func (r *run) injectEndpointFault(ctx context.Context, step Step, number int) error {
	endpoint := r.endpoints[number]
	switch step.Fault.Kind {
	case scenario.FaultEndpointDown: // as if its process had died: connections are reset and new ones refused
		endpoint.SetDown(true)
		if err := r.setRefusing(number, true); err != nil {
			return err
		}
		r.waitUntilUndone(ctx, step)
		endpoint.SetDown(false)
		return r.setRefusing(number, false)
	case scenario.FaultEndpointSilent:
		endpoint.SetFault(model.Fault{Silent: true})
		r.waitUntilUndone(ctx, step)
		endpoint.SetFault(model.Fault{})
	case scenario.FaultDrain:
		r.drainEndpoint(ctx, step, endpoint)
	}
	return nil
}

// setRefusing makes all links to an endpoint refuse connections, or accept them again.
func (r *run) setRefusing(number int, refusing bool) error {
	var errs []error
	for _, relay := range r.relays {
		errs = append(errs, relay.links[number].SetRefusing(refusing))
	}
	return errors.Join(errs...)
}

// drainEndpoint makes an endpoint drain, removes it half way through the step, and
// brings it back at the end.
func (r *run) drainEndpoint(ctx context.Context, step Step, endpoint *model.Endpoint) {
	maxDelay := scenario.Seconds(r.scenario.Discovery.MaxDelaySeconds)
	r.changeEndpoint(endpoint, model.Draining, maxDelay)
	firstHalf := step
	if step.Until > 0 {
		firstHalf.Until = (step.At + step.Until) / 2
	}
	r.waitUntilUndone(ctx, firstHalf)
	r.changeEndpoint(endpoint, model.Removed, maxDelay)
	r.waitUntilUndone(ctx, step)
	r.changeEndpoint(endpoint, model.Up, maxDelay)
}

// changeEndpoint puts an endpoint into another phase on the list.
func (r *run) changeEndpoint(endpoint *model.Endpoint, phase string, maxDelay time.Duration) {
	if r.group != nil {
		r.group.changeEndpoint(r.ctx, endpoint, phase)
	} else {
		r.discovery.Change(r.ctx, endpoint.ID, phase, maxDelay)
	}
}

// injectUpstreamFault injects a step's fault into whole upstreams.
func (r *run) injectUpstreamFault(ctx context.Context, step Step) {
	factor := step.Fault.Factor
	if factor <= 0 {
		factor = 1
	}
	if step.Fault.Kind == scenario.FaultScaleLimits {
		r.scaleLimits(step.Targets, factor)
		r.waitUntilUndone(ctx, step)
		r.scaleLimits(step.Targets, 1)
		return
	}
	fault := upstreamFault(step.Fault.Kind, factor)
	opensAt := r.loadStart.Add(step.Until)
	for _, i := range step.Targets {
		r.upstreams[i].AddFault(fault, opensAt)
	}
	r.waitUntilUndone(ctx, step)
	for _, i := range step.Targets {
		r.upstreams[i].RemoveFault(fault)
	}
}

func (r *run) scaleLimits(upstreams []int, factor float64) {
	for _, i := range upstreams {
		r.upstreams[i].ScaleLimit(factor)
	}
}

// upstreamFault returns the model's fault for a kind of fault. For a slow upstream,
// factor is the factor of its service time. An upstream that rejects calls rejects all of
// them, whatever factor is. For all other kinds, factor is the fraction of calls that are
// affected.
func upstreamFault(kind string, factor float64) model.Fault {
	fraction := min(factor, 1)
	switch kind {
	case scenario.FaultSlow:
		return model.Fault{Slow: factor}
	case scenario.FaultFailCalls:
		return model.Fault{Fail: fraction}
	case scenario.FaultRejectCalls:
		return model.Fault{Closed: true}
	case scenario.FaultLoseResponses:
		return model.Fault{LoseResponse: fraction}
	case scenario.FaultCorruptResponses:
		return model.Fault{CorruptResponse: fraction}
	case scenario.FaultResetRequests:
		return model.Fault{Reset: fraction}
	}
	return model.Fault{}
}
