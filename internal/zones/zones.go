// Package zones evacuates a zone and returns its endpoints. An evacuation drains the
// zone's endpoints one after the other at a given rate; its abort puts back what it
// has drained, and nothing else, whichever leader began it. Unless it is forced, each
// destination keeps a given fraction of its capacity, and one zone at a time is
// evacuated. Capacity is the endpoints' sizes, not their load: what the remaining
// zones serve is seen by relays and operators. Whether relays avoid a zone by
// themselves is package policy's.
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
	rateMax      = 1000 // endpoints a second
)

// Messages of an operation, as stored and shown to operators.
const (
	messagePaused   = "held"
	messageWaiting  = "waits: "
	messageNothing  = "nothing of the zone is up"
	messageStarted  = "begins"
	messageReturned = "returned"
)

// Spec is the spec of an evacuation.
type Spec struct {
	Zone        string  `json:"zone"`
	Rate        float64 `json:"rate"`  // endpoints a second
	MinFraction float64 `json:"keep"`  // of each destination's capacity, that has to remain
	Force       bool    `json:"force"` // whatever would remain, and whichever zone is evacuated already
}

// Validate returns an error that begins with the name of an invalid field.
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

// interval is the time between two steps.
func (s *Spec) interval() time.Duration { return time.Duration(float64(time.Second) / s.Rate) }

// Progress is how far an evacuation has come. An endpoint is recorded before it is
// drained and removed after it is put back, so that the next leader knows all that
// may be draining.
type Progress struct {
	Started bool            `json:"begun"`
	Total   int             `json:"total"`  // endpoints that were up at the start
	Before  map[int]float64 `json:"before"` // capacity of each destination at the start
	Drained []string        `json:"out"`    // drained by this evacuation, in order
}

// Work returns the work of the role.
func Work(c *client.Client) leader.Work {
	return func(ctx context.Context, g *leader.Grant) error {
		w := newWorker(c, g)
		return operations.Run(ctx, c, Role, pollInterval, w.advanceAll)
	}
}

// worker is the work of one grant.
type worker struct {
	client *client.Client
	grant  *leader.Grant
	// nextStep is when the next step of each evacuation may be done. A new leader waits
	// a whole interval first, since it cannot know when the last step was.
	nextStep map[string]time.Time
}

func newWorker(c *client.Client, g *leader.Grant) *worker {
	return &worker{client: c, grant: g, nextStep: map[string]time.Time{}}
}

// advanceAll brings each pending evacuation on by a step, where it is due.
func (w *worker) advanceAll(ctx context.Context, pending []registry.Operation) error {
	active := activeOperation(pending)
	// Those in progress come first, so that a new one sees them.
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

// activeOperation returns the name of the evacuation in progress: its zone is being
// drained, is drained, or is not all put back yet. It is empty for none.
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

// mustWaitFor reports whether the evacuation may not start beside the active one.
func (e *evacuation) mustWaitFor(active string) bool {
	return !e.progress.Started && active != "" && !e.spec.Force && !e.isAborted()
}

func (e *evacuation) publish(ctx context.Context, message string) error {
	return operations.Send(ctx, e.grant, e.op, operations.Update{Progress: e.progress, Message: message})
}

func (e *evacuation) finish(ctx context.Context, message string) error {
	return operations.Send(ctx, e.grant, e.op, operations.Update{Progress: e.progress, Message: message, Done: true})
}

// publishWaiting reports, once, why nothing is done.
func (e *evacuation) publishWaiting(ctx context.Context, message string) error {
	update := operations.Update{Message: message}
	if e.progress.Started { // an operation with progress counts as active
		update.Progress = e.progress
	}
	return operations.SendIfNew(ctx, e.grant, e.op, update)
}
