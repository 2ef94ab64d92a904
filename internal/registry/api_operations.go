package registry

import "net/http"

func (n *Node) getOperations(w http.ResponseWriter, _ *http.Request) {
	epoch, revision, _ := n.store.position()
	n.setListHeaders(w, epoch, revision)
	writeJSON(w, http.StatusOK, n.store.operations())
}

// putOperation returns the handler of op: OpOperation submits an operation or changes its
// desired state, OpProgress reports its progress.
func (n *Node) putOperation(op Op) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var operation Operation
		if !decodeBody(w, r, &operation) {
			return
		}
		operation.Kind, operation.Name = r.PathValue("kind"), r.PathValue("name")
		switch {
		case len(operation.Kind)+len(operation.Name) > maxIDBytes:
			writeError(w, http.StatusBadRequest, "kind, name: %d bytes at most", maxIDBytes)
		case op == OpOperation && !isDesiredState(operation.DesiredState):
			writeError(w, http.StatusBadRequest, "wish: %q; %s, %s and %s are allowed", operation.DesiredState, DesiredRun, DesiredPause, DesiredAbort)
		default:
			n.applyAndRespond(w, r, Command{Op: op, Operation: operation})
		}
	}
}

func isDesiredState(text string) bool {
	return text == DesiredRun || text == DesiredPause || text == DesiredAbort
}
