package leader

import (
	"context"
	"net/http"
	"time"

	"plovershore/internal/registry"
)

// RegistrationExpiry is the name of the role that makes the list service remove
// registrations without heartbeats. The list service's guard against mass expiry
// limits how many expire.
const RegistrationExpiry = "list-keeper"

const expiryInterval = 200 * time.Millisecond

// ExpireRegistrations is the work of the role RegistrationExpiry. Repeated requests,
// also of different holders, expire a registration only once, since the list service's
// command names each registration that expires.
func ExpireRegistrations(ctx context.Context, g *Grant) error {
	for Sleep(ctx, expiryInterval) {
		if err := g.Do(ctx, http.MethodPost, registry.ExpirePath, struct{}{}, nil); err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}
