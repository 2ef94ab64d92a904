package leader

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plovershore/internal/registry"
)

// The responses to grant requests are lost, though the role is granted. The candidate
// repeats the request or sees its token in the role list, and starts the work only once.
func TestLostGrantResponsesStartWorkOnce(t *testing.T) {
	_, addr := startNode(t, nil)
	p := startProxy(t, addr)
	p.lostGrantResponses.Store(3)
	var namesByToken sync.Map
	var starts atomic.Int32
	work := func(ctx context.Context, g *Grant) error {
		starts.Add(1)
		return workUntilCanceled(&namesByToken, "a")(ctx, g)
	}
	startCandidate(t, p.addr, "a", 2*time.Second, map[string]Work{"d": work})
	waitFor(t, "the work to start", func() bool { return starts.Load() == 1 })
	role := roleState(t, addr, "d")
	if name, ok := namesByToken.Load(role.Token); !ok || name != "a" || role.Term != 1 {
		t.Errorf("role state %+v; want term 1 and a token under which candidate a works", role)
	}
}

// Two candidates with the same name have separate sessions, and the role stays with the
// first. A process that restarts under its old name therefore waits until its old lease
// has expired.
func TestCandidateWithSameNameDoesNotTakeRoleOver(t *testing.T) {
	_, addr := startNode(t, nil)
	var namesByToken sync.Map
	startCandidate(t, addr, "same", time.Second, map[string]Work{"d": workUntilCanceled(&namesByToken, "first")})
	waitFor(t, "the first candidate to work", func() bool { return entryCount(&namesByToken) == 1 })
	token := roleState(t, addr, "d").Token
	startCandidate(t, addr, "same", time.Second, map[string]Work{"d": workUntilCanceled(&namesByToken, "second")})
	waitFor(t, "two open sessions", func() bool { return len(listRoles(t, addr).Sessions) == 2 })
	if role := roleState(t, addr, "d"); role.Token != token || entryCount(&namesByToken) != 1 {
		t.Errorf("the role moved to the second candidate, or was granted again: %+v", role)
	}
}

// The delay before the next request for a role grows with the role's failures in a row. A
// holder whose session ends by expiry counts as a failure, too. The count starts again
// after a holder that lasted, and a report of health clears it.
func TestRepeatedFailuresDelayRequestsUntilHealthy(t *testing.T) {
	state := registry.NewState()
	apply := func(c registry.Command) registry.Result { return state.Apply(c) }
	for i := range 3 {
		id := fmt.Sprint(i)
		apply(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: id, Controller: id, TTL: time.Second}})
		apply(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: id}})
		apply(registry.Command{Op: registry.OpSessionEnd, EndedSessions: []string{id}, Failed: true}) // as if the process was killed
	}
	if role := state.Roles["d"]; role.Failures != 3 {
		t.Fatalf("role %+v after 3 expired holders; want 3 failures", role)
	}
	c := newCandidate(Options{Name: "w", Roles: map[string]Work{"d": nil}, TTL: time.Second})
	c.lease = Lease{TTL: time.Minute}
	c.lease.Renew(time.Minute)
	c.applyRoleList(registry.RoleList{Revision: 1, Roles: []registry.Role{state.Roles["d"]}, Sessions: []registry.Session{{ID: "x", Controller: "w"}}})
	if names, wait := c.claimableRoles(time.Hour); len(names) != 0 || wait < failureBackoff || wait > 3*failureBackoff {
		t.Errorf("roles to request: %v, wait %v; want none, and 1 to 3 times failureBackoff", names, wait)
	}
	apply(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: "l", Controller: "l", TTL: time.Second}})
	apply(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: "l"}, At: 1000})
	if apply(registry.Command{Op: registry.OpSessionEnd, EndedSessions: []string{"l"}, Failed: true, At: 9000}); state.Roles["d"].Failures != 1 {
		t.Errorf("after the expiry of a holder that lasted: %+v; want 1 failure", state.Roles["d"])
	}
	apply(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: "g", Controller: "g", TTL: time.Second}})
	result := apply(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: "g"}})
	apply(registry.Command{Op: registry.OpNote, Role: "d", Token: result.Token, Note: "7"})
	if result = apply(registry.Command{Op: registry.OpNote, Role: "d", Token: result.Token, Healthy: true}); result.Status != 200 || state.Roles["d"].Failures != 0 || state.Roles["d"].Note != "7" {
		t.Errorf("after a report of health: result %+v, role %+v; want no failures and checkpoint 7", result, state.Roles["d"])
	}
}

// Several candidates that campaign for many roles share them: no single one holds all.
func TestCandidatesShareManyRoles(t *testing.T) {
	_, addr := startNode(t, nil)
	var namesByToken sync.Map
	work := map[string]Work{}
	c := newClient(t, addr)
	setDisabled := func(disabled bool) {
		for name := range work {
			if _, err := c.Do(t.Context(), http.MethodPost, registry.RolesPath+"/"+name+"/hold", registry.RoleRequest{Disabled: disabled}, nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	for i := range 30 {
		work[fmt.Sprint("d-", i)] = workUntilCanceled(&namesByToken, "x")
	}
	setDisabled(true) // until all three candidates have sessions: a lone candidate would acquire all roles
	for i := range 3 {
		startCandidate(t, addr, fmt.Sprint("w-", i), 2*time.Second, work)
	}
	waitFor(t, "three sessions", func() bool { return len(listRoles(t, addr).Sessions) == 3 })
	setDisabled(false)
	waitFor(t, "all roles to have a holder", func() bool {
		list := listRoles(t, addr)
		return len(list.Roles) == 30 && !slices.ContainsFunc(list.Roles, func(role registry.Role) bool { return role.Holder == "" })
	})
	rolesByController := map[string]int{}
	for _, role := range listRoles(t, addr).Roles {
		rolesByController[role.Controller]++
	}
	if len(rolesByController) < 2 {
		t.Errorf("number of roles by controller: %v; want two controllers or more", rolesByController)
	}
}
