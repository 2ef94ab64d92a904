// Package operations lets the holder of a role carry out the operations that operators
// have stored in the list service. It reads the operations of the role's kind, calls the
// role's code for them at an interval, and stores their progress under the role's fencing
// token. What an operation does, and how its steps survive a change of the holder, is
// up to the role's code.
package operations

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"plovershore/internal/leader"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

// Messages that several roles use for their operations. They are stored at the list
// service and shown to operators.
const (
	MessageInvalid  = "cannot be used: "
	MessageCanceled = "called off"
	MessageDone     = "done"
)

// Pass carries out the pending operations of a role as far as it can now. Which of them it
// advances, and by how many steps, is up to the role.
type Pass func(ctx context.Context, pending []registry.Operation) error

// Run reads the pending operations of a kind and calls pass for them, at an interval,
// until ctx ends or a call fails. It returns nil once ctx has ended, whatever the error.
func Run(ctx context.Context, c *client.Client, kind string, interval time.Duration, pass Pass) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		pending, err := Pending(ctx, c, kind)
		if err == nil {
			err = pass(ctx, pending)
		}
		if err != nil {
			return leader.IgnoreCancellation(ctx, err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Pending returns the operations of a kind that are not done, including paused ones.
func Pending(ctx context.Context, c *client.Client, kind string) ([]registry.Operation, error) {
	operations, err := list(ctx, c)
	if err != nil {
		return nil, err
	}
	var pending []registry.Operation
	for _, op := range operations {
		if op.Kind == kind && !op.Done {
			pending = append(pending, op)
		}
	}
	return pending, nil
}

// DesiredState reads the desired state of an operation from the list service; it is a
// Desired constant of package registry. It returns registry.DesiredAbort if the
// operation does not exist any more.
func DesiredState(ctx context.Context, c *client.Client, op registry.Operation) (string, error) {
	operations, err := list(ctx, c)
	if err != nil {
		return "", err
	}
	for _, current := range operations {
		if current.Kind == op.Kind && current.Name == op.Name {
			return current.DesiredState, nil
		}
	}
	return registry.DesiredAbort, nil
}

func list(ctx context.Context, c *client.Client) (operations []registry.Operation, err error) {
	_, err = c.Do(ctx, http.MethodGet, registry.OperationsPath, nil, &operations)
	return operations, err
}

// Decode decodes the spec of an operation and, if there is any, its progress.
func Decode(op registry.Operation, spec, progress any) error {
	if err := json.Unmarshal(op.Spec, spec); err != nil {
		return err
	}
	if len(op.Progress) == 0 {
		return nil
	}
	return json.Unmarshal(op.Progress, progress)
}

// Update is the state of an operation that the holder of the role reports.
type Update struct {
	Progress any    // in a type of the role; nil if there is none yet
	Message  string // shown to operators
	Done     bool   // the operation is complete and is not carried out again
}

// Send stores an update of an operation under the grant's fencing token. It returns
// leader.ErrLeaseLost if the token is outdated, and otherwise errors of the client.
func Send(ctx context.Context, grant *leader.Grant, op registry.Operation, update Update) error {
	body := registry.Operation{Message: update.Message, Done: update.Done}
	if update.Progress != nil {
		text, err := json.Marshal(update.Progress)
		if err != nil {
			return fmt.Errorf("operations: progress of %s: %w", op.Name, err)
		}
		body.Progress = text
	}
	path := fmt.Sprintf("%s/%s/%s/progress", registry.OperationsPath, op.Kind, url.PathEscape(op.Name))
	return grant.Do(ctx, http.MethodPost, path, body, nil)
}

// SendIfNew calls Send unless the operation already has the update's message. Roles use
// it for a state that lasts over many passes, such as waiting.
func SendIfNew(ctx context.Context, grant *leader.Grant, op registry.Operation, update Update) error {
	if update.Message == op.Message {
		return nil
	}
	return Send(ctx, grant, op, update)
}
