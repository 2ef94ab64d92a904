package faultlab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/registry"
)

// operationPoll is the interval at which the state of an operation is read.
const operationPoll = 50 * time.Millisecond

// operation is an operation that the lab requests and the controllers carry out.
type operation struct {
	group *group
	kind  string // the role that carries it out
	name  string
	last  registry.Operation // state as of the last successful read
}

// put requests an operation, or another desired state of it.
func (o *operation) put(ctx context.Context, wanted registry.Operation) error {
	path := fmt.Sprintf("%s/%s/%s", registry.OperationsPath, o.kind, o.name)
	if _, err := o.group.client.Do(ctx, http.MethodPut, path, wanted, nil); err != nil {
		return fmt.Errorf("lab: %s %s: %w", o.kind, o.name, err)
	}
	return nil
}

// run requests that the operation be carried out.
func (o *operation) run(ctx context.Context, spec any) error {
	text, err := json.Marshal(spec)
	if err != nil {
		return fmt.Errorf("lab: %s %s: %w", o.kind, o.name, err)
	}
	return o.put(ctx, registry.Operation{Spec: text, DesiredState: registry.DesiredRun})
}

// refresh reads the state; if the service does not answer, the last state stays.
func (o *operation) refresh(ctx context.Context) {
	var operations []registry.Operation
	if _, err := o.group.client.Do(ctx, http.MethodGet, registry.OperationsPath, nil, &operations); err != nil {
		return
	}
	for _, current := range operations {
		if current.Kind == o.kind && current.Name == o.name {
			o.last = current
		}
	}
}

// await waits until the state satisfies a condition. It is an error if ctx ends first,
// or if the operation is done and does not satisfy it.
func (o *operation) await(ctx context.Context, satisfied func(registry.Operation) bool) error {
	for {
		o.refresh(ctx)
		if satisfied(o.last) {
			return nil
		}
		if !model.Sleep(ctx, operationPoll) || o.last.Done {
			return fmt.Errorf("lab: %s %s: the expected state was not reached: %s, %s", o.kind, o.name, o.last.Message, o.last.Progress)
		}
	}
}

// isDone reports whether an operation is done.
func isDone(o registry.Operation) bool { return o.Done }
