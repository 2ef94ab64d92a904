package leader

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"plovershore/internal/registry"
)

const heartbeatsPerTTL = 4

// openSession opens a session with a new random id.
func (c *candidate) openSession(ctx context.Context) error {
	id, sentAt := registry.NewID(), c.elapsed()
	request := registry.SessionRequest{ID: id, Controller: c.opts.Name, TTLMS: c.opts.TTL.Milliseconds()}
	if _, err := c.opts.Client.Do(ctx, http.MethodPost, registry.SessionsPath, request, nil); err != nil {
		return fmt.Errorf("leader: open session: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session, c.lease = id, Lease{TTL: c.opts.TTL}
	c.lease.Renew(sentAt)
	c.resetWatchdog()
	c.opts.Log.Info("session opened", "session", id)
	return nil
}

// sendHeartbeats renews the session until ctx ends. It opens a new session if the list
// service no longer knows the present one.
func (c *candidate) sendHeartbeats(ctx context.Context) {
	interval := c.opts.Clock.ToMachine(c.opts.TTL / heartbeatsPerTTL)
	for Sleep(ctx, interval) {
		id := c.sessionID()
		sentAt := c.elapsed()
		err := c.postRenewal(ctx, id, 2*interval)
		switch {
		case err == nil:
			c.extendLease(sentAt)
		case hasStatus(err, http.StatusNotFound):
			c.opts.Log.Warn("session not found", "session", id)
			c.invalidateLease()
			if !c.reopenSession(ctx, interval) {
				return
			}
			c.wakeCampaign()
		case ctx.Err() == nil:
			c.opts.Log.Warn("session renewal failed", "session", id, "err", err)
		}
	}
}

func (c *candidate) postRenewal(ctx context.Context, session string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := c.opts.Client.Do(ctx, http.MethodPost, sessionPath(session)+"/renew", struct{}{}, nil)
	return err
}

// reopenSession tries to open a session until it succeeds. It returns false if ctx ends
// first.
func (c *candidate) reopenSession(ctx context.Context, interval time.Duration) bool {
	for c.openSession(ctx) != nil {
		if !Sleep(ctx, interval) {
			return false
		}
	}
	return true
}

// closeSession ends the session at the list service, so that other candidates no longer
// include this controller when they compute their quotas.
func (c *candidate) closeSession() {
	c.mu.Lock()
	id := c.session
	c.watchdog.Stop()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.TTL)
	defer cancel()
	if _, err := c.opts.Client.Do(ctx, http.MethodDelete, sessionPath(id), nil, nil); err != nil {
		c.opts.Log.Warn("session close failed", "session", id, "err", err)
	}
}

func (c *candidate) sessionID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session
}

func (c *candidate) extendLease(sentAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Renew(sentAt)
	c.resetWatchdog()
}

func (c *candidate) invalidateLease() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Invalidate()
	for _, grant := range c.grants {
		grant.cancel(ErrLeaseLost)
	}
}

// resetWatchdog restarts the timer that cancels all grants when the lease expires. The
// caller holds c.mu.
func (c *candidate) resetWatchdog() {
	if c.watchdog != nil {
		c.watchdog.Stop()
	}
	c.watchdog = time.AfterFunc(c.opts.Clock.ToMachine(c.lease.Remaining(c.elapsed())), c.cancelExpiredGrants)
}

func (c *candidate) cancelExpiredGrants() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasLease() {
		return // the lease was renewed while the timer fired
	}
	for _, grant := range c.grants {
		c.opts.Log.Warn("lease expired", "role", grant.Role, "token", grant.Token)
		grant.cancel(ErrLeaseLost)
	}
}

func sessionPath(id string) string { return registry.SessionsPath + "/" + url.PathEscape(id) }
