package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"plovershore/internal/registry"
)

// stopTimeout is the time that work has to return after its context has ended.
const stopTimeout = 5 * time.Second

// Work does the work of a role until the work is complete, fails, or ctx ends. The
// cause of the context's cancellation is ErrLeaseLost, ErrStopping or ErrRoleDisabled.
// An error that is returned while ctx has not ended counts as a failure of the role.
// Repeated failures delay the next grant.
type Work func(ctx context.Context, g *Grant) error

// startWork starts the work of a granted role. The note must not have been read before
// the grant: it could be older than the last checkpoint of the previous holder. The
// caller holds c.mu.
func (c *candidate) startWork(name string, token, term int64, note string) {
	grant := &Grant{Role: name, Token: token, Term: term, Note: note, Controller: c.opts.Name, candidate: c}
	grant.ctx, grant.cancel = context.WithCancelCause(context.Background())
	c.grants[name], c.lastTokens[name] = grant, token
	delete(c.vacantSince, name)
	c.opts.Metrics.recordAcquired(grant)
	c.opts.Log.Info("role acquired", "role", name, "token", token)
	c.spawn(func() { c.runWork(grant) })
}

// runWork does the work of a grant and then releases the role.
func (c *candidate) runWork(grant *Grant) {
	c.spawn(grant.confirmHealthAfterTTL)
	err := c.awaitWork(grant)
	cause := context.Cause(grant.ctx)
	grant.cancel(ErrStopping)
	successor := c.removeGrant(grant)
	c.opts.Metrics.recordReleased(grant)
	if errors.Is(cause, ErrLeaseLost) || errors.Is(cause, ErrRoleDisabled) {
		c.opts.Log.Warn("role lost", "role", grant.Role, "token", grant.Token, "cause", cause)
		c.deferRelease(grant.Role, registry.RoleRequest{Token: grant.Token, LeaseLost: true})
		return
	}
	failed := err != nil && cause == nil
	if failed {
		c.opts.Log.Error("role work failed", "role", grant.Role, "token", grant.Token, "err", err)
	}
	if !c.release(grant, registry.RoleRequest{Token: grant.Token, Successor: successor, Failed: failed}) {
		return
	}
	if completed := err == nil && cause == nil; completed {
		c.postponeRequest(grant.Role)
	}
}

// awaitWork runs the work and waits until it returns. It abandons work that has not
// returned stopTimeout after the end of its context, so that such work does not block
// the process's other roles. Effects of abandoned work are rejected because of their
// outdated token.
func (c *candidate) awaitWork(grant *Grant) error {
	returned := make(chan error, 1)
	go func() { // may outlive awaitWork
		err := callWork(grant.ctx, c.opts.Roles[grant.Role], grant)
		c.mu.Lock()
		delete(c.unstopped, grant.Role)
		c.mu.Unlock()
		returned <- err
		c.wakeCampaign()
	}()
	select {
	case err := <-returned:
		return err
	case <-grant.ctx.Done():
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case err := <-returned:
		return err
	case <-timer.C:
	}
	c.opts.Log.Error("role work did not stop", "role", grant.Role, "token", grant.Token, "timeout", stopTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unstopped[grant.Role] = true
	return nil
}

// callWork calls work and turns a panic into an error, so that the process's other
// roles continue.
func callWork(ctx context.Context, work Work, grant *Grant) (err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			err = fmt.Errorf("leader: panic: %v", panicValue)
		}
	}()
	return work(ctx, grant)
}

// removeGrant removes an ended grant and returns the successor that was set for it.
func (c *candidate) removeGrant(grant *Grant) (successor string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.grants, grant.Role)
	return grant.successor
}

// postponeRequest delays the next request for a role whose work is complete by one
// lease duration.
func (c *candidate) postponeRequest(role string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notBefore[role] = c.opts.Clock.Monotonic().Add(c.opts.TTL)
}
