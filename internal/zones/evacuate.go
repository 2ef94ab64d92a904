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

// step brings the evacuation on by one endpoint, where that is due.
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

// start records the state before the evacuation, unless too little capacity would
// remain.
func (e *evacuation) start(ctx context.Context) error {
	members, err := e.members(ctx)
	if err != nil {
		return err
	}
	capacities := CapacitiesWithout(members, e.spec.Zone)
	if len(capacities) == 0 {
		return e.finish(ctx, messageNothing)
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

// resume continues the evacuation of a leader before, which may have died between the
// record of its last step and the step itself.
func (e *evacuation) resume(ctx context.Context) error {
	e.scheduleNextStep()
	drained := e.progress.Drained
	if len(drained) == 0 || e.isAborted() {
		return nil
	}
	return e.setPhase(ctx, drained[len(drained)-1], discovery.Draining)
}

// undrainLast puts back the endpoint that was drained last.
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

// drainNext drains one endpoint, after that is recorded.
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

// selectEndpoint returns the id of the endpoint to drain next: the least one whose
// destination retains its fraction without it. It is empty for none, with the
// capacities that prevent it: what remains elsewhere may have shrunk since the start.
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

// members reads all endpoints, with every change that was confirmed before.
func (w *worker) members(ctx context.Context) (members []registry.Member, err error) {
	_, err = w.client.Do(ctx, http.MethodGet, registry.MembersPath+"?consistent=1", nil, &members)
	return members, err
}

// setPhase changes the phase of an endpoint, as an effect of the role. One that is
// gone needs no change.
func (w *worker) setPhase(ctx context.Context, id, phase string) error {
	path := registry.MembersPath + "/" + url.PathEscape(id) + "/phase"
	err := w.grant.Do(ctx, http.MethodPost, path, map[string]string{"phase": phase}, nil)
	var rejected *client.RejectedError
	if errors.As(err, &rejected) && rejected.Status == http.StatusNotFound {
		return nil
	}
	return err
}
