package faultlab

import (
	"cmp"
	"context"
	"fmt"
	"net/http"

	"plovershore/internal/discovery"
	"plovershore/internal/registry"
	"plovershore/internal/zones"
)

const (
	evacuationRate     = 2   // endpoints a second, unless the fault says otherwise
	evacuationFraction = 0.5 // fraction of endpoints that each destination keeps, unless the fault says otherwise
)

// runEvacuation has the controllers drain a zone, one endpoint after the other, and
// bring it back when the fault is to be undone. It is an error if either is not done
// before the run ends, or if an endpoint is not up afterwards.
func (r *run) runEvacuation(ctx context.Context, step Step) error {
	fault := &step.Fault
	o := &operation{group: r.group, kind: zones.Role, name: fmt.Sprintf("%s-%d", fault.Zone, step.At.Milliseconds())}
	spec := zones.Spec{Zone: fault.Zone, Rate: cmp.Or(fault.Rate, evacuationRate), MinFraction: cmp.Or(fault.Factor, evacuationFraction)}
	if err := o.run(ctx, spec); err != nil {
		return err
	}
	if err := o.await(ctx, func(o registry.Operation) bool { return isEvacuated(o.Message) }); err != nil {
		return err
	}
	r.waitUntilUndone(ctx, step)
	if err := o.put(ctx, registry.Operation{DesiredState: registry.DesiredAbort}); err != nil {
		return err
	}
	if err := o.await(ctx, func(o registry.Operation) bool { return o.Done && isReturned(o.Message) }); err != nil {
		return err
	}
	var members []registry.Member
	if _, err := r.group.client.Do(ctx, http.MethodGet, registry.MembersPath+consistentQuery, nil, &members); err != nil {
		return fmt.Errorf("lab: evacuate: %w", err)
	}
	for _, m := range members {
		if m.Phase != discovery.Up {
			return fmt.Errorf("lab: evacuation of %s: %s is %s after the return", fault.Zone, m.ID, m.Phase)
		}
	}
	return nil
}
