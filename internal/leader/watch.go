package leader

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"plovershore/internal/registry"
)

const (
	longPollWait    = 3 * time.Second // how long a request waits for a change; less than the client's response timeout
	longPollTimeout = longPollWait + 2*time.Second
	pollRetryDelay  = 50 * time.Millisecond
)

// watchRoles keeps the role list up to date with long polls until ctx ends.
func (c *candidate) watchRoles(ctx context.Context) {
	revision := int64(0)
	for ctx.Err() == nil {
		list, err := c.pollRoles(ctx, revision)
		if err != nil {
			Sleep(ctx, pollRetryDelay)
			continue
		}
		revision = list.Revision
		c.applyRoleList(list)
	}
}

// pollRoles returns the role list once it is newer than a revision, or after
// longPollWait in any case.
func (c *candidate) pollRoles(ctx context.Context, revision int64) (list registry.RoleList, err error) {
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout)
	defer cancel()
	path := fmt.Sprintf("%s?after=%d&wait_ms=%d", registry.RolesPath, revision, longPollWait.Milliseconds())
	_, err = c.opts.Client.Do(ctx, http.MethodGet, path, nil, &list)
	return list, err
}

// applyRoleList records a role list and cancels each grant that is not valid any more
// according to it.
func (c *candidate) applyRoleList(list registry.RoleList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list.Revision < c.roleList.Revision {
		return // the list is from a node that lags behind
	}
	c.roleList = list
	now := c.opts.Clock.Monotonic()
	for _, role := range list.Roles {
		c.cancelIfReplaced(role)
		if role.Holder != "" {
			delete(c.vacantSince, role.Name)
		} else if c.vacantSince[role.Name].IsZero() {
			c.vacantSince[role.Name] = now
		}
	}
	c.wakeCampaign()
}

// cancelIfReplaced cancels this candidate's grant of a role if the role list shows that
// the session no longer holds the role. The caller holds c.mu.
func (c *candidate) cancelIfReplaced(role registry.Role) {
	grant := c.grants[role.Name]
	if grant == nil || role.Token < grant.Token || role.Token == grant.Token && role.Holder == c.session {
		return
	}
	if role.Disabled {
		grant.cancel(ErrRoleDisabled)
	} else {
		grant.cancel(ErrLeaseLost)
	}
}
