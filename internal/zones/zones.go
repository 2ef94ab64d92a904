// Package zones evacuates zones and returns them to service. An evacuation drains the
// zone's endpoints one by one at a given rate. Aborting it undrains the endpoints that it
// has drained, and no others, whichever leader drained them. Unless an evacuation is
// forced, each destination keeps a given fraction of its capacity, and only one zone is
// evacuated at a time. Capacity is calculated from the sizes of endpoints, not from their
// load: relays and operators watch how the remaining zones cope. Package policy decides
// whether relays avoid a zone by themselves.
package zones

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"plovershore/internal/leader"
	"plovershore/internal/leader/operations"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

// Role is the name of the role, and the kind of its operations.
const Role = "zone-warden"

const (
	pollInterval = 100 * time.Millisecond
	rateMax      = 1000 // endpoints per second
)

// Messages of an operation, as stored and shown to operators.
const (
	messagePaused    = "held"
	messageWaiting   = "waits: "
	messageNothingUp = "nothing of the zone is up"
	messageStarted   = "begins"
	messageReturned  = "returned"
)

// Spec is the spec of an evacuation.
type Spec struct {
	Zone        string  `json:"zone"`
	Rate        float64 `json:"rate"`  // endpoints drained per second
	MinFraction float64 `json:"keep"`  // fraction of each destination's capacity that has to remain
	Force       bool    `json:"force"` // evacuate even if too little capacity remains or another zone is being evacuated
}

// Validate returns an error if a field is invalid. The error begins with the field's JSON
// name.
func (s *Spec) Validate() error {
	switch {
	case s.Zone == "":
		return errors.New("zone: a name is wanted")
	case !(s.Rate > 0 && s.Rate <= rateMax):
		return fmt.Errorf("rate: %v; above 0, up to %d endpoints a second", s.Rate, rateMax)
	case !(s.MinFraction >= 0 && s.MinFraction <= 1):
		return fmt.Errorf("keep: %v; from 0 to 1", s.MinFraction)
	}
	return nil
}

// interval returns the time between two steps.
func (s *Spec) interval() time.Duration { return time.Duration(float64(time.Second) / s.Rate) }

// Progress is the progress of an evacuation. An endpoint is added to Drained before it is
// drained, and removed from it after it is undrained, so that the next leader knows every
// endpoint that this evacuation may have drained.
type Progress struct {
	Started bool            `json:"begun"`
	Total   int             `json:"total"`  // endpoints of the zone that were up at the start
	Before  map[int]float64 `json:"before"` // capacity of each destination at the start
	Drained []string        `json:"out"`    // ids of the endpoints drained by this evacuation, in order
}

// Work returns the work of the role.
func Work(c *client.Client) leader.Work {
	return func(ctx context.Context, g *leader.Grant) error {
		w := newWorker(c, g)
		return operations.Run(ctx, c, Role, pollInterval, w.advanceAll)
	}
}

// worker carries out the evacuations during one grant of the role.
type worker struct {
	client *client.Client
	grant  *leader.Grant
	// nextStep is the time at which the next step of each evacuation is due, by operation
	// name. A new leader first waits for a whole interval, since it does not know when the
	// last step was.
	nextStep map[string]time.Time
}

func newWorker(c *client.Client, g *leader.Grant) *worker {
	return &worker{client: c, grant: g, nextStep: map[string]time.Time{}}
}

// advanceAll advances each pending evacuation by one step if that is due.
func (w *worker) advanceAll(ctx context.Context, pending []registry.Operation) error {
	active := activeOperation(pending)
	// Evacuations in progress come first, so that new ones wait for them.
	slices.SortStableFunc(pending, func(a, b registry.Operation) int { return len(b.Progress) - len(a.Progress) })
	for _, op := range pending {
		e := &evacuation{worker: w, op: op}
		err := operations.Decode(op, &e.spec, &e.progress)
		if err == nil {
			err = e.spec.Validate()
		}
		switch {
		case err != nil:
			err = e.finish(ctx, operations.MessageInvalid+err.Error())
		case op.DesiredState == registry.DesiredPause:
			err = e.publishWaiting(ctx, messagePaused)
		case e.mustWaitFor(active):
			err = e.publishWaiting(ctx, messageWaiting+active+" is out")
		default:
			if !e.progress.Started {
				active = op.Name
			}
			err = e.step(ctx)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// activeOperation returns the name of the evacuation in progress, or an empty name if
// there is none. An evacuation is in progress from its start until all its endpoints are
// undrained again.
func activeOperation(pending []registry.Operation) (name string) {
	for _, op := range pending {
		if len(op.Progress) > 0 {
			name = op.Name
		}
	}
	return name
}

// evacuation is one operation that is being carried out.
type evacuation struct {
	*worker
	op       registry.Operation
	spec     Spec
	progress Progress
}

func (e *evacuation) isAborted() bool { return e.op.DesiredState == registry.DesiredAbort }

// mustWaitFor reports whether the evacuation has to wait until the active one is done.
func (e *evacuation) mustWaitFor(active string) bool {
	return !e.progress.Started && active != "" && !e.spec.Force && !e.isAborted()
}

func (e *evacuation) publish(ctx context.Context, message string) error {
	return operations.Send(ctx, e.grant, e.op, operations.Update{Progress: e.progress, Message: message})
}

func (e *evacuation) finish(ctx context.Context, message string) error {
	return operations.Send(ctx, e.grant, e.op, operations.Update{Progress: e.progress, Message: message, Done: true})
}

// publishWaiting stores the reason why the evacuation does not proceed, unless that is the
// operation's message already.
func (e *evacuation) publishWaiting(ctx context.Context, message string) error {
	update := operations.Update{Message: message}
	if e.progress.Started { // an operation with progress counts as active
		update.Progress = e.progress
	}
	return operations.SendIfNew(ctx, e.grant, e.op, update)
}
