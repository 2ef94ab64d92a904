// Package operations lets the leader of a role carry out the operations that
// operators have stored in the list service: it reads those of the role's kind,
// calls the role's code for them at an interval, and reports their progress as
// effects of the role. What an operation does, and how its steps survive a change of
// the leader, is the role's.
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

// Messages of operations that several roles publish. They are stored and shown to
// operators.
const (
	MessageInvalid  = "cannot be used: "
	MessageCanceled = "called off"
	MessageDone     = "done"
)

// Pass brings the pending operations of a role on by a step.
type Pass func(ctx context.Context, pending []registry.Operation) error

// Run calls a pass for the pending operations of a kind at an interval until ctx ends
// or the pass fails. An error that results from the end of ctx is not returned.
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

// Pending returns the operations of a kind that are not done, paused ones included.
func Pending(ctx context.Context, c *client.Client, kind string) ([]registry.Operation, error) {
	all, err := list(ctx, c)
	if err != nil {
		return nil, err
	}
	var pending []registry.Operation
	for _, op := range all {
		if op.Kind == kind && !op.Done {
			pending = append(pending, op)
		}
	}
	return pending, nil
}

// DesiredState returns what operators want of an operation now: a Desired constant of
// package registry. An operation that is gone is to be aborted.
func DesiredState(ctx context.Context, c *client.Client, op registry.Operation) (string, error) {
	all, err := list(ctx, c)
	if err != nil {
		return "", err
	}
	for _, current := range all {
		if current.Kind == op.Kind && current.Name == op.Name {
			return current.DesiredState, nil
		}
	}
	return registry.DesiredAbort, nil
}

func list(ctx context.Context, c *client.Client) (all []registry.Operation, err error) {
	_, err = c.Do(ctx, http.MethodGet, registry.OperationsPath, nil, &all)
	return all, err
}

// Decode reads the spec of an operation, and its progress where there is any.
func Decode(op registry.Operation, spec, progress any) error {
	if err := json.Unmarshal(op.Spec, spec); err != nil {
		return err
	}
	if len(op.Progress) == 0 {
		return nil
	}
	return json.Unmarshal(op.Progress, progress)
}

// Update is what the leader of a role reports of an operation.
type Update struct {
	Progress any    // of the role's own type; nil for none yet
	Message  string // for people
	Done     bool   // the operation is complete, and not to be carried out again
}

// Send stores an update, as an effect of the role. Errors: leader.ErrLeaseLost, and
// those of the client.
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

// SendIfNew is Send for a state that lasts: it does nothing where the operation has
// the message already.
func SendIfNew(ctx context.Context, grant *leader.Grant, op registry.Operation, update Update) error {
	if update.Message == op.Message {
		return nil
	}
	return Send(ctx, grant, op, update)
}
