package leader

import (
	"context"
	"net/http"
	"time"

	"plovershore/internal/registry"
)

const resignPollInterval = 5 * time.Millisecond

// release returns a role to the list service. If that fails, the campaign retries it.
func (c *candidate) release(grant *Grant, request registry.RoleRequest) (released bool) {
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.TTL)
	defer cancel()
	if err := grant.post(ctx, actionRelease, request); err != nil {
		c.opts.Log.Warn("role release failed", "role", grant.Role, "token", grant.Token, "err", err)
		c.deferRelease(grant.Role, request)
		return false
	}
	c.opts.Log.Info("role released", "role", grant.Role, "token", grant.Token, "successor", request.Successor)
	return true
}

// deferRelease records a release that releaseStaleGrants is to send.
func (c *candidate) deferRelease(role string, request registry.RoleRequest) {
	c.mu.Lock()
	c.pendingReleases[role] = request
	c.mu.Unlock()
	c.wakeCampaign()
}

// releaseStaleGrants releases roles that the list service still lists as held by this
// session although their work has ended, because the lease expired or because the
// release did not reach the list service. A session can outlive its lease, for example
// when the list service changes its leader; without the release no candidate could then
// acquire the role.
func (c *candidate) releaseStaleGrants(ctx context.Context) {
	for role, request := range c.staleGrants() {
		if err := c.postRelease(ctx, role, request); err != nil {
			// Either another candidate holds the role by now, or the list service does
			// not respond. The campaign retries the release if the role list still shows
			// the role as held by this session.
			c.opts.Log.Warn("stale role release failed", "role", role, "token", request.Token, "err", err)
			continue
		}
		c.opts.Log.Info("stale role released", "role", role, "token", request.Token)
	}
}

func (c *candidate) staleGrants() map[string]registry.RoleRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	stale := map[string]registry.RoleRequest{}
	if !c.hasLease() {
		return stale
	}
	for _, role := range c.roleList.Roles {
		request := c.pendingReleases[role.Name]
		held := role.Holder != "" && role.Holder == c.session
		if held && c.grants[role.Name] == nil && role.Token == request.Token {
			stale[role.Name] = request
		}
	}
	return stale
}

func (c *candidate) postRelease(ctx context.Context, role string, request registry.RoleRequest) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.TTL)
	defer cancel()
	_, err := c.opts.Client.Do(ctx, http.MethodPost, rolePath(role, actionRelease), request, nil)
	return err
}

// resign stops all work, waits for up to stopTimeout plus the lease duration until all
// grants have ended, and closes the session. The releases of the roles may still be in
// progress then; Run waits for them.
func (c *candidate) resign() {
	c.mu.Lock()
	for _, grant := range c.grants {
		grant.cancel(ErrStopping)
	}
	c.mu.Unlock()
	deadline := time.Now().Add(stopTimeout + c.opts.TTL)
	for c.grantCount() > 0 && time.Now().Before(deadline) {
		time.Sleep(resignPollInterval)
	}
	c.closeSession()
}

func (c *candidate) grantCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.grants)
}
