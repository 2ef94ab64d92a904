package leader

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plovershore/internal/registry"
)

// Work that ignores the end of its context is still running when its candidate has a new
// session. The candidate must not start the work a second time meanwhile.
func TestWorkIgnoringCancellationIsNotStartedTwice(t *testing.T) {
	_, addr := startNode(t, nil)
	p := startProxy(t, addr)
	var running, maxRunning atomic.Int32
	stopWork := make(chan struct{})
	t.Cleanup(sync.OnceFunc(func() { close(stopWork) }))
	work := func(ctx context.Context, g *Grant) error {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		defer running.Add(-1)
		<-stopWork // ignores ctx
		return nil
	}
	startCandidate(t, p.addr, "a", 500*time.Millisecond, map[string]Work{"d": work})
	waitFor(t, "the work of a to start", func() bool { return running.Load() == 1 })
	p.partitioned.Store(true)
	waitFor(t, "the list service to end the session of a", func() bool { return roleState(t, addr, "d").Holder == "" })
	var namesByToken sync.Map
	startCandidate(t, addr, "b", 500*time.Millisecond, map[string]Work{"d": workUntilCanceled(&namesByToken, "b")})
	waitFor(t, "b to work", func() bool { return entryCount(&namesByToken) == 1 })
	p.partitioned.Store(false)
	waitFor(t, "a to open a new session", func() bool { return len(listRoles(t, addr).Sessions) == 2 })
	if maxRunning.Load() != 1 {
		t.Errorf("the work of a ran %d times at once, want 1", maxRunning.Load())
	}
}

// Work starts from the checkpoint that is returned with the grant, since the candidate's
// role list may be older than the last step of the previous holder.
func TestWorkStartsFromCheckpointOfGrant(t *testing.T) {
	_, addr := startNode(t, nil)
	c := newClient(t, addr)
	post := func(path string, body, out any) {
		t.Helper()
		if _, err := c.Do(t.Context(), http.MethodPost, path, body, out); err != nil {
			t.Fatal(err)
		}
	}
	post(registry.SessionsPath, registry.SessionRequest{ID: "x", Controller: "x", TTLMS: 60000}, nil)
	var granted registry.Result
	post(registry.RolesPath+"/d/grant", registry.RoleRequest{Session: "x"}, &granted)
	post(registry.RolesPath+"/d/note", registry.RoleRequest{Token: granted.Token, Note: "new"}, nil)
	post(registry.RolesPath+"/d/release", registry.RoleRequest{Token: granted.Token}, nil)
	notes := make(chan string, 1)
	work := func(_ context.Context, g *Grant) error {
		notes <- g.Note
		return nil
	}
	candidate := newCandidate(Options{Client: c, Name: "w", TTL: time.Minute, Log: newDiscardLogger(), Roles: map[string]Work{"d": work}})
	candidate.session = "x"
	candidate.lease = Lease{TTL: time.Minute}
	candidate.lease.Renew(time.Minute)
	candidate.applyRoleList(registry.RoleList{Revision: 1, Roles: []registry.Role{{Name: "d", Note: "old"}}})
	candidate.acquire(t.Context(), "d")
	if note := <-notes; note != "new" {
		t.Errorf("the work starts from checkpoint %q, want new", note)
	}
	candidate.wg.Wait()
}

// When operators disable a role, its work ends with ErrRoleDisabled and the role has no
// holder. The candidate acquires it again once it is enabled.
func TestDisabledRoleIsReacquiredOnlyWhenEnabled(t *testing.T) {
	_, addr := startNode(t, nil)
	c := newClient(t, addr)
	var namesByToken sync.Map
	causes := make(chan error, 10)
	work := func(ctx context.Context, g *Grant) error {
		namesByToken.Store(g.Token, "a")
		<-ctx.Done()
		causes <- context.Cause(ctx)
		return nil
	}
	startCandidate(t, addr, "a", time.Second, map[string]Work{"d": work})
	waitFor(t, "the work to start", func() bool { return entryCount(&namesByToken) == 1 })
	setDisabled := func(disabled bool) {
		if _, err := c.Do(t.Context(), http.MethodPost, registry.RolesPath+"/d/hold", registry.RoleRequest{Disabled: disabled}, nil); err != nil {
			t.Fatal(err)
		}
	}
	setDisabled(true)
	if cause := <-causes; !errors.Is(cause, ErrRoleDisabled) {
		t.Errorf("the work ended with cause %v, want ErrRoleDisabled", cause)
	}
	if role := roleState(t, addr, "d"); role.Holder != "" || !role.Disabled {
		t.Errorf("disabled role: %+v; want no holder", role)
	}
	setDisabled(false)
	waitFor(t, "the work to start again", func() bool { return entryCount(&namesByToken) == 2 })
}
