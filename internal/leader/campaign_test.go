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

// The response to a grant is lost: the candidate repeats the request, or finds the token
// by its watch. It never works twice under one token.
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
	waitFor(t, "it works", func() bool { return starts.Load() == 1 })
	d := roleState(t, addr, "d")
	if name, ok := began.Load(d.Token); !ok || name != "a" || d.Term != 1 {
		t.Errorf("holds %+v", d)
	}
}

// Two candidates with one name have a session each, and one of them holds the role. A
// process that restarts within its lease waits for the end of that lease.
func TestCandidatesWithOneName(t *testing.T) {
	_, addr := startNode(t, nil)
	var began sync.Map
	startCandidate(t, addr, "same", time.Second, map[string]Work{"d": workUntilCanceled(&began, "first")})
	waitFor(t, "one works", func() bool { return entryCount(&began) == 1 })
	token := roleState(t, addr, "d").Token
	startCandidate(t, addr, "same", time.Second, map[string]Work{"d": workUntilCanceled(&began, "second")})
	waitFor(t, "two sessions", func() bool { return len(listRoles(t, addr).Sessions) == 2 })
	if d := roleState(t, addr, "d"); d.Token != token || entryCount(&began) != 1 {
		t.Errorf("moved without a reason: %+v", d)
	}
}

// A role that fails is requested ever more seldom. One that kills its holders counts as
// failing, too; work that lasts clears the count.
func TestFailureBackoff(t *testing.T) {
	s := registry.NewState()
	do := func(c registry.Command) registry.Result { return s.Apply(c) }
	for i := range 3 {
		id := fmt.Sprint(i)
		do(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: id, Controller: id, TTL: time.Second}})
		do(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: id}})
		do(registry.Command{Op: registry.OpSessionEnd, EndedSessions: []string{id}, Failed: true}) // killed
	}
	if d := s.Roles["d"]; d.Failures != 3 {
		t.Fatalf("%+v", d)
	}
	c := newCandidate(Options{Name: "w", Roles: map[string]Work{"d": nil}, TTL: time.Second})
	c.lease = Lease{TTL: time.Minute}
	c.lease.Renew(time.Minute)
	c.applyRoleList(registry.RoleList{Revision: 1, Roles: []registry.Role{s.Roles["d"]}, Sessions: []registry.Session{{ID: "x", Controller: "w"}}})
	if names, wait := c.claimableRoles(time.Hour); len(names) != 0 || wait < failureBackoff || wait > 3*failureBackoff {
		t.Errorf("claims %v, waits %v", names, wait)
	}
	do(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: "l", Controller: "l", TTL: time.Second}})
	do(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: "l"}, At: 1000})
	if do(registry.Command{Op: registry.OpSessionEnd, EndedSessions: []string{"l"}, Failed: true, At: 9000}); s.Roles["d"].Failures != 1 {
		t.Errorf("a holder that died after it had lasted: %+v", s.Roles["d"])
	}
	do(registry.Command{Op: registry.OpSession, Session: registry.Session{ID: "g", Controller: "g", TTL: time.Second}})
	a := do(registry.Command{Op: registry.OpGrant, Role: "d", Session: registry.Session{ID: "g"}})
	do(registry.Command{Op: registry.OpNote, Role: "d", Token: a.Token, Note: "7"})
	if a = do(registry.Command{Op: registry.OpNote, Role: "d", Token: a.Token, Healthy: true}); a.Status != 200 || s.Roles["d"].Failures != 0 || s.Roles["d"].Note != "7" {
		t.Errorf("%+v, %+v", a, s.Roles["d"])
	}
}

// Candidates share many roles, and none holds much more than an equal part.
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
	hold(true) // until all three are there: one that is alone takes all
	for i := range 3 {
		startCandidate(t, addr, fmt.Sprint("w-", i), 2*time.Second, work)
	}
	waitFor(t, "three candidates", func() bool { return len(listRoles(t, addr).Sessions) == 3 })
	hold(false)
	waitFor(t, "all are held", func() bool {
		l := listRoles(t, addr)
		return len(l.Roles) == 30 && !slices.ContainsFunc(l.Roles, func(d registry.Role) bool { return d.Holder == "" })
	})
	per := map[string]int{}
	for _, d := range listRoles(t, addr).Roles {
		per[d.Controller]++
	}
	if len(per) < 2 {
		t.Errorf("held by %v", per)
	}
}
