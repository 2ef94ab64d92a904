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

// steppedEvery returns a clock whose date is stepped by the duration by every 250 ms for
// the first 30 s.
func steppedEvery(t *testing.T, by string) *clock.Clock {
	t.Helper()
	var jumps []string
	for at := 250; at < 30000; at += 250 {
		jumps = append(jumps, fmt.Sprintf("date=%s@%dms", by, at))
	}
	c, err := clock.Parse(strings.Join(jumps, ","))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// holdAndDie has a controller renew its session and hold a role for the duration held, and
// then stop its heartbeats. It returns the role's count of consecutive failures once the
// session has expired.
func holdAndDie(t *testing.T, c *client.Client, controller string, held time.Duration) int {
	t.Helper()
	ask := func(method, path string, body string, answer any) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := c.Do(ctx, method, path, []byte(body), answer); err != nil {
			t.Fatalf("%s %s: %v", method, path, err)
		}
	}
	ask(http.MethodPost, registry.SessionsPath, fmt.Sprintf(`{"id":%q,"warden":%q,"ttl_ms":%d}`, controller, controller, leaseTestTTL.Milliseconds()), nil)
	ask(http.MethodPost, registry.RolesPath+"/d/grant", fmt.Sprintf(`{"session":%q}`, controller), nil)
	for began := time.Now(); time.Since(began) < held; time.Sleep(leaseTestTTL / 8) {
		ask(http.MethodPost, registry.SessionsPath+"/"+controller+"/renew", "", nil)
	}
	fails := 0
	registrytest.WaitFor(t, "the session to expire", func() bool {
		var l registry.RoleList
		ask(http.MethodGet, registry.RolesPath, "", &l)
		if len(l.Sessions) > 0 || len(l.Roles) != 1 || l.Roles[0].Holder != "" {
			return false
		}
		fails = l.Roles[0].Failures
		return true
	})
	return fails
}

// TestLeaseDurationsOverClockSteps checks the count of a role's consecutive failures while
// the leader's date is stepped. A holder whose session expires without a renewal adds one,
// and one that held the role for over two times to live before it starts the count anew.
// The holding time is that of a monotonic clock, not the difference of two dates.
func TestLeaseDurationsOverClockSteps(t *testing.T) {
	for _, by := range []string{"1h", "-1h"} {
		g := registrytest.Start(t, 1, func(c *registry.Config) { c.Clock = steppedEvery(t, by) })
		g.Leader()
		c := g.Client()
		for i := range 3 {
			if n := holdAndDie(t, c, fmt.Sprint("w", i), 0); n != i+1 {
				t.Errorf("date stepped by %s: %d failures after %d holders that stopped at once", by, n, i+1)
			}
		}
		if n := holdAndDie(t, c, "lasting", 4*leaseTestTTL); n != 1 {
			t.Errorf("date stepped by %s: %d failures after a holder that held the role for long, want 1", by, n)
		}
	}
}
