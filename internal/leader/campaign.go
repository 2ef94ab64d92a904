package leader

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"plovershore/internal/registry"
)

const (
	campaignInterval  = time.Second            // time between two checks of the roles while no change is reported
	startJitter       = 20 * time.Millisecond  // maximum of the random delay that spreads candidates started together
	aboveQuotaDelay   = 400 * time.Millisecond // delay of a candidate that has its quota, so that others request first
	failureBackoff    = time.Second            // delay after the second failure in a row; each further failure doubles it
	failureBackoffMax = 5 * time.Minute
	failureShiftMax   = 20                     // maximum number of doublings; more could overflow
	retryDelayMin     = 50 * time.Millisecond  // minimum delay after a failed request for a role
	retryDelaySpread  = 100 * time.Millisecond // maximum of the random delay added to retryDelayMin
)

// campaign requests roles that have no holder until ctx ends. It also releases roles
// whose earlier release did not reach the list service.
func (c *candidate) campaign(ctx context.Context) {
	Sleep(ctx, randomDuration(startJitter))
	for ctx.Err() == nil {
		names, wait := c.claimableRoles(campaignInterval)
		for _, name := range names {
			if ctx.Err() == nil {
				c.acquire(ctx, name)
			}
		}
		c.releaseStaleGrants(ctx)
		c.waitForChange(ctx, wait)
	}
}

func (c *candidate) waitForChange(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(c.opts.Clock.ToMachine(wait))
	defer timer.Stop()
	select {
	case <-c.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// claimableRoles returns the roles to request now, and how long to wait until the
// next one may be requested, which is at most maxWait. It also starts the work of
// roles that were granted without a response.
func (c *candidate) claimableRoles(maxWait time.Duration) (names []string, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait = maxWait
	if !c.hasLease() || c.roleList.Revision == 0 {
		return nil, wait
	}
	roles := rolesByName(c.roleList.Roles)
	controllers := controllerNames(c.roleList.Sessions)
	quota := roleQuota(len(c.opts.Roles), len(controllers))
	now := c.opts.Clock.Monotonic()
	for name := range c.opts.Roles {
		role, listed := roles[name]
		if c.hasUnansweredGrant(role) {
			c.startWork(name, role.Token, role.Term, role.Note)
			continue
		}
		if !c.isRequestable(name, role, controllers) {
			continue
		}
		aboveQuota := len(c.grants)+len(names) >= quota
		requestAt := c.requestTime(name, role, listed, aboveQuota, now)
		if remaining := requestAt.Sub(now); remaining > 0 {
			wait = min(wait, remaining)
			continue
		}
		names = append(names, name)
	}
	return names, wait
}

// hasUnansweredGrant reports whether the list service has granted a role to this
// session but the response to the request was lost: the role list has this session as
// the holder, with a token that is newer than any this candidate received. The caller
// holds c.mu.
func (c *candidate) hasUnansweredGrant(role registry.Role) bool {
	return role.Holder != "" && role.Holder == c.session &&
		c.grants[role.Name] == nil && !c.unstopped[role.Name] && role.Token > c.lastTokens[role.Name]
}

// isRequestable reports whether this candidate may request a role: nobody holds it, it
// is enabled, its work does not still run in this process, and it is not reserved for
// its successor, which is so if that is another controller with a session. The caller
// holds c.mu.
func (c *candidate) isRequestable(name string, role registry.Role, controllers map[string]bool) bool {
	switch {
	case role.Holder != "", role.Disabled:
		return false
	case c.grants[name] != nil, c.unstopped[name]:
		return false
	}
	reserved := role.Successor != "" && role.Successor != c.opts.Name && controllers[role.Successor]
	return !reserved
}

// requestTime returns when a vacant role may be requested: immediately by a candidate
// that is below its quota or is the role's successor, and later by one that has its
// quota, if the role's work has failed more than once in a row, or until the time in
// c.notBefore. The caller holds c.mu.
func (c *candidate) requestTime(name string, role registry.Role, listed, aboveQuota bool, now time.Time) time.Time {
	requestAt := now
	if vacantSince := c.vacantSince[name]; listed && !vacantSince.IsZero() {
		requestAt = vacantSince
	} else {
		c.vacantSince[name] = now
	}
	if aboveQuota && role.Successor != c.opts.Name {
		requestAt = requestAt.Add(aboveQuotaDelay)
	}
	requestAt = requestAt.Add(c.failureDelay(role))
	if notBefore := c.notBefore[name]; notBefore.After(requestAt) {
		requestAt = notBefore
	}
	return requestAt
}

// failureDelay returns how long to wait before requesting a role whose work has failed
// more than once in a row. The candidate that failed last waits twice as long, so that
// another one, which may succeed, requests the role first.
func (c *candidate) failureDelay(role registry.Role) time.Duration {
	if role.Failures <= 1 {
		return 0
	}
	delay := min(failureBackoff<<min(role.Failures-2, failureShiftMax), failureBackoffMax)
	if role.Controller == c.opts.Name {
		delay *= 2
	}
	return delay
}

// acquire requests a role and starts its work if the role is granted.
func (c *candidate) acquire(ctx context.Context, name string) {
	session := c.sessionID()
	ctx, cancel := context.WithTimeout(ctx, c.opts.TTL)
	defer cancel()
	var granted registry.Result
	_, err := c.opts.Client.Do(ctx, http.MethodPost, rolePath(name, actionGrant), registry.RoleRequest{Session: session}, &granted)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		// If only the response was lost, the grant is valid, and the role list shows it.
		c.notBefore[name] = c.opts.Clock.Monotonic().Add(retryDelayMin + randomDuration(retryDelaySpread))
		return
	}
	if session != c.session || !c.hasLease() {
		return // the session that holds this grant has ended
	}
	if c.grants[name] == nil && granted.Token > c.lastTokens[name] {
		c.startWork(name, granted.Token, granted.Term, granted.Note)
	}
}

func rolesByName(roles []registry.Role) map[string]registry.Role {
	byName := map[string]registry.Role{}
	for _, role := range roles {
		byName[role.Name] = role
	}
	return byName
}

func controllerNames(sessions []registry.Session) map[string]bool {
	names := map[string]bool{}
	for _, session := range sessions {
		names[session.Controller] = true
	}
	return names
}

// roleQuota returns how many roles a candidate may hold before it delays further
// requests: an equal part of all roles, rounded up.
func roleQuota(roles, controllers int) int {
	controllers = max(1, controllers)
	return (roles + controllers - 1) / controllers
}

func randomDuration(limit time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(limit)))
}
