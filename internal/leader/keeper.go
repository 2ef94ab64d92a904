package leader

import (
	"context"
	"net/http"
	"time"

	"plovershore/internal/registry"
)

// RegistrationExpiry is the duty that ends registrations which were not heard of, within
// the list service's guard against many at once.
const RegistrationExpiry = "list-keeper"

const keepEvery = 200 * time.Millisecond

// ExpireRegistrations is its work. A registration ends once, whoever asks: the command names
// the registration that it ends.
func ExpireRegistrations(ctx context.Context, g *Grant) error {
	for sleep(ctx, keepEvery) {
		if err := g.Do(ctx, http.MethodPost, registry.ExpirePath, struct{}{}, nil); err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}
