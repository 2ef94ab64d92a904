package registry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
)

// Operation is a piece of work that operators submit to the holder of a role, with its
// progress. Only the holder of the role that Kind names may report progress.
type Operation struct {
	Kind         string          `json:"kind"`
	Name         string          `json:"name"`
	Spec         json.RawMessage `json:"spec,omitempty"` // as it was submitted; it never changes
	DesiredState string          `json:"wish"`           // DesiredRun, DesiredPause or DesiredAbort
	Progress     json.RawMessage `json:"progress,omitempty"`
	Message      string          `json:"says,omitempty"` // the progress in words, for operators
	Done         bool            `json:"done"`
	At           int64           `json:"at"` // leader's time of the last change, in Unix ms
}

// Desired states of an operation.
const (
	DesiredRun   = "run"
	DesiredPause = "pause"
	DesiredAbort = "abort"
)

const maxOperations = 1000

func (o *Operation) key() string { return o.Kind + "/" + o.Name }

// putOperation creates an operation, or changes the desired state of a known one.
func (s *State) putOperation(c *Command) Result {
	key := c.Operation.key()
	operation, known := s.Operations[key]
	switch {
	case !known && len(s.Operations) >= maxOperations:
		return rejected(http.StatusConflict, "orders: %d at most", maxOperations)
	case !known && len(c.Operation.Spec) == 0:
		return rejected(http.StatusNotFound, "order %s is unknown", key)
	case known && len(c.Operation.Spec) > 0 && string(c.Operation.Spec) != string(operation.Spec):
		return rejected(http.StatusConflict, "order %s is another", key)
	case !known:
		operation = c.Operation
	}
	operation.DesiredState, operation.At = c.Operation.DesiredState, c.At
	s.Operations[key] = operation
	return succeeded()
}

// reportProgress saves the progress of an operation. The caller has checked that the
// command's token is the current one of the command's role.
func (s *State) reportProgress(c *Command) Result {
	key := c.Operation.key()
	operation, known := s.Operations[key]
	switch {
	case c.Role != c.Operation.Kind:
		return rejected(http.StatusPreconditionFailed, "order %s: no duty of its kind told", key)
	case !known:
		return rejected(http.StatusNotFound, "order %s is unknown", key)
	}
	operation.Progress, operation.Message, operation.Done = c.Operation.Progress, c.Operation.Message, c.Operation.Done
	operation.At = c.At
	s.Operations[key] = operation
	return succeeded()
}

// operations returns all operations in order of kind and name.
func (s *store) operations() []Operation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := []Operation{}
	for _, operation := range s.state.Operations {
		all = append(all, operation)
	}
	slices.SortFunc(all, func(a, b Operation) int { return strings.Compare(a.key(), b.key()) })
	return all
}
