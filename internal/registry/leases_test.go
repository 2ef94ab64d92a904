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

const tenureTTL = 400 * time.Millisecond

// steppedEvery is a drill in which the date jumps by so much four times a second.
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

// holdAndDie has a warden hold a duty for a while and fall silent, and gives how many
// failures in a row the duty has once its session has been ended.
func holdAndDie(t *testing.T, c *client.Client, warden string, held time.Duration) int {
	t.Helper()
	ask := func(method, path string, body string, answer any) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := c.Do(ctx, method, path, []byte(body), answer); err != nil {
			t.Fatalf("%s %s: %v", method, path, err)
		}
	}
	ask(http.MethodPost, registry.SessionsPath, fmt.Sprintf(`{"id":%q,"warden":%q,"ttl_ms":%d}`, warden, warden, tenureTTL.Milliseconds()), nil)
	ask(http.MethodPost, registry.RolesPath+"/d/grant", fmt.Sprintf(`{"session":%q}`, warden), nil)
	for began := time.Now(); time.Since(began) < held; time.Sleep(tenureTTL / 8) {
		ask(http.MethodPost, registry.SessionsPath+"/"+warden+"/renew", "", nil)
	}
	fails := 0
	registrytest.WaitFor(t, "the end of the session", func() bool {
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

// Guards the count of a duty's failures against a date that jumps: a holder that died at
// once counts on, one that had lasted begins anew, each by real time.
func TestTenureOverClockSteps(t *testing.T) {
	for _, by := range []string{"1h", "-1h"} {
		g := registrytest.Start(t, 1, func(c *registry.Config) { c.Clock = steppedEvery(t, by) })
		g.Leader()
		c := g.Client()
		for i := range 3 {
			if n := holdAndDie(t, c, fmt.Sprint("w", i), 0); n != i+1 {
				t.Errorf("date jumps by %s: %d failures after %d holders that died at once", by, n, i+1)
			}
		}
		if n := holdAndDie(t, c, "lasting", 4*tenureTTL); n != 1 {
			t.Errorf("date jumps by %s: %d failures after one that had lasted", by, n)
		}
	}
}
