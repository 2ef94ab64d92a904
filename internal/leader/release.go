package leader

import (
	"context"
	"net/http"
	"time"

	"plovershore/internal/registry"
)

const resignPoll = 5 * time.Millisecond

// release gives a role back to the list service. Where that fails, it is retried
// by the campaign.
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

// deferRelease leaves a release to releaseStaleGrants.
func (c *candidate) deferRelease(role string, request registry.RoleRequest) {
	c.mu.Lock()
	c.pendingReleases[role] = request
	c.mu.Unlock()
	c.wakeCampaign()
}

// releaseStaleGrants releases the roles that the list service still has this
// session hold although their work has ended: the lease expired, or the release did
// not get through. A session can outlive its lease, as over a change of the list
// service's leader, and would then keep the role from every candidate.
func (c *candidate) releaseStaleGrants(ctx context.Context) {
	for role, request := range c.staleGrants() {
		if err := c.postRelease(ctx, role, request); err != nil {
			// Retried after the next change: another holds the role, or the list
			// service does not answer.
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
	for _, role := range c.view.Roles {
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

// resign stops all work, waits until its roles are released and closes the session.
func (c *candidate) resign() {
	c.mu.Lock()
	for _, grant := range c.grants {
		grant.cancel(ErrStopping)
	}
	c.mu.Unlock()
	deadline := time.Now().Add(stopTimeout + c.opts.TTL)
	for c.grantCount() > 0 && time.Now().Before(deadline) {
		time.Sleep(resignPoll)
	}
	c.closeSession()
}

func (c *candidate) grantCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.grants)
}
