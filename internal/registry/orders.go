package registry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Operation is what operators want done by a duty, and how far it has come. Only the
// holder of the duty that its kind names may tell of its progress.
type Operation struct {
	Kind         string          `json:"kind"`
	Name         string          `json:"name"`
	Spec         json.RawMessage `json:"spec,omitempty"` // as it was given; it does not change
	DesiredState string          `json:"wish"`           // run, pause or abort
	Progress     json.RawMessage `json:"progress,omitempty"`
	Message      string          `json:"says,omitempty"` // for people
	Done         bool            `json:"done"`
	At           int64           `json:"at"` // of the last change, Unix ms
}

// Wishes of an order.
const (
	DesiredRun   = "run"
	DesiredPause = "pause"
	DesiredAbort = "abort"
)

// OperationsPath is where orders are given and followed: /KIND/NAME, and /progress
// below that for the duty's holder.
const OperationsPath = "/v1/orders"

const maxOperations = 1000

// putOperation takes an order of the operators, or a new wish of one that is known.
func (s *State) putOperation(c *Command) Result {
	key := c.Operation.Kind + "/" + c.Operation.Name
	o, known := s.Operations[key]
	switch {
	case !known && len(s.Operations) >= maxOperations:
		return Result{Status: http.StatusConflict, Error: fmt.Sprintf("orders: %d at most", maxOperations)}
	case !known && len(c.Operation.Spec) == 0:
		return Result{Status: http.StatusNotFound, Error: fmt.Sprintf("order %s is unknown", key)}
	case known && len(c.Operation.Spec) > 0 && string(c.Operation.Spec) != string(o.Spec):
		return Result{Status: http.StatusConflict, Error: fmt.Sprintf("order %s is another", key)}
	case !known:
		o = c.Operation
	}
	o.DesiredState, o.At = c.Operation.DesiredState, c.At
	s.Operations[key] = o
	return Result{Status: http.StatusOK}
}

// reportProgress takes word of an order from the holder of its duty, whose fence was
// checked before.
func (s *State) reportProgress(c *Command) Result {
	key := c.Operation.Kind + "/" + c.Operation.Name
	o, known := s.Operations[key]
	switch {
	case c.Role != c.Operation.Kind:
		return Result{Status: http.StatusPreconditionFailed, Error: fmt.Sprintf("order %s: no duty of its kind told", key)}
	case !known:
		return Result{Status: http.StatusNotFound, Error: fmt.Sprintf("order %s is unknown", key)}
	}
	o.Progress, o.Message, o.Done, o.At = c.Operation.Progress, c.Operation.Message, c.Operation.Done, c.At
	s.Operations[key] = o
	return Result{Status: http.StatusOK}
}

func (s *store) operations() []Operation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := []Operation{}
	for _, o := range s.state.Operations {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b Operation) int { return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name) })
	return all
}

func (n *Node) operationRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+OperationsPath, func(w http.ResponseWriter, _ *http.Request) {
		epoch, revision, _ := n.store.position()
		n.setListHeaders(w, epoch, revision)
		writeJSON(w, http.StatusOK, n.store.operations())
	})
	mux.HandleFunc("PUT "+OperationsPath+"/{kind}/{name}", n.leaderOnly(func(w http.ResponseWriter, r *http.Request) { n.putOperation(w, r, OpOperation) }))
	mux.HandleFunc("POST "+OperationsPath+"/{kind}/{name}/progress", n.leaderOnly(func(w http.ResponseWriter, r *http.Request) { n.putOperation(w, r, OpProgress) }))
}

func (n *Node) putOperation(w http.ResponseWriter, r *http.Request, op Op) {
	var o Operation
	if !decodeBody(w, r, &o) {
		return
	}
	o.Kind, o.Name = r.PathValue("kind"), r.PathValue("name")
	switch {
	case len(o.Kind)+len(o.Name) > maxIDBytes:
		writeError(w, http.StatusBadRequest, "kind, name: %d bytes at most", maxIDBytes)
	case op == OpOperation && o.DesiredState != DesiredRun && o.DesiredState != DesiredPause && o.DesiredState != DesiredAbort:
		writeError(w, http.StatusBadRequest, "wish: %q; %s, %s and %s are allowed", o.DesiredState, DesiredRun, DesiredPause, DesiredAbort)
	default:
		n.applyAndRespond(w, r, Command{Op: op, Operation: o})
	}
}
