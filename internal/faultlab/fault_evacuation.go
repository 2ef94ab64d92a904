package faultlab

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/registry"
	"plovershore/internal/zones"
)

// strikeEvacuate has the wardens drain a zone, one endpoint after the other, and
// put it back from when the fault is to be undone. Both have to come to their end
// before the run does, with every endpoint up again.
func (r *run) strikeEvacuate(ctx context.Context, s Step) error {
	spec, err := json.Marshal(zones.Spec{Zone: s.Fault.Zone, Rate: cmp.Or(s.Fault.Rate, 2), MinFraction: cmp.Or(s.Fault.Factor, 0.5)})
	if err != nil {
		return fmt.Errorf("lab: evacuate: %w", err)
	}
	path := fmt.Sprintf("%s/%s/%s-%d", registry.OperationsPath, zones.Role, s.Fault.Zone, s.At.Milliseconds())
	wish := func(o registry.Operation) error {
		if _, err := r.group.client.Do(ctx, http.MethodPut, path, o, nil); err != nil {
			return fmt.Errorf("lab: evacuate: %w", err)
		}
		return nil
	}
	var last registry.Operation
	until := func(ok func() bool) error {
		for {
			var all []registry.Operation
			if _, err := r.group.client.Do(ctx, http.MethodGet, registry.OperationsPath, nil, &all); err == nil {
				for _, o := range all {
					if strings.HasSuffix(path, "/"+o.Kind+"/"+o.Name) {
						last = o
					}
				}
			}
			if ok() {
				return nil
			}
			if !model.Sleep(ctx, 50*time.Millisecond) || last.Done {
				return fmt.Errorf("lab: evacuation of %s: not at its end: %s, %s", s.Fault.Zone, last.Message, last.Progress)
			}
		}
	}
	if err := wish(registry.Operation{Spec: spec, DesiredState: registry.DesiredRun}); err != nil {
		return err
	}
	if err := until(func() bool { return isEvacuated(last.Message) }); err != nil {
		return err
	}
	r.waitUntilUndone(ctx, s)
	if err := wish(registry.Operation{DesiredState: registry.DesiredAbort}); err != nil {
		return err
	}
	if err := until(func() bool { return last.Done && isReturned(last.Message) }); err != nil {
		return err
	}
	var members []registry.Member
	if _, err := r.group.client.Do(ctx, http.MethodGet, registry.MembersPath+"?consistent=1", nil, &members); err != nil {
		return fmt.Errorf("lab: evacuate: %w", err)
	}
	for _, m := range members {
		if m.Phase != discovery.Up {
			return fmt.Errorf("lab: evacuation of %s: %s is %s after the return", s.Fault.Zone, m.ID, m.Phase)
		}
	}
	return nil
}
