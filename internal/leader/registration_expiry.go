package leader

import (
	"context"
	"net/http"
	"time"

	"plovershore/internal/registry"
)

// RegistrationExpiry is the role that removes registrations without heartbeats,
// within the list service's guard against mass expiry.
const RegistrationExpiry = "list-keeper"

const expiryInterval = 200 * time.Millisecond

// ExpireRegistrations is the work of the role RegistrationExpiry. A registration
// expires once, whoever requests it: the command names the registration.
func ExpireRegistrations(ctx context.Context, g *Grant) error {
	for Sleep(ctx, expiryInterval) {
		if err := g.Do(ctx, http.MethodPost, registry.ExpirePath, struct{}{}, nil); err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}
