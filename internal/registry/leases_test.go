package registry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"plovershore/internal/clock"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
	"plovershore/internal/registry/registrytest"
)

const leaseTestTTL = 400 * time.Millisecond

// newSteppedClock returns a clock whose date is stepped by the duration step every 250 ms
// for the first 30 s.
func newSteppedClock(t *testing.T, step string) *clock.Clock {
	t.Helper()
	var steps []string
	for ms := 250; ms < 30000; ms += 250 {
		steps = append(steps, fmt.Sprintf("date=%s@%dms", step, ms))
	}
	c, err := clock.Parse(strings.Join(steps, ","))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// holdRoleUntilSessionExpires has a controller renew its session and hold a role for
// holdTime, and then stop its heartbeats. It returns the role's count of consecutive
// failures once the session has expired.
func holdRoleUntilSessionExpires(t *testing.T, c *client.Client, controller string, holdTime time.Duration) int {
	t.Helper()
	request := func(method, path string, body string, response any) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := c.Do(ctx, method, path, []byte(body), response); err != nil {
			t.Fatalf("%s %s: %v", method, path, err)
		}
	}
	request(http.MethodPost, registry.SessionsPath, fmt.Sprintf(`{"id":%q,"warden":%q,"ttl_ms":%d}`, controller, controller, leaseTestTTL.Milliseconds()), nil)
	request(http.MethodPost, registry.RolesPath+"/d/grant", fmt.Sprintf(`{"session":%q}`, controller), nil)
	for start := time.Now(); time.Since(start) < holdTime; time.Sleep(leaseTestTTL / 8) {
		request(http.MethodPost, registry.SessionsPath+"/"+controller+"/renew", "", nil)
	}
	failures := 0
	registrytest.WaitFor(t, "the session to expire", func() bool {
		var list registry.RoleList
		request(http.MethodGet, registry.RolesPath, "", &list)
		if len(list.Sessions) > 0 || len(list.Roles) != 1 || list.Roles[0].Holder != "" {
			return false
		}
		failures = list.Roles[0].Failures
		return true
	})
	return failures
}

// TestClockStepsDoNotChangeFailureCount checks the count of a role's consecutive failures
// while the leader's date is stepped. A holder whose session expires without a renewal
// adds one, and one that held the role for over two times to live before it starts the
// count anew. The holding time is that of a monotonic clock, not the difference of two
// dates.
func TestClockStepsDoNotChangeFailureCount(t *testing.T) {
	for _, step := range []string{"1h", "-1h"} {
		g := registrytest.Start(t, 1, func(c *registry.Config) { c.Clock = newSteppedClock(t, step) })
		g.Leader()
		c := g.Client()
		for i := range 3 {
			if failures := holdRoleUntilSessionExpires(t, c, fmt.Sprint("w", i), 0); failures != i+1 {
				t.Errorf("date stepped by %s: %d failures after %d holders that stopped at once", step, failures, i+1)
			}
		}
		if failures := holdRoleUntilSessionExpires(t, c, "lasting", 4*leaseTestTTL); failures != 1 {
			t.Errorf("date stepped by %s: %d failures after a holder that held the role for long, want 1", step, failures)
		}
	}
}
