package leader

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"plovershore/internal/registry"
)

// The holder of the role list-keeper makes a registration without heartbeats expire. A
// request to expire registrations with a token that was never granted is rejected.
func TestExpiryRoleRemovesRegistrationWithoutHeartbeats(t *testing.T) {
	_, addr := startNode(t, func(c *registry.Config) { c.ExpiryGuard.ExpiredBy = "duty" })
	c := newClient(t, addr)
	registration := registry.Registration{ID: "s-1", Address: "127.0.0.1:9", Zone: "a", Flavor: "agent", TTLMS: 500}
	if _, err := c.Do(t.Context(), http.MethodPost, registry.MembersPath, registration, nil); err != nil {
		t.Fatal(err)
	}
	countMembers := func() int {
		var members []registry.Member
		if _, err := c.Do(t.Context(), http.MethodGet, registry.MembersPath, nil, &members); err != nil {
			t.Fatal(err)
		}
		return len(members)
	}
	if err := (&Grant{Role: RegistrationExpiry, Token: 7, candidate: newCandidate(Options{Client: c}), cancel: func(error) {}}).Do(t.Context(), http.MethodPost, registry.ExpirePath, struct{}{}, nil); !errors.Is(err, ErrLeaseLost) {
		t.Errorf("with a token that was never granted: %v, want ErrLeaseLost", err)
	}
	startCandidate(t, addr, "a", time.Second, map[string]Work{RegistrationExpiry: ExpireRegistrations})
	waitFor(t, "the registration to expire", func() bool { return countMembers() == 0 })
}
