package zones

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/leader/operations"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

// step advances the evacuation or its return by one endpoint, if the next step is due.
func (e *evacuation) step(ctx context.Context) error {
	if !e.progress.Started {
		if e.isAborted() {
			return e.finish(ctx, operations.MessageCanceled)
		}
		return e.start(ctx)
	}
	due, known := e.nextStep[e.op.Name]
	switch {
	case !known:
		return e.resume(ctx)
	case time.Now().Before(due):
		return nil
	case e.isAborted():
		return e.undrainLast(ctx)
	}
	return e.drainNext(ctx)
}

// start finishes the evacuation at once if no endpoint of the zone is up. It rejects the
// evacuation if too little capacity would remain, unless spec.Force is set. Otherwise it
// records the capacities before the evacuation, and the evacuation has started.
func (e *evacuation) start(ctx context.Context) error {
	members, err := e.members(ctx)
	if err != nil {
		return err
	}
	capacities := CapacitiesWithout(members, e.spec.Zone)
	if len(capacities) == 0 {
		return e.finish(ctx, messageNothingUp)
	}
	if insufficient := Insufficient(capacities, e.spec.MinFraction); len(insufficient) > 0 && !e.spec.Force {
		return e.finish(ctx, fmt.Sprintf("refused: %s; %.3g of it is wanted", joinCapacities(insufficient), e.spec.MinFraction))
	}
	e.progress.Started, e.progress.Before = true, map[int]float64{}
	for _, capacity := range capacities {
		e.progress.Before[capacity.Cell] = capacity.Now
	}
	for _, member := range members {
		if e.isDrainable(member) {
			e.progress.Total++
		}
	}
	e.nextStep[e.op.Name] = time.Now()
	return e.publish(ctx, messageStarted)
}

// resume continues an evacuation that a previous leader has started. That leader may have
// died after it recorded an endpoint as drained and before it drained it, so resume drains
// the last recorded endpoint again.
func (e *evacuation) resume(ctx context.Context) error {
	e.scheduleNextStep()
	drained := e.progress.Drained
	if len(drained) == 0 || e.isAborted() {
		return nil
	}
	return e.setPhase(ctx, drained[len(drained)-1], discovery.Draining)
}

// undrainLast undrains the endpoint that was drained last. If none is left, the operation
// is done.
func (e *evacuation) undrainLast(ctx context.Context) error {
	last := len(e.progress.Drained) - 1
	if last < 0 {
		return e.finish(ctx, messageReturned)
	}
	if err := e.setPhase(ctx, e.progress.Drained[last], discovery.Up); err != nil {
		return err
	}
	e.scheduleNextStep()
	e.progress.Drained = e.progress.Drained[:last]
	return e.publish(ctx, fmt.Sprintf("returns: %d of %d are out", last, e.progress.Total))
}

// drainNext records one more endpoint as drained and then drains it.
func (e *evacuation) drainNext(ctx context.Context) error {
	members, err := e.members(ctx)
	if err != nil {
		return err
	}
	capacities := CapacitiesWithout(members, e.spec.Zone)
	if len(capacities) == 0 {
		return e.publishWaiting(ctx, fmt.Sprintf("out: all %d", len(e.progress.Drained)))
	}
	id, insufficient := e.selectEndpoint(members, capacities)
	if id == "" {
		return e.publishWaiting(ctx, messageWaiting+joinCapacities(insufficient))
	}
	if !slices.Contains(e.progress.Drained, id) {
		e.progress.Drained = append(e.progress.Drained, id)
	}
	if err := e.publish(ctx, fmt.Sprintf("drains: %d of %d are out", len(e.progress.Drained), e.progress.Total)); err != nil {
		return err
	}
	e.scheduleNextStep()
	return e.setPhase(ctx, id, discovery.Draining)
}

// selectEndpoint returns the id of the endpoint to drain next, which is the least id of
// those whose destination retains the demanded fraction of its capacity without them. If
// there is none, the id is empty, and insufficient has the capacities that prevent it: the
// capacity in other zones may have shrunk since the start.
func (e *evacuation) selectEndpoint(members []registry.Member, capacities []Capacity) (id string, insufficient []Capacity) {
	byCell := map[int]Capacity{}
	for _, capacity := range capacities {
		byCell[capacity.Cell] = capacity
	}
	for _, member := range members {
		if !e.isDrainable(member) {
			continue
		}
		capacity := byCell[member.Cell]
		capacity.Remaining = capacity.Now - memberSize(member)
		capacity.Now = max(e.progress.Before[member.Cell], capacity.Now)
		switch {
		case !e.spec.Force && !capacity.Retains(e.spec.MinFraction):
			insufficient = append(insufficient, capacity)
		case id == "" || member.ID < id:
			id = member.ID
		}
	}
	return id, insufficient
}

func (e *evacuation) isDrainable(member registry.Member) bool {
	return member.Locality == e.spec.Zone && member.Phase == discovery.Up
}

func (e *evacuation) scheduleNextStep() {
	e.nextStep[e.op.Name] = time.Now().Add(e.spec.interval())
}

// members reads all endpoints from the list service. The read is consistent: the result
// includes every change that was confirmed before.
func (w *worker) members(ctx context.Context) (members []registry.Member, err error) {
	_, err = w.client.Do(ctx, http.MethodGet, registry.MembersPath+"?consistent=1", nil, &members)
	return members, err
}

// setPhase changes the phase of an endpoint under the grant's fencing token. It returns
// nil if the endpoint is no longer on the list.
func (w *worker) setPhase(ctx context.Context, id, phase string) error {
	path := registry.MembersPath + "/" + url.PathEscape(id) + "/phase"
	err := w.grant.Do(ctx, http.MethodPost, path, map[string]string{"phase": phase}, nil)
	var rejected *client.RejectedError
	if errors.As(err, &rejected) && rejected.Status == http.StatusNotFound {
		return nil
	}
	return err
}
