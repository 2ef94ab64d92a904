package faultlab

import (
	"context"
	"errors"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
)

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
