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
func TestLostGrantResponse(t *testing.T) {
	_, addr := startNode(t, nil)
	p := startProxy(t, addr)
	p.lostGrantResponses.Store(3)
	var began sync.Map
	var starts atomic.Int32
	work := func(ctx context.Context, g *Grant) error {
		starts.Add(1)
		return workUntilCanceled(&began, "a")(ctx, g)
	}
	startCandidate(t, p.addr, "a", 2*time.Second, map[string]Work{"d": work})
	waitFor(t, "the work to start", func() bool { return starts.Load() == 1 })
	d := roleState(t, addr, "d")
	if name, ok := began.Load(d.Token); !ok || name != "a" || d.Term != 1 {
		t.Errorf("role state %+v; want term 1 and a token under which candidate a works", d)
	}
}

// Two candidates with the same name have separate sessions, and the role stays with the
// first. A process that restarts under its old name therefore waits until its old lease
// has expired.
func TestCandidatesWithOneName(t *testing.T) {
	_, addr := startNode(t, nil)
	var began sync.Map
	startCandidate(t, addr, "same", time.Second, map[string]Work{"d": workUntilCanceled(&began, "first")})
	waitFor(t, "the first candidate to work", func() bool { return entryCount(&began) == 1 })
	token := roleState(t, addr, "d").Token
	startCandidate(t, addr, "same", time.Second, map[string]Work{"d": workUntilCanceled(&began, "second")})
	waitFor(t, "two open sessions", func() bool { return len(listRoles(t, addr).Sessions) == 2 })
	if d := roleState(t, addr, "d"); d.Token != token || entryCount(&began) != 1 {
		t.Errorf("the role moved to the second candidate, or was granted again: %+v", d)
	}
}

// The delay before the next request for a role grows with the role's failures in a row. A
// holder whose session ends by expiry counts as a failure, too. The count starts again
// after a holder that lasted, and a report of health clears it.
func TestFailureBackoff(t *testing.T) {
	s := registry.NewState()
	do := func(c registry.Command) registry.Result { return s.Apply(c) }
	for i := range 3 {
		id := fmt.Sprint(i)
		do(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: id, Controller: id, TTL: time.Second}})
		do(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: id}})
		do(registry.Command{Op: registry.OpSessionEnd, EndedSessions: []string{id}, Failed: true}) // as if the process was killed
	}
	if d := s.Roles["d"]; d.Failures != 3 {
		t.Fatalf("role %+v after 3 expired holders; want 3 failures", d)
	}
	c := newCandidate(Options{Name: "w", Roles: map[string]Work{"d": nil}, TTL: time.Second})
	c.lease = Lease{TTL: time.Minute}
	c.lease.Renew(time.Minute)
	c.applyRoleList(registry.RoleList{Revision: 1, Roles: []registry.Role{s.Roles["d"]}, Sessions: []registry.Session{{ID: "x", Controller: "w"}}})
	if names, wait := c.claimableRoles(time.Hour); len(names) != 0 || wait < failureBackoff || wait > 3*failureBackoff {
		t.Errorf("roles to request: %v, wait %v; want none, and 1 to 3 times failureBackoff", names, wait)
	}
	do(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: "l", Controller: "l", TTL: time.Second}})
	do(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: "l"}, At: 1000})
	if do(registry.Command{Op: registry.OpSessionEnd, EndedSessions: []string{"l"}, Failed: true, At: 9000}); s.Roles["d"].Failures != 1 {
		t.Errorf("after the expiry of a holder that lasted: %+v; want 1 failure", s.Roles["d"])
	}
	do(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: "g", Controller: "g", TTL: time.Second}})
	a := do(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: "g"}})
	do(registry.Command{Op: registry.OpNote, Role: "d", Token: a.Token, Note: "7"})
	if a = do(registry.Command{Op: registry.OpNote, Role: "d", Token: a.Token, Healthy: true}); a.Status != 200 || s.Roles["d"].Failures != 0 || s.Roles["d"].Note != "7" {
		t.Errorf("after a report of health: result %+v, role %+v; want no failures and checkpoint 7", a, s.Roles["d"])
	}
}

// Several candidates that campaign for many roles share them: no single one holds all.
func TestRolesAreSharedFairly(t *testing.T) {
	_, addr := startNode(t, nil)
	var began sync.Map
	work := map[string]Work{}
	c := newClient(t, addr)
	hold := func(off bool) {
		for name := range work {
			if _, err := c.Do(t.Context(), http.MethodPost, registry.RolesPath+"/"+name+"/hold", registry.RoleRequest{Disabled: off}, nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	for i := range 30 {
		work[fmt.Sprint("d-", i)] = workUntilCanceled(&began, "x")
	}
	hold(true) // until all three candidates have sessions: a lone candidate would acquire all roles
	for i := range 3 {
		startCandidate(t, addr, fmt.Sprint("w-", i), 2*time.Second, work)
	}
	waitFor(t, "three sessions", func() bool { return len(listRoles(t, addr).Sessions) == 3 })
	hold(false)
	waitFor(t, "all roles to have a holder", func() bool {
		l := listRoles(t, addr)
		return len(l.Roles) == 30 && !slices.ContainsFunc(l.Roles, func(d registry.Role) bool { return d.Holder == "" })
	})
	per := map[string]int{}
	for _, d := range listRoles(t, addr).Roles {
		per[d.Controller]++
	}
	if len(per) < 2 {
		t.Errorf("number of roles by controller: %v; want two controllers or more", per)
	}
}
