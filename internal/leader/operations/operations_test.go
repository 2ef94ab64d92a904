package operations

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"plovershore/internal/leader"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
	"plovershore/internal/registry/registrytest"
)

const testKind = "rollout"

type testSpec struct {
	Size int `json:"size"`
}

type testProgress struct {
	Steps int `json:"steps"`
}

func storeOperation(t *testing.T, c *client.Client, kind, path, desired string) {
	t.Helper()
	op := registry.Operation{Spec: []byte(`{"size":3}`), DesiredState: desired}
	if _, err := c.Do(t.Context(), http.MethodPut, registry.OperationsPath+"/"+kind+"/"+path, op, nil); err != nil {
		t.Fatal(err)
	}
}

// startHolder runs work as the holder of a role until the test ends.
func startHolder(t *testing.T, c *client.Client, role string, work leader.Work) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		opts := leader.Options{Client: c, Name: "c-1", TTL: 3 * time.Second, Roles: map[string]leader.Work{role: work}, Log: registrytest.DiscardLog()}
		if err := leader.Run(ctx, opts); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// Run passes the pending operations of its kind to its callback, including paused ones and
// names with characters that URLs escape. Once an update with Done was sent for an
// operation, the operation is not pending any more and is not passed again.
func TestRunPassesPendingOperationsToCallbackUntilDone(t *testing.T) {
	group := registrytest.Start(t, 1, nil)
	c := group.Client()
	storeOperation(t, c, testKind, "plain", registry.DesiredRun)
	storeOperation(t, c, testKind, "two%20words%2Fslash", registry.DesiredPause)
	storeOperation(t, c, "salvage", "other", registry.DesiredRun)
	var mu sync.Mutex
	var names []string
	startHolder(t, c, testKind, func(ctx context.Context, g *leader.Grant) error {
		return Run(ctx, c, testKind, 5*time.Millisecond, func(ctx context.Context, pending []registry.Operation) error {
			for _, op := range pending {
				var spec testSpec
				var progress testProgress
				if err := Decode(op, &spec, &progress); err != nil || spec.Size != 3 {
					t.Errorf("%s: decoded spec %+v, error %v; want size 3", op.Name, spec, err)
				}
				mu.Lock()
				names = append(names, op.Name)
				mu.Unlock()
				progress.Steps++
				if err := Send(ctx, g, op, Update{Progress: progress, Message: "step", Done: progress.Steps == 2}); err != nil {
					return err
				}
			}
			return nil
		})
	})
	registrytest.WaitFor(t, "both operations to be done", func() bool {
		pending, err := Pending(t.Context(), c, testKind)
		return err == nil && len(pending) == 0
	})
	mu.Lock()
	defer mu.Unlock()
	steps := map[string]int{}
	for _, name := range names {
		steps[name]++
	}
	if len(steps) != 2 || steps["plain"] != 2 || steps["two words/slash"] != 2 {
		t.Errorf("passes by operation: %v; want 2 for each of 2 operations", steps)
	}
	if pending, err := Pending(t.Context(), c, "salvage"); err != nil || len(pending) != 1 {
		t.Errorf("operations of another kind: %v, error %v; want 1 pending", pending, err)
	}
}

// SendIfNew does not send an update whose message the operation has already. An update
// without progress stores none.
func TestSendIfNewSkipsStoredMessage(t *testing.T) {
	c := registrytest.Start(t, 1, nil).Client()
	storeOperation(t, c, testKind, "x", registry.DesiredRun)
	results := make(chan error, 10)
	startHolder(t, c, testKind, func(ctx context.Context, g *leader.Grant) error {
		results <- SendIfNew(ctx, g, registry.Operation{Kind: testKind, Name: "x", Message: "waits"}, Update{Message: "waits", Done: true})
		results <- SendIfNew(ctx, g, registry.Operation{Kind: testKind, Name: "x"}, Update{Message: "held"})
		<-ctx.Done()
		return nil
	})
	for range 2 {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	pending, err := Pending(t.Context(), c, testKind)
	if err != nil || len(pending) != 1 || pending[0].Message != "held" || len(pending[0].Progress) != 0 {
		t.Errorf("pending operations %+v, error %v; want 1 with message held and no progress", pending, err)
	}
}

// DesiredState returns the state that is stored now, not that of the operation passed to
// it, and abort for an operation that does not exist.
func TestDesiredStateIsCurrentOrAbortIfMissing(t *testing.T) {
	c := registrytest.Start(t, 1, nil).Client()
	storeOperation(t, c, testKind, "x", registry.DesiredRun)
	storeOperation(t, c, testKind, "x", registry.DesiredPause)
	for name, want := range map[string]string{"x": registry.DesiredPause, "gone": registry.DesiredAbort} {
		if got, err := DesiredState(t.Context(), c, registry.Operation{Kind: testKind, Name: name, DesiredState: registry.DesiredRun}); err != nil || got != want {
			t.Errorf("operation %s: desired state %s, error %v", name, got, err)
		}
	}
}

// Run returns the error of a pass, but nil if the context has ended by then.
func TestRunReturnsPassErrorUnlessCanceled(t *testing.T) {
	c := registrytest.Start(t, 1, nil).Client()
	failure := errors.New("failure")
	err := Run(t.Context(), c, testKind, time.Millisecond, func(context.Context, []registry.Operation) error { return failure })
	if !errors.Is(err, failure) {
		t.Errorf("a pass fails: Run returned %v, want the error of the pass", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	err = Run(ctx, c, testKind, time.Millisecond, func(context.Context, []registry.Operation) error {
		cancel()
		return failure
	})
	if err != nil {
		t.Errorf("the context ends during a pass: Run returned %v, want nil", err)
	}
}

// Decode returns an error for a missing spec, and for a spec or progress that is not JSON
// of the given type.
func TestDecodeRejectsMissingOrMistypedJSON(t *testing.T) {
	for _, op := range []registry.Operation{
		{Spec: []byte(`{"size":"big"}`)},
		{Spec: []byte(`{"size":3}`), Progress: []byte(`{"steps":"many"}`)},
		{},
	} {
		var spec testSpec
		var progress testProgress
		if err := Decode(op, &spec, &progress); err == nil {
			t.Errorf("spec %q, progress %q: no error", op.Spec, op.Progress)
		}
	}
}
